#include "marigoldpitch/transport/clock.h"

#include <ctime>

namespace marigoldpitch {

namespace detail {

constexpr int64_t kMicrosPerSecond = 1000000;
constexpr int64_t kNanosPerMicro = 1000;
constexpr int64_t kMicrosPerMilli = 1000;

int64_t
ReadMicros(clockid_t aClock)
{
  timespec spec{};
  clock_gettime(aClock, &spec);
  return spec.tv_sec * kMicrosPerSecond + spec.tv_nsec / kNanosPerMicro;
}

} // namespace detail

Time
ReadMonotonicClock()
{
  return { ReadMonotonicMicros() / detail::kMicrosPerMilli };
}

Time
ReadBootClock()
{
  return { detail::ReadMicros(CLOCK_BOOTTIME) / detail::kMicrosPerMilli };
}

int64_t
ReadMonotonicMicros()
{
  return detail::ReadMicros(CLOCK_MONOTONIC);
}

Time
ReadWallClock()
{
  return { detail::ReadMicros(CLOCK_REALTIME) / detail::kMicrosPerMilli };
}

int64_t
ReadCpuTimeMicros()
{
  return detail::ReadMicros(CLOCK_PROCESS_CPUTIME_ID);
}

} // namespace marigoldpitch
