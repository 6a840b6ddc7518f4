#include "marigoldpitch/coordination/proxy/service-view.h"

#include <algorithm>

// Which commits a host may send, and acknowledge to its callers.

namespace marigoldpitch {

namespace detail {

// A commit is usually acknowledged within this time after it was sent.
constexpr Duration kCommitTime = Millis(150);

} // namespace detail

/** Whether this process is new, and an upstream is held for a later term. */
bool
ServiceView::MayHaveLostFence(Time aNow) const
{
  bool isNew = aNow - this->storeFirstSeenAt < kFenceValidity;
  return isNew && std::any_of(this->upstreams.begin(),
                              this->upstreams.end(),
                              [this](const ProxyUpstream& aOne) {
                                return aOne.report &&
                                       aOne.report->held > this->term;
                              });
}

/** Whether nothing shows that a promotion to a higher term may be ordered. */
bool
ServiceView::IsTermOpen(Term aTerm, Time aNow) const
{
  return aTerm >= this->term && !this->fence.HidesCommitsOf(aTerm, aNow) &&
         !this->MayHaveLostFence(aNow);
}

/**
 * Whether each promoter knows of this host, so that it fences it or waits for
 * it, or nobody can promote.
 */
bool
ServiceView::IsKnownToPromoters(Time aNow) const
{
  if (!this->requiresReplicaConfirmation) {
    return true;
  }
  bool isRegistered = aNow < this->registration.until &&
                      aNow - this->registration.since >= kRegistrationSpread;
  // Without a record of the group nobody promotes.
  bool isKnown = isRegistered || this->members.HasNoRecord();
  return isKnown && aNow - this->storeSeenAt < kCommitLease;
}

bool
ServiceView::MayAcknowledge(Term aTerm, Time aNow) const
{
  return this->IsTermOpen(aTerm, aNow) && this->IsKnownToPromoters(aNow);
}

/**
 * A replica that is held gets no more log entries, so it is not waited for; if
 * it has the commit, the log that is promoted has it as well.
 */
CommitRight
ServiceView::RightByReplica(const LogPoint& aCommit, Time aNow) const
{
  if (!this->IsTermOpen(aCommit.term, aNow)) {
    return CommitRight::Denied;
  }
  CommitRight right = CommitRight::Denied;
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    const auto& report = this->upstreams[i].report;
    bool mayReport = this->members.IsRecorded(i) && this->primary != i;
    bool hasCommit = mayReport && report && report->role == Role::Replica &&
                     !report->logEnd.IsBehind(aCommit) &&
                     !this->MayLackCommits(i);
    if (hasCommit) {
      return CommitRight::Granted;
    }
    bool isHeld = report && report->held > this->term;
    right = mayReport && !isHeld ? CommitRight::AwaitsReplica : right;
  }
  return right;
}

bool
ServiceView::HasLongerLog(UpstreamIndex aUpstream, UpstreamIndex aOther) const
{
  const auto& report = this->upstreams[aUpstream].report;
  const auto& other = this->upstreams[aOther].report;
  return report && (!other || other->logEnd.IsBehind(report->logEnd));
}

bool
ServiceView::MaySendCommits(Time aNow) const
{
  Time answered = aNow + detail::kCommitTime;
  bool hasRight = this->MayAcknowledge(this->term, aNow) &&
                  this->MayAcknowledge(this->term, answered);
  // A replica that was not held a moment ago is likely to report the commit.
  bool hasReplica = this->IsTermOpen(this->term, answered) &&
                    answered - this->memberProofAsked < kPrimaryProofValidity;
  return !this->IsFenced(aNow) && (hasRight || hasReplica);
}

void
ServiceView::NoteAcknowledgedCommit(UpstreamIndex aUpstream,
                                    const LogPoint& aEnd,
                                    Time aAsked,
                                    Time aNow)
{
  this->lastAcknowledged = aNow;
  if (this->highestAcknowledged.IsBehind(aEnd)) {
    this->highestAcknowledged = aEnd;
  }
  if (this->primary == aUpstream && aEnd.term == this->term) {
    this->ApplyProof(aAsked, aNow);
  }
}

} // namespace marigoldpitch
