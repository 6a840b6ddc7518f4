#include "marigoldpitch/coordination/proxy/promotion.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr Duration kCommitStallTimeout = Millis(900);
constexpr Duration kUnknownPrimaryTimeout = Millis(2000);
constexpr Duration kCatchUpTimeout = Millis(400);
constexpr Duration kOrderRetryInterval = Millis(700);

constexpr Duration kConfirmTimeout = Seconds(3);
constexpr Duration kAttemptLimit = Seconds(15);
constexpr Duration kMissingCommitsTimeout = Millis(400);
constexpr Duration kMissingCommitsPause = Millis(1500);
constexpr Duration kAttemptPause = Millis(500);

} // namespace detail

/**
 * Why the primary has to be replaced, or unset if it need not be:
 *
 * - every member has reported or `IsFailingLong`, and no primary has been known
 *   for `kUnknownPrimaryTimeout`;
 * - the primary is silent, see `ServiceView::IsSilent`;
 * - the primary has announced its shutdown;
 * - the registry shows that the primary is gone, although it may still answer;
 * - the primary answers, but no commit has been acknowledged for
 *   `kCommitStallTimeout` while commits wait for an answer, or its log has not
 *   reached any other member for as long.
 */
std::optional<PromotionReason>
Promotion::FindReason(const ServiceView& aView, Time aNow) const
{
  auto primary = aView.Primary();
  if (!primary) {
    bool hasTimedOut =
      aNow - this->primaryUnknownSince >= detail::kUnknownPrimaryTimeout &&
      HaveAllReportedOrFailed(aView, aNow);
    return hasTimedOut ? std::make_optional(PromotionReason::PrimaryUnknown)
                       : std::nullopt;
  }
  const ProxyUpstream& upstream = aView.At(*primary);
  if (aView.IsSilent(*primary, aNow)) {
    return PromotionReason::PrimarySilent;
  }
  if (upstream.registration.leaving) {
    return PromotionReason::PrimaryLeaving;
  }
  if (aView.IsGone(*primary)) {
    return PromotionReason::PrimaryUnlisted;
  }
  // A primary that is only slow still acknowledges commits.
  bool answers = aNow - upstream.lastAnswer <= kFailureTimeout;
  Duration stall =
    std::max(aView.CommitStall(aNow), aView.ReplicationStall(aNow));
  if (answers && stall >= detail::kCommitStallTimeout) {
    return PromotionReason::CommitsStalled;
  }
  return std::nullopt;
}

/** Whether each member has reported or `IsFailingLong`. */
bool
Promotion::HaveAllReportedOrFailed(const ServiceView& aView, Time aNow)
{
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    const ProxyUpstream& upstream = aView.At(i);
    bool hasTimedOut = aView.IsFailingLong(i, aNow);
    bool mayConfirm = aView.Members().MayConfirm(i, aNow);
    if (mayConfirm && !upstream.report && !hasTimedOut) {
      return false;
    }
  }
  return true;
}

/**
 * Whether the reason for the promotion has passed. False from the order on: a
 * primary that has recovered stays the primary only before the order.
 */
bool
Promotion::IsNoLongerNeeded(const ServiceView& aView, Time aNow) const
{
  // While the fences are closed nobody sends commits, so a stall cannot show.
  // It has passed only if the primary has acknowledged one since.
  bool isStallHidden = this->reason == PromotionReason::CommitsStalled &&
                       this->IsFencing() &&
                       aView.LastAcknowledged() < this->startedAt;
  return !this->IsOrdered() && !isStallHidden && !this->FindReason(aView, aNow);
}

Time
Promotion::LastOrderExpiresAt() const
{
  return this->lastOrder + kOrderExpiry;
}

PromotionActions
Promotion::Update(const ServiceView& aView,
                  const HostRoster& aHosts,
                  bool aMayPromote,
                  Time aNow)
{
  PromotionActions actions;
  this->DropFences(aMayPromote, aNow);
  this->AnnounceTerm(aView, aMayPromote, aNow);
  this->RequestFences(aHosts, actions, aNow);
  if (aView.Primary()) {
    this->primaryUnknownSince = kInfiniteFuture;
  } else if (this->primaryUnknownSince == kInfiniteFuture) {
    this->primaryUnknownSince = aNow;
  }
  if (!this->IsRunning()) {
    auto need = this->FindReason(aView, aNow);
    bool mayStart = aMayPromote && aNow >= this->nextAttempt && need &&
                    aView.Members().IsKnown(aNow) &&
                    aView.Members().IsRecordSpread(aNow) &&
                    aView.CurrentTerm() != 0 && BestReplica(aView, aNow);
    if (!mayStart) {
      return actions;
    }
    this->Start(aView, *need, aNow);
  }
  // Once the platform has accepted the order, the attempt goes on without the
  // lease.
  bool mustContinue = this->phase == PromotionPhase::Confirming;
  PromotionOutcome end = PromotionOutcome::None;
  if (!aMayPromote && !mustContinue) {
    end = PromotionOutcome::LeaseLost;
  } else if (this->IsNoLongerNeeded(aView, aNow)) {
    end = PromotionOutcome::NotNeeded;
  } else if (aNow - this->startedAt > detail::kAttemptLimit) {
    end = PromotionOutcome::TimedOut;
  }
  if (end != PromotionOutcome::None) {
    this->Abort(end, actions, aNow);
    return actions;
  }
  this->Advance(aView, aHosts, actions, aNow);
  return actions;
}

