#include "marigoldpitch/coordination/service-view.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

// An entry may be missing for a while when the store was away; after this the
// upstream gets no new work.
constexpr Duration kUnlistedGrace = Millis(2500);
constexpr Duration kFirstBackoff = Millis(100);
constexpr Duration kLongestBackoff = Millis(300);
constexpr size_t kMaxUnproved = 64;
// How long an answer shows that the way out of this host works.
constexpr Duration kPathSpan = Millis(300);
// How long an attempt goes unanswered before it counts.
constexpr Duration kInVain = Millis(250);

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

size_t
ServiceView::List(const std::vector<RegisteredUpstream>& aEntries, Time aNow)
{
  size_t added = 0;
  std::vector<bool> seen(this->upstreams.size(), false);
  for (const RegisteredUpstream& entry : aEntries) {
    auto index = this->Find(entry.id);
    if (!index) {
      ProxyUpstream upstream;
      upstream.entry = entry;
      this->upstreams.push_back(upstream);
      seen.push_back(true);
      ++added;
      continue;
    }
    ProxyUpstream& upstream = this->upstreams[*index];
    bool sawItselfOtherwise = upstream.entry.role != entry.role;
    upstream.askWanted = upstream.askWanted || sawItselfOtherwise;
    upstream.entry = entry;
    upstream.listed = true;
    upstream.unlistedAt = kNever;
    seen[*index] = true;
  }
  for (UpstreamIndex i = 0; i < seen.size(); ++i) {
    ProxyUpstream& upstream = this->upstreams[i];
    if (!seen[i] && upstream.listed) {
      upstream.listed = false;
      upstream.unlistedAt = aNow;
    }
  }
  return added;
}

void
ServiceView::Learn(UpstreamIndex aUpstream,
                   const UpstreamReport& aReport,
                   Time aAsked,
                   Time aNow)
{
  ProxyUpstream& upstream = this->upstreams[aUpstream];
  upstream.report = aReport;
  upstream.reportAsked = aAsked;
  this->SampleQuorum(aNow);
  if (aReport.role == Role::Primary) {
    // Of one term, a successor that took over the log of a lost primary.
    bool succeeds = aReport.term == this->term &&
                    (!this->primary || this->IsLost(*this->primary));
    if (aReport.term > this->term || succeeds) {
      this->SetPrimary(aUpstream, aReport.term, aNow);
    }
    return;
  }
  if (this->primary == aUpstream) {
    this->LostLead(aUpstream);
  }
  if (aReport.term > this->term) {
    // It follows a primary that is not known here yet.
    this->primary.reset();
    this->StartTerm(aReport.term);
    this->AskAll();
  }
  if (aReport.held <= this->term) {
    this->Prove(aAsked);
  }
  this->NoteHolds(aNow);
}

/**
 * A commit is acknowledged when two upstreams hold it, so all but one of them,
 * whoever leads, hold everything that was acknowledged before they were asked.
 */
void
ServiceView::SampleQuorum(Time aNow)
{
  std::vector<const ProxyUpstream*> asked;
  size_t all = 0;
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    const ProxyUpstream& upstream = this->upstreams[i];
    bool mayConfirm = this->MayHoldCommits(i, aNow);
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
  for (const ProxyUpstream* upstream : asked) {
    const LogPoint& point = upstream->report->received;
    highest = highest.IsBehind(point) ? point : highest;
  }
  this->samples.Sample(asked.back()->reportAsked,
                       { highest.term, highest.position, highest.position },
                       { SampleSource::Quorum, asked.size(), all });
}

bool
ServiceView::MayHoldCommits(UpstreamIndex aUpstream, Time aNow) const
{
  const ProxyUpstream& upstream = this->upstreams[aUpstream];
  return upstream.listed || aNow - upstream.unlistedAt < kMayStillConfirm;
}

void
ServiceView::WantPointSince(Time aTime)
{
  for (ProxyUpstream& upstream : this->upstreams) {
    upstream.askWanted = upstream.askWanted || upstream.reportAsked < aTime;
  }
}

