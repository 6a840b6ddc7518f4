#include "marigoldpitch/coordination/proxy/proxy-engine.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr Duration kRecentAnswerSpan = Millis(300);
// Share of a statement's timeout that it may wait in the queue.
constexpr double kMaxQueueTimeShare = 0.45;
// A promotion takes about this long, so a caller that tries again sooner is
// likely to be refused again.
constexpr Duration kSuccessorRetryTime = Millis(500);

// Share of the timeout after which a statement is not queued any longer even
// for a primary that is about to be usable.
constexpr double kMaxPrimaryWaitShare = 0.7;
// The statements that waited for a primary are placed within this time.
constexpr Duration kPlacingTime = Millis(50);

/** The share of the statement's timeout. */
Duration
ShareOfTimeout(const PendingStatement& aPending, double aShare)
{
  return Duration{ static_cast<int64_t>(
    static_cast<double>(aPending.route.timeout.ms) * aShare) };
}

} // namespace detail

/**
 * The connection of the session's open statement was lost. The statement is
 * queued again if it can be repeated. If not, a commit or write that may have
 * taken effect fails with `OutcomeUnknown`, and any other statement of a
 * transaction with `Aborted`.
 */
void
ProxyEngine::HandleLostAnswer(CallerSession& aSession, UpstreamIndex aUpstream)
{
  PendingStatement& pending = *aSession.pending;
  bool isCommit = pending.statement.kind == StatementKind::Commit;
  bool inTransaction = aSession.state == SessionState::InTransaction;
  bool wasSent = pending.phase == StatementPhase::Running;
  bool isMidTransaction =
    inTransaction && aSession.pinned != 0 && !pending.startedTransaction;
  aSession.pinned = 0;
  pending.connection = 0;
  pending.failedAt.insert(aUpstream);
  pending.mayHaveRun = pending.mayHaveRun || wasSent;
  if (isMidTransaction) {
    bool mayBeCommitted = isCommit && wasSent && aSession.transactionWrote;
    aSession.state = isCommit ? SessionState::Idle : SessionState::Failed;
    this->AnswerFailure(aSession,
                        mayBeCommitted ? FailureCode::OutcomeUnknown
                                       : FailureCode::Aborted,
                        "the connection was lost");
    return;
  }
  if (wasSent && pending.writes && !inTransaction) {
    this->AnswerFailure(
      aSession, FailureCode::OutcomeUnknown, "the connection was lost");
    return;
  }
  const ServiceView& view = this->ServiceOf(pending.route.service).view;
  this->AddDecision(LogEvent::StatementRetried,
                    pending.requestId,
                    { { "upstream", view.At(aUpstream).registration.id },
                      { "code", "connection-lost" },
                      { "phase", kStatementPhaseNames.TextOf(pending.phase) },
                      { "try", std::to_string(pending.tries) } });
  this->Requeue(aSession, Millis(0));
}

void
ProxyEngine::Close(ConnectionId aConnection, bool aIsUpstreamAtFault)
{
  this->Emit(CloseLink{ aConnection });
  this->RemoveLink(aConnection, aIsUpstreamAtFault);
}

void
ProxyEngine::RemoveLink(ConnectionId aConnection, bool aIsUpstreamAtFault)
{
  ProxyLink link = std::move(this->links.at(aConnection));
  this->links.erase(aConnection);
  ProxyService& service = this->ServiceOf(link.service);
  service.connections.Remove(aConnection);
  service.view.CommitEnded(aConnection);
  ProxyUpstream& upstream = service.view.At(link.upstream);
  bool isAlive = link.isOpening &&
                 this->now - upstream.lastAnswer <= detail::kRecentAnswerSpan;
  if (isAlive) {
    // The upstream answers on other connections, so it has reached its limit.
    this->NoteFull(service, link.upstream);
  } else if (aIsUpstreamAtFault) {
    service.view.Failed(link.upstream, this->now);
    this->AddDecision(LogEvent::ConnectionLost,
                      "",
                      { { "upstream", upstream.registration.id },
                        { "use", kLinkUseNames.TextOf(link.use) },
                        { "failures", std::to_string(upstream.failures) } });
  }
  if (link.use == LinkUse::Command || link.isOpening) {
    upstream.reportRequestOpen = false;
    service.proofRequestOpen = false;
    service.queuedCommands.erase(link.upstream);
  }
  auto found = this->sessions.find(link.caller);
  if (link.use != LinkUse::Statement || found == this->sessions.end()) {
    return;
  }
  CallerSession& session = found->second;
  if (session.pending && session.pending->connection == aConnection) {
    this->HandleLostAnswer(session, link.upstream);
  } else if (session.pinned == aConnection) {
    this->AbortTransaction(session, "connection-lost");
  }
}

/**
 * Aborts the transaction between two statements; the next statement fails with
 * `Aborted`.
 */
void
ProxyEngine::AbortTransaction(CallerSession& aSession, const std::string& aWhy)
{
  aSession.pinned = 0;
  aSession.relayHost.clear();
  aSession.state = SessionState::Failed;
  aSession.abortUnreported = true;
  if (aSession.pending) {
    this->Dequeue(aSession);
    aSession.abortUnreported = false;
    this->AnswerFailure(aSession, FailureCode::Aborted, aWhy);
  }
}

void
ProxyEngine::CheckDeadlines()
{
  std::vector<ConnectionId> silent;
  for (const auto& [id, link] : this->links) {
    if (link.limit <= this->now) {
      silent.push_back(id);
    }
  }
  for (ConnectionId id : silent) {
    if (this->links.count(id) != 0) {
      this->Close(id, true);
    }
  }
  std::vector<CallerId> late;
  for (const auto& [id, session] : this->sessions) {
    if (session.pending && this->DeadlineOf(session) <= this->now) {
      late.push_back(id);
    }
  }
  for (CallerId id : late) {
    this->Expire(this->sessions.at(id));
  }
}

