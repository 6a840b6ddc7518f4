#include "marigoldpitch/coordination/proxy/promoter-lease.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

// A holder may act for this long after it sent a read that returned its key. A
// longer time lets it act in longer outages of the store, and makes its
// successor wait longer: a planned change of primary must be over within the
// drain time of upstreams, also if the holder has just been lost.
constexpr Duration kProofValidity = Millis(2500);
// A former holder's last order may be in flight for this long.
constexpr Duration kMaxCallTime = Millis(500);
constexpr Duration kCheckInterval = Millis(500);
constexpr Duration kTakeInterval = Millis(1000);

} // namespace detail

void
PromoterLease::Handle(const PromoterLeaseEvent& aEvent, Time aNow)
{
  std::visit([&](const auto& aOne) { this->On(aOne, aNow); }, aEvent);
}

void
PromoterLease::On(const LeaseObserved& aEvent, Time aNow)
{
  bool hasChangedHands = this->lastHolderPosition != aEvent.lastHolderPosition;
  this->lastHolderPosition = aEvent.lastHolderPosition;
  if (aEvent.isTaken) {
    this->freeSince = kInfiniteFuture;
  } else if (hasChangedHands || this->freeSince == kInfiniteFuture) {
    this->freeSince = aNow;
  }
  if (aEvent.haveEarlierErasEnded) {
    this->earlierErasEnd = std::min(this->earlierErasEnd, aNow);
  }
  if (!aEvent.isTaken && !this->isFree) {
    Time mayTakeFrom = std::max(aNow, this->earlierErasEnd);
    this->nextTake = std::max(this->nextTake, mayTakeFrom + aEvent.takeDelay);
  }
  this->isFree = !aEvent.isTaken;
}

void
PromoterLease::On(const LeaseTaken& aEvent, Time aNow)
{
  this->state = PromoterLeaseState::Settling;
  this->token = aEvent.position;
  // The write required that nobody held the lease since `takenAfter`.
  Time end = aEvent.haveFormerHoldersEnded
               ? aNow
               : std::min(this->takenAfter, aNow) + detail::kProofValidity;
  this->mayPromoteFrom = std::max(aNow, end + detail::kMaxCallTime);
  this->provedAsked = kInfinitePast;
  this->lastCheck = kInfinitePast;
}

void
PromoterLease::On(const FormerHolderEnded&, Time aNow)
{
  this->mayPromoteFrom =
    std::min(this->mayPromoteFrom, aNow + detail::kMaxCallTime);
}

void
PromoterLease::On(const LeaseNotTaken&, Time aNow)
{
  if (this->state == PromoterLeaseState::Taking) {
    this->state = PromoterLeaseState::Waiting;
    this->isFree = false;
    this->nextTake = aNow + detail::kTakeInterval;
  }
}

void
PromoterLease::On(const LeaseChecked& aEvent, Time)
{
  if (!this->IsTaken()) {
    return;
  }
  if (aEvent.position != this->token) {
    this->Lose();
    return;
  }
  this->provedAsked = aEvent.asked;
}

/** What a holder of the earlier era proved last, it proved before `aNow`. */
void
PromoterLease::On(const StoreEraBegan&, Time aNow)
{
  this->Lose();
  this->earlierErasEnd = aNow + detail::kProofValidity;
}

void
PromoterLease::Lose()
{
  this->state = PromoterLeaseState::Waiting;
  this->token = {};
  this->isFree = false;
  this->freeSince = kInfiniteFuture;
}

PromoterLeaseAction
PromoterLease::Next(Time aNow)
{
  if (this->state == PromoterLeaseState::Settling &&
      aNow >= this->mayPromoteFrom) {
    this->state = PromoterLeaseState::Holding;
  }
  if (this->IsTaken()) {
    if (aNow - this->lastCheck < detail::kCheckInterval) {
      return PromoterLeaseAction::None;
    }
    this->lastCheck = aNow;
    return PromoterLeaseAction::Check;
  }
  bool mayTake = this->state == PromoterLeaseState::Waiting && this->isFree &&
                 aNow >= this->nextTake && aNow >= this->earlierErasEnd;
  if (!mayTake) {
    return PromoterLeaseAction::None;
  }
  this->state = PromoterLeaseState::Taking;
  this->takenAfter = this->freeSince;
  return PromoterLeaseAction::Take;
}

bool
PromoterLease::MayPromote(Time aNow) const
{
  return this->IsTaken() && aNow >= this->mayPromoteFrom &&
         aNow < this->MayPromoteUntil();
}

Time
PromoterLease::MayPromoteUntil() const
{
  return this->provedAsked + detail::kProofValidity;
}

} // namespace marigoldpitch
