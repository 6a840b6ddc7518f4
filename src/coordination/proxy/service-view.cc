#include "marigoldpitch/coordination/proxy/service-view.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr size_t kMaxUnprovedSamples = 64;
// A proof that is valid for this long covers just the time of its request.
constexpr Duration kClockUnit = Millis(1);

} // namespace detail

void
ServiceView::ApplyReport(UpstreamIndex aUpstream,
                         const UpstreamReport& aReport,
                         Time aAsked,
                         Time aNow)
{
  ProxyUpstream& upstream = this->upstreams[aUpstream];
  // A log is cut back only by a new term.
  bool isShorter = upstream.report && aReport.term <= upstream.report->term &&
                   aReport.logEnd.IsBehind(upstream.report->logEnd);
  if (isShorter && aAsked <= upstream.reportAsked) {
    return; // overtaken on another connection
  }
  if (isShorter) {
    this->members.NoteLostLog(aUpstream, aNow);
  }
  upstream.report = aReport;
  upstream.reportAsked = aAsked;
  this->NoteCompleteLogs(aNow);
  this->SampleAllButOne(aNow);
  if (aReport.role == Role::Primary) {
    // Within a term, a primary replaces one that is unknown, unlisted or
    // failing.
    bool isSuccessor =
      aReport.term == this->term &&
      (!this->primary || this->IsUnlistedOrFailing(*this->primary));
    if (aReport.term > this->term || isSuccessor) {
      this->SetPrimary(aUpstream, aReport.term, aNow);
    }
    if (this->primary == aUpstream) {
      this->NoteLogEnd(aReport.logEnd, aAsked);
    }
    return;
  }
  if (this->primary == aUpstream) {
    this->NoteNoLongerPrimary(aUpstream);
  }
  if (aReport.term > this->term) {
    // A newer term has begun. Its primary is not known here yet.
    this->primary.reset();
    this->StartTerm(aReport.term);
    this->RequestAllReports();
  }
  if (aReport.held <= this->term) {
    this->NoteNotHeld(aUpstream, aAsked, aNow);
  }
  bool isConfirmed = this->unconfirmedLogEnd &&
                     !aReport.logEnd.IsBehind(this->unconfirmedLogEnd->point);
  if (isConfirmed) {
    this->unconfirmedLogEnd.reset();
  }
}

/**
 * The replica is not held for a higher term. A promoter may not know one that
 * is not recorded, and orders a promotion without holding it. Then its report
 * proves nothing, unless this host may acknowledge commits itself, which shows
 * that no promotion was ordered.
 */
void
ServiceView::NoteNotHeld(UpstreamIndex aUpstream, Time aAsked, Time aNow)
{
  if (this->members.IsRecorded(aUpstream)) {
    this->memberProofAsked = std::max(this->memberProofAsked, aAsked);
    this->ApplyProof(aAsked, aNow);
  } else if (this->MayAcknowledge(this->term, aNow)) {
    this->ApplyProof(aAsked, aNow);
  }
}

/**
 * The log end at which the term began shows no commit, so only a later one can
 * be missing elsewhere.
 */
void
ServiceView::NoteLogEnd(const LogPoint& aEnd, Time aAsked)
{
  if (!this->firstLogEnd) {
    this->firstLogEnd = aEnd;
  } else if (!this->unconfirmedLogEnd && this->firstLogEnd->IsBehind(aEnd)) {
    this->unconfirmedLogEnd = { aAsked, aEnd };
  }
}

/**
 * Adds a sample, without knowing the primary, from the reports of all members
 * but one. A commit is acknowledged only when the logs of two members contain
 * it. So among any n - 1 of the n members, whichever of them is the primary, at
 * least one log contains each commit that was acknowledged before the first of
 * their reports was requested. The highest log end of these n - 1, by term and
 * then by position, covers all those commits, unless a member of a lower term
 * has a longer log; then there is no sample.
 *
 * Requires a known group with at least two members, and reports of at least
 * n - 1 of them; the n - 1 newest reports are used. `asked` lists the members
 * that have reported. The report of a member that may have lost its log says
 * nothing of what it has confirmed, so it does not count.
 *
 * An upstream that is not known yet may be another member, so the sample is
 * used only once it is settled.
 */
