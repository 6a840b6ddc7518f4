#include "marigoldpitch/transport/spread-links.h"

#include "marigoldpitch/transport/clock.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr Duration kSpreadTick = Millis(200);

} // namespace detail

SpreadLinks::SpreadLinks(Loop& aLoop,
                         GossipOptions aOptions,
                         Duration aSilentLimit,
                         SpreadClient& aClient)
  : loop(aLoop)
  , client(aClient)
  , silentLimit(aSilentLimit)
  , spread(std::move(aOptions))
{
}

void
SpreadLinks::Start(PeerNetwork& aNetwork)
{
  this->network = &aNetwork;
  this->Tick();
}

void
SpreadLinks::Tick()
{
  this->KeepNeighbours();
  this->Step(GossipTick{});
  this->loop.After(detail::kSpreadTick, [this] { this->Tick(); });
}

void
SpreadLinks::KeepNeighbours()
{
  std::vector<std::string> wanted = this->spread.Neighbours();
  if (wanted.empty()) {
    wanted = this->client.FirstPeers();
  }
  if (this->silentLimit < kForever) {
    this->DropSilent(wanted);
  }
  for (const std::string& peer : wanted) {
    const Endpoint* endpoint = this->client.EndpointOf(peer);
    if (endpoint != nullptr && peer != this->spread.Options().peer &&
        !this->network->HasLinkTo(peer)) {
      this->heard[peer] = ReadBootClock();
      this->network->Connect(peer, *endpoint);
    }
  }
}

/**
 * Closes links that are no longer wanted or have been silent for too long. An
 * open connection may never carry data again while a new one works.
 */
void
SpreadLinks::DropSilent(const std::vector<std::string>& aWanted)
{
  Time now = ReadBootClock();
  for (auto it = this->heard.begin(); it != this->heard.end();) {
    bool isWanted =
      std::find(aWanted.begin(), aWanted.end(), it->first) != aWanted.end();
    if (isWanted && now - it->second <= this->silentLimit) {
      ++it;
      continue;
    }
    this->network->Drop(it->first);
    this->Step(NeighbourLost{ it->first });
    it = this->heard.erase(it);
  }
}

void
SpreadLinks::Step(const GossipEvent& aEvent)
{
  GossipActions actions = this->spread.Handle(ReadBootClock(), aEvent);
  for (const GossipAction& action : actions) {
    std::visit([this](const auto& aKind) { this->Perform(aKind); }, action);
  }
}

void
SpreadLinks::TakeFromStore(const Document& aDocument)
{
  bool isNew = aDocument.revision > this->Revision(aDocument.kind);
  if (isNew && this->client.IsValid(aDocument)) {
    this->Step(DocumentSeen{ aDocument, {} });
  }
}

void
SpreadLinks::SetHosts(const HostList& aHosts)
{
  this->spread.SetHosts(aHosts);
  this->KeepNeighbours();
}

DigestFrame
SpreadLinks::OwnDigest() const
{
  return { this->spread.OwnDigest(ReadBootClock()), this->client.IsDraining() };
}

void
SpreadLinks::Announce()
{
  this->network->Broadcast(this->OwnDigest());
}

void
SpreadLinks::Perform(const SendDocument& aAction)
{
  const Document& document = aAction.document;
  Encoded& packed = this->encoded[document.kind];
  if (packed.revision != document.revision) {
    packed = { document.revision, EncodeFrame(DocumentFrame{ document }) };
  }
  this->network->SendTo(aAction.peer, packed.frame);
}

void
SpreadLinks::Perform(const SendDigest& aAction)
{
  this->network->SendTo(
    aAction.peer, DigestFrame{ aAction.digest, this->client.IsDraining() });
}

void
SpreadLinks::Perform(const ActivateDocument& aAction)
{
  this->client.TakeDocument(aAction.document);
}

void
SpreadLinks::OnPeerUp(const std::string& aPeer, bool aOutbound)
{
  if (aOutbound) {
    // The peer replies with what is newer on its side, so one digest starts the
    // exchange in both directions.
    this->network->SendTo(aPeer, this->OwnDigest());
  }
}

void
SpreadLinks::OnPeerFrame(const std::string& aPeer, const Frame& aFrame)
{
  auto found = this->heard.find(aPeer);
  if (found != this->heard.end()) {
    found->second = ReadBootClock();
  }
  if (const auto* digest = std::get_if<DigestFrame>(&aFrame)) {
    this->Step(DigestSeen{ aPeer, digest->digest });
  }
  if (const auto* frame = std::get_if<DocumentFrame>(&aFrame)) {
    const Document& seen = frame->document;
    bool isNew = seen.revision > this->Revision(seen.kind);
    if (!isNew || this->client.IsValid(seen)) {
      this->Step(DocumentSeen{ seen, aPeer });
    }
  }
}

void
SpreadLinks::OnPeerDown(const std::string& aPeer)
{
  this->heard.erase(aPeer);
  this->Step(NeighbourLost{ aPeer });
}

} // namespace marigoldpitch
