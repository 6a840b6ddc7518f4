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
ReadClock()
{
  return { ReadClockMicros() / detail::kMicrosPerMilli };
}

Time
ReadBootClock()
{
  return { detail::ReadMicros(CLOCK_BOOTTIME) / detail::kMicrosPerMilli };
}

int64_t
ReadClockMicros()
{
  return detail::ReadMicros(CLOCK_MONOTONIC);
}

Time
ReadWallClock()
{
  return { detail::ReadMicros(CLOCK_REALTIME) / detail::kMicrosPerMilli };
}

int64_t
ReadProcessMicros()
{
  return detail::ReadMicros(CLOCK_PROCESS_CPUTIME_ID);
}

} // namespace marigoldpitch