void
ServiceView::SampleAllButOne(Time aNow)
{
  if (!this->requiresReplicaConfirmation || !this->members.IsKnown(aNow)) {
    return;
  }
  std::vector<const ProxyUpstream*> asked;
  size_t memberCount = 0;
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    const ProxyUpstream& upstream = this->upstreams[i];
    bool mayConfirm = this->members.MayConfirm(i, aNow);
    memberCount += mayConfirm ? 1 : 0;
    if (mayConfirm && upstream.report && !this->MayLackCommits(i)) {
      asked.push_back(&upstream);
    }
  }
  if (memberCount < 2 || asked.size() + 1 < memberCount) {
    return;
  }
  std::sort(asked.begin(), asked.end(), [](const auto* aOne, const auto* aTwo) {
    return aTwo->reportAsked < aOne->reportAsked;
  });
  asked.resize(memberCount - 1);
  LogPoint highest;
  Position longest = 0;
  for (const ProxyUpstream* upstream : asked) {
    const LogPoint& point = upstream->report->logEnd;
    highest = highest.IsBehind(point) ? point : highest;
    longest = std::max(longest, point.position);
  }
  if (highest.position < longest) {
    // The member in the highest term has not received all of that term's log
    // yet.
    return;
  }
  this->unsettledSamples.Add(
    { highest,
      asked.back()->reportAsked,
      { SampleSource::Quorum, asked.size(), memberCount } });
}

bool
ServiceView::MayLackCommits(UpstreamIndex aUpstream) const
{
  if (this->members.HasLostLog(aUpstream)) {
    return true;
  }
  const auto& report = this->upstreams[aUpstream].report;
  if (!this->members.HasUnverifiedLog(aUpstream) || !report) {
    return false;
  }
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    const auto& other = this->upstreams[i].report;
    bool isAhead = other && report->logEnd.IsBehind(other->logEnd);
    if (isAhead && !this->members.HasUnverifiedLog(i)) {
      return true;
    }
  }
  return false;
}

/**
 * Marks the logs of restarted members that now contain all that the primary had
 * at a time after the restart: every commit that such a member had confirmed
 * before it. The primary must be proved at that time.
 */
void
ServiceView::NoteCompleteLogs(Time aNow)
{
  if (!this->primary ||
      !this->IsPrimaryProvedAt(this->primaryLogEnd.asked, aNow)) {
    return;
  }
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    if (!this->members.HasUnverifiedLog(i)) {
      continue;
    }
    const ProxyUpstream& upstream = this->upstreams[i];
    Time since = this->members.UnverifiedSince(i);
    bool isReported = upstream.report && upstream.reportAsked >= since &&
                      upstream.report->term == this->term;
    bool hasAll = isReported && this->primaryLogEnd.asked >= since &&
                  !upstream.report->logEnd.IsBehind(this->primaryLogEnd.point);
    if (hasAll) {
      this->members.NoteCompleteLog(i);
    }
  }
}

/** Requests the reports that `NoteCompleteLogs` needs of the upstream. */
void
ServiceView::RequestReportIfUnverified(UpstreamIndex aUpstream)
{
  if (this->members.HasUnverifiedLog(aUpstream)) {
    this->upstreams[aUpstream].reportWanted = true;
    if (this->primary) {
      this->upstreams[*this->primary].reportWanted = true;
    }
  }
}

bool
ServiceView::CoversCommitsOf(UpstreamIndex aUpstream,
                             const LogPoint& aPoint) const
{
  bool isLeaving = this->upstreams[aUpstream].registration.leaving;
  Duration span = isLeaving ? kLeavingMemberTimeout : kCrashedMemberTimeout;
  return this->primaryLogEnd.asked >=
           this->UnlistedAndFailingSince(aUpstream) + span &&
         !aPoint.IsBehind(this->primaryLogEnd.point);
}

bool
ServiceView::IsTermUnused(Term aTerm, Time aSince, Time aNow) const
{
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    const ProxyUpstream& upstream = this->upstreams[i];
    bool isBelow = upstream.report && upstream.reportAsked >= aSince &&
                   upstream.report->term < aTerm;
    bool isNotExpectedBack =
      aNow - this->UnlistedAndFailingSince(i) >= kCrashedMemberTimeout;
    if (this->members.MayConfirm(i, aNow) && !isBelow && !isNotExpectedBack) {
      return false;
    }
  }
  return true;
}

void
ServiceView::RequestReportsSince(Time aTime)
{
  for (ProxyUpstream& upstream : this->upstreams) {
    upstream.reportWanted =
      upstream.reportWanted || upstream.reportAsked < aTime;
  }
}

void
ServiceView::SetPrimary(UpstreamIndex aUpstream, Term aTerm, Time aNow)
{
  if (aTerm != this->lastPrimaryTerm) {
    // Other proxies may use the old primary until their proofs that it is still
    // the primary expire. Reports of held replicas do not show when the last
    // proof was obtained, since a replica may have restarted or been resumed
    // after its report.
    this->lastPrimaryTerm = aTerm;
    this->primaryUsableFrom =
      aTerm == this->fencedTerm ? aNow : aNow + kPrimaryProofValidity;
  }
  if (aTerm != this->term) {
    this->StartTerm(aTerm);
  }
  if (this->primary != aUpstream) {
    this->unansweredCommits.clear(); // sent to the old primary
  }
  this->primary = aUpstream;
}

