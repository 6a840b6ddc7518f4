#ifndef MARIGOLDPITCH_TRANSPORT_CLOCK_H
#define MARIGOLDPITCH_TRANSPORT_CLOCK_H

#include "marigoldpitch/state/time.h"

/** The one place that reads a clock. */
namespace marigoldpitch {

/** The machine's monotonic clock, in milliseconds. */
Time
ReadClock();

/**
 * The clock for what others may have done meanwhile: unlike `ReadClock` it goes
 * on while the machine is suspended. The two are never compared.
 */
Time
ReadBootClock();

/** The same clock as `ReadClock` in microseconds, for measurements. */
int64_t
ReadClockMicros();

/** The wall clock, for reports alone; it may jump. */
Time
ReadWallClock();

/** Processor time that this process has used, in microseconds. */
int64_t
ReadProcessMicros();

} // namespace marigoldpitch

#endif
