#ifndef MARIGOLDPITCH_COORDINATION_OWNER_UPSTREAM_CALL_H
#define MARIGOLDPITCH_COORDINATION_OWNER_UPSTREAM_CALL_H

#include "marigoldpitch/coordination/owner/sql-class.h"
#include "marigoldpitch/state/request.h"
#include "marigoldpitch/state/upstream-status.h"

#include <optional>
#include <string>
#include <vector>

/** Batches of steps for an upstream, independent of SQL. */
namespace marigoldpitch {

enum class StepKind
{
  Begin,
  BeginReadOnly,
  User,        // the caller's statement
  ClaimRecord, // insert the request record; fails if it exists
  Tombstone,   // insert a record that bars the request; fails if one exists
  ReadRecord,
  StoreResult, // store the result in the request record
  Commit,
  RollBack,
  Status,
};

constexpr NameTable<StepKind, 10> kStepKindNames{ {
  { StepKind::Begin, "begin" },
  { StepKind::BeginReadOnly, "begin-read-only" },
  { StepKind::User, "user" },
  { StepKind::ClaimRecord, "claim-record" },
  { StepKind::Tombstone, "tombstone" },
  { StepKind::ReadRecord, "read-record" },
  { StepKind::StoreResult, "store-result" },
  { StepKind::Commit, "commit" },
  { StepKind::RollBack, "roll-back" },
  { StepKind::Status, "status" },
} };

struct Step
{
  StepKind kind = StepKind::Status;
  Statement statement; // for `User`
  std::string record;  // name of the record, for steps on records
  Rows result;         // for `StoreResult`
};

using Batch = std::vector<Step>;

enum class StepOutcome
{
  Done,
  Failed,
  Skipped, // an earlier step of the batch failed
};

/** An upstream's log at the moment when it adopted a term. */
struct AdoptedLog
{
  LogPoint end;
  Term followedTerm = 0; // as in `UpstreamStatus`
};

/** A request record: what an upstream stores so that no request runs twice. */
struct RequestRecord
{
  bool ran = false; // false: a tombstone
  Rows result;
};

struct StepResult
{
  StepOutcome outcome = StepOutcome::Skipped;
  SqlErrorClass failure = SqlErrorClass::None;
  std::string sqlState;
  std::string message;
  Rows rows;
  std::optional<UpstreamStatus> status;
  std::optional<RequestRecord> record;
};

/** The answer to the caller for a step that failed and was rolled back. */
Answer
FailureAnswer(const StepResult& aFailure);

struct BatchResult
{
  std::vector<StepResult> steps;

  /** The first step that failed; null if none did. */
  const StepResult* Failure() const;

  /** The last status that a step reported; null if none did. */
  const UpstreamStatus* Status() const;

  bool Done(size_t aStep) const;
};

} // namespace marigoldpitch

#endif
