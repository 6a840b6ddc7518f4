#include "marigoldpitch/coordination/owner/group-view.h"

#include <algorithm>

namespace marigoldpitch {

GroupView::GroupView(const GroupConfig& aConfig)
  : majority(aConfig.Majority())
  , upstreams(aConfig.upstreams.size())
{
  for (size_t i = 0; i < aConfig.upstreams.size(); ++i) {
    this->upstreams[i].leavingByConfig = aConfig.upstreams[i].leaving;
  }
}

bool
GroupView::ApplyStatus(UpstreamIndex aUpstream,
                       const UpstreamStatus& aStatus,
                       Time aRequestedAt,
                       Time aNow)
{
  UpstreamView& upstream = this->upstreams[aUpstream];
  // A late answer must not replace a status that was requested after it.
  if (aRequestedAt < upstream.lastRequested) {
    return false;
  }
  upstream.lastRequested = aRequestedAt;
  upstream.lastAnswer = aNow;
  upstream.failures = 0;
  upstream.status = aStatus;
  upstream.leavingByItself = aStatus.leaving;
  this->highestTerm = std::max(this->highestTerm, aStatus.term);

  auto before = this->primary;
  Term termBefore = this->term;
  bool isPrimary = aStatus.role == Role::Primary;
  if (isPrimary && aStatus.term >= this->term) {
    this->primary = aUpstream;
    this->term = aStatus.term;
    this->freshness.Sample(
      aRequestedAt, { aStatus.term, aStatus.termStart, aStatus.received });
  } else if (this->primary == aUpstream && !isPrimary) {
    this->primary.reset();
  }
  if (this->primary && this->IsReplaced()) {
    this->primary.reset();
  }
  return before != this->primary || termBefore != this->term;
}

bool
GroupView::IsReplaced() const
{
  auto hasHigherTerm = [&](const UpstreamView& aView) {
    return aView.status && aView.status->term > this->term;
  };
  auto newer = std::count_if(
    this->upstreams.begin(), this->upstreams.end(), hasHigherTerm);
  return static_cast<size_t>(newer) >= this->majority;
}

void
GroupView::SetPrimary(UpstreamIndex aUpstream,
                      Term aTerm,
                      Position aStart,
                      Term aParentTerm,
                      Time aNow)
{
  this->freshness.StartTerm(aTerm, aStart, aParentTerm);
  this->upstreams[aUpstream].lastRequested = aNow;
  this->upstreams[aUpstream].lastAnswer = aNow;
  this->primary = aUpstream;
  this->term = aTerm;
  this->highestTerm = std::max(this->highestTerm, aTerm);
}

void
GroupView::ObserveTerm(Term aTerm)
{
  this->highestTerm = std::max(this->highestTerm, aTerm);
}

bool
GroupView::IsSilent(UpstreamIndex aUpstream, Time aNow) const
{
  const UpstreamView& upstream = this->upstreams[aUpstream];
  return upstream.failures >= 2 &&
         aNow - upstream.lastAnswer >= kUpstreamSilence;
}

bool
GroupView::IsServingReplica(UpstreamIndex aUpstream) const
{
  const UpstreamView& upstream = this->upstreams[aUpstream];
  return upstream.status && !upstream.Leaving() &&
         upstream.status->role != Role::Primary && upstream.failures == 0 &&
         this->IsOnCurrentLog(upstream.status->VisibleProgress());
}

std::optional<Duration>
GroupView::AgeOf(UpstreamIndex aUpstream, Time aNow) const
{
  const UpstreamView& upstream = this->upstreams[aUpstream];
  if (!upstream.status) {
    return std::nullopt;
  }
  return this->freshness.AgeOf(upstream.status->VisibleProgress(), aNow);
}

} // namespace marigoldpitch
