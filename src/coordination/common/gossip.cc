#include "marigoldpitch/coordination/common/gossip.h"

#include "marigoldpitch/coordination/common/ownership.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr size_t kNeighbours = 4;
constexpr size_t kWatchersPerZone = 2;
// Ticks further apart show that the process was paused.
constexpr Duration kMaxTickGap = Millis(800);
// Frames that arrived during a pause are read within this time after it.
constexpr Duration kBacklogTime = Millis(400);

size_t
IndexOf(DocumentKind aKind)
{
  return static_cast<size_t>(aKind);
}

std::vector<std::string>
TopByWeight(const std::string& aKey,
            std::vector<std::string> aNames,
            size_t aMaxCount)
{
  auto isHeavier = [&](const std::string& aLeft, const std::string& aRight) {
    return RendezvousWeight(aKey, aLeft) > RendezvousWeight(aKey, aRight);
  };
  std::sort(aNames.begin(), aNames.end(), isHeavier);
  if (aNames.size() > aMaxCount) {
    aNames.resize(aMaxCount);
  }
  return aNames;
}

/**
 * Whether a peer that has one document takes the other. A peer of a build that
 * names no eras compares revisions alone.
 */
bool
WouldTake(const DocumentOrder& aTheirs, const DocumentOrder& aOurs)
{
  bool comparesRevisions = aTheirs.position.era == 0 && aTheirs.version == 0;
  if (comparesRevisions) {
    return aTheirs.position.revision < aOurs.position.revision;
  }
  return aTheirs < aOurs;
}

} // namespace detail

uint64_t
Digest::Era() const
{
  uint64_t era = 0;
  for (const DocumentOrder& document : this->documents) {
    era = std::max(era, document.position.era);
  }
  return era;
}

GossipActions
Gossip::Handle(Time aNow, const GossipEvent& aEvent)
{
  this->now = aNow;
  this->actions.clear();
  std::visit([this](const auto& aKind) { this->On(aKind); }, aEvent);
  return std::move(this->actions);
}

void
Gossip::SetHosts(const HostList& aHosts)
{
  std::vector<std::string> peerNames;
  std::vector<std::string> zoneHosts;
  for (const HostEntry& host : aHosts.hosts) {
    for (const std::string& role : this->options.roles) {
      std::string name = host.name + "/" + role;
      if (name != this->options.peer) {
        peerNames.push_back(name);
      }
    }
    if (host.zone == this->options.zone && host.state == HostState::Live) {
      zoneHosts.push_back(host.name);
    }
  }
  auto watchers = detail::TopByWeight(
    "watch " + this->options.zone, zoneHosts, detail::kWatchersPerZone);
  auto named = std::find(watchers.begin(), watchers.end(), this->options.host);
  bool isWatcher = named != watchers.end();
  this->rank =
    isWatcher ? static_cast<size_t>(named - watchers.begin()) : size_t{ 0 };
  this->watches = aHosts.hosts.empty() || (isWatcher && this->options.mayWatch);
  if (this->options.neighbourSelection == NeighbourSelection::ZoneWatchers) {
    this->neighbours.clear();
    for (const std::string& watcher : watchers) {
      if (watcher != this->options.host) {
        this->neighbours.push_back(watcher + "/" + this->options.roles.front());
      }
    }
    return;
  }
  // Rendezvous hashing with the daemon's own name as the key.
  this->neighbours = detail::TopByWeight(
    this->options.peer, std::move(peerNames), detail::kNeighbours);
}

bool
Gossip::IsPolled(DocumentKind aKind) const
{
  const auto& polled = this->options.polled;
  return std::find(polled.begin(), polled.end(), aKind) != polled.end();
}

const Document&
Gossip::OwnDocument(DocumentKind aKind) const
{
  return this->documents[detail::IndexOf(aKind)];
}

Digest
Gossip::OwnDigest(Time aNow) const
{
  Digest digest;
  for (size_t i = 0; i < kDocumentKinds; ++i) {
    digest.documents[i] = this->documents[i].Order();
    Time confirmed = this->store[i].confirmed;
    if (confirmed != kInfinitePast) {
      digest.ages[i] = aNow - confirmed;
    }
  }
  return digest;
}

void
Gossip::On(const DocumentSeen& aEvent)
{
  size_t index = detail::IndexOf(aEvent.document.kind);
  if (!aEvent.peer.empty()) {
    DocumentOrder& known = this->neighbourDigests[aEvent.peer].documents[index];
    known = std::max(known, aEvent.document.Order());
  }
  const Document& own = this->documents[index];
  // If two watchers poll the same text in one era of the store, the first one's
  // position stays.
  bool isSame = aEvent.peer.empty() && this->IsPolled(aEvent.document.kind) &&
                !own.position.IsUnset() &&
                own.position.era == aEvent.document.position.era &&
                aEvent.document.text == own.text;
  if (!(own.Order() < aEvent.document.Order()) || isSame) {
    return;
  }
  this->documents[index] = aEvent.document;
  this->actions.emplace_back(ActivateDocument{ aEvent.document, aEvent.peer });
  for (auto& [peer, digest] : this->neighbourDigests) {
    if (detail::WouldTake(digest.documents[index], aEvent.document.Order())) {
      digest.documents[index] = aEvent.document.Order();
      this->actions.emplace_back(SendDocument{ peer, aEvent.document });
    }
  }
}

