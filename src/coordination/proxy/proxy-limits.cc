#include "marigoldpitch/coordination/proxy/proxy-engine.h"

#include <algorithm>

// Rate limits of customers. An operation takes one permit where its caller's
// session lives: a single statement when it arrives, a transaction with the
// first of its statements. An upstream sees nothing of a transaction before
// that one, and it may come long after the BEGIN; so what runs within a span
// has taken its permit within that span, or was sent before it.

namespace marigoldpitch {

void
ProxyEngine::On(const LimitRequestArrived& aEvent)
{
  this->limits.OnRequest(this->now, aEvent.host, aEvent.request);
}

void
ProxyEngine::On(const LimitReplyArrived& aEvent)
{
  this->limits.OnReply(this->now, aEvent.host, aEvent.reply);
}

void
ProxyEngine::PerformLimits(LimitActions aActions)
{
  for (SentLimitRequest& sent : aActions.requests) {
    this->Emit(SendLimitRequest{ sent.host, std::move(sent.request) });
  }
  for (AddressedReply& addressed : aActions.replies) {
    this->Emit(SendLimitReply{ addressed.host, std::move(addressed.reply) });
  }
  for (const CounterChange& change : aActions.changes) {
    this->AddDecision(
      LogEvent::LimitCounterChanged,
      "",
      { { "customer", change.customer },
        { "state", kCounterStateNames.TextOf(change.state) },
        { "tokens", std::to_string(static_cast<int64_t>(change.tokens)) } });
  }
}

/** Without places, hosts do not know each other; a single one needs nobody. */
void
ProxyEngine::UpdateLimitedHosts()
{
  std::vector<std::string> names;
  for (const HostPlace& place : this->places) {
    names.push_back(place.host);
  }
  if (names.empty() && this->hosts == 1) {
    names.push_back(this->options.host);
  }
  this->limits.SetHosts(this->now, names);
}

/**
 * Whether the session's statement has to wait for a permit of its customer. It
 * is repeated with the permit that it has.
 */
bool
ProxyEngine::AwaitsPermit(CallerSession& aSession)
{
  PendingStatement& pending = *aSession.pending;
  bool inTransaction = aSession.state == SessionState::InTransaction;
  bool needsPermit = !aSession.origin &&
                     !(inTransaction && aSession.hasPermit) &&
                     this->limits.IsLimited(pending.customer);
  if (!needsPermit) {
    return false;
  }
  Duration objective = pending.route.latencyObjective;
  Duration patience = pending.deadline - this->now;
  if (objective > Millis(0)) {
    patience = std::min(patience, pending.arrived + objective - this->now);
  }
  bool isTaken =
    this->limits.Take(this->now, pending.customer, aSession.id, patience);
  if (isTaken) {
    aSession.hasPermit = inTransaction;
    this->Emit(ObservePermit{ PermitResult::Granted, false });
    return false;
  }
  pending.phase = StatementPhase::AwaitingPermit;
  return true;
}

void
ProxyEngine::CancelPermit(const CallerSession& aSession)
{
  bool isAwaiting = aSession.pending &&
                    aSession.pending->phase == StatementPhase::AwaitingPermit;
  if (isAwaiting) {
    this->limits.Cancel(aSession.pending->customer, aSession.id);
  }
}

void
ProxyEngine::HandlePermits(const std::vector<PermitOutcome>& aOutcomes)
{
  for (const PermitOutcome& outcome : aOutcomes) {
    auto found = this->sessions.find(outcome.caller);
    bool isAwaited =
      found != this->sessions.end() && found->second.pending &&
      found->second.pending->phase == StatementPhase::AwaitingPermit;
    if (!isAwaited) {
      continue; // the caller has left
    }
    CallerSession& session = found->second;
    session.pending->phase = StatementPhase::Queued;
    this->Emit(ObservePermit{ outcome.result, true });
    if (outcome.result == PermitResult::Granted) {
      session.hasPermit = session.state == SessionState::InTransaction;
      this->Admit(session);
    } else {
      this->RefusePermit(session, outcome);
    }
  }
}

void
ProxyEngine::RefusePermit(CallerSession& aSession,
                          const PermitOutcome& aOutcome)
{
  bool isOver = aOutcome.result == PermitResult::OverLimit;
  std::string why = isOver ? "over the rate limit of the customer"
                           : "the customer's rate limit cannot be checked";
  this->AddDecision(
    LogEvent::OverLimit,
    aSession.pending->requestId,
    { { "customer", aOutcome.customer },
      { "why", isOver ? "over the limit" : "no counting host was reached" },
      { "counted_by", this->limits.CounterOf(aOutcome.customer) },
      { "waited_ms", std::to_string(aOutcome.waited.ms) },
      { "retry_after_ms", std::to_string(aOutcome.retryAfter.ms) } });
  if (aSession.state == SessionState::InTransaction) {
    this->FailTransaction(aSession);
  }
  this->AnswerFailure(aSession,
                      isOver ? FailureCode::TooMany : FailureCode::Busy,
                      why + "; retry after " +
                        std::to_string(aOutcome.retryAfter.ms) + " ms");
}

} // namespace marigoldpitch
