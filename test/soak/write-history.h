#ifndef MARIGOLDPITCH_TEST_SOAK_WRITE_HISTORY_H
#define MARIGOLDPITCH_TEST_SOAK_WRITE_HISTORY_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/proxy-config.h"
#include "marigoldpitch/state/time.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

/** Checks what callers observed against the writes they sent. */
namespace marigoldpitch::soak {

enum class Violation
{
  UnknownWrite,     // the log holds a write that no caller sent
  WrongItem,        // a read returned the value of another item
  SessionNotPinned, // a statement ran without its session's settings, or a
                    // transaction was applied in part
  DuplicateWrite,   // the log holds a write more than once
  Refused,          // a write reported as not applied is in the log
  StaleRead,        // a read missed a write acknowledged before it
  LostWrite,        // an acknowledged write isn't in the log
  DrainCutOff,      // a planned shutdown cut off a pending request
  MissingDatabase,  // a host refused a database of the configuration
  NotRecovered,     // a host served no writes after the faults had ended
  LateStatement,    // an undisturbed host used an upstream that had left
  ChangedStatement, // an upstream ran another text, prepared statement or
                    // settings than the session's, or a valid text was refused
};

constexpr NameTable<Violation, 12> kViolationNames{ {
  { Violation::UnknownWrite, "unasked" },
  { Violation::WrongItem, "mixed" },
  { Violation::SessionNotPinned, "pinned" },
  { Violation::DuplicateWrite, "twice" },
  { Violation::Refused, "refused" },
  { Violation::StaleRead, "stale" },
  { Violation::LostWrite, "lost" },
  { Violation::DrainCutOff, "drain" },
  { Violation::MissingDatabase, "config" },
  { Violation::NotRecovered, "recover" },
  { Violation::LateStatement, "late" },
  { Violation::ChangedStatement, "changed" },
} };

enum class WriteOutcome
{
  Pending, // sent, no answer yet
  Acknowledged,
  Refused, // reported as not applied
  Unsure,  // may or may not be applied
};

constexpr NameTable<WriteOutcome, 4> kWriteOutcomeNames{ {
  { WriteOutcome::Pending, "open" },
  { WriteOutcome::Acknowledged, "acknowledged" },
  { WriteOutcome::Refused, "refused" },
  { WriteOutcome::Unsure, "unsure" },
} };

/**
 * The writes that callers sent, and their outcomes. Each item has one writer,
 * which numbers its writes and starts another item after a write with an
 * unknown outcome. So the value of a read tells which writes it includes.
 */
class WriteHistory
{
public:
  static std::string ValueOf(const std::string& aItem, uint64_t aNumber);

  /**
   * Adds a write and returns its number. `aInTransactionWithNext` says that the
   * next write of the item is in the same transaction.
   */
  uint64_t Send(const std::string& aItem, bool aInTransactionWithNext);
  void RecordOutcome(const std::string& aItem,
                     uint64_t aNumber,
                     WriteOutcome aOutcome,
                     Time aAt);

  /** The newest write acknowledged before `aTime`, or 0 if there is none. */
  uint64_t AcknowledgedBefore(const std::string& aItem, Time aTime) const;

  /** Reports a value of another item or of a write before `aMinNumber`. */
  void CheckRead(const std::string& aItem,
                 const std::string& aValue,
                 uint64_t aMinNumber,
                 const std::string& aReadDescription);

  /** Checks the upstreams' log against the outcomes of all writes. */
  void CheckLog(
    const std::vector<std::pair<std::string, std::string>>& aEntries);

  void ReportViolation(Violation aViolation, const std::string& aDetail);
  const std::vector<std::string>& Violations() const
  {
    return this->violations;
  }
  const std::vector<std::string>& Items() const { return this->items; }

private:
  struct Write
  {
    WriteOutcome outcome = WriteOutcome::Pending;
    Time recordedAt = kInfiniteFuture;
    bool inTransactionWithNext = false;
  };

  std::map<std::string, std::vector<Write>> writes;
  std::vector<std::string> items;
  std::vector<std::string> violations;
};

} // namespace marigoldpitch::soak

#endif
