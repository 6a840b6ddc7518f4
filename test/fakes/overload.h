#ifndef MARIGOLDPITCH_TEST_FAKES_OVERLOAD_H
#define MARIGOLDPITCH_TEST_FAKES_OVERLOAD_H

#include "plan.h"

/** Requests that arrive whether or not earlier ones were answered. */
namespace marigoldpitch::fakes {

constexpr Duration kOverloadTimeout = Millis(300);
constexpr Duration kOverloadLength = Seconds(4);

struct OverloadResult
{
  uint64_t offered = 0;
  uint64_t good = 0;
  uint64_t urgentOffered = 0;
  uint64_t urgentGood = 0;
  uint64_t urgentRefused = 0;
  uint64_t batches = 0;
  int64_t recoveryMs = -1;
};

/** `aPerMs` requests a millisecond; `aFifo` for the baseline of admission. */
OverloadResult
RunOverload(const Deployment& aDeployment, double aPerMs, bool aFifo);

/** The most that is answered in time, a millisecond. */
double
FindCapacity(const Deployment& aDeployment);

} // namespace marigoldpitch::fakes

#endif
