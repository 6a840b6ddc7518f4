#ifndef MARIGOLDPITCH_COORDINATION_UPSTREAM_CALL_H
#define MARIGOLDPITCH_COORDINATION_UPSTREAM_CALL_H

#include "marigoldpitch/coordination/sql-class.h"
#include "marigoldpitch/state/request.h"
#include "marigoldpitch/state/upstream-status.h"

#include <optional>
#include <string>
#include <vector>

/** Batches of steps for an upstream, free of SQL. */
namespace marigoldpitch {

enum class StepKind
{
  Begin,
  BeginReadOnly,
  User,        // the caller's statement
  ClaimRecord, // insert the request's record; fails when there is one
  Tombstone,   // insert a record saying "never run"; fails when there is one
  ReadRecord,
  StoreResult, // keep the answer in the record
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
  Statement statement; // of User
  std::string record;  // name of the record, of the record steps
  Rows result;         // of StoreResult
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
  Term followed = 0; // as in its status
};

/** What an upstream keeps of a request that may not be repeated. */
struct Record
{
  bool ran = false; // false: a tombstone
  Rows result;
};

struct StepResult
{
  StepOutcome outcome = StepOutcome::Skipped;
  SqlClass failure = SqlClass::None;
  std::string sqlState;
  std::string message;
  Rows rows;
  std::optional<UpstreamStatus> status;
  std::optional<Record> record;
};

/** What a caller is told of a step that failed and was rolled back. */
Answer
FailureAnswer(const StepResult& aFailure);

struct BatchResult
{
  std::vector<StepResult> steps;

  /** The step that failed, if any. */
  const StepResult* Failure() const;

  /** The status that the batch's last step reported, if it was reached. */
  const UpstreamStatus* Status() const;

  bool Done(size_t aStep) const;
};

} // namespace marigoldpitch

#endif
