#include "marigoldpitch/coordination/owner/term-reserver.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {
constexpr Term kTermsPerReservation = 8;
constexpr uint32_t kMaxRounds = 5;
// The terms of an era are above its number, shifted by this.
constexpr int kEraTermBits = 32;
} // namespace detail

ReserverAction
TermReserver::Start(Term aAbove)
{
  this->running = true;
  this->above = aAbove;
  this->rounds = 0;
  this->pendingSwap.reset();
  return ReadTermRecord{};
}

ReserverAction
TermReserver::On(const TermRecordRead& aRead)
{
  bool mustGiveUp = !aRead.reached || ++this->rounds > detail::kMaxRounds;
  bool tookEffect =
    aRead.reached && this->pendingSwap &&
    aRead.position.era == this->pendingEra &&
    aRead.record.reservationId == this->pendingSwap->reservationId;
  if (tookEffect) {
    return this->Granted();
  }
  if (mustGiveUp) {
    this->running = false;
    return AbortReservation{};
  }
  // A swap whose answer was lost and that is not in the record may still take
  // effect later. That is harmless, because its terms are never used.
  Term belowEra = aRead.position.era << detail::kEraTermBits;
  this->first = std::max({ this->above, aRead.record.last, belowEra }) + 1;
  TermRecord next;
  next.last = this->first + detail::kTermsPerReservation - 1;
  next.reservationId = this->owner + "#" + std::to_string(++this->attempts);
  this->pendingSwap = next;
  this->pendingEra = aRead.position.era;
  return SwapTermRecord{ aRead.position, next };
}

ReserverAction
TermReserver::On(const TermRecordSwapped& aSwapped)
{
  if (aSwapped.outcome == SwapOutcome::Done &&
      aSwapped.era == this->pendingEra) {
    return this->Granted();
  }
  return ReadTermRecord{};
}

GrantTerms
TermReserver::Granted()
{
  this->running = false;
  return { this->first, this->pendingSwap->last };
}

} // namespace marigoldpitch
