#ifndef MARIGOLDPITCH_STATE_TIME_H
#define MARIGOLDPITCH_STATE_TIME_H

#include <cstdint>
#include <limits>

/** Time types in whole milliseconds; this layer reads no clock. */
namespace marigoldpitch {

/** A span of time in milliseconds. */
struct Duration
{
  int64_t ms = 0;

  constexpr Duration operator+(Duration aOther) const
  {
    return { this->ms + aOther.ms };
  }
  constexpr Duration operator-(Duration aOther) const
  {
    return { this->ms - aOther.ms };
  }
  constexpr Duration operator*(int64_t aFactor) const
  {
    return { this->ms * aFactor };
  }
  constexpr bool operator<(Duration aOther) const
  {
    return this->ms < aOther.ms;
  }
  constexpr bool operator<=(Duration aOther) const
  {
    return this->ms <= aOther.ms;
  }
  constexpr bool operator>(Duration aOther) const { return aOther < *this; }
  constexpr bool operator>=(Duration aOther) const { return aOther <= *this; }
  constexpr bool operator==(Duration aOther) const
  {
    return this->ms == aOther.ms;
  }
};

constexpr Duration
Millis(int64_t aMs)
{
  return { aMs };
}

constexpr Duration
Seconds(int64_t aSeconds)
{
  return { aSeconds * 1000 };
}

/**
 * An instant on a monotonic clock, in milliseconds since an origin that is
 * private to the process. Instants of two processes are never compared.
 *
 * Example: `Time deadline = now + Millis(200);`
 */
struct Time
{
  int64_t ms = 0;

  constexpr Time operator+(Duration aSpan) const
  {
    return { this->ms + aSpan.ms };
  }
  constexpr Time operator-(Duration aSpan) const
  {
    return { this->ms - aSpan.ms };
  }
  constexpr Duration operator-(Time aOther) const
  {
    return { this->ms - aOther.ms };
  }
  constexpr bool operator<(Time aOther) const { return this->ms < aOther.ms; }
  constexpr bool operator<=(Time aOther) const { return this->ms <= aOther.ms; }
  constexpr bool operator>(Time aOther) const { return aOther < *this; }
  constexpr bool operator>=(Time aOther) const { return aOther <= *this; }
  constexpr bool operator==(Time aOther) const { return this->ms == aOther.ms; }
  constexpr bool operator!=(Time aOther) const { return this->ms != aOther.ms; }
};

/**
 * Later than any instant that a clock returns. A quarter of the range, so that
 * sums do not overflow.
 */
constexpr Time kInfiniteFuture{ std::numeric_limits<int64_t>::max() / 4 };

/** Earlier than any instant that a clock returns. */
constexpr Time kInfinitePast{ -kInfiniteFuture.ms };

} // namespace marigoldpitch

#endif