void
ServiceView::SetPrimary(UpstreamIndex aUpstream, Term aTerm, Time aNow)
{
  if (aTerm != this->usableTerm) {
    // Others may rely on the old primary until their proofs lapse.
    this->usableTerm = aTerm;
    this->usableFrom = std::min(aNow, this->allHeldSince) + kLeadershipSpan;
  }
  if (aTerm != this->term) {
    this->StartTerm(aTerm);
  }
  if (this->primary != aUpstream) {
    this->openCommits.clear(); // they were sent to another
  }
  this->primary = aUpstream;
}

bool
ServiceView::IsLost(UpstreamIndex aUpstream) const
{
  const ProxyUpstream& upstream = this->upstreams[aUpstream];
  return !upstream.listed || upstream.failures > 0;
}

void
ServiceView::StartTerm(Term aTerm)
{
  this->term = aTerm;
  this->allHeldSince = kNever;
  this->primaryEnd = {};
  this->unproved.clear();
  this->provedAsked = kLongAgo;
}

void
ServiceView::Saw(UpstreamIndex aUpstream, const LogPoint& aEnd, Time aAsked)
{
  if (aEnd.term > this->term) {
    this->AskAll();
    return;
  }
  if (this->primary != aUpstream || aEnd.term != this->term) {
    return;
  }
  if (this->primaryEnd.asked < aAsked) {
    this->primaryEnd = { aAsked, aEnd };
  }
  if (this->unproved.size() == detail::kMaxUnproved) {
    this->unproved.pop_front();
  }
  this->unproved.push_back({ aAsked, aEnd });
  this->TakeProvedSamples();
}

void
ServiceView::Confirmed(UpstreamIndex aUpstream,
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

/** From when on every replica has refused to vouch for the present primary. */
void
ServiceView::NoteHolds(Time aNow)
{
  bool isEveryone = this->primary.has_value();
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    const ProxyUpstream& upstream = this->upstreams[i];
    bool isHeld = upstream.report && upstream.report->role == Role::Replica &&
                  upstream.report->held > this->term;
    bool isPrimary = this->primary == i;
    isEveryone = isEveryone && (isPrimary || isHeld || !upstream.listed);
  }
  if (!isEveryone) {
    this->allHeldSince = kNever;
  } else if (this->allHeldSince == kNever) {
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
  while (!this->unproved.empty() &&
         this->IsLeaderProvedAt(this->unproved.front().asked)) {
    const Sample& sample = this->unproved.front();
    this->samples.Sample(
      sample.asked,
      { sample.point.term, sample.point.position, sample.point.position });
    this->unproved.pop_front();
  }
}

void
ServiceView::LostLead(UpstreamIndex aUpstream)
{
  if (this->primary == aUpstream) {
    this->primary.reset();
  }
  this->AskAll();
}

void
ServiceView::AskAll()
{
  for (ProxyUpstream& upstream : this->upstreams) {
    upstream.askWanted = true;
  }
}

void
ServiceView::PathProved(Time aAsked)
{
  this->pathProved = std::max(this->pathProved, aAsked);
}

void
ServiceView::Tried(UpstreamIndex aUpstream, Time aNow)
{
  ProxyUpstream& upstream = this->upstreams[aUpstream];
  if (aNow - this->pathProved > detail::kPathSpan) {
    upstream.triedInVain = kNever;
  } else if (upstream.failures > 0) {
    upstream.triedInVain = std::min(upstream.triedInVain, aNow);
  }
}

bool
ServiceView::IsSilent(UpstreamIndex aUpstream, Time aNow) const
{
  const ProxyUpstream& upstream = this->upstreams[aUpstream];
  return aNow - upstream.failingSince >= kSilence &&
         aNow - upstream.triedInVain >= detail::kInVain &&
         this->pathProved >= upstream.triedInVain;
}

void
ServiceView::Answered(UpstreamIndex aUpstream, Time aNow)
{
  ProxyUpstream& upstream = this->upstreams[aUpstream];
  upstream.lastAnswer = aNow;
  upstream.failures = 0;
  upstream.failingSince = kNever;
  upstream.triedInVain = kNever;
  upstream.avoidUntil = kLongAgo;
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
  upstream.askWanted = true;
}

bool
ServiceView::IsUsable(UpstreamIndex aUpstream, Time aNow) const
{
  const ProxyUpstream& upstream = this->upstreams[aUpstream];
  bool isKnown =
    upstream.listed || aNow - upstream.unlistedAt < detail::kUnlistedGrace;
  return isKnown && !upstream.entry.leaving && upstream.avoidUntil <= aNow;
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