void
ServiceView::StartTerm(Term aTerm)
{
  this->term = aTerm;
  this->primaryLogEnd = {};
  this->firstLogEnd.reset();
  this->unconfirmedLogEnd.reset();
  this->unprovedSamples.clear();
  this->newestProofAsked = kInfinitePast;
  this->memberProofAsked = kInfinitePast;
}

void
ServiceView::NoteTermBegan(Term aTerm, bool aAreAllFenced, Time aNow)
{
  if (aAreAllFenced) {
    this->fencedTerm = aTerm;
    bool isKnown = this->lastPrimaryTerm == aTerm;
    this->primaryUsableFrom = isKnown ? std::min(this->primaryUsableFrom, aNow)
                                      : this->primaryUsableFrom;
  }
  if (aTerm <= this->term) {
    return;
  }
  this->primary.reset();
  this->StartTerm(aTerm);
  this->RequestAllReports();
}

void
ServiceView::ApplyLogEnd(UpstreamIndex aUpstream,
                         const LogPoint& aEnd,
                         Time aAsked,
                         Time aNow)
{
  if (aEnd.term > this->term) {
    this->RequestAllReports();
    return;
  }
  if (this->primary != aUpstream || aEnd.term != this->term) {
    return;
  }
  if (this->primaryLogEnd.asked < aAsked) {
    this->primaryLogEnd = { aAsked, aEnd };
  }
  if (this->unprovedSamples.size() == detail::kMaxUnprovedSamples) {
    this->unprovedSamples.pop_front();
  }
  this->unprovedSamples.push_back({ aAsked, aEnd });
  this->PublishProvedSamples(aNow);
}

bool
ServiceView::IsPrimaryProvedAt(Time aTime, Time aNow) const
{
  bool isKnown = this->IsKnownToPromoters(aNow);
  Duration validity = isKnown ? kPrimaryProofValidity : detail::kClockUnit;
  return this->term != 0 && aTime < this->newestProofAsked + validity &&
         aTime < this->fence.ClosedSince(this->term);
}

void
ServiceView::ApplyProof(Time aAsked, Time aNow)
{
  this->newestProofAsked = std::max(this->newestProofAsked, aAsked);
  this->PublishProvedSamples(aNow);
}

void
ServiceView::PublishProvedSamples(Time aNow)
{
  while (!this->unprovedSamples.empty() &&
         this->IsPrimaryProvedAt(this->unprovedSamples.front().asked, aNow)) {
    const Sample& sample = this->unprovedSamples.front();
    // Reports do not say where the term began, so its start is taken to be the
    // sampled position.
    this->samples.Sample(
      sample.asked,
      { sample.point.term, sample.point.position, sample.point.position });
    this->unprovedSamples.pop_front();
  }
}

void
ServiceView::NoteNoLongerPrimary(UpstreamIndex aUpstream)
{
  if (this->primary == aUpstream) {
    this->primary.reset();
  }
  this->RequestAllReports();
}

void
ServiceView::RequestAllReports()
{
  for (ProxyUpstream& upstream : this->upstreams) {
    upstream.reportWanted = true;
  }
}

std::optional<Departure>
ServiceView::TakeFinishedDeparture(UpstreamIndex aUpstream, Time aNow)
{
  Departure departure = this->departures.Of(aUpstream);
  bool hasEnded = !this->members.MayConfirm(aUpstream, aNow) ||
                  this->UnlistedAndFailingSince(aUpstream) != kInfiniteFuture;
  if (!hasEnded || departure.lastStatement == kInfinitePast) {
    return std::nullopt;
  }
  this->departures.ForgetStatement(aUpstream);
  return departure;
}

bool
ServiceView::IsUsable(UpstreamIndex aUpstream, Time aNow) const
{
  return this->departures.MayTakeNewWork(aUpstream, Role::Replica, aNow) &&
         this->upstreams[aUpstream].avoidUntil <= aNow;
}

bool
ServiceView::IsPrimaryUsable(Time aNow) const
{
  if (!this->primary || aNow < this->primaryUsableFrom) {
    return false;
  }
  return !this->HasPrimaryLeft(aNow) && !this->IsFenced(aNow) &&
         this->upstreams[*this->primary].avoidUntil <= aNow;
}

bool
ServiceView::HasPrimaryLeft(Time aNow) const
{
  return this->primary &&
         !this->departures.MayTakeNewWork(*this->primary, Role::Primary, aNow);
}

} // namespace marigoldpitch
