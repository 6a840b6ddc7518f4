#include "marigoldpitch/coordination/spread.h"

#include "marigoldpitch/coordination/ownership.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr size_t kNeighbours = 4;
constexpr size_t kWatchersPerZone = 2;
constexpr Duration kDigestInterval = Seconds(1);
constexpr Duration kStoreRetry = Millis(500);
// A daemon that is no watcher still looks now and then, in case all the
// watchers that its host list names are gone.
constexpr Duration kFallbackLook = Seconds(60);

size_t
IndexOf(DocumentKind aKind)
{
  return static_cast<size_t>(aKind);
}

std::vector<std::string>
TopByWeight(const std::string& aKey,
            std::vector<std::string> aNames,
            size_t aMost)
{
  auto isHeavier = [&](const std::string& aLeft, const std::string& aRight) {
    return Weight(aKey, aLeft) > Weight(aKey, aRight);
  };
  std::sort(aNames.begin(), aNames.end(), isHeavier);
  if (aNames.size() > aMost) {
    aNames.resize(aMost);
  }
  return aNames;
}

} // namespace detail

SpreadActions
Spread::Handle(Time aNow, const SpreadEvent& aEvent)
{
  this->now = aNow;
  this->actions.clear();
  std::visit([this](const auto& aKind) { this->On(aKind); }, aEvent);
  return std::move(this->actions);
}

void
Spread::SetHosts(const HostList& aHosts)
{
  std::vector<std::string> peerNames;
  std::vector<std::string> zoneHosts;
  for (const HostEntry& host : aHosts.hosts) {
    for (const char* role : { "/owner", "/entry" }) {
      if (host.name + role != this->options.peer) {
        peerNames.push_back(host.name + role);
      }
    }
    if (host.zone == this->options.zone && host.state == HostState::Live) {
      zoneHosts.push_back(host.name);
    }
  }
  // Each daemon weighs its peers with its own name as the key, so the
  // neighbourhoods form a random graph that is a few hops across.
  this->neighbours = detail::TopByWeight(
    this->options.peer, std::move(peerNames), detail::kNeighbours);
  auto watchers = detail::TopByWeight(
    "watch " + this->options.zone, zoneHosts, detail::kWatchersPerZone);
  bool isNamed =
    std::find(watchers.begin(), watchers.end(), this->options.host) !=
    watchers.end();
  this->watches = aHosts.hosts.empty() || (isNamed && this->options.mayWatch);
}

const Document&
Spread::Own(DocumentKind aKind) const
{
  return this->documents[detail::IndexOf(aKind)];
}

Digest
Spread::OwnDigest() const
{
  Digest digest;
  for (size_t i = 0; i < kDocumentKinds; ++i) {
    digest.revisions[i] = this->documents[i].revision;
  }
  return digest;
}

void
Spread::On(const DocumentSeen& aEvent)
{
  size_t index = detail::IndexOf(aEvent.document.kind);
  if (!aEvent.peer.empty()) {
    uint64_t& known = this->peers[aEvent.peer].revisions[index];
    known = std::max(known, aEvent.document.revision);
  }
  if (aEvent.document.revision <= this->documents[index].revision) {
    return;
  }
  this->documents[index] = aEvent.document;
  this->actions.emplace_back(PutInForce{ aEvent.document });
  for (auto& [peer, digest] : this->peers) {
    if (digest.revisions[index] < aEvent.document.revision) {
      digest.revisions[index] = aEvent.document.revision;
      this->actions.emplace_back(SendDocument{ peer, aEvent.document });
    }
  }
}

void
Spread::On(const DigestSeen& aEvent)
{
  bool isNew = this->peers.count(aEvent.peer) == 0;
  this->peers[aEvent.peer] = aEvent.digest;
  bool isBehind = false;
  for (size_t i = 0; i < kDocumentKinds; ++i) {
    uint64_t theirs = aEvent.digest.revisions[i];
    uint64_t ours = this->documents[i].revision;
    if (theirs < ours) {
      this->peers[aEvent.peer].revisions[i] = ours;
      this->actions.emplace_back(
        SendDocument{ aEvent.peer, this->documents[i] });
    }
    isBehind = isBehind || theirs > ours;
  }
  // Our lower digest asks the peer for what we lack.
  if (isBehind || isNew) {
    this->actions.emplace_back(SendDigest{ aEvent.peer, this->OwnDigest() });
  }
}

void
Spread::On(const NeighbourLost& aEvent)
{
  this->peers.erase(aEvent.peer);
}

void
Spread::On(const StoreAnswered& aEvent)
{
  StoreState& state = this->store[detail::IndexOf(aEvent.kind)];
  state.waiting = false;
  if (!aEvent.reached) {
    state.notBefore = this->now + detail::kStoreRetry;
  } else if (!this->watches) {
    state.notBefore = this->now + detail::kFallbackLook;
  }
  this->Watch(aEvent.kind);
}

void
Spread::On(const SpreadTick&)
{
  for (const auto& row : kDocumentKindNames.rows) {
    this->Watch(row.value);
  }
  if (this->now - this->lastDigest < detail::kDigestInterval) {
    return;
  }
  this->lastDigest = this->now;
  for (const auto& [peer, digest] : this->peers) {
    this->actions.emplace_back(SendDigest{ peer, this->OwnDigest() });
  }
}

void
Spread::Watch(DocumentKind aKind)
{
  StoreState& state = this->store[detail::IndexOf(aKind)];
  if (state.waiting || state.notBefore > this->now) {
    return;
  }
  state.waiting = true;
  this->actions.emplace_back(WatchStore{ aKind, this->Own(aKind).revision });
}

} // namespace marigoldpitch
