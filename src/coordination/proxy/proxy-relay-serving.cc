#include "marigoldpitch/coordination/proxy/proxy-engine.h"
#include "marigoldpitch/coordination/proxy/statement-limits.h"

// Statements that other hosts relay to this one. Each is run for a session that
// lives here as long as its statement, or its transaction.

namespace marigoldpitch {

namespace detail {

// Ids of relayed sessions lie above those of this host's own callers.
constexpr CallerId kFirstRelayedCaller = CallerId{ 1 } << 62;
constexpr size_t kMaxRelayedSessions = 20000;

/** What a session that serves the statement keeps. */
size_t
BytesOf(const RelayedStatement& aRelayed)
{
  size_t bytes =
    SizeOf(aRelayed.statement) + aRelayed.statement.preparedText.size();
  for (const auto& [name, value] : aRelayed.values) {
    bytes += name.size() + value.size() + kEntryOverheadBytes;
  }
  return bytes;
}

} // namespace detail

void
ProxyEngine::On(const RelayedStatementArrived& aEvent)
{
  const RelayedStatement& relayed = aEvent.statement;
  auto found = this->relayedSessions.find({ aEvent.link, relayed.session });
  bool isKnown = found != this->relayedSessions.end();
  if (!relayed.isContinued) {
    if (isKnown) {
      this->On(SessionClosed{ found->second });
    }
    if (!this->MayServeRelayed(relayed)) {
      this->Decline(aEvent);
      return;
    }
  }
  CallerSession& session = this->RelayedSession(aEvent);
  bool isOpen =
    isKnown && session.state == SessionState::InTransaction && !session.pending;
  if (relayed.isContinued && !isOpen) {
    bool isCommit = relayed.statement.kind == StatementKind::Commit;
    this->LeaveTransaction(session);
    session.state = isCommit ? SessionState::Idle : SessionState::Failed;
    this->AnswerFailure(
      session, FailureCode::Aborted, "the transaction was rolled back");
    return;
  }
  this->Submit(
    session,
    { session.id, relayed.requestId, relayed.statement, relayed.spent });
}

/**
 * Whether the statement is served here. Not if this host's configuration sends
 * the database elsewhere: the sender's may be older, or newer, and this host
 * must not act on a version that its own callers do not have.
 */
bool
ProxyEngine::MayServeRelayed(const RelayedStatement& aRelayed) const
{
  const DatabaseRoute* own = this->RouteOf(aRelayed.route.database);
  return !this->IsDraining() && own != nullptr &&
         own->service == aRelayed.route.service &&
         this->KnowsCustomer(aRelayed.customer, *own) &&
         this->relayedSessions.size() < detail::kMaxRelayedSessions &&
         this->relayedBytes + detail::BytesOf(aRelayed) <=
           this->options.maxRelayedBytes;
}

/** The session that serves the statement, with the sender's state of it. */
CallerSession&
ProxyEngine::RelayedSession(const RelayedStatementArrived& aEvent)
{
  const RelayedStatement& relayed = aEvent.statement;
  CallerId& id = this->relayedSessions[{ aEvent.link, relayed.session }];
  if (id == 0) {
    id = detail::kFirstRelayedCaller + ++this->lastRelayedCaller;
    CallerSession& created = this->sessions[id];
    created.id = id;
    created.database = relayed.route.database;
    created.route = relayed.route;
    created.customer = relayed.customer;
    created.state = relayed.state;
    created.readOnly = relayed.readOnly;
    created.transactionArrived = this->now - relayed.transactionSpent;
  }
  CallerSession& session = this->sessions.at(id);
  session.origin = RelayOrigin{ aEvent.link, relayed.session, relayed.number };
  session.values = relayed.values;
  this->relayedBytes -= session.relayedBytes;
  session.relayedBytes = detail::BytesOf(relayed);
  this->relayedBytes += session.relayedBytes;
  session.lastCommit = relayed.lastCommit;
  session.lastActive = this->now;
  session.prepared.clear(); // each execution comes with its own
  if (relayed.statement.kind == StatementKind::Execute) {
    session.prepared[relayed.statement.name] = {
      relayed.statement.writes, relayed.statement.preparedText
    };
  }
  return session;
}

void
ProxyEngine::Decline(const RelayedStatementArrived& aEvent)
{
  RelayedReply reply;
  reply.session = aEvent.statement.session;
  reply.number = aEvent.statement.number;
  reply.isDeclined = true;
  this->Emit(AnswerRelay{ aEvent.link, reply });
}

/** Replies to the host that relayed the statement. */
void
ProxyEngine::AnswerOrigin(CallerSession& aSession, StatementReply aReply)
{
  const RelayOrigin& origin = *aSession.origin;
  bool isOpen = aSession.state == SessionState::InTransaction;
  this->Emit(AnswerRelay{
    origin.link, { origin.session, origin.number, std::move(aReply), false } });
  if (!isOpen) {
    this->finishedSessions.push_back(aSession.id);
  }
}

/**
 * Removes relayed sessions that have ended while an event was handled; until
 * then, the code that answered them may still refer to them.
 */
void
ProxyEngine::RemoveFinishedSessions()
{
  for (CallerId id : std::exchange(this->finishedSessions, {})) {
    this->On(SessionClosed{ id });
  }
}

void
ProxyEngine::On(const RelayedEndArrived& aEvent)
{
  auto found = this->relayedSessions.find({ aEvent.link, aEvent.end.session });
  if (found != this->relayedSessions.end()) {
    this->On(SessionClosed{ found->second });
  }
}

void
ProxyEngine::On(const RelayLinkLost& aEvent)
{
  std::vector<CallerId> lost;
  for (auto it = this->relayedSessions.lower_bound({ aEvent.link, 0 });
       it != this->relayedSessions.end() && it->first.first == aEvent.link;
       ++it) {
    lost.push_back(it->second);
  }
  for (CallerId id : lost) {
    this->On(SessionClosed{ id });
  }
}

} // namespace marigoldpitch