void
Gossip::On(const DigestSeen& aEvent)
{
  bool isNew = this->neighbourDigests.count(aEvent.peer) == 0;
  this->neighbourDigests[aEvent.peer] = aEvent.digest;
  bool isBehind = false;
  for (size_t i = 0; i < kDocumentKinds; ++i) {
    const DocumentOrder& theirs = aEvent.digest.documents[i];
    DocumentOrder ours = this->documents[i].Order();
    if (detail::WouldTake(theirs, ours)) {
      this->neighbourDigests[aEvent.peer].documents[i] = ours;
      this->actions.emplace_back(
        SendDocument{ aEvent.peer, this->documents[i] });
    }
    isBehind = isBehind || ours < theirs;
    if (theirs == ours && aEvent.digest.ages[i]) {
      this->Confirm(static_cast<DocumentKind>(i),
                    this->FrameTime() - *aEvent.digest.ages[i]);
    }
  }
  // The peer answers a digest of older documents by sending its own.
  if (isBehind || isNew) {
    this->actions.emplace_back(
      SendDigest{ aEvent.peer, this->OwnDigest(this->now) });
  }
}

void
Gossip::On(const NeighbourLost& aEvent)
{
  this->neighbourDigests.erase(aEvent.peer);
}

void
Gossip::On(const WatchStoreEnded& aEvent)
{
  StoreState& state = this->store[detail::IndexOf(aEvent.kind)];
  state.waiting = false;
  if (aEvent.hasAnswered) {
    // A watch ends as soon as there is something newer; a read shows what there
    // was when it was sent.
    this->Confirm(aEvent.kind,
                  this->IsPolled(aEvent.kind) ? state.asked : this->now);
  } else {
    state.notBefore = this->now + this->options.storeRetry;
  }
  this->Watch(aEvent.kind);
}

/**
 * The latest time by which the frame that is handled now is known to have been
 * sent. A frame may have waited for as long as this process was paused.
 */
Time
Gossip::FrameTime() const
{
  if (this->now - this->lastTick > detail::kMaxTickGap) {
    return this->lastTick;
  }
  return this->now < this->backlogUntil ? this->pausedAt : this->now;
}

void
Gossip::Confirm(DocumentKind aKind, Time aAsOf)
{
  Time& confirmed = this->store[detail::IndexOf(aKind)].confirmed;
  if (aAsOf > confirmed) {
    confirmed = aAsOf;
    this->actions.emplace_back(ConfirmDocument{ aKind, aAsOf });
  }
}

void
Gossip::On(const GossipTick&)
{
  if (this->now - this->lastTick > detail::kMaxTickGap) {
    this->pausedAt = this->lastTick;
    this->backlogUntil = this->now + detail::kBacklogTime;
  }
  this->lastTick = this->now;
  for (DocumentKind kind : this->options.kinds) {
    this->Watch(kind);
  }
  if (this->now - this->lastDigest < this->options.digestInterval) {
    return;
  }
  this->lastDigest = this->now;
  for (const auto& [peer, digest] : this->neighbourDigests) {
    this->actions.emplace_back(SendDigest{ peer, this->OwnDigest(this->now) });
  }
}

/** How old the last confirmation may be before this daemon asks the store. */
Duration
Gossip::MaxConfirmationAge(DocumentKind aKind) const
{
  if (!this->watches) {
    return this->options.maxUnconfirmedAge;
  }
  if (!this->IsPolled(aKind)) {
    return Millis(0);
  }
  // A watcher of higher rank waits longer, so it asks only if those before it
  // have not.
  Duration interval = this->options.pollInterval;
  auto halves = static_cast<int64_t>(this->rank);
  return interval + Duration{ interval.ms / 2 } * halves;
}

void
Gossip::Watch(DocumentKind aKind)
{
  StoreState& state = this->store[detail::IndexOf(aKind)];
  bool isConfirmed =
    this->now - state.confirmed < this->MaxConfirmationAge(aKind);
  if (state.waiting || state.notBefore > this->now || isConfirmed) {
    return;
  }
  state.waiting = true;
  state.asked = this->now;
  this->actions.emplace_back(
    WatchStore{ aKind, this->OwnDocument(aKind).position });
}

} // namespace marigoldpitch