void
Promotion::Start(const ServiceView& aView, PromotionReason aReason, Time aNow)
{
  this->reason = aReason;
  this->outcome = PromotionOutcome::None;
  this->term = aView.CurrentTerm() + 1;
  this->oldPrimary = aView.Primary();
  bool isPlanned = aReason == PromotionReason::PrimaryLeaving ||
                   aReason == PromotionReason::PrimaryUnlisted;
  this->holdsCandidate = !isPlanned;
  this->candidateReleasedAt.reset();
  this->candidate.reset();
  if (!this->holdsCandidate) {
    this->candidate = BestReplica(aView, aNow);
  }
  this->held.clear();
  this->lastAskedAt.clear();
  this->unheldAtStart.clear();
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    const ProxyUpstream& upstream = aView.At(i);
    if (upstream.report && upstream.report->held < this->term) {
      this->unheldAtStart.insert(i);
    }
  }
  this->Enter(PromotionPhase::Holding, aNow);
  this->startedAt = aNow;
}

/** The usable, listed replica with the longest known log. */
std::optional<UpstreamIndex>
Promotion::BestReplica(const ServiceView& aView, Time aNow)
{
  std::optional<UpstreamIndex> best;
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    const ProxyUpstream& upstream = aView.At(i);
    bool isReplica = aView.Members().IsListed(i) && aView.Primary() != i &&
                     upstream.report && upstream.report->role == Role::Replica;
    if (!isReplica || !aView.IsUsable(i, aNow)) {
      continue;
    }
    bool isBetter =
      !best || aView.At(*best).report->logEnd.IsBehind(upstream.report->logEnd);
    best = isBetter ? i : best;
  }
  return best;
}

/**
 * Whether a log that ends at `aPoint` contains every acknowledged commit. It
 * must reach the highest commit that this proxy or a fenced host has
 * acknowledged, and at most
 * one member may be unaccounted for. Each acknowledged commit is in the logs of
 * two members. So if only one member, such as the old primary, is unaccounted
 * for, another member with that commit is accounted for.
 *
 * A member is accounted for if it is held, if it is the candidate that is not
 * held, or if `CoversCommitsOf` is true for it. A member that may have lost its
 * log is not.
 */
bool
Promotion::ContainsAllCommits(const ServiceView& aView,
                              const LogPoint& aPoint,
                              Time aNow) const
{
  if (aPoint.IsBehind(aView.HighestAcknowledged()) ||
      aPoint.IsBehind(this->fencing.HighestAcknowledged())) {
    return false;
  }
  size_t unaccounted = 0;
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    bool isUnheldCandidate = !this->holdsCandidate && this->candidate == i;
    bool isHeldOrCandidate = this->held.count(i) != 0 || isUnheldCandidate;
    bool isAccountedFor = (isHeldOrCandidate && !aView.MayLackCommits(i)) ||
                          aView.CoversCommitsOf(i, aPoint);
    bool isUnaccounted = aView.Members().MayConfirm(i, aNow) && !isAccountedFor;
    unaccounted += isUnaccounted ? 1 : 0;
  }
  return unaccounted <= 1;
}

void
Promotion::Enter(PromotionPhase aPhase, Time aNow)
{
  this->phase = aPhase;
  this->phaseSince = aNow;
}

/**
 * Performs the current phase and enters the next one when its condition is met:
 *
 * - `Holding` ends when `AreAllHeld`. With a candidate that is held as well,
 *   `Fencing` follows, else `Verifying`.
 * - `Fencing` ends when the fencing round is complete; `Verifying` follows.
 * - `Verifying` ends when `AreHoldsVerified` and, if the candidate is held as
 *   well, `ContainsAllCommits` for the longest log of a held replica, which
 *   becomes the candidate. With a candidate that is not held, `CatchingUp`
 *   follows.
 * - `CatchingUp` ends when the candidate's log is not behind the log of any
 *   held replica and `ContainsAllCommits` is true for it. Then the hosts are
 *   fenced, and the phases from `Verifying` on are repeated once.
 * - `Ordering` repeats the order until the platform answers it.
 * - `Confirming` ends when the candidate reports that it is the primary.
 *
 * All phases between `Holding` and `Ordering` go back to `Holding` when not
 * `AreAllHeld`.
 */