/**
 * When a statement is given up. A statement that is still queued fails before
 * its deadline: at once if it needs a primary that has left, because nobody
 * knows when its successor comes; otherwise after `kMaxQueueTimeShare` of its
 * timeout or, if it does not wait for a primary, after its latency objective. A
 * statement that has not started by then would only delay others, and the
 * caller still has time to react. It waits longer for a primary that is known
 * and may be used soon.
 */
Time
ProxyEngine::DeadlineOf(const CallerSession& aSession) const
{
  const PendingStatement& pending = *aSession.pending;
  if (pending.phase != StatementPhase::Queued || aSession.pinned != 0) {
    return pending.deadline;
  }
  Duration maxQueueTime =
    detail::ShareOfTimeout(pending, detail::kMaxQueueTimeShare);
  const ProxyService& service = this->services.at(pending.route.service);
  if (this->NeedsPrimaryThatHasLeft(pending)) {
    return pending.arrived;
  }
  bool waitsForPrimary =
    pending.needsPrimary && !service.view.IsPrimaryUsable(this->now);
  if (!waitsForPrimary) {
    maxQueueTime = std::min(maxQueueTime, pending.route.latencyObjective);
  }
  Time usable = service.view.PrimaryUsableFrom();
  Duration untilPlaced = usable - pending.arrived + detail::kPlacingTime;
  bool mayWait = pending.needsPrimary && usable > pending.arrived &&
                 untilPlaced <= detail::ShareOfTimeout(
                                  pending, detail::kMaxPrimaryWaitShare);
  if (mayWait) {
    maxQueueTime = std::max(maxQueueTime, untilPlaced);
  }
  return pending.arrived + maxQueueTime;
}

/** Gives up a statement that has reached its limit. */
void
ProxyEngine::Expire(CallerSession& aSession)
{
  const PendingStatement& pending = *aSession.pending;
  bool isUnsent = pending.phase != StatementPhase::Running &&
                  pending.phase != StatementPhase::Relayed &&
                  pending.phase != StatementPhase::AwaitingReplica &&
                  !pending.mayHaveRun;
  bool hasLeft = aSession.state != SessionState::InTransaction && isUnsent &&
                 this->NeedsPrimaryThatHasLeft(pending);
  this->GiveUp(aSession,
               hasLeft
                 ? "the primary has left; retry after " +
                     std::to_string(detail::kSuccessorRetryTime.ms) + " ms"
                 : "no answer in time");
}

/**
 * Gives up the session's open statement. The failure code tells whether it may
 * have taken effect: `OutcomeUnknown` for a commit or write that was sent,
 * `Aborted` if its transaction is rolled back, `Timeout` for a read that was
 * sent, and `Busy` if nothing was sent.
 */
void
ProxyEngine::GiveUp(CallerSession& aSession, const std::string& aWhy)
{
  PendingStatement& pending = *aSession.pending;
  bool isCommit = pending.statement.kind == StatementKind::Commit;
  bool inTransaction = aSession.state == SessionState::InTransaction;
  bool wasSent = pending.phase == StatementPhase::Running ||
                 pending.phase == StatementPhase::Relayed;
  if (pending.phase == StatementPhase::Queued) {
    this->LogUnprovedRead(aSession);
    this->Dequeue(aSession);
  }
  this->EndRelayedWork(aSession);
  if (pending.connection != 0) {
    ProxyLink& link = this->links.at(pending.connection);
    link.use = LinkUse::Orphan;
    link.caller = 0;
    link.limit = this->now + kOrphanTimeout;
    pending.connection = 0;
    aSession.pinned = 0;
  }
  FailureCode code = FailureCode::Busy;
  if (inTransaction) {
    bool mayBeCommitted = isCommit && wasSent && aSession.transactionWrote;
    code = mayBeCommitted ? FailureCode::OutcomeUnknown : FailureCode::Aborted;
    if (isCommit) {
      this->LeaveTransaction(aSession);
    } else {
      this->FailTransaction(aSession);
    }
  } else if (pending.phase == StatementPhase::AwaitingReplica) {
    code = FailureCode::OutcomeUnknown;
  } else if (wasSent || pending.mayHaveRun) {
    code = pending.writes ? FailureCode::OutcomeUnknown : FailureCode::Timeout;
  }
  this->AnswerFailure(aSession, code, aWhy);
}

bool
ProxyEngine::NeedsPrimaryThatHasLeft(const PendingStatement& aPending) const
{
  const ProxyService& service = this->services.at(aPending.route.service);
  return aPending.needsPrimary && service.view.HasPrimaryLeft(this->now);
}

/**
 * Logs why no replica could be proved fresh enough, if that is why a read that
 * accepts stale data is given up.
 */
void
ProxyEngine::LogUnprovedRead(const CallerSession& aSession)
{
  const PendingStatement& pending = *aSession.pending;
  ProxyService& service = this->ServiceOf(pending.route.service);
  bool lacksPoint = !pending.needsPrimary && aSession.pinned == 0 &&
                    !this->FreshPointFor(service, aSession);
  if (!lacksPoint) {
    return;
  }
  const ServiceView& view = service.view;
  bool isUnsettled =
    view.HasUnsettledSince(pending.arrived - pending.route.maxAge);
  this->AddDecision(
    LogEvent::ReadUnproved,
    pending.requestId,
    { { "service", service.name },
      { "why", isUnsettled ? "members-unsettled" : "no-sample" },
      { "record", FormatStorePosition(view.Members().Position()) },
      { "primary", view.Primary() ? "known" : "unknown" },
      { "members", this->DescribeMembers(service) } });
}

} // namespace marigoldpitch
