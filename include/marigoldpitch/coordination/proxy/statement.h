#ifndef MARIGOLDPITCH_COORDINATION_PROXY_STATEMENT_H
#define MARIGOLDPITCH_COORDINATION_PROXY_STATEMENT_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/upstream-status.h"

#include <optional>
#include <string>
#include <vector>

/**
 * Statements of sessions, independent of any encoding. An upstream's response
 * to a statement is called a reply. What the proxy gives to its caller is
 * called an answer.
 */
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
  Reset,  // removes the connection's settings and prepared statements
  Status, // requests an `UpstreamReport`
  // The replica must accept no log from a primary of a term below the given
  // one, and confirm none of its commits. Such a replica is called held.
  Hold,
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
  // The key of a row, or the name of a setting or a prepared statement.
  std::string name = {};
  std::string arguments = {}; // the text after the name, unchanged
  // Whether the statement changes data: always true for Write, declared by the
  // caller for Prepare, and copied from the prepared statement for Execute.
  bool writes = false;
  // The text of the prepared statement, for Prepare and Execute. The proxy
  // compares it but does not interpret it.
  std::string preparedText = {};
  Term term = 0; // for Hold and Demote
};

/**
 * Why a statement or a session request failed. The code says whether the
 * statement may have run.
 */
enum class FailureCode
{
  // The statement did not run.
  Busy,        // the upstream or the proxy has no capacity for it in time
  NoStatement, // no prepared statement of that name
  Behind,      // the replica lacks the required log point
  ReadOnly,    // the upstream is not the primary
  Misrouted,   // another upstream than expected answers at the endpoint
  TooMany,     // connections to the upstream, or operations of the customer

  // The statement ran, or may have run.
  Failed,         // it returned an error
  Timeout,        // no answer in time; the proxy itself uses it for reads only
  OutcomeUnknown, // a write or commit whose outcome is not known

  Aborted, // the transaction was rolled back

  // The request is invalid.
  NoDatabase,
  Unauthorized, // the key is unknown, or has been withdrawn
                // The statement is too long, or too many are pipelined. It did
                // not run, and the session stays as it was, unless it is
                // closed.
  TooBig,
  Invalid, // malformed, or not allowed in the session's present state
};

constexpr NameTable<FailureCode, 14> kFailureCodeNames{ {
  { FailureCode::Busy, "busy" },
  { FailureCode::NoStatement, "no-statement" },
  { FailureCode::Behind, "behind" },
  { FailureCode::ReadOnly, "read-only" },
  { FailureCode::Misrouted, "misrouted" },
  { FailureCode::TooMany, "too-many" },
  { FailureCode::Failed, "failed" },
  { FailureCode::Timeout, "timeout" },
  { FailureCode::OutcomeUnknown, "unsure" },
  { FailureCode::Aborted, "aborted" },
  { FailureCode::NoDatabase, "no-database" },
  { FailureCode::Unauthorized, "unauthorized" },
  { FailureCode::TooBig, "too-big" },
  { FailureCode::Invalid, "bad" },
} };

/** An error reply; `code` says whether the statement may have run. */
struct StatementFailure
{
  FailureCode code = FailureCode::Invalid;
  std::string text;
};

/** The state of a session's transaction. */
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
  std::optional<StatementFailure> failure;
  // The text with which the upstream ends the reply. It is passed to the caller
  // unchanged, and is empty in a reply of the proxy itself.
  std::string signature;
  SessionState state = SessionState::Idle;
  std::optional<LogPoint> position; // the end of the upstream's log, if known
};

/**
 * An upstream's reply to a status request, `Hold`, `Resume` or `Demote`. It is
 * the part of `UpstreamStatus` that the proxy uses, with the upstream's load.
 */
struct UpstreamReport
{
  Role role = Role::Replica;
  Term term = 0;
  LogPoint logEnd;                // the end of its log
  Term held = 0;                  // accepts no log of a lower term; 0: not held
  uint32_t runningStatements = 0; // statements that it runs
  uint32_t connections = 0;
};

} // namespace marigoldpitch

#endif
