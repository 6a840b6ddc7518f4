#ifndef MARIGOLDPITCH_LOAD_TALLY_H
#define MARIGOLDPITCH_LOAD_TALLY_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/** What the sessions counted, and what they were told. */
namespace marigoldpitch::load {

/** Longest time between two correct answers of one kind. */
struct GapMeter
{
  void Succeeded(Time aNow)
  {
    if (!(this->last == kInfinitePast)) {
      this->longest = std::max(this->longest, aNow - this->last);
    }
    this->last = aNow;
  }

  Time last = kInfinitePast;
  Duration longest;
};

struct Tally
{
  uint64_t requests = 0;
  uint64_t correct = 0;
  uint64_t notRun = 0;
  uint64_t unknown = 0;
  uint64_t refused = 0; // stale, conflict and invalid
  uint64_t lost = 0;    // no answer of the entry
  uint64_t wrong = 0;
  uint64_t replicaReads = 0;
  uint64_t tolerantReads = 0;
  GapMeter writes;
  GapMeter reads;
  std::vector<int64_t> latencies; // microseconds
};

/** What became of each write, to be checked by content at the end. */
enum class WriteFate
{
  Done,
  NotRun,
  Open, // still unknown
};

constexpr NameTable<WriteFate, 3> kWriteFateNames{ {
  { WriteFate::Done, "done" },
  { WriteFate::NotRun, "not-run" },
  { WriteFate::Open, "open" },
} };

struct Ledger
{
  std::map<std::string, WriteFate> writes; // by key, in the table `orders`
  std::map<std::string, std::string> values;
};

} // namespace marigoldpitch::load

#endif
