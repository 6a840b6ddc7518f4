#include "marigoldpitch/coordination/proxy/drain-schedule.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

// The load balancer needs two failed health checks, a second apart, to stop
// sending new callers.
constexpr Duration kBalancerReactionTime = Millis(2200);
// From the last answers until the kill: the process ends before it, and
// connections stay open for a while after their last message.
constexpr Duration kClosingTime = Millis(1000);

} // namespace detail

void
DrainSchedule::Start(Time aNow, Duration aGrace)
{
  if (this->IsDraining()) {
    return;
  }
  Duration half{ aGrace.ms / 2 };
  Duration reaction{ aGrace.ms * 2 / 5 };
  this->since = aNow;
  this->ending = aNow + std::min(detail::kBalancerReactionTime, reaction);
  this->over = aNow + std::max(aGrace - detail::kClosingTime, half);
  auto between = [](Time aFrom, Time aUntil) {
    return aFrom + Duration{ (aUntil - aFrom).ms / 2 };
  };
  // Transactions that were open at the start get half of the grace period.
  this->endingAll = std::max(between(this->ending, this->over), aNow + half);
  this->endingTransactions = between(this->endingAll, this->over);
}

DrainStage
DrainSchedule::StageAt(Time aNow) const
{
  if (aNow < this->since) {
    return DrainStage::NotDraining;
  }
  if (aNow >= this->over) {
    return DrainStage::Over;
  }
  if (aNow >= this->endingTransactions) {
    return DrainStage::EndingTransactions;
  }
  if (aNow >= this->endingAll) {
    return DrainStage::EndingAll;
  }
  return aNow >= this->ending ? DrainStage::Ending : DrainStage::Announced;
}

bool
DrainSchedule::MayEndOneMore(Time aNow, size_t aOpen, size_t aEnded) const
{
  DrainStage stage = this->StageAt(aNow);
  if (stage < DrainStage::Ending) {
    return false;
  }
  if (stage > DrainStage::Ending) {
    return true;
  }
  auto spent = static_cast<double>((aNow - this->ending).ms);
  auto span = static_cast<double>((this->endingAll - this->ending).ms);
  auto due = static_cast<double>(aOpen + aEnded) * spent / span;
  return static_cast<double>(aEnded) < due;
}

} // namespace marigoldpitch
