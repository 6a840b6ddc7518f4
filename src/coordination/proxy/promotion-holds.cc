#include "marigoldpitch/coordination/proxy/promotion.h"

// The replicas that are held for a promotion, and what is done when a hold is
// lost.

namespace marigoldpitch {

namespace detail {

constexpr Duration kHoldRetryInterval = Millis(150);
constexpr Duration kAnnouncementInterval = Millis(500);

} // namespace detail

/**
 * Whether the upstream could confirm commits of the old primary, and so has to
 * be held: any member (see `GroupMembership::MayConfirm`) but that primary and
 * a candidate that is not held.
 */
bool
Promotion::MustBeHeld(const ServiceView& aView,
                      UpstreamIndex aUpstream,
                      Time aNow) const
{
  bool isUnheldCandidate =
    !this->holdsCandidate && this->candidate == aUpstream;
  return aView.Members().MayConfirm(aUpstream, aNow) &&
         this->oldPrimary != aUpstream && !isUnheldCandidate;
}

/**
 * Whether every upstream that `MustBeHeld` is held. Upstreams for which
 * `IsUnlistedAndFailingLong` is true are left out, because `ContainsAllCommits`
 * accounts for them. While the old primary is not known, one upstream that is
 * listed but `IsFailingLong` is taken for it and left out as well.
 */
bool
Promotion::AreAllHeld(const ServiceView& aView, Time aNow) const
{
  bool isOldPrimaryFound = this->oldPrimary.has_value();
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    bool isStillToHold =
      this->MustBeHeld(aView, i, aNow) && this->held.count(i) == 0;
    if (!isStillToHold || aView.IsUnlistedAndFailingLong(i, aNow)) {
      continue;
    }
    if (isOldPrimaryFound || !aView.IsFailingLong(i, aNow)) {
      return false;
    }
    isOldPrimaryFound = true;
  }
  return true;
}

LogPoint
Promotion::LongestHeldLogEnd() const
{
  LogPoint highest;
  for (const auto& [upstream, replica] : this->held) {
    highest = highest.IsBehind(replica.logEnd) ? replica.logEnd : highest;
  }
  return highest;
}

/**
 * Chooses the held replica with the longest log as the candidate. Among equals,
 * one that is reachable and neither leaving nor unlisted is preferred.
 */
void
Promotion::ChooseLongestLog(const ServiceView& aView)
{
  LogPoint highest = this->LongestHeldLogEnd();
  this->candidate.reset();
  for (const auto& [upstream, replica] : this->held) {
    if (replica.logEnd.IsBehind(highest)) {
      continue;
    }
    bool isBetter =
      !this->candidate || this->IsLessPreferred(aView, *this->candidate);
    this->candidate = isBetter ? upstream : *this->candidate;
  }
}

/**
 * Whether an equal replica is preferred to the upstream: it cannot be reached,
 * it is leaving, or it is unlisted and so may be unknown to some hosts.
 */
bool
Promotion::IsLessPreferred(const ServiceView& aView, UpstreamIndex aUpstream)
{
  const ProxyUpstream& upstream = aView.At(aUpstream);
  return upstream.failures > 0 || upstream.registration.leaving ||
         !aView.Members().IsListed(aUpstream);
}

void
Promotion::RequestHolds(const ServiceView& aView,
                        PromotionActions& aActions,
                        Time aNow)
{
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    bool isDue = this->lastAskedAt.count(i) == 0 ||
                 aNow - this->lastAskedAt[i] >= detail::kHoldRetryInterval;
    bool isStillToHold =
      this->MustBeHeld(aView, i, aNow) && this->held.count(i) == 0;
    if (isStillToHold && isDue) {
      this->lastAskedAt[i] = aNow;
      aActions.push_back(UpstreamCommand{ i, StatementKind::Hold, this->term });
    }
  }
}

/** All are held: each has to report so once more, and is asked at once. */
void
Promotion::StartVerifying(Time aNow)
{
  this->Enter(PromotionPhase::Verifying, aNow);
  for (auto& [upstream, replica] : this->held) {
    replica.isVerified = false;
    this->lastAskedAt.erase(upstream);
  }
}

/** Closes the fences at all hosts, unless this attempt has begun to. */
void
Promotion::StartFencing(Time aNow)
{
  this->Enter(PromotionPhase::Fencing, aNow);
  if (!this->IsFencing()) {
    // The primary still answers open commits only if the candidate is not held.
    this->fencing.Close(this->term, !this->holdsCandidate, aNow);
  }
}

/**
 * Lets the fences of an attempt that has ended after an order expire, once the
 * order can't take effect any more, or this host has lost the lease.
 */
void
Promotion::DropFences(bool aMayPromote, Time aNow)
{
  bool isNeeded =
    this->IsRunning() || (aMayPromote && aNow < this->LastOrderExpiresAt());
  if (!isNeeded && this->fencing.IsClosing()) {
    this->fencing.Drop();
  }
}

/**
 * While a member, such as the old primary, has not reported the primary's term,
 * hosts that do not know it could acknowledge commits of a lower one: a new
 * process, or one whose fence has expired. So all are told of it repeatedly.
 */
