#include "marigoldpitch/coordination/proxy/service-view.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr Duration kFirstBackoff = Millis(100);
constexpr Duration kMaxBackoff = Millis(300);
// How long an answer shows that this host's outbound path works.
constexpr Duration kPathCheckValidity = Millis(300);
// How long attempts must go unanswered, while the outbound path works, before
// the upstream counts as silent.
constexpr Duration kUnansweredTimeout = Millis(250);

} // namespace detail

bool
ServiceView::IsFailingLong(UpstreamIndex aUpstream, Time aNow) const
{
  return aNow - this->upstreams[aUpstream].failingSince >= kFailureTimeout;
}

bool
ServiceView::IsUnlistedAndFailingLong(UpstreamIndex aUpstream, Time aNow) const
{
  return !this->members.IsListed(aUpstream) &&
         this->IsFailingLong(aUpstream, aNow);
}

Time
ServiceView::UnlistedAndFailingSince(UpstreamIndex aUpstream) const
{
  return std::max(this->members.UnlistedSince(aUpstream),
                  this->upstreams[aUpstream].failingSince);
}

bool
ServiceView::IsUnlistedOrFailing(UpstreamIndex aUpstream) const
{
  return !this->members.IsListed(aUpstream) ||
         this->upstreams[aUpstream].failures > 0;
}

void
ServiceView::CommitSent(ConnectionId aConnection, Time aNow)
{
  this->unansweredCommits[aConnection] = aNow;
}

void
ServiceView::CommitEnded(ConnectionId aConnection)
{
  this->unansweredCommits.erase(aConnection);
}

Duration
ServiceView::CommitStall(Time aNow) const
{
  Time oldest = aNow;
  for (const auto& [connection, sent] : this->unansweredCommits) {
    oldest = std::min(oldest, sent);
  }
  return aNow - std::max(oldest, this->lastAcknowledged);
}

Duration
ServiceView::ReplicationStall(Time aNow) const
{
  if (!this->unconfirmedLogEnd) {
    return Millis(0);
  }
  std::optional<Duration> stall;
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    bool isAsked = this->primary != i && this->members.MayConfirm(i, aNow) &&
                   !this->IsUnlistedAndFailingLong(i, aNow);
    if (!isAsked) {
      continue;
    }
    const ProxyUpstream& upstream = this->upstreams[i];
    Duration span = upstream.reportAsked - this->unconfirmedLogEnd->asked;
    if (!upstream.report || span < Millis(0)) {
      return Millis(0);
    }
    stall = stall ? std::min(*stall, span) : span;
  }
  return stall.value_or(Millis(0));
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
  return aNow - upstream.failingSince >= kFailureTimeout &&
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
    aNow + Duration{ std::min(backoff, detail::kMaxBackoff.ms) };
  upstream.reportWanted = true;
}

} // namespace marigoldpitch