void
Promotion::Advance(const ServiceView& aView,
                   const HostRoster& aHosts,
                   PromotionActions& aActions,
                   Time aNow)
{
  if (!this->IsOrdered() && !this->AreAllHeld(aView, aNow)) {
    if (this->phase != PromotionPhase::Holding) {
      this->Enter(PromotionPhase::Holding, aNow);
    }
    this->RequestHolds(aView, aActions, aNow);
    return;
  }
  if (this->phase == PromotionPhase::Holding) {
    if (this->holdsCandidate) {
      this->StartFencing(aNow);
    } else {
      this->StartVerifying(aNow);
    }
  }
  if (this->phase == PromotionPhase::Fencing) {
    this->AdvanceFencing(aView, aHosts, aActions, aNow);
  }
  if (this->phase == PromotionPhase::Verifying) {
    this->AdvanceVerifying(aView, aActions, aNow);
  }
  if (this->phase == PromotionPhase::CatchingUp) {
    this->AdvanceCatchingUp(aView, aHosts, aActions, aNow);
  }
  if (this->IsOrdered()) {
    this->AdvanceOrdered(aView, aHosts, aActions, aNow);
  }
}

void
Promotion::AdvanceFencing(const ServiceView& aView,
                          const HostRoster& aHosts,
                          PromotionActions& aActions,
                          Time aNow)
{
  this->RequestHeldReports(aView, aActions, aNow);
  this->RequestFences(aHosts, aActions, aNow);
  if (this->fencing.IsComplete(aHosts, aView.ListedUntil(), aNow)) {
    this->StartVerifying(aNow);
  }
}

void
Promotion::AdvanceVerifying(const ServiceView& aView,
                            PromotionActions& aActions,
                            Time aNow)
{
  this->RequestHeldReports(aView, aActions, aNow);
  if (!this->AreHoldsVerified(aView, aNow)) {
    return;
  }
  if (!this->holdsCandidate) {
    this->Enter(PromotionPhase::CatchingUp, aNow);
    return;
  }
  if (!this->ContainsAllCommits(aView, this->LongestHeldLogEnd(), aNow)) {
    // Abort, so that the replicas are resumed. A member that has the missing
    // commits may come back as the primary, and then needs replicas that
    // confirm its commits.
    if (aNow - this->phaseSince >= detail::kMissingCommitsTimeout) {
      this->Abort(PromotionOutcome::CommitsMissing, aActions, aNow);
      this->nextAttempt = aNow + detail::kMissingCommitsPause;
    }
    return;
  }
  this->ChooseLongestLog(aView);
  if (!this->candidate) {
    this->Abort(PromotionOutcome::NoCandidate, aActions, aNow);
    return;
  }
  this->Enter(PromotionPhase::Ordering, aNow);
}

void
Promotion::AdvanceCatchingUp(const ServiceView& aView,
                             const HostRoster& aHosts,
                             PromotionActions& aActions,
                             Time aNow)
{
  this->RequestHeldReports(aView, aActions, aNow);
  const ProxyUpstream& upstream = aView.At(*this->candidate);
  bool containsAll =
    upstream.report && upstream.reportAsked >= this->phaseSince &&
    !upstream.report->logEnd.IsBehind(this->LongestHeldLogEnd()) &&
    this->ContainsAllCommits(aView, upstream.report->logEnd, aNow);
  if (containsAll && this->IsFencing()) {
    this->Enter(PromotionPhase::Ordering, aNow);
  } else if (containsAll) {
    this->StartFencing(aNow);
    this->AdvanceFencing(aView, aHosts, aActions, aNow);
  } else if (aNow - this->phaseSince >= detail::kCatchUpTimeout) {
    // The candidate does not catch up: hold it too and choose the replica with
    // the longest log.
    this->holdsCandidate = true;
    this->Enter(PromotionPhase::Holding, aNow);
  } else if (!upstream.reportRequestOpen) {
    aActions.push_back(UpstreamCommand{ *this->candidate });
  }
}

