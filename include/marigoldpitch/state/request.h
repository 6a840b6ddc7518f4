#ifndef MARIGOLDPITCH_STATE_REQUEST_H
#define MARIGOLDPITCH_STATE_REQUEST_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/outcome.h"
#include "marigoldpitch/state/position.h"
#include "marigoldpitch/state/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** A caller's request and its answer, independent of the encoding. */
namespace marigoldpitch {

/** Identifies a request within one process. */
using RequestHandle = uint64_t;

enum class Operation
{
  Read,
  Write,
  Begin,
  Statement,
  Commit,
  RollBack,
  Resolve,
};

constexpr NameTable<Operation, 7> kOperationNames{ {
  { Operation::Read, "read" },
  { Operation::Write, "write" },
  { Operation::Begin, "begin" },
  { Operation::Statement, "statement" },
  { Operation::Commit, "commit" },
  { Operation::RollBack, "roll-back" },
  { Operation::Resolve, "resolve" },
} };

/** Whether an operation is not idempotent and needs a request id. */
constexpr bool
NeedsRequestId(Operation aOperation)
{
  return aOperation == Operation::Write || aOperation == Operation::Commit ||
         aOperation == Operation::Resolve;
}

/** Request classes; a smaller value is more urgent. */
enum class Priority
{
  Critical, // payments and bookings
  Normal,
  Tolerant, // reads that accept stale data
};

constexpr NameTable<Priority, 3> kPriorityNames{ {
  { Priority::Critical, "critical" },
  { Priority::Normal, "normal" },
  { Priority::Tolerant, "tolerant" },
} };

/** SQL text and its parameters, which are bound and never interpolated. */
struct Statement
{
  std::string sql;
  std::vector<std::optional<std::string>> parameters;
};

struct Rows
{
  std::vector<std::string> columns;
  std::vector<std::vector<std::optional<std::string>>> rows;
  uint64_t affected = 0;

  bool operator==(const Rows& aOther) const
  {
    return this->columns == aOther.columns && this->rows == aOther.rows &&
           this->affected == aOther.affected;
  }
};

/**
 * An upper bound of the bytes that a frame takes with these texts; the frame's
 * other fields are in it.
 */
size_t
FrameBytes(const Statement& aStatement);
size_t
FrameBytes(const Rows& aRows);

struct Request
{
  Operation operation = Operation::Read;
  std::string group;
  std::string service; // the calling application; may be empty
  std::string session;
  std::string requestId;     // set if `NeedsRequestId`
  std::string transaction;   // set inside a transaction
  std::string zone;          // the caller's availability zone
  LogPoint token;            // the newest point the session has seen
  bool unresolved = false;   // the session has a write without an answer
  bool firstAttempt = false; // never sent before: a refusal proves "not run"
  std::optional<Duration> maxAge; // of the data that a read accepts
  Duration timeout = Seconds(2);  // time left until the caller's deadline
  Priority priority = Priority::Normal;
  Statement statement;
};

enum class Source
{
  None,
  Primary,
  Replica,
};

constexpr NameTable<Source, 3> kSourceNames{ {
  { Source::None, "none" },
  { Source::Primary, "primary" },
  { Source::Replica, "replica" },
} };

struct Answer
{
  Outcome outcome = Outcome::Ok;
  std::string message;
  std::string sqlState;
  Rows rows;
  LogPoint token;
  std::string transaction;
  Source source = Source::None;
  bool replayed = false;       // read from the request record of an earlier run
  bool tryNext = false;        // not started here: the next owner may run it
  std::optional<Duration> age; // upper bound on the age of the data read
};

/**
 * The key of a request record: a row in the group's database which states
 * whether a write or commit ran, with its result. The key includes the session,
 * so that sessions that use the same request id do not get each other's
 * answers.
 */
std::string
RecordKey(const Request& aRequest);

/** An answer without rows. */
Answer
MakeAnswer(Outcome aOutcome, std::string aMessage);

} // namespace marigoldpitch

#endif
