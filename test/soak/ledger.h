#ifndef MARIGOLDPITCH_TEST_SOAK_LEDGER_H
#define MARIGOLDPITCH_TEST_SOAK_LEDGER_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/proxy-config.h"
#include "marigoldpitch/state/time.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

/** Checks what callers observed against the writes they sent. */
namespace marigoldpitch::soak {

enum class Promise
{
  Unasked, // the log holds a write that no caller sent
  Mixed,   // a read returned the value of another item
  Pinned,  // a statement ran without its session's settings, or a
           // transaction was applied in part
  Twice,   // the log holds a write more than once
  Refused, // a write reported as not applied is in the log
  Stale,   // a read missed a write acknowledged before it
  Lost,    // an acknowledged write isn't in the log
  Drain,   // a planned shutdown cut off a pending request
  Config,  // a host refused a database of the configuration
  Recover, // a host served no writes after the faults had ended
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
  Open, // sent, no answer yet
  Acknowledged,
  Refused, // reported as not applied
  Unsure,  // may or may not be applied
};

constexpr NameTable<Fate, 4> kFateNames{ {
  { Fate::Open, "open" },
  { Fate::Acknowledged, "acknowledged" },
  { Fate::Refused, "refused" },
  { Fate::Unsure, "unsure" },
} };

/**
 * The writes that callers sent, and their outcomes. Each item has one writer,
 * which numbers its writes and starts another item after a write with an
 * unknown outcome. So the value of a read tells which writes it includes.
 */
class Ledger
{
public:
  static std::string ValueOf(const std::string& aItem, uint64_t aNumber);

  /**
   * Adds a write and returns its number. `aWithNext` says that the next write
   * of the item is in the same transaction.
   */
  uint64_t Send(const std::string& aItem, bool aWithNext);
  void Settle(const std::string& aItem, uint64_t aNumber, Fate aFate, Time aAt);

  /** The newest write acknowledged before `aTime`, or 0 if there is none. */
  uint64_t AcknowledgedBefore(const std::string& aItem, Time aTime) const;

  /** Reports a value of another item or of a write before `aAtLeast`. */
  void CheckRead(const std::string& aItem,
                 const std::string& aShown,
                 uint64_t aAtLeast,
                 const std::string& aPlace);

  /** Checks the upstreams' log against the outcomes of all writes. */
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