void
Promotion::AnnounceTerm(const ServiceView& aView, bool aMayPromote, Time aNow)
{
  bool isDue = aMayPromote && !this->IsRunning() &&
               !this->fencing.IsClosing() && aView.Primary() &&
               aNow - this->fencing.Since() >= detail::kAnnouncementInterval;
  for (UpstreamIndex i = 0; isDue && i < aView.Size(); ++i) {
    const auto& report = aView.At(i).report;
    bool isBehind = !report || report->term < aView.CurrentTerm();
    if (isBehind && aView.Members().MayConfirm(i, aNow)) {
      this->fencing.Announce(aView.CurrentTerm(), aNow);
      return;
    }
  }
}

void
Promotion::RequestFences(const HostRoster& aHosts,
                         PromotionActions& aActions,
                         Time aNow)
{
  for (FenceHost& request : this->fencing.Requests(aHosts, aNow)) {
    aActions.push_back(std::move(request));
  }
}

/**
 * Asks each held replica, the candidate too, whether it is still held: at once
 * in a new phase, then at intervals. Nobody is asked who is no member any more.
 */
void
Promotion::RequestHeldReports(const ServiceView& aView,
                              PromotionActions& aActions,
                              Time aNow)
{
  for (const auto& [upstream, replica] : this->held) {
    Time last = this->lastAskedAt[upstream];
    bool isDue = last < this->phaseSince || aNow - last >= kHoldCheckInterval;
    if (isDue && !aView.At(upstream).reportRequestOpen &&
        this->MustBeHeld(aView, upstream, aNow)) {
      this->lastAskedAt[upstream] = aNow;
      aActions.push_back(UpstreamCommand{ upstream });
    }
  }
}

/**
 * Whether each held replica has reported that it is held once more, since all
 * were held. One that cannot be reached is not waited for: see
 * `FindDoubtfulHold`.
 */
bool
Promotion::AreHoldsVerified(const ServiceView& aView, Time aNow) const
{
  for (const auto& [upstream, replica] : this->held) {
    bool isAwaited = this->MustBeHeld(aView, upstream, aNow) &&
                     aView.At(upstream).failures == 0;
    if (isAwaited && !replica.isVerified) {
      return false;
    }
  }
  return true;
}

/**
 * A held replica, other than the candidate, that cannot be reached. It may
 * restart and confirm commits before it can be held again.
 */
std::optional<UpstreamIndex>
Promotion::FindDoubtfulHold(const ServiceView& aView) const
{
  for (const auto& [upstream, replica] : this->held) {
    if (this->candidate != upstream && aView.At(upstream).failures > 0) {
      return upstream;
    }
  }
  return std::nullopt;
}

/**
 * Lets the candidate, for which the promotion was ordered, receive log from the
 * old primary again, because the upstream may confirm commits.
 */
void
Promotion::ReleaseCandidate(UpstreamIndex aUpstream,
                            HoldLoss aLoss,
                            PromotionActions& aActions,
                            Time aNow)
{
  if (!this->holdsCandidate) {
    return;
  }
  this->holdsCandidate = false;
  this->candidateReleasedAt = aNow;
  this->held.erase(*this->candidate);
  this->lastAskedAt.erase(*this->candidate);
  aActions.push_back(CandidateReleased{ *this->candidate, aUpstream, aLoss });
}

/** Repeats the command until the candidate reports that it is not held. */
void
Promotion::ResumeCandidate(PromotionActions& aActions, Time aNow)
{
  bool isDue = this->lastAskedAt.count(*this->candidate) == 0 ||
               aNow - this->lastAskedAt[*this->candidate] >= kHoldCheckInterval;
  if (this->candidateReleasedAt && isDue) {
    this->lastAskedAt[*this->candidate] = aNow;
    aActions.push_back(
      UpstreamCommand{ *this->candidate, StatementKind::Resume });
  }
}

/** Notes whether the upstream's report shows that it is held. */
void
Promotion::NoteHold(const ServiceView& aView,
                    UpstreamIndex aUpstream,
                    const UpstreamReport& aReport,
                    PromotionActions& aActions,
                    Time aNow)
{
  Time asked = aView.At(aUpstream).reportAsked;
  bool isHeld = aReport.role == Role::Replica && aReport.held >= this->term;
  if (isHeld) {
    if (this->MustBeHeld(aView, aUpstream, aNow)) {
      bool isVerified =
        this->phase != PromotionPhase::Holding && asked >= this->phaseSince;
      this->held[aUpstream] = { aReport.logEnd, asked, isVerified };
    }
    return;
  }
  if (this->candidate == aUpstream && this->candidateReleasedAt &&
      asked >= *this->candidateReleasedAt) {
    this->candidateReleasedAt.reset();
  }
  // An upstream that follows the new term needs no hold any more. A report may
  // be older than the hold.
  auto found = this->held.find(aUpstream);
  bool isLost = found != this->held.end() && asked >= found->second.asked &&
                aReport.role == Role::Replica && aReport.term < this->term;
  if (!isLost) {
    return;
  }
  this->held.erase(found);
  this->lastAskedAt.erase(aUpstream);
  if (this->IsOrdered()) {
    this->ReleaseCandidate(aUpstream, HoldLoss::Reported, aActions, aNow);
  }
}

} // namespace marigoldpitch
