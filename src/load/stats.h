#ifndef MARIGOLDPITCH_LOAD_STATS_H
#define MARIGOLDPITCH_LOAD_STATS_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/** The results that the sessions collect. */
namespace marigoldpitch::load {

/** The longest time between two consecutive correct answers of one kind. */
struct GapMeter
{
  void RecordSuccess(Time aNow)
  {
    if (!(this->last == kInfinitePast)) {
      this->longest = std::max(this->longest, aNow - this->last);
    }
    this->last = aNow;
  }

  Time last = kInfinitePast;
  Duration longest;
};

/** Counts of all sessions. */
struct LoadStats
{
  uint64_t requests = 0;
  uint64_t correct = 0;
  uint64_t notRun = 0;
  uint64_t unknown = 0;
  uint64_t refused = 0; // stale, conflict and invalid
  uint64_t lost = 0;    // no answer from the entry
  uint64_t wrong = 0;
  uint64_t replicaReads = 0;
  uint64_t tolerantReads = 0;
  GapMeter writes;
  GapMeter reads;
  std::vector<int64_t> latencies; // microseconds
};

/** The outcome of a write; the check at the end compares it with the data. */
enum class WriteOutcome
{
  Done,
  NotRun,
  Open, // not known
};

constexpr NameTable<WriteOutcome, 3> kWriteOutcomeNames{ {
  { WriteOutcome::Done, "done" },
  { WriteOutcome::NotRun, "not-run" },
  { WriteOutcome::Open, "open" },
} };

/** All writes and the values that they wrote, by key. */
struct WriteHistory
{
  std::map<std::string, WriteOutcome> writes; // in the table `orders`
  std::map<std::string, std::string> values;
};

} // namespace marigoldpitch::load

#endif
