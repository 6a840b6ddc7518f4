#include "marigoldpitch/coordination/duty-lease.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

// A holder may act for this long after it sent a read that returned its key.
// This is enough to order a promotion when the store became unreachable just
// before.
constexpr Duration kActSpan = Seconds(6);
// A former holder's last order may be in flight for this long.
constexpr Duration kLongestCall = Millis(500);
constexpr Duration kCheckInterval = Millis(1500);
constexpr Duration kTakeInterval = Millis(1000);

} // namespace detail

void
DutyLease::Handle(const DutyEvent& aEvent, Time aNow)
{
  std::visit([&](const auto& aOne) { this->On(aOne, aNow); }, aEvent);
}

void
DutyLease::On(const DutySeen& aEvent, Time aNow)
{
  if (!aEvent.isTaken && !this->isFree) {
    this->nextTake = std::max(this->nextTake, aNow + aEvent.patience);
  }
  this->isFree = !aEvent.isTaken;
}

void
DutyLease::On(const DutyTaken& aEvent, Time aNow)
{
  this->state = DutyState::Settling;
  this->token = aEvent.revision;
  Duration span = aEvent.isFormerGone ? Millis(0) : detail::kActSpan;
  this->actsFrom = aNow + span + detail::kLongestCall;
  this->provedAsked = kInfinitePast;
  this->lastCheck = kInfinitePast;
}

void
DutyLease::On(const DutyNotTaken&, Time aNow)
{
  if (this->state == DutyState::Taking) {
    this->state = DutyState::Waiting;
    this->isFree = false;
    this->nextTake = aNow + detail::kTakeInterval;
  }
}

void
DutyLease::On(const DutyChecked& aEvent, Time)
{
  if (this->token == 0) {
    return;
  }
  if (aEvent.revision != this->token) {
    this->Lose();
    return;
  }
  this->provedAsked = aEvent.asked;
}

void
DutyLease::Lose()
{
  this->state = DutyState::Waiting;
  this->token = 0;
  this->isFree = false;
}

DutyAction
DutyLease::Next(Time aNow)
{
  if (this->state == DutyState::Settling && aNow >= this->actsFrom) {
    this->state = DutyState::Holding;
  }
  if (this->token != 0) {
    if (aNow - this->lastCheck < detail::kCheckInterval) {
      return DutyAction::None;
    }
    this->lastCheck = aNow;
    return DutyAction::Check;
  }
  bool mayTake =
    this->state == DutyState::Waiting && this->isFree && aNow >= this->nextTake;
  if (!mayTake) {
    return DutyAction::None;
  }
  this->state = DutyState::Taking;
  return DutyAction::Take;
}

bool
DutyLease::MayAct(Time aNow) const
{
  return this->token != 0 && aNow >= this->actsFrom &&
         aNow - this->provedAsked < detail::kActSpan;
}

} // namespace marigoldpitch
