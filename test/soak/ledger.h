#ifndef MARIGOLDPITCH_TEST_SOAK_LEDGER_H
#define MARIGOLDPITCH_TEST_SOAK_LEDGER_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/proxy-config.h"
#include "marigoldpitch/state/time.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

/** What callers wrote, what they were told, and whether it is true. */
namespace marigoldpitch::soak {

enum class Promise
{
  Unasked, // what is kept, somebody wrote
  Mixed,   // a read shows its own item
  Pinned,  // a statement runs with its session's values, a transaction whole
  Twice,   // a write takes effect once
  Refused, // what was said not to be kept is not kept
  Stale,   // a read shows what was acknowledged before it
  Lost,    // what was acknowledged is kept
  Drain,   // a planned shutdown cuts off nothing
  Config,  // a database of the configuration is not refused
  Recover, // after the faults all is served again
};

constexpr NameTable<Promise, 10> kPromiseNames{ {
  { Promise::Unasked, "unasked" },
  { Promise::Mixed, "mixed" },
  { Promise::Pinned, "pinned" },
  { Promise::Twice, "twice" },
  { Promise::Refused, "refused" },
  { Promise::Stale, "stale" },
  { Promise::Lost, "lost" },
  { Promise::Drain, "drain" },
  { Promise::Config, "config" },
  { Promise::Recover, "recover" },
} };

enum class Fate
{
  Open, // sent and not answered
  Acknowledged,
  Refused, // the caller was told that nothing is kept
  Unsure,
};

constexpr NameTable<Fate, 4> kFateNames{ {
  { Fate::Open, "open" },
  { Fate::Acknowledged, "acknowledged" },
  { Fate::Refused, "refused" },
  { Fate::Unsure, "unsure" },
} };

/**
 * Each item has one writer, who numbers its writes and begins another item when
 * it is not sure of one. So a read of an item says which writes it has seen.
 */
class Ledger
{
public:
  static std::string ValueOf(const std::string& aItem, uint64_t aNumber);

  /** The next write of the item; `aWithNext`: one transaction with the next. */
  uint64_t Send(const std::string& aItem, bool aWithNext);
  void Settle(const std::string& aItem, uint64_t aNumber, Fate aFate, Time aAt);

  /** The newest write that was acknowledged before `aTime`; 0: none. */
  uint64_t AcknowledgedBefore(const std::string& aItem, Time aTime) const;

  /** Holds what a read showed against what it had to show. */
  void CheckRead(const std::string& aItem,
                 const std::string& aShown,
                 uint64_t aAtLeast,
                 const std::string& aPlace);

  /** Holds the log that the upstreams kept against all that was said. */
  void CheckLog(
    const std::vector<std::pair<std::string, std::string>>& aEntries);

  void Report(Promise aPromise, const std::string& aWhat);
  const std::vector<std::string>& Wrongs() const { return this->wrongs; }
  const std::vector<std::string>& Items() const { return this->items; }

private:
  struct Write
  {
    Fate fate = Fate::Open;
    Time settled = kInfiniteFuture;
    bool withNext = false;
  };

  std::map<std::string, std::vector<Write>> writes;
  std::vector<std::string> items;
  std::vector<std::string> wrongs;
};

} // namespace marigoldpitch::soak

#endif
