#include "marigoldpitch/transport/peer-network.h"

namespace marigoldpitch {

Result<std::unique_ptr<PeerNetwork>>
PeerNetwork::Create(Loop& aLoop,
                    std::string aOwnName,
                    const Endpoint& aListen,
                    size_t aMaxFrameBytes,
                    size_t aMaxLinks,
                    PeerListener& aListener)
{
  std::unique_ptr<PeerNetwork> network(new PeerNetwork(
    aLoop, std::move(aOwnName), aMaxFrameBytes, aMaxLinks, aListener));
  BOOST_OUTCOME_TRY(auto acceptor,
                    TcpListener::Create(aLoop, aListen, *network));
  network->acceptor = std::move(acceptor);
  return network;
}

PeerNetwork::PeerNetwork(Loop& aLoop,
                         std::string aOwnName,
                         size_t aMaxFrameBytes,
                         size_t aMaxLinks,
                         PeerListener& aListener)
  : loop(aLoop)
  , ownName(std::move(aOwnName))
  , maxFrameBytes(aMaxFrameBytes)
  , maxLinks(aMaxLinks)
  , listener(aListener)
{
}

void
PeerNetwork::Add(std::shared_ptr<FrameLink> aLink,
                 std::string aName,
                 bool aOutbound)
{
  Peer peer;
  peer.id = ++this->lastId;
  peer.link = std::move(aLink);
  peer.name = std::move(aName);
  peer.outbound = aOutbound;
  this->idByLink[peer.link.get()] = peer.id;
  this->peers[peer.id] = std::move(peer);
}

void
PeerNetwork::Remove(LinkId aId)
{
  auto found = this->peers.find(aId);
  if (found != this->peers.end()) {
    this->idByLink.erase(found->second.link.get());
    this->peers.erase(found);
  }
}

PeerNetwork::Peer*
PeerNetwork::Find(const FrameLink& aLink)
{
  auto found = this->idByLink.find(&aLink);
  return found == this->idByLink.end() ? nullptr : &this->peers[found->second];
}

const PeerNetwork::Peer*
PeerNetwork::FindOutbound(const std::string& aPeer) const
{
  for (const auto& [id, peer] : this->peers) {
    if (peer.outbound && peer.name == aPeer) {
      return &peer;
    }
  }
  return nullptr;
}

void
PeerNetwork::Connect(const std::string& aPeer, const Endpoint& aEndpoint)
{
  if (const Peer* peer = this->FindOutbound(aPeer)) {
    // The caller expects `OnPeerUp` for this call too.
    if (peer->up) {
      LinkId id = peer->id;
      this->loop.Defer([this, id, aPeer] {
        if (this->peers.count(id) != 0) {
          this->listener.OnPeerUp(id, aPeer, true);
        }
      });
    }
    return;
  }
  auto link =
    FrameLink::Connect(this->loop, aEndpoint, this->maxFrameBytes, *this);
  if (!link) {
    this->loop.Defer(
      [this, aPeer] { this->listener.OnPeerDown(0, aPeer, true); });
    return;
  }
  this->Add(link.value(), aPeer, true);
}

bool
PeerNetwork::HasLinkTo(const std::string& aPeer) const
{
  return this->FindOutbound(aPeer) != nullptr;
}

void
PeerNetwork::Disconnect(const std::string& aPeer)
{
  const Peer* peer = this->FindOutbound(aPeer);
  if (peer != nullptr) {
    peer->link->Close();
    this->Remove(peer->id);
  }
}

void
PeerNetwork::SendTo(const std::string& aPeer, const Frame& aFrame)
{
  this->SendTo(aPeer, EncodeFrame(aFrame));
}

void
PeerNetwork::SendTo(const std::string& aPeer, const std::string& aEncoded)
{
  const Peer* outbound = this->FindOutbound(aPeer);
  if (outbound != nullptr && outbound->up) {
    outbound->link->Send(aEncoded);
    return;
  }
  for (auto it = this->peers.rbegin(); it != this->peers.rend(); ++it) {
    if (it->second.up && it->second.name == aPeer) {
      it->second.link->Send(aEncoded);
      return;
    }
  }
}

void
PeerNetwork::Send(LinkId aLink, const Frame& aFrame)
{
  auto found = this->peers.find(aLink);
  if (found != this->peers.end()) {
    found->second.link->Send(EncodeFrame(aFrame));
  }
}

void
PeerNetwork::CloseLink(LinkId aLink)
{
  auto found = this->peers.find(aLink);
  if (found == this->peers.end()) {
    return;
  }
  Peer closed = found->second;
  closed.link->Close();
  this->Remove(aLink);
  if (closed.up || closed.outbound) {
    this->listener.OnPeerDown(closed.id, closed.name, closed.outbound);
  }
}

void
PeerNetwork::Broadcast(const Frame& aFrame)
{
  std::string bytes = EncodeFrame(aFrame);
  for (auto& [id, peer] : this->peers) {
    if (peer.up) {
      peer.link->Send(bytes);
    }
  }
}

void
PeerNetwork::OnAccept(h2o_socket_t* aSocket)
{
  if (this->peers.size() >= this->maxLinks) {
    h2o_socket_close(aSocket);
    return;
  }
  this->Add(
    FrameLink::FromSocket(this->loop, aSocket, this->maxFrameBytes, *this),
    {},
    false);
}

void
PeerNetwork::OnLinkUp(FrameLink& aLink)
{
  Peer* peer = this->Find(aLink);
  if (peer == nullptr) {
    return;
  }
  aLink.Send(EncodeFrame(HelloFrame{ this->ownName }));
}

void
PeerNetwork::OnFrameBytes(FrameLink& aLink, const std::string& aFrame)
{
  Peer* peer = this->Find(aLink);
  if (peer == nullptr) {
    return;
  }
  LinkId id = peer->id;
  std::string name = peer->name;
  auto frame = DecodeFrame(aFrame);
  if (!frame) {
    // The link may stay open: the size prefix of the invalid frame tells where
    // the next frame starts.
    this->listener.OnBadFrame(name, frame.error());
    if (this->listener.ClosesOnBadFrame()) {
      this->CloseLink(id);
    }
    return;
  }
  if (const auto* hello = std::get_if<HelloFrame>(&frame.value())) {
    this->OnHello(id, *hello);
    return;
  }
  if (!peer->up) {
    this->listener.OnBadFrame(name,
                              { ErrorCode::BadFrame,
                                "hello",
                                "the first frame must be a hello frame" });
    return;
  }
  this->listener.OnPeerFrame(id, name, frame.value());
}

void
PeerNetwork::OnHello(LinkId aId, const HelloFrame& aHello)
{
  Peer& peer = this->peers[aId];
  if (peer.up) {
    return;
  }
  peer.up = true;
  // The kernel accepts connections even while the peer's process is stopped, so
  // the link counts as up only when the hello frame arrives.
  if (!peer.outbound) {
    peer.name = aHello.peer;
    peer.link->Send(EncodeFrame(HelloFrame{ this->ownName }));
  }
  bool isOutbound = peer.outbound;
  std::string name = peer.name;
  this->listener.OnPeerUp(aId, name, isOutbound);
}

void
PeerNetwork::OnLinkDown(FrameLink& aLink, const Error& aReason)
{
  Peer* peer = this->Find(aLink);
  if (peer == nullptr) {
    return;
  }
  Peer closed = *peer;
  this->Remove(closed.id);
  if (aReason.code == ErrorCode::TooLarge) {
    this->listener.OnBadFrame(closed.name, aReason);
  }
  if (closed.up || closed.outbound) {
    this->listener.OnPeerDown(closed.id, closed.name, closed.outbound);
  }
}

} // namespace marigoldpitch
