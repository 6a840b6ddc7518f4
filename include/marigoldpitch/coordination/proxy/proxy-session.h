#ifndef MARIGOLDPITCH_COORDINATION_PROXY_PROXY_SESSION_H
#define MARIGOLDPITCH_COORDINATION_PROXY_PROXY_SESSION_H

#include "marigoldpitch/coordination/proxy/prepared-statements.h"
#include "marigoldpitch/coordination/proxy/proxy-io.h"
#include "marigoldpitch/state/freshness.h"

#include <deque>
#include <map>
#include <set>
#include <string>

/** Callers' sessions, their open statements, and connections to upstreams. */
namespace marigoldpitch {

/** A connection whose rollback takes longer is closed. */
constexpr Duration kRollBackTimeout = Millis(500);

/** The same limit for an answer that no caller waits for any more. */
constexpr Duration kOrphanTimeout = Millis(1000);

/** How long a statement that an upstream had no capacity for waits. */
constexpr Duration kBusyRetryDelay = Millis(8);

enum class StatementPhase
{
  Queued,
  AwaitingPermit,  // its customer's rate limit is being checked
  Preparing,       // the session's settings are being set on the connection
  Beginning,       // its transaction is being started there
  Running,         // the statement itself was sent
  Relayed,         // it was sent to the host that serves the service
  AwaitingReplica, // its commit is acknowledged; a replica must report it
};

constexpr NameTable<StatementPhase, 7> kStatementPhaseNames{ {
  { StatementPhase::Queued, "queued" },
  { StatementPhase::AwaitingPermit, "awaiting-permit" },
  { StatementPhase::Preparing, "preparing" },
  { StatementPhase::Beginning, "beginning" },
  { StatementPhase::Running, "running" },
  { StatementPhase::Relayed, "relayed" },
  { StatementPhase::AwaitingReplica, "awaiting-replica" },
} };

/** A commit that the primary has acknowledged, and its reply to the caller. */
struct AcknowledgedCommit
{
  UpstreamIndex upstream = 0;
  StatementReply reply;
  Time since = kInfinitePast; // when the primary acknowledged it
};

/** A caller's statement that an upstream has to answer. */
struct PendingStatement
{
  std::string requestId;
  SessionStatement statement;
  std::string preparedAs; // the connection's name for what it executes
  DatabaseRoute route;
  std::string customer; // for whom it runs; empty: nobody in particular
  StatementPhase phase = StatementPhase::Queued;
  bool needsPrimary = false;
  // Whether the primary may serve it only with a proof that it is still the
  // primary.
  bool needsProof = false;
  bool writes = false;
  bool mayHaveRun = false;         // on an earlier attempt
  bool startedTransaction = false; // the transaction was started to run it
  Time arrived;
  Time deadline;
  Time notBefore = kInfinitePast;
  Time sent = kInfinitePast;
  ConnectionId connection = 0;
  ConnectionId opening = 0; // the connection that was last opened for it
  bool onReplica = false;
  std::optional<FreshnessSample> after; // the replica's log must reach it
  uint32_t tries = 0;
  std::set<UpstreamIndex> failedAt; // avoided while another may serve it
  std::string relayHost;            // that it was relayed to, if it was
  uint64_t relayNumber = 0;
  std::set<std::string> failedRelays; // hosts that declined it or were lost
  // Set while its phase is `AwaitingReplica`.
  std::optional<AcknowledgedCommit> acknowledged;
};

/** Where a relayed session's statement came from. */
struct RelayOrigin
{
  RelayLinkId link = 0;
  uint64_t session = 0;
  uint64_t number = 0;
};

/** A caller's session with its open transaction and statement. */
struct CallerSession
{
  CallerId id = 0;
  std::string database;
  KeyHash key = {};
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
  size_t settingsBytes = 0; // of `values`, with the overhead of each
  size_t preparedBytes = 0; // of `prepared`, likewise
  SessionState state = SessionState::Idle;
  bool readOnly = false; // whether the open transaction is
  bool transactionWrote = false;
  bool hasPermit = false; // the open transaction has
  // The transaction was rolled back and the caller does not know it yet.
  bool abortUnreported = false;
  Time transactionArrived = kInfinitePast;
  DatabaseRoute route;     // of the open transaction
  std::string customer;    // of the open transaction, or set by the relay
  ConnectionId pinned = 0; // the connection of the open transaction
  std::string relayHost;   // the host that has the transaction open
  uint64_t lastRelayNumber = 0;
  std::optional<RelayOrigin> origin; // set if another host relays this session
  size_t relayedBytes = 0;           // what it keeps, if `origin` is set
  LogPoint lastCommit;
  std::optional<PendingStatement> pending;
  std::deque<StatementArrived> inbox; // pipelined behind `pending`
  size_t inboxBytes = 0;              // of their ids and texts
  bool isFollowed = false; // more was read together with its last statement
  bool isLeaving = false;  // it ends once all that was read is answered
  Time lastActive;
};

/** What the open request of a connection is for. */
enum class LinkUse
{
  None,
  Statement, // a statement of the session `caller`
  Command,   // a status request or a promoter's command
  RollBack,  // rolls back a transaction that its session left open
  Orphan,    // no caller waits for the answer any more
};

constexpr NameTable<LinkUse, 5> kLinkUseNames{ {
  { LinkUse::None, "none" },
  { LinkUse::Statement, "statement" },
  { LinkUse::Command, "report" },
  { LinkUse::RollBack, "roll-back" },
  { LinkUse::Orphan, "orphan" },
} };

/** A statement that prepares a connection, and has no answer yet. */
struct OpenSetup
{
  StatementKind kind = StatementKind::Reset;
  size_t bytes = 0; // of its texts
};

/** A connection to an upstream, with its settings and prepared statements. */
struct ProxyLink
{
  ConnectionId id = 0;
  std::string service;
  UpstreamIndex upstream = 0;
  std::string customer;   // whose statements it carries; empty: nobody's
  CallerId openedFor = 0; // the session whose statement waits for it
  LinkUse use = LinkUse::None;
  CallerId caller = 0;
  StatementKind commandKind = StatementKind::Status; // if `use` is a report
  std::map<std::string, std::string> values;
  PreparedStatements prepared;
  bool needsReset = false; // has more at the upstream than is known here
  std::deque<OpenSetup> openSetups; // in the order in which they were sent
  uint64_t sequence = 0;            // of the running batch
  Time asked = kInfinitePast;       // when the open request was sent
  Time limit = kInfiniteFuture;     // closed if nothing was answered until then
  Time lastAnswer = kInfinitePast;
  Time lastServed = kInfinitePast; // opened, or done with a session's statement
  bool isOpening = true;
};

} // namespace marigoldpitch

#endif
