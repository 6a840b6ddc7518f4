#ifndef MARIGOLDPITCH_COORDINATION_STATEMENT_H
#define MARIGOLDPITCH_COORDINATION_STATEMENT_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/upstream-status.h"

#include <optional>
#include <string>
#include <vector>

/** Statements of sessions and their answers, free of any encoding. */
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
  Forget,
  // Those below are the proxy's own and never a caller's.
  Reset,
  Status,
  Hold,
  Resume,
  Demote,
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
  std::string name = {};      // item, value or prepared statement
  std::string arguments = {}; // all that follows the name, unchanged
  bool writes = false;        // of Write, and of what is prepared
  std::string shape = {};     // of Prepare
  Term term = 0;              // of Hold and Demote
};

enum class RefusalCode
{
  // The statement did not run.
  Busy,
  NoStatement,
  Behind,
  ReadOnly,
  Misrouted,
  TooManyConnections,
  // It ran, or may have run.
  Failed,
  Timeout,
  Unsure,
  // Nothing of the transaction is kept.
  Aborted,
  // The request is at fault.
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

/** The whole answer to one statement. */
struct StatementReply
{
  std::vector<std::string> rows;
  std::optional<Refusal> refusal;
  std::string signature; // the upstream's; empty for the proxy's own answers
  SessionState state = SessionState::Idle;
  std::optional<LogPoint> position; // the end of the upstream's log
};

/** What an upstream says of itself when asked. */
struct UpstreamReport
{
  Role role = Role::Replica;
  Term term = 0;
  LogPoint received;
  Term held = 0; // it receives nothing below this term; 0 when not held
  uint32_t busy = 0;
  uint32_t connections = 0;
};

} // namespace marigoldpitch

#endif
