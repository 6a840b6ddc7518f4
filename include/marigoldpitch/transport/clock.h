#ifndef MARIGOLDPITCH_TRANSPORT_CLOCK_H
#define MARIGOLDPITCH_TRANSPORT_CLOCK_H

#include "marigoldpitch/state/time.h"

/** Reads the system clocks; no other code does. */
namespace marigoldpitch {

/** The monotonic clock (`CLOCK_MONOTONIC`), in milliseconds. */
Time
ReadMonotonicClock();

/**
 * The boot-time clock (`CLOCK_BOOTTIME`), in milliseconds. Unlike
 * `ReadMonotonicClock` it advances while the machine is suspended, so it is
 * used for time during which other hosts may have acted, such as leases and the
 * age of a document. Values of the two clocks must not be compared with each
 * other.
 */
Time
ReadBootClock();

/** The clock of `ReadMonotonicClock` in microseconds, for measurements. */
int64_t
ReadMonotonicMicros();

/**
 * The wall clock, in milliseconds since the epoch. It may jump, so it is used
 * in reports only.
 */
Time
ReadWallClock();

/** CPU time used by this process, in microseconds. */
int64_t
ReadCpuTimeMicros();

} // namespace marigoldpitch

#endif
