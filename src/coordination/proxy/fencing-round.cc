#include "marigoldpitch/coordination/proxy/fencing-round.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

// For how long a host that is not registered any more is still fenced. It may
// have lost only its way to the store.
constexpr Duration kUnregisteredHostTime = Seconds(30);
constexpr Duration kFenceRetryInterval = Millis(30);
constexpr Duration kFenceRenewInterval = Millis(300);
// For how long hosts are told that a round has ended.
constexpr Duration kFenceEndTime = Millis(500);

} // namespace detail

void
HostRoster::SetRegistered(const std::vector<std::string>& aHosts,
                          bool aAreShort,
                          Time aNow)
{
  this->areRegistrationsShort = aAreShort;
  for (auto& [name, unregisteredSince] : this->hosts) {
    unregisteredSince = std::min(unregisteredSince, aNow);
  }
  for (const std::string& name : aHosts) {
    this->hosts[name] = kInfiniteFuture;
  }
  for (auto it = this->hosts.begin(); it != this->hosts.end();) {
    bool isGone = aNow - it->second >= detail::kUnregisteredHostTime;
    it = isGone ? this->hosts.erase(it) : std::next(it);
  }
}

void
FencingRound::Close(Term aTerm, bool aAwaitsOpenCommits, Time aNow)
{
  this->StartRound(aTerm, FenceCommand::Close, aNow);
  this->request.awaitsOpenCommits = aAwaitsOpenCommits;
}

void
FencingRound::Announce(Term aTerm, Time aNow)
{
  this->StartRound(aTerm, FenceCommand::TermBegan, aNow);
}

void
FencingRound::StartRound(Term aTerm, FenceCommand aCommand, Time aNow)
{
  // Rounds of an earlier process of this host have lower numbers.
  auto clock = static_cast<uint64_t>(std::max<int64_t>(aNow.ms, 0));
  this->request.round = std::max(this->request.round + 1, clock);
  this->request.term = aTerm;
  this->request.command = aCommand;
  this->request.awaitsOpenCommits = false;
  this->request.areAllFenced = false;
  this->isActive = true;
  this->since = aNow;
  this->lastSent.clear();
  this->replied.clear();
  this->highestAcknowledged = {};
}

void
FencingRound::End(FenceCommand aCommand, Time aNow)
{
  if (!this->IsClosing()) {
    return;
  }
  this->request.command = aCommand;
  this->since = aNow;
  this->lastSent.clear();
  this->replied.clear();
}

void
FencingRound::Reopen(Time aNow)
{
  this->End(FenceCommand::Reopen, aNow);
}

void
FencingRound::NoteTermBegan(Term aTerm, const HostRoster& aRoster, Time aNow)
{
  this->request.areAllFenced =
    this->IsClosing() && this->HaveAllReplied(aRoster);
  this->request.term = aTerm;
  this->End(FenceCommand::TermBegan, aNow);
}

std::vector<FenceHost>
FencingRound::Requests(const HostRoster& aRoster, Time aNow)
{
  std::vector<FenceHost> requests;
  bool hasEnded =
    !this->IsClosing() && aNow - this->since >= detail::kFenceEndTime;
  if (hasEnded) {
    this->Drop();
  }
  if (!this->isActive) {
    return requests;
  }
  for (const auto& [host, unregisteredSince] : aRoster.Hosts()) {
    bool hasReplied = this->replied.count(host) != 0;
    if (hasReplied && !this->IsClosing()) {
      continue;
    }
    Duration interval =
      hasReplied ? detail::kFenceRenewInterval : detail::kFenceRetryInterval;
    auto sent = this->lastSent.find(host);
    if (sent == this->lastSent.end() || aNow - sent->second >= interval) {
      this->lastSent[host] = aNow;
      requests.push_back({ host, this->request });
    }
  }
  return requests;
}

void
FencingRound::Drop()
{
  this->isActive = false;
  this->lastSent.clear();
  this->replied.clear();
}

void
FencingRound::Replied(const std::string& aHost, const FenceReply& aReply)
{
  bool isExpected = this->isActive && aReply.round == this->request.round &&
                    aReply.command == this->request.command;
  if (!isExpected) {
    return;
  }
  this->replied.insert(aHost);
  if (this->highestAcknowledged.IsBehind(aReply.highestAcknowledged)) {
    this->highestAcknowledged = aReply.highestAcknowledged;
  }
}

bool
FencingRound::IsComplete(const HostRoster& aRoster,
                         Time aListedUntil,
                         Time aNow) const
{
  if (!this->IsClosing()) {
    return false;
  }
  Duration waited = aNow - this->since;
  bool isContactOver =
    !aRoster.AreRegistrationsShort() && waited >= kCommitLease;
  for (const auto& [host, unregisteredSince] : aRoster.Hosts()) {
    bool isRegistered = unregisteredSince == kInfiniteFuture;
    Duration silent = aNow - std::max(this->since, unregisteredSince);
    bool hasExpired = isRegistered
                        ? isContactOver
                        : silent >= kPrimaryProofValidity + kListingTime;
    Time rightEnded =
      isRegistered ? this->since + kCommitLease : unregisteredSince;
    hasExpired = hasExpired && aListedUntil >= rightEnded;
    if (!hasExpired && this->replied.count(host) == 0) {
      return false;
    }
  }
  return true;
}

bool
FencingRound::HaveAllReplied(const HostRoster& aRoster) const
{
  return this->Missing(aRoster) == 0;
}

size_t
FencingRound::Missing(const HostRoster& aRoster) const
{
  size_t missing = 0;
  for (const auto& [host, unregisteredSince] : aRoster.Hosts()) {
    missing += this->replied.count(host) != 0 ? 0 : 1;
  }
  return missing;
}

} // namespace marigoldpitch
