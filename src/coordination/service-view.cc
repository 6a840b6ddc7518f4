#include "marigoldpitch/coordination/service-view.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

// After an outage of the store, an upstream's registration may be missing for a
// while. Beyond this time the upstream gets no new statements.
constexpr Duration kUnlistedGrace = Millis(2500);
constexpr Duration kFirstBackoff = Millis(100);
constexpr Duration kLongestBackoff = Millis(300);
constexpr size_t kMaxUnproved = 64;
// How long an answer shows that this host's outbound path works.
constexpr Duration kPathCheckValidity = Millis(300);
// How long attempts must go unanswered, while the outbound path works, before
// the upstream counts as silent.
constexpr Duration kUnansweredTimeout = Millis(250);

} // namespace detail

std::optional<UpstreamIndex>
ServiceView::Find(const std::string& aId) const
{
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    if (this->upstreams[i].entry.id == aId) {
      return i;
    }
  }
  return std::nullopt;
}

UpstreamIndex
ServiceView::Add(const RegisteredUpstream& aEntry)
{
  ProxyUpstream upstream;
  upstream.entry = aEntry;
  this->upstreams.push_back(upstream);
  this->members.Add();
  return this->upstreams.size() - 1;
}

size_t
ServiceView::List(const std::vector<RegisteredUpstream>& aEntries, Time aNow)
{
  size_t added = 0;
  std::vector<bool> seen(this->upstreams.size(), false);
  for (const RegisteredUpstream& entry : aEntries) {
    auto index = this->Find(entry.id);
    if (!index) {
      index = this->Add(entry);
      seen.push_back(false);
      ++added;
    }
    ProxyUpstream& upstream = this->upstreams[*index];
    bool hasRoleChanged = upstream.entry.role != entry.role;
    upstream.reportWanted = upstream.reportWanted || hasRoleChanged;
    upstream.entry = entry;
    seen[*index] = true;
  }
  for (UpstreamIndex i = 0; i < seen.size(); ++i) {
    this->members.SetListed(i, seen[i], aNow);
  }
  this->NoteReplacements();
  return added;
}

/**
 * Marks each unlisted upstream as replaced if another one is registered at its
 * address: that one has continued its log.
 */
void
ServiceView::NoteReplacements()
{
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    for (UpstreamIndex next = 0; next < this->upstreams.size(); ++next) {
      bool isSame = this->upstreams[i].entry.endpoint ==
                    this->upstreams[next].entry.endpoint;
      if (i != next && isSame && !this->members.IsListed(i) &&
          this->members.IsListed(next)) {
        this->members.SetReplaced(i);
      }
    }
  }
}

size_t
ServiceView::TakeRecord(const GroupRecord& aRecord, Time aNow)
{
  size_t added = 0;
  std::vector<UpstreamIndex> indices;
  for (const GroupMember& member : aRecord.members) {
    auto index = this->Find(member.id);
    if (!index) {
      RegisteredUpstream entry;
      entry.id = member.id;
      entry.service = aRecord.service;
      entry.endpoint = member.endpoint;
      entry.zone = member.zone;
      index = this->Add(entry);
      ++added;
    }
    indices.push_back(*index);
  }
  this->members.TakeRecord(aRecord.revision, indices, aNow);
  this->NoteReplacements();
  return added;
}

void
ServiceView::ApplyReport(UpstreamIndex aUpstream,
                         const UpstreamReport& aReport,
                         Time aAsked,
                         Time aNow)
{
  ProxyUpstream& upstream = this->upstreams[aUpstream];
  upstream.report = aReport;
  upstream.reportAsked = aAsked;
  this->SampleQuorum(aNow);
  if (aReport.role == Role::Primary) {
    // Within a term, a primary replaces one that is unknown, unlisted or
    // failing.
    bool succeeds = aReport.term == this->term &&
                    (!this->primary || this->IsLost(*this->primary));
    if (aReport.term > this->term || succeeds) {
      this->SetPrimary(aUpstream, aReport.term, aNow);
    }
    return;
  }
  if (this->primary == aUpstream) {
    this->NoteLeadershipLost(aUpstream);
  }
  if (aReport.term > this->term) {
    // A newer term has begun. Its primary is not known here yet.
    this->primary.reset();
    this->StartTerm(aReport.term);
    this->RequestAllReports();
  }
  if (aReport.held <= this->term) {
    this->Prove(aAsked);
  }
  this->NoteHolds(aNow);
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
 * that have reported.
 */
void
ServiceView::SampleQuorum(Time aNow)
{
  if (!this->requiresReplicaAck || !this->members.IsKnown()) {
    return;
  }
  std::vector<const ProxyUpstream*> asked;
  size_t all = 0;
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    const ProxyUpstream& upstream = this->upstreams[i];
    bool mayConfirm = this->members.MayConfirm(i, aNow);
    all += mayConfirm ? 1 : 0;
    if (mayConfirm && upstream.report) {
      asked.push_back(&upstream);
    }
  }
  if (all < 2 || asked.size() + 1 < all) {
    return;
  }
  std::sort(asked.begin(), asked.end(), [](const auto* aOne, const auto* aTwo) {
    return aTwo->reportAsked < aOne->reportAsked;
  });
  asked.resize(all - 1);
  LogPoint highest;
  Position longest = 0;
  for (const ProxyUpstream* upstream : asked) {
    const LogPoint& point = upstream->report->received;
    highest = highest.IsBehind(point) ? point : highest;
    longest = std::max(longest, point.position);
  }
  if (highest.position < longest) {
    // The member in the highest term has not received all of that term's log
    // yet.
    return;
  }
  // Reports do not say where the term began, so its start is taken to be the
  // sampled position.
  this->samples.Sample(asked.back()->reportAsked,
                       { highest.term, highest.position, highest.position },
                       { SampleSource::Quorum, asked.size(), all });
}

