#include "marigoldpitch/coordination/proxy/proxy-engine.h"
#include "marigoldpitch/coordination/proxy/statement-limits.h"

namespace marigoldpitch {

namespace detail {

size_t
EntryBytes(const std::string& aName, const std::string& aText)
{
  return aName.size() + aText.size() + kEntryOverheadBytes;
}

/** Returns false and changes nothing if the settings would be over the limit.
 */
bool
StoreSetting(CallerSession& aSession, const SessionStatement& aStatement)
{
  const std::string& name = aStatement.name;
  auto found = aSession.values.find(name);
  size_t replaced =
    found == aSession.values.end() ? 0 : EntryBytes(name, found->second);
  size_t bytes =
    aSession.settingsBytes - replaced + EntryBytes(name, aStatement.arguments);
  if (bytes > kMaxSettingsBytes) {
    return false;
  }
  aSession.settingsBytes = bytes;
  aSession.values[name] = aStatement.arguments;
  return true;
}

size_t
PreparedBytes(const CallerSession& aSession, const std::string& aName)
{
  auto found = aSession.prepared.find(aName);
  return found == aSession.prepared.end()
           ? 0
           : EntryBytes(aName, found->second.preparedText);
}

/** Like `StoreSetting`, for a prepared statement. */
bool
StorePrepared(CallerSession& aSession, const SessionStatement& aStatement)
{
  const std::string& name = aStatement.name;
  size_t bytes = aSession.preparedBytes - PreparedBytes(aSession, name) +
                 EntryBytes(name, aStatement.preparedText);
  if (bytes > kMaxPreparedBytes) {
    return false;
  }
  aSession.preparedBytes = bytes;
  aSession.prepared[name] = { aStatement.writes, aStatement.preparedText };
  return true;
}

void
RemovePrepared(CallerSession& aSession, const std::string& aName)
{
  aSession.preparedBytes -= PreparedBytes(aSession, aName);
  aSession.prepared.erase(aName);
}

size_t
BytesOf(const PendingStatement& aPending)
{
  return aPending.requestId.size() + SizeOf(aPending.statement) +
         aPending.statement.preparedText.size();
}

} // namespace detail

size_t
ProxyEngine::HeldBytes(CallerId aCaller) const
{
  auto found = this->sessions.find(aCaller);
  if (found == this->sessions.end()) {
    return 0;
  }
  const CallerSession& session = found->second;
  return session.settingsBytes + session.preparedBytes + session.inboxBytes +
         (session.pending ? detail::BytesOf(*session.pending) : 0);
}

const DatabaseRoute*
ProxyEngine::RouteOf(const std::string& aDatabase) const
{
  auto found = this->config.routes.find(aDatabase);
  return found == this->config.routes.end() ? nullptr : &found->second;
}

void
ProxyEngine::HandleStatement(CallerSession& aSession,
                             const StatementArrived& aEvent)
{
  const SessionStatement& statement = aEvent.statement;
  bool isFailed = aSession.state == SessionState::Failed;
  bool ends = statement.kind == StatementKind::Commit ||
              statement.kind == StatementKind::RollBack;
  if (std::exchange(aSession.abortUnreported, false)) {
    aSession.state = ends ? SessionState::Idle : aSession.state;
    this->AnswerFailure(
      aSession, FailureCode::Aborted, "the transaction was rolled back");
    return;
  }
  if (isFailed && !ends) {
    this->AnswerFailure(aSession,
                        FailureCode::Invalid,
                        "the transaction has failed and must be rolled back");
    return;
  }
  if (SizeOf(aEvent) > kMaxStatementBytes) {
    this->RefuseTooBig(aSession, aEvent.requestId, "the statement is too long");
    return;
  }
  switch (statement.kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
      this->Begin(aSession, statement.kind == StatementKind::BeginReadOnly);
      return;
    case StatementKind::RollBack:
      this->RollBack(aSession);
      return;
    case StatementKind::SetValue:
    case StatementKind::Prepare:
    case StatementKind::Forget:
      this->SetValue(aSession, aEvent);
      return;
    case StatementKind::Commit:
      if (isFailed) {
        aSession.state = SessionState::Idle;
        this->AnswerFailure(aSession, FailureCode::Aborted, "rolled back");
        return;
      }
      if (aSession.state == SessionState::Idle) {
        this->AnswerFailure(
          aSession, FailureCode::Invalid, "no transaction is open");
        return;
      }
      break;
    default:
      break;
  }
  this->Submit(aSession, aEvent);
}

/** Refuses a statement that has changed nothing; the session goes on. */
void
ProxyEngine::RefuseTooBig(CallerSession& aSession,
                          const std::string& aRequestId,
                          const std::string& aWhy)
{
  this->AddDecision(LogEvent::CallerRefused, aRequestId, { { "why", aWhy } });
  this->AnswerFailure(aSession, FailureCode::TooBig, aWhy);
}

void
ProxyEngine::HandleNextStatement(CallerSession& aSession)
{
  while (!aSession.pending && !aSession.inbox.empty()) {
    StatementArrived next = aSession.inbox.front();
    aSession.inbox.pop_front();
    aSession.inboxBytes -= SizeOf(next);
    this->HandleStatement(aSession, next);
  }
}

void
ProxyEngine::Begin(CallerSession& aSession, bool aReadOnly)
{
  if (aSession.state != SessionState::Idle) {
    this->AnswerFailure(
      aSession, FailureCode::Invalid, "a transaction is already open");
    return;
  }
  const DatabaseRoute* route = this->RouteOf(aSession.database);
  if (route == nullptr) {
    this->AnswerFailure(aSession, FailureCode::NoDatabase, "no such database");
    return;
  }
  auto customer = this->CustomerOf(aSession.key, *route);
  if (!customer) {
    this->RefuseKey(aSession, "");
    return;
  }
  // The transaction is started at an upstream with its first statement.
  aSession.state = SessionState::InTransaction;
  aSession.readOnly = aReadOnly;
  aSession.transactionWrote = false;
  aSession.hasPermit = false;
  aSession.transactionArrived = this->now;
  aSession.route = *route;
  aSession.customer = *customer;
  this->Answer(aSession, {});
}

void
ProxyEngine::SetValue(CallerSession& aSession, const StatementArrived& aEvent)
{
  const SessionStatement& statement = aEvent.statement;
  bool isStored = true;
  switch (statement.kind) {
    case StatementKind::SetValue:
      isStored = detail::StoreSetting(aSession, statement);
      break;
    case StatementKind::Prepare:
      isStored = detail::StorePrepared(aSession, statement);
      break;
    default:
      detail::RemovePrepared(aSession, statement.name);
      break;
  }
  if (!isStored) {
    this->RefuseTooBig(
      aSession, aEvent.requestId, "the session would hold too much");
    return;
  }
  this->Answer(aSession, {});
}

void
ProxyEngine::RollBack(CallerSession& aSession)
{
  this->LeaveTransaction(aSession);
  this->Answer(aSession, {});
}

void
ProxyEngine::Answer(CallerSession& aSession, StatementReply aReply)
{
  if (SizeOf(aReply) > kMaxReplyBytes) {
    this->RefuseReply(aSession);
    return;
  }
  aReply.state = aSession.state;
  aSession.pending.reset();
  aSession.lastActive = this->now;
  if (aSession.origin) {
    this->AnswerOrigin(aSession, std::move(aReply));
    return;
  }
  this->Emit(AnswerCaller{ aSession.id, std::move(aReply) });
  if (this->IsDraining()) {
    this->answeredSessions.push_back(aSession.id);
  }
  this->HandleNextStatement(aSession);
}

/**
 * Answers a statement whose reply is larger than a link carries. It has run: a
 * commit may not be called failed, and an open transaction is rolled back.
 */
void
ProxyEngine::RefuseReply(CallerSession& aSession)
{
  bool inTransaction = aSession.state == SessionState::InTransaction;
  FailureCode code = FailureCode::Failed;
  if (ProxyEngine::IsCommit(aSession)) {
    code = FailureCode::OutcomeUnknown;
  } else if (inTransaction && aSession.pending->writes) {
    code = FailureCode::Aborted;
  }
  if (inTransaction) {
    this->FailTransaction(aSession);
  }
  this->AnswerFailure(aSession, code, "the reply is too large");
}

void
ProxyEngine::AnswerFailure(CallerSession& aSession,
                           FailureCode aCode,
                           const std::string& aText)
{
  std::string requestId;
  if (aSession.pending) {
    requestId = aSession.pending->requestId;
    const PendingStatement& pending = *aSession.pending;
    this->AddDecision(
      LogEvent::StatementRefused,
      requestId,
      { { "code", kFailureCodeNames.TextOf(aCode) },
        { "why", aText },
        { "statement", kStatementKindNames.TextOf(pending.statement.kind) },
        { "service", pending.route.service },
        { "phase", kStatementPhaseNames.TextOf(pending.phase) },
        { "tries", std::to_string(pending.tries) },
        { "age_ms", std::to_string((this->now - pending.arrived).ms) } });
  }
  StatementReply reply;
  reply.failure = StatementFailure{ aCode, aText };
  this->Answer(aSession, std::move(reply));
}

/**
 * Rolls the transaction back at the upstream. The session stays in a failed
 * transaction until the caller ends it.
 */
void
ProxyEngine::FailTransaction(CallerSession& aSession)
{
  this->LeaveTransaction(aSession);
  aSession.state = SessionState::Failed;
}

void
ProxyEngine::LeaveTransaction(CallerSession& aSession)
{
  aSession.state = SessionState::Idle;
  aSession.abortUnreported = false;
  if (!aSession.relayHost.empty()) {
    this->EndRelayedWork(aSession);
  }
  ConnectionId pinned = std::exchange(aSession.pinned, 0);
  if (pinned == 0) {
    return;
  }
  ProxyLink& link = this->links.at(pinned);
  if (aSession.pending && aSession.pending->connection == pinned) {
    return; // the answer to the open statement comes first
  }
  link.use = LinkUse::RollBack;
  link.caller = 0;
  ProxyService& service = this->ServiceOf(link.service);
  link.sequence = service.connections.StartBatch(link.id, this->now);
  link.asked = this->now;
  link.limit = this->now + kRollBackTimeout;
  this->Emit(SendToUpstream{ link.id, "", { StatementKind::RollBack }, {} });
}

void
ProxyEngine::ExpireTransactions()
{
  for (auto& [id, session] : this->sessions) {
    bool isIdle =
      session.state == SessionState::InTransaction && !session.pending &&
      this->now - session.lastActive >= this->config.transactionIdleTimeout;
    if (isIdle) {
      this->AddDecision(
        LogEvent::TransactionExpired,
        "",
        { { "database", session.database },
          { "idle_ms", std::to_string((this->now - session.lastActive).ms) } });
      this->FailTransaction(session);
      session.abortUnreported = true;
    }
  }
}

} // namespace marigoldpitch
