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

/** A caller's request and its answer, free of any encoding. */
namespace marigoldpitch {

/** A request's number inside one process. */
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

/** Whether an operation may not be repeated, and so needs a request id. */
constexpr bool
NeedsRequestId(Operation aOperation)
{
  return aOperation == Operation::Write || aOperation == Operation::Commit ||
         aOperation == Operation::Resolve;
}

/** More urgent classes have smaller values. */
enum class Priority
{
  Critical, // payments and bookings
  Normal,
  Tolerant, // reads that accept age
};

constexpr NameTable<Priority, 3> kPriorityNames{ {
  { Priority::Critical, "critical" },
  { Priority::Normal, "normal" },
  { Priority::Tolerant, "tolerant" },
} };

/** SQL text with parameters that are always bound, never pasted in. */
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

struct Request
{
  Operation operation = Operation::Read;
  std::string group;
  std::string service;
  std::string session;
  std::string requestId;     // set for all that may not be repeated
  std::string transaction;   // set inside a transaction
  std::string zone;          // the caller's availability zone
  LogPoint token;            // the newest point the session has seen
  bool unresolved = false;   // the session has a write whose answer it lacks
  bool firstAttempt = false; // never sent before: a refusal proves "not run"
  std::optional<Duration> maxAge; // how old the data of a read may be
  Duration timeout = Seconds(2);  // left until the caller needs it no more
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
  bool replayed = false; // taken from the record of an earlier run
  bool tryNext = false;  // never started here: the next owner may take it
  std::optional<Duration> age;
};

/**
 * The name of a request's record: its id within its session, so that two
 * callers who happen on one id do not get each other's answers.
 */
std::string
RecordName(const Request& aRequest);

/** An answer without rows. */
Answer
MakeAnswer(Outcome aOutcome, std::string aMessage);

} // namespace marigoldpitch

#endif
