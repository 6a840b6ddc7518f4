#include "marigoldpitch/transport/gossip-links.h"

#include "marigoldpitch/transport/clock.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr Duration kGossipTickInterval = Millis(200);

} // namespace detail

GossipLinks::GossipLinks(Loop& aLoop,
                         GossipOptions aOptions,
                         Duration aSilenceTimeout,
                         GossipClient& aClient)
  : loop(aLoop)
  , client(aClient)
  , silenceTimeout(aSilenceTimeout)
  , gossip(std::move(aOptions))
{
}

void
GossipLinks::Start(PeerNetwork& aNetwork)
{
  this->network = &aNetwork;
  this->Tick();
}

void
GossipLinks::Tick()
{
  this->ConnectNeighbours();
  this->HandleEvent(GossipTick{});
  this->loop.After(detail::kGossipTickInterval, [this] { this->Tick(); });
}

void
GossipLinks::ConnectNeighbours()
{
  std::vector<std::string> wanted = this->gossip.Neighbours();
  if (wanted.empty()) {
    wanted = this->client.SeedPeers();
  }
  // Without a timeout, other code closes links.
  if (this->silenceTimeout < kNoTimeout) {
    this->CloseStaleLinks(wanted);
  }
  for (const std::string& peer : wanted) {
    const Endpoint* endpoint = this->client.FindEndpoint(peer);
    if (endpoint != nullptr && peer != this->gossip.Options().peer &&
        !this->network->HasLinkTo(peer)) {
      this->lastHeard[peer] = ReadBootClock(); // starts the silence timeout
      this->network->Connect(peer, *endpoint);
    }
  }
}

/**
 * Closes links that are no longer wanted or have been silent for too long. A
 * connection can stay open without ever carrying data again although a new one
 * would work.
 */
void
GossipLinks::CloseStaleLinks(const std::vector<std::string>& aWanted)
{
  Time now = ReadBootClock();
  for (auto it = this->lastHeard.begin(); it != this->lastHeard.end();) {
    bool isWanted =
      std::find(aWanted.begin(), aWanted.end(), it->first) != aWanted.end();
    if (isWanted && now - it->second <= this->silenceTimeout) {
      ++it;
      continue;
    }
    this->network->Disconnect(it->first);
    this->HandleEvent(NeighbourLost{ it->first });
    it = this->lastHeard.erase(it);
  }
}

void
GossipLinks::HandleEvent(const GossipEvent& aEvent)
{
  GossipActions actions = this->gossip.Handle(ReadBootClock(), aEvent);
  for (const GossipAction& action : actions) {
    std::visit([this](const auto& aKind) { this->Perform(aKind); }, action);
  }
}

void
GossipLinks::OnStoreDocument(const Document& aDocument)
{
  bool isNew = this->Order(aDocument.kind) < aDocument.Order();
  if (isNew && this->client.IsValid(aDocument)) {
    this->HandleEvent(DocumentSeen{ aDocument, {} });
  }
}

void
GossipLinks::SetHosts(const HostList& aHosts)
{
  this->gossip.SetHosts(aHosts);
  this->ConnectNeighbours();
}

DigestFrame
GossipLinks::OwnDigest() const
{
  return { this->gossip.OwnDigest(ReadBootClock()), this->client.IsDraining() };
}

void
GossipLinks::BroadcastDigest()
{
  this->network->Broadcast(this->OwnDigest());
}

void
GossipLinks::Perform(const SendDocument& aAction)
{
  const Document& document = aAction.document;
  EncodedDocument& encodedDocument = this->encodedDocuments[document.kind];
  if (!(encodedDocument.order == document.Order())) {
    encodedDocument = { document.Order(),
                        EncodeFrame(DocumentFrame{ document }) };
  }
  this->network->SendTo(aAction.peer, encodedDocument.frame);
}

void
GossipLinks::Perform(const SendDigest& aAction)
{
  this->network->SendTo(
    aAction.peer, DigestFrame{ aAction.digest, this->client.IsDraining() });
}

void
GossipLinks::Perform(const ActivateDocument& aAction)
{
  this->client.ApplyDocument(aAction.document, aAction.peer);
}

void
GossipLinks::OnPeerUp(const std::string& aPeer, bool aOutbound)
{
  if (aOutbound) {
    // The peer replies with what is newer on its side, so one digest starts the
    // exchange in both directions.
    this->network->SendTo(aPeer, this->OwnDigest());
  }
}

void
GossipLinks::OnPeerFrame(const std::string& aPeer, const Frame& aFrame)
{
  auto found = this->lastHeard.find(aPeer);
  if (found != this->lastHeard.end()) {
    found->second = ReadBootClock();
  }
  if (const auto* digest = std::get_if<DigestFrame>(&aFrame)) {
    this->HandleEvent(DigestSeen{ aPeer, digest->digest });
  }
  if (const auto* frame = std::get_if<DocumentFrame>(&aFrame)) {
    const Document& received = frame->document;
    // A document that is not new is not applied, so it need not be valid: it
    // only shows what the peer has.
    bool isNew = this->Order(received.kind) < received.Order();
    if (!isNew || this->client.IsValid(received)) {
      this->HandleEvent(DocumentSeen{ received, aPeer });
    }
  }
}

void
GossipLinks::OnPeerDown(const std::string& aPeer)
{
  this->lastHeard.erase(aPeer);
  this->HandleEvent(NeighbourLost{ aPeer });
}

} // namespace marigoldpitch