/** Orders the promotion and waits for its effect. */
void
Promotion::AdvanceOrdered(const ServiceView& aView,
                          const HostRoster& aHosts,
                          PromotionActions& aActions,
                          Time aNow)
{
  this->RequestFences(aHosts, aActions, aNow);
  if (auto doubtful = this->FindDoubtfulHold(aView)) {
    this->ReleaseCandidate(*doubtful, HoldLoss::Unreachable, aActions, aNow);
  }
  this->ResumeCandidate(aActions, aNow);
  // Upstreams that registered meanwhile must not confirm commits either.
  this->RequestHolds(aView, aActions, aNow);
  this->RequestHeldReports(aView, aActions, aNow);
  if (this->phase == PromotionPhase::Ordering && aNow >= this->nextOrder) {
    this->nextOrder = aNow + detail::kOrderRetryInterval;
    this->lastOrder = aNow;
    aActions.push_back(OrderPromotion{ *this->candidate });
    return;
  }
  if (this->phase != PromotionPhase::Confirming) {
    return;
  }
  const auto& report = aView.At(*this->candidate).report;
  bool isPromoted =
    report && report->role == Role::Primary && report->term >= this->term;
  if (isPromoted) {
    this->Finish(aView, aHosts, aActions, aNow);
  } else if (aNow - this->phaseSince >= detail::kConfirmTimeout) {
    this->Enter(PromotionPhase::Ordering, aNow);
  } else if (aNow - this->lastAskedAt[*this->candidate] >= kHoldCheckInterval) {
    this->lastAskedAt[*this->candidate] = aNow;
    aActions.push_back(UpstreamCommand{ *this->candidate });
  }
}

PromotionActions
Promotion::Answered(const ServiceView& aView,
                    const HostRoster& aHosts,
                    UpstreamIndex aUpstream,
                    const UpstreamReport& aReport,
                    Time aNow)
{
  PromotionActions actions;
  if (!this->IsRunning()) {
    return actions;
  }
  this->NoteHold(aView, aUpstream, aReport, actions, aNow);
  this->Advance(aView, aHosts, actions, aNow);
  return actions;
}

PromotionActions
Promotion::FenceReplied(const ServiceView& aView,
                        const HostRoster& aHosts,
                        const std::string& aHost,
                        const FenceReply& aReply,
                        Time aNow)
{
  PromotionActions actions;
  this->fencing.Replied(aHost, aReply);
  // Without all replies, the next update looks whether they are needed.
  if (this->phase == PromotionPhase::Fencing &&
      this->fencing.Replies() >= aHosts.Hosts().size()) {
    this->Advance(aView, aHosts, actions, aNow);
  }
  return actions;
}

void
Promotion::OrderAnswered(bool aIsAccepted, Time aNow)
{
  if (this->phase != PromotionPhase::Ordering) {
    return;
  }
  if (aIsAccepted) {
    this->Enter(PromotionPhase::Confirming, aNow);
    return;
  }
  // The candidate is not running. Start over: hold all replicas again, and
  // forget the log ends that they reported.
  this->held.clear();
  this->lastAskedAt.clear();
  this->holdsCandidate = true;
  this->candidateReleasedAt.reset();
  this->Enter(PromotionPhase::Holding, aNow);
}

void
Promotion::Abort(PromotionOutcome aOutcome,
                 PromotionActions& aActions,
                 Time aNow)
{
  this->outcome = aOutcome;
  // After an order the candidate may still become the primary, so no replica is
  // resumed. Replicas that were held before this attempt stay held: another
  // promoter may have held them for a promotion that took effect.
  bool mayResume = this->lastOrder < this->startedAt;
  for (const auto& [upstream, replica] : this->held) {
    if (mayResume && this->unheldAtStart.count(upstream) != 0) {
      aActions.push_back(UpstreamCommand{ upstream, StatementKind::Resume });
    }
  }
  // A host that has lost the lease leaves the fences to its successor, and an
  // order of an earlier attempt may still take effect.
  bool mayReopen = mayResume && aOutcome != PromotionOutcome::LeaseLost &&
                   aNow - this->lastOrder >= kFenceValidity;
  if (mayReopen) {
    this->fencing.Reopen(aNow);
  }
  this->phase = PromotionPhase::Idle;
  this->nextAttempt = aNow + detail::kAttemptPause;
}

void
Promotion::Finish(const ServiceView& aView,
                  const HostRoster& aHosts,
                  PromotionActions& aActions,
                  Time aNow)
{
  bool isMember =
    this->oldPrimary && aView.Members().MayConfirm(*this->oldPrimary, aNow);
  if (isMember) {
    aActions.push_back(
      UpstreamCommand{ *this->oldPrimary, StatementKind::Demote, this->term });
  }
  this->outcome = PromotionOutcome::Succeeded;
  this->fencing.NoteTermBegan(
    aView.At(*this->candidate).report->term, aHosts, aNow);
  this->phase = PromotionPhase::Idle;
  this->nextAttempt = aNow + detail::kAttemptPause;
}

} // namespace marigoldpitch
