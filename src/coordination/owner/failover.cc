#include "marigoldpitch/coordination/owner/failover.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {
constexpr Duration kAttemptTimeout = Millis(400);
constexpr Duration kAttemptInterval = Millis(100);
constexpr Term kMinReservedTerms = 4;
} // namespace detail

void
ReservedTerms::Grant(Term aFirst, Term aLast)
{
  this->next = aFirst;
  this->last = aLast;
}

std::optional<Term>
ReservedTerms::Take(Term aAbove)
{
  this->next = std::max(this->next, aAbove + 1);
  if (this->next > this->last) {
    return std::nullopt;
  }
  return this->next++;
}

bool
ReservedTerms::IsLow(Term aAbove) const
{
  return std::max(this->next, aAbove + 1) + detail::kMinReservedTerms >
         this->last;
}

void
Failover::Start(Term aTerm,
                std::optional<UpstreamIndex> aOldPrimary,
                size_t aUpstreams,
                size_t aMajority,
                Time aNow,
                GroupActions& aActions)
{
  this->phase = FailoverPhase::Adopting;
  this->term = aTerm;
  this->oldPrimary = aOldPrimary;
  this->upstreams = aUpstreams;
  this->majority = aMajority;
  this->deadline = aNow + detail::kAttemptTimeout;
  this->adopted.clear();
  for (UpstreamIndex i = 0; i < aUpstreams; ++i) {
    if (i != aOldPrimary) {
      aActions.emplace_back(AdoptTerm{ i, aTerm });
    }
  }
}

void
Failover::OnTermAdopted(const TermAdopted& aEvent, GroupActions& aActions)
{
  if (this->phase != FailoverPhase::Adopting || aEvent.term != this->term) {
    return;
  }
  this->adopted[aEvent.upstream] = aEvent.log;
  if (this->adopted.size() < this->majority) {
    return;
  }
  auto isBehind = [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.end.IsBehind(aRight.second.end);
  };
  auto best =
    std::max_element(this->adopted.begin(), this->adopted.end(), isBehind);
  this->phase = FailoverPhase::Promoting;
  this->parentTerm = best->second.followedTerm;
  aActions.emplace_back(Promote{ best->first, this->term });
}

std::optional<Promoted>
Failover::OnPromoted(const Promoted& aEvent, Time aNow, GroupActions& aActions)
{
  if (this->phase != FailoverPhase::Promoting || aEvent.term != this->term) {
    return std::nullopt;
  }
  this->Stop(aNow);
  for (UpstreamIndex i = 0; i < this->upstreams; ++i) {
    if (i != aEvent.upstream) {
      aActions.emplace_back(Follow{ i, this->term, aEvent.upstream });
    }
  }
  return aEvent;
}

bool
Failover::ShouldAbort(Term aHighestSeen, Time aNow) const
{
  return this->IsRunning() &&
         (aHighestSeen > this->term || aNow >= this->deadline);
}

void
Failover::Stop(Time aNow)
{
  this->phase = FailoverPhase::Idle;
  this->nextAttempt = aNow + detail::kAttemptInterval;
}

} // namespace marigoldpitch