bool
ServiceView::IsUnheard(UpstreamIndex aUpstream, Time aNow) const
{
  return aNow - this->upstreams[aUpstream].failingSince >= kSilenceTimeout;
}

bool
ServiceView::IsMissing(UpstreamIndex aUpstream, Time aNow) const
{
  return !this->members.IsListed(aUpstream) && this->IsUnheard(aUpstream, aNow);
}

Time
ServiceView::GoneSince(UpstreamIndex aUpstream) const
{
  return std::max(this->members.MissingSince(aUpstream),
                  this->upstreams[aUpstream].failingSince);
}

bool
ServiceView::CoversCommitsOf(UpstreamIndex aUpstream,
                             const LogPoint& aPoint) const
{
  bool isLeaving = this->upstreams[aUpstream].entry.leaving;
  Duration span = isLeaving ? kLeavingMemberTimeout : kCrashedMemberTimeout;
  return this->primaryLogEnd.asked >= this->GoneSince(aUpstream) + span &&
         !aPoint.IsBehind(this->primaryLogEnd.point);
}

bool
ServiceView::IsTermUnused(Term aTerm, Time aSince, Time aNow) const
{
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    const ProxyUpstream& upstream = this->upstreams[i];
    bool isBelow = upstream.report && upstream.reportAsked >= aSince &&
                   upstream.report->term < aTerm;
    bool isGone = aNow - this->GoneSince(i) >= kCrashedMemberTimeout;
    if (this->members.MayConfirm(i, aNow) && !isBelow && !isGone) {
      return false;
    }
  }
  return true;
}

void
ServiceView::RequestPointSince(Time aTime)
{
  for (ProxyUpstream& upstream : this->upstreams) {
    upstream.reportWanted =
      upstream.reportWanted || upstream.reportAsked < aTime;
  }
}

void
ServiceView::SetPrimary(UpstreamIndex aUpstream, Term aTerm, Time aNow)
{
  if (aTerm != this->usableTerm) {
    // Other proxies may use the old primary until their proofs that it is still
    // the primary expire.
    this->usableTerm = aTerm;
    this->usableFrom =
      std::min(aNow, this->allHeldSince) + kLeadershipProofValidity;
  }
  if (aTerm != this->term) {
    this->StartTerm(aTerm);
  }
  if (this->primary != aUpstream) {
    this->openCommits.clear(); // sent to the old primary
  }
  this->primary = aUpstream;
}

bool
ServiceView::IsLost(UpstreamIndex aUpstream) const
{
  return !this->members.IsListed(aUpstream) ||
         this->upstreams[aUpstream].failures > 0;
}

void
ServiceView::StartTerm(Term aTerm)
{
  this->term = aTerm;
  this->allHeldSince = kInfiniteFuture;
  this->primaryLogEnd = {};
  this->unprovedSamples.clear();
  this->provedAsked = kInfinitePast;
}

void
ServiceView::ObserveLogEnd(UpstreamIndex aUpstream,
                           const LogPoint& aEnd,
                           Time aAsked)
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
  if (this->unprovedSamples.size() == detail::kMaxUnproved) {
    this->unprovedSamples.pop_front();
  }
  this->unprovedSamples.push_back({ aAsked, aEnd });
  this->TakeProvedSamples();
}

void
ServiceView::NoteConfirmedCommit(UpstreamIndex aUpstream,
                                 const LogPoint& aEnd,
                                 Time aAsked,
                                 Time aNow)
{
  this->lastConfirmed = aNow;
  if (this->highestConfirmed.IsBehind(aEnd)) {
    this->highestConfirmed = aEnd;
  }
  if (this->primary == aUpstream && aEnd.term == this->term) {
    this->Prove(aAsked);
  }
}

void
ServiceView::CommitSent(ConnectionId aConnection, Time aNow)
{
  this->openCommits[aConnection] = aNow;
}

