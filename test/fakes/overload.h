#ifndef MARIGOLDPITCH_TEST_FAKES_OVERLOAD_H
#define MARIGOLDPITCH_TEST_FAKES_OVERLOAD_H

#include "plan.h"

/** Open-loop load: requests arrive at a rate that ignores the answers. */
namespace marigoldpitch::fakes {

constexpr Duration kOverloadTimeout = Millis(300);
constexpr Duration kOverloadLength = Seconds(4);

struct OverloadResult
{
  uint64_t offered = 0;
  uint64_t good = 0;
  uint64_t criticalOffered = 0;
  uint64_t criticalGood = 0;
  uint64_t criticalRefused = 0;
  uint64_t batches = 0;
  int64_t recoveryMs = -1;
};

/**
 * Sends `aRequestsPerMs` requests per millisecond. With `aUseFifo`, a plain
 * FIFO queue replaces the default admission policy, as a baseline.
 */
OverloadResult
RunOverload(const Deployment& aDeployment,
            double aRequestsPerMs,
            bool aUseFifo);

/** Returns the most requests per millisecond that are answered in time. */
double
FindCapacity(const Deployment& aDeployment);

} // namespace marigoldpitch::fakes

#endif
