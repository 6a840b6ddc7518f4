#ifndef MARIGOLDPITCH_COORDINATION_STATEMENT_H
#define MARIGOLDPITCH_COORDINATION_STATEMENT_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/upstream-status.h"

#include <optional>
#include <string>
#include <vector>

/** Statements of sessions and their replies, independent of any encoding. */
namespace marigoldpitch {

enum class StatementKind
{
  Begin,
  BeginReadOnly,
  Commit,
  RollBack,
  Read,
  Write,
  SetValue,
  Prepare,
  Execute,
  Forget, // deallocates a prepared statement
  // Sent by the proxy itself; callers cannot send these.
  Reset,  // drops the session state of the connection
  Status, // requests an `UpstreamReport`
  Hold,   // accept no log from a primary of a term below the given one
  Resume, // ends a hold
  Demote, // stop being the primary: a higher term has begun
};

constexpr NameTable<StatementKind, 15> kStatementKindNames{ {
  { StatementKind::Begin, "begin" },
  { StatementKind::BeginReadOnly, "begin-read-only" },
  { StatementKind::Commit, "commit" },
  { StatementKind::RollBack, "roll-back" },
  { StatementKind::Read, "read" },
  { StatementKind::Write, "write" },
  { StatementKind::SetValue, "set-value" },
  { StatementKind::Prepare, "prepare" },
  { StatementKind::Execute, "execute" },
  { StatementKind::Forget, "forget" },
  { StatementKind::Reset, "reset" },
  { StatementKind::Status, "status" },
  { StatementKind::Hold, "hold" },
  { StatementKind::Resume, "resume" },
  { StatementKind::Demote, "demote" },
} };

struct SessionStatement
{
  StatementKind kind = StatementKind::Status;
  std::string name = {};      // of an item, a setting or a prepared statement
  std::string arguments = {}; // the text after the name, unchanged
  bool writes = false;        // true of Write; set for prepared statements
  std::string shape = {};     // of Prepare
  Term term = 0;              // of Hold and Demote
};

enum class RefusalCode
{
  // The statement did not run.
  Busy,
  NoStatement, // no prepared statement of that name
  Behind,      // the replica lacks the required log point
  ReadOnly,
  Misrouted, // another upstream than expected answers at the endpoint
  TooManyConnections,
  // The statement ran, or may have run.
  Failed,
  Timeout,
  Unsure,
  // The transaction was rolled back.
  Aborted,
  // The request is invalid.
  NoDatabase,
  TooBig,
  Bad,
};

constexpr NameTable<RefusalCode, 13> kRefusalCodeNames{ {
  { RefusalCode::Busy, "busy" },
  { RefusalCode::NoStatement, "no-statement" },
  { RefusalCode::Behind, "behind" },
  { RefusalCode::ReadOnly, "read-only" },
  { RefusalCode::Misrouted, "misrouted" },
  { RefusalCode::TooManyConnections, "too-many-connections" },
  { RefusalCode::Failed, "failed" },
  { RefusalCode::Timeout, "timeout" },
  { RefusalCode::Unsure, "unsure" },
  { RefusalCode::Aborted, "aborted" },
  { RefusalCode::NoDatabase, "no-database" },
  { RefusalCode::TooBig, "too-big" },
  { RefusalCode::Bad, "bad" },
} };

struct Refusal
{
  RefusalCode code = RefusalCode::Bad;
  std::string text;
};

enum class SessionState
{
  Idle,
  InTransaction,
  Failed, // the transaction can only be rolled back
};

constexpr NameTable<SessionState, 3> kSessionStateNames{ {
  { SessionState::Idle, "idle" },
  { SessionState::InTransaction, "in-transaction" },
  { SessionState::Failed, "failed" },
} };

/** The complete reply to one statement. */
struct StatementReply
{
  std::vector<std::string> rows;
  std::optional<Refusal> refusal;
  std::string signature; // the upstream's; empty for the proxy's own replies
  SessionState state = SessionState::Idle;
  std::optional<LogPoint> position; // the end of the upstream's log
};

/** An upstream's reply to a status request, `Hold`, `Resume` or `Demote`. */
struct UpstreamReport
{
  Role role = Role::Replica;
  Term term = 0;
  LogPoint received;
  Term held = 0;     // accepts no log of a lower term; 0: not held
  uint32_t busy = 0; // statements that it runs
  uint32_t connections = 0;
};

} // namespace marigoldpitch

#endif