void
ServiceView::CommitEnded(ConnectionId aConnection)
{
  this->openCommits.erase(aConnection);
}

Duration
ServiceView::CommitStall(Time aNow) const
{
  Time oldest = aNow;
  for (const auto& [connection, sent] : this->openCommits) {
    oldest = std::min(oldest, sent);
  }
  return aNow - std::max(oldest, this->lastConfirmed);
}

/**
 * Sets `allHeldSince`: the time from which all members except the primary have
 * been replicas held for a higher term. From then on no report of a replica can
 * prove that the primary is still the primary, and a proof obtained earlier is
 * valid for `kLeadershipProofValidity`.
 */
void
ServiceView::NoteHolds(Time aNow)
{
  bool isEveryone = this->primary.has_value() && this->members.IsKnown();
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    const ProxyUpstream& upstream = this->upstreams[i];
    bool isHeld = upstream.report && upstream.report->role == Role::Replica &&
                  upstream.report->held > this->term;
    bool isPrimary = this->primary == i;
    bool isNoMember = !this->members.MayConfirm(i, aNow);
    isEveryone = isEveryone && (isPrimary || isHeld || isNoMember);
  }
  if (!isEveryone) {
    this->allHeldSince = kInfiniteFuture;
  } else if (this->allHeldSince == kInfiniteFuture) {
    this->allHeldSince = aNow;
  }
}

void
ServiceView::Prove(Time aAsked)
{
  this->provedAsked = std::max(this->provedAsked, aAsked);
  this->TakeProvedSamples();
}

void
ServiceView::TakeProvedSamples()
{
  while (!this->unprovedSamples.empty() &&
         this->IsLeaderProvedAt(this->unprovedSamples.front().asked)) {
    const Sample& sample = this->unprovedSamples.front();
    // The start of the term is not known; see `SampleQuorum`.
    this->samples.Sample(
      sample.asked,
      { sample.point.term, sample.point.position, sample.point.position });
    this->unprovedSamples.pop_front();
  }
}

void
ServiceView::NoteLeadershipLost(UpstreamIndex aUpstream)
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

void
ServiceView::NotePathWorks(Time aAsked)
{
  this->pathWorkedAt = std::max(this->pathWorkedAt, aAsked);
}

void
ServiceView::NoteAttempt(UpstreamIndex aUpstream, Time aNow)
{
  ProxyUpstream& upstream = this->upstreams[aUpstream];
  if (aNow - this->pathWorkedAt > detail::kPathCheckValidity) {
    upstream.unansweredSince = kInfiniteFuture;
  } else if (upstream.failures > 0) {
    upstream.unansweredSince = std::min(upstream.unansweredSince, aNow);
  }
}

bool
ServiceView::IsSilent(UpstreamIndex aUpstream, Time aNow) const
{
  const ProxyUpstream& upstream = this->upstreams[aUpstream];
  return aNow - upstream.failingSince >= kSilenceTimeout &&
         aNow - upstream.unansweredSince >= detail::kUnansweredTimeout &&
         this->pathWorkedAt >= upstream.unansweredSince;
}

void
ServiceView::Answered(UpstreamIndex aUpstream, Time aNow)
{
  ProxyUpstream& upstream = this->upstreams[aUpstream];
  upstream.lastAnswer = aNow;
  upstream.failures = 0;
  upstream.failingSince = kInfiniteFuture;
  upstream.unansweredSince = kInfiniteFuture;
  upstream.avoidUntil = kInfinitePast;
}

void
ServiceView::Failed(UpstreamIndex aUpstream, Time aNow)
{
  ProxyUpstream& upstream = this->upstreams[aUpstream];
  if (upstream.failures == 0) {
    upstream.failingSince = aNow;
  }
  int64_t backoff = detail::kFirstBackoff.ms << std::min(upstream.failures, 3u);
  ++upstream.failures;
  upstream.avoidUntil =
    aNow + Duration{ std::min(backoff, detail::kLongestBackoff.ms) };
  upstream.reportWanted = true;
}

bool
ServiceView::IsUsable(UpstreamIndex aUpstream, Time aNow) const
{
  const ProxyUpstream& upstream = this->upstreams[aUpstream];
  bool isLate =
    this->members.WasListed(aUpstream) &&
    aNow - this->members.MissingSince(aUpstream) < detail::kUnlistedGrace;
  bool isRegistered = this->members.IsListed(aUpstream) || isLate;
  return isRegistered && !upstream.entry.leaving && upstream.avoidUntil <= aNow;
}

bool
ServiceView::IsPrimaryUsable(Time aNow) const
{
  if (!this->primary || aNow < this->usableFrom) {
    return false;
  }
  const ProxyUpstream& upstream = this->upstreams[*this->primary];
  return upstream.avoidUntil <= aNow;
}

} // namespace marigoldpitch
