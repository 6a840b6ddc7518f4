#ifndef MARIGOLDPITCH_COORDINATION_PROXY_SESSION_H
#define MARIGOLDPITCH_COORDINATION_PROXY_SESSION_H

#include "marigoldpitch/coordination/proxy-io.h"
#include "marigoldpitch/state/freshness.h"

#include <deque>
#include <map>
#include <set>
#include <string>

/** Callers' sessions, their statements under way, and links to upstreams. */
namespace marigoldpitch {

/** A roll back that takes longer costs its connection. */
constexpr Duration kRollBackLimit = Millis(500);

/** So does an answer that nobody waits for any more. */
constexpr Duration kOrphanLimit = Millis(1000);

/** How long an upstream that took no more connections is not asked again. */
constexpr Duration kFullSpan = Millis(100);

struct PreparedStatement
{
  bool writes = false;
  std::string shape;
};

enum class StatementPhase
{
  Queued,
  Preparing, // the session's values are put on the connection
  Beginning, // its transaction is begun there
  Running,   // the statement itself was sent
};

constexpr NameTable<StatementPhase, 4> kStatementPhaseNames{ {
  { StatementPhase::Queued, "queued" },
  { StatementPhase::Preparing, "preparing" },
  { StatementPhase::Beginning, "beginning" },
  { StatementPhase::Running, "running" },
} };

/** A caller's statement that an upstream has to answer. */
struct PendingStatement
{
  std::string requestId;
  SessionStatement statement;
  DatabaseRoute route;
  StatementPhase phase = StatementPhase::Queued;
  bool needsPrimary = false;
  bool needsProof = false; // that the primary leads
  bool writes = false;
  bool mayHaveRun = false; // on a try before this one
  bool began = false;      // its transaction began on the connection for it
  Time arrived;
  Time deadline;
  Time notBefore = kLongAgo;
  Time sent = kLongAgo;
  ConnectionId connection = 0;
  bool onReplica = false;
  std::optional<FreshPoint> after; // what the replica must hold
  uint32_t tries = 0;
  std::set<UpstreamIndex> refusedBy; // not asked again unless none is left
};

struct CallerSession
{
  CallerId id = 0;
  std::string database;
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
  SessionState state = SessionState::Idle;
  bool readOnly = false; // its transaction
  bool transactionWrote = false;
  bool abortUntold = false; // the caller has yet to hear that it failed
  Time transactionArrived = kLongAgo;
  DatabaseRoute route;     // of its transaction
  ConnectionId pinned = 0; // of its transaction
  LogPoint lastCommit;
  std::optional<PendingStatement> pending;
  std::deque<StatementArrived> inbox;
  Time lastActive;
};

enum class LinkUse
{
  None,
  Statement, // of the session `caller`
  Report,    // a question about the upstream itself
  RollBack,  // after its session left it inside a transaction
  Orphan,    // nobody waits for the answer any more
};

constexpr NameTable<LinkUse, 5> kLinkUseNames{ {
  { LinkUse::None, "none" },
  { LinkUse::Statement, "statement" },
  { LinkUse::Report, "report" },
  { LinkUse::RollBack, "roll-back" },
  { LinkUse::Orphan, "orphan" },
} };

/** What a connection to an upstream holds of the sessions that used it. */
struct ProxyLink
{
  ConnectionId id = 0;
  std::string service;
  UpstreamIndex upstream = 0;
  LinkUse use = LinkUse::None;
  CallerId caller = 0;
  StatementKind question = StatementKind::Status; // of a report
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared; // under our names
  uint32_t preludeOpen = 0; // answers that come before the statement's
  uint64_t sequence = 0;    // of the batch that runs
  Time asked = kLongAgo;    // when the open question was sent
  Time limit = kNever;      // when a silent connection is given up
  Time lastAnswer = kLongAgo;
  bool isOpening = true;
};

} // namespace marigoldpitch

#endif
