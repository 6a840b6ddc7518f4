#include "marigoldpitch/coordination/proxy/proxy-engine.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr double kMinLagMs = 5;
constexpr double kMaxLagMs = 200;
constexpr double kLagGrowth = 1.3; // if the replica is still behind
constexpr double kLagDecay = 0.98; // if it held the point
constexpr Duration kBusyBackoff = Millis(8);
constexpr double kWindowDecrease = 0.8;
constexpr double kWindowGrowth = 0.2; // per window of answers
constexpr double kWindowShrink = 0.05;
constexpr double kCongestionFactor =
  2.5; // latency as a multiple of `minLatencyMs`
constexpr double kMinLatencyGrowth = 1.001;
constexpr Duration kMisroutedBackoff = Seconds(1);
constexpr uint32_t kMaxReadTries = 3;
constexpr double kLatencyWeight = 0.1;
constexpr double kMaxLatencyDecay = 0.998; // per answer

bool
DidNotRun(FailureCode aCode)
{
  return aCode == FailureCode::Busy || aCode == FailureCode::NoStatement ||
         aCode == FailureCode::Behind || aCode == FailureCode::ReadOnly;
}

} // namespace detail

/** Any answer, even a failure, shows that the upstream is reachable. */
void
ProxyEngine::NoteAnswer(ProxyLink& aLink)
{
  this->ServiceOf(aLink.service).view.Answered(aLink.upstream, this->now);
  this->pathWorkedAt = std::max(this->pathWorkedAt, aLink.asked);
  aLink.lastAnswer = this->now;
}

void
ProxyEngine::On(const LinkOpened& aEvent)
{
  auto found = this->links.find(aEvent.connection);
  if (found == this->links.end()) {
    return;
  }
  ProxyLink& link = found->second;
  ProxyService& service = this->ServiceOf(link.service);
  service.connections.MarkOpened(link.id, this->now);
  this->NoteAnswer(link);
  link.isOpening = false;
  link.lastServed = this->now;
  link.limit = kInfiniteFuture;
  service.view.At(link.upstream).pace.NoteAccepted();
  this->SendQueuedCommands(service);
}

void
ProxyEngine::On(const LinkLost& aEvent)
{
  auto found = this->links.find(aEvent.connection);
  if (found == this->links.end()) {
    return;
  }
  ProxyLink& link = found->second;
  ProxyUpstream& upstream =
    this->ServiceOf(link.service).view.At(link.upstream);
  bool isFull = aEvent.failure && aEvent.failure->code == FailureCode::TooMany;
  bool isMisrouted =
    aEvent.failure && aEvent.failure->code == FailureCode::Misrouted;
  if (isFull) {
    this->NoteFull(this->ServiceOf(link.service), link.upstream);
  }
  this->RemoveLink(aEvent.connection, !isFull);
  if (isMisrouted) {
    upstream.avoidUntil = this->now + detail::kMisroutedBackoff;
  }
}

void
ProxyEngine::On(const LinkAnswered& aEvent)
{
  auto found = this->links.find(aEvent.connection);
  if (found == this->links.end()) {
    return;
  }
  ProxyLink& link = found->second;
  ServiceView& view = this->ServiceOf(link.service).view;
  this->NoteAnswer(link);
  if (aEvent.reply.failure &&
      aEvent.reply.failure->code == FailureCode::NoStatement) {
    // It lacks a statement that was prepared there, and perhaps others.
    link.prepared.Clear();
    link.needsReset = true;
  }
  view.CommitEnded(link.id);
  if (aEvent.reply.position) {
    view.ApplyLogEnd(
      link.upstream, *aEvent.reply.position, link.asked, this->now);
  }
  switch (link.use) {
    case LinkUse::Statement:
      this->Answered(link, aEvent.reply);
      return;
    case LinkUse::RollBack:
      if (aEvent.reply.state == SessionState::Idle) {
        this->Release(link, SessionState::Idle);
      } else {
        this->Close(link.id, false);
      }
      return;
    case LinkUse::Orphan:
      if (!link.openSetups.empty()) {
        link.openSetups.pop_front();
        link.needsReset = link.needsReset || aEvent.reply.failure.has_value();
      }
      if (link.openSetups.empty()) {
        this->Release(link, aEvent.reply.state);
      }
      return;
    case LinkUse::Command:
    case LinkUse::None:
      this->Close(link.id, false); // no request was open
      return;
  }
}

void
ProxyEngine::Answered(ProxyLink& aLink, const StatementReply& aReply)
{
  CallerSession& session = this->sessions.at(aLink.caller);
  switch (session.pending->phase) {
    case StatementPhase::Preparing:
      this->HandleSetupReply(aLink, session, aReply);
      return;
    case StatementPhase::Beginning:
      this->HandleBeginReply(aLink, session, aReply);
      return;
    default:
      this->HandleStatementReply(aLink, session, aReply);
      return;
  }
}

void
ProxyEngine::HandleBeginReply(ProxyLink& aLink,
                              CallerSession& aSession,
                              const StatementReply& aReply)
{
  if (!aReply.failure && aReply.state != SessionState::InTransaction) {
    this->Close(aLink.id, false);
    return;
  }
  if (!aReply.failure) {
    this->SendNext(aLink, aSession);
    return;
  }
  StatementFailure failure = *aReply.failure;
  this->NoteFailure(aLink, aSession, failure);
  aSession.pinned = 0;
  this->Release(aLink, aReply.state);
  this->Requeue(
    aSession, failure.code == FailureCode::Busy ? kBusyRetryDelay : Millis(0));
}

void
ProxyEngine::HandleStatementReply(ProxyLink& aLink,
                                  CallerSession& aSession,
                                  const StatementReply& aReply)
{
  ProxyService& service = this->ServiceOf(aLink.service);
  service.connections.FinishBatch(aLink.id, aLink.sequence, this->now);
  aLink.limit = kInfiniteFuture;
  aSession.pending->connection = 0;
  if (aReply.failure) {
    this->HandleFailure(aLink, aSession, aReply);
  } else {
    this->HandleSuccess(aLink, aSession, aReply);
  }
}

void
ProxyEngine::HandleSuccess(ProxyLink& aLink,
                           CallerSession& aSession,
                           const StatementReply& aReply)
{
  PendingStatement& pending = *aSession.pending;
  ProxyService& service = this->ServiceOf(aLink.service);
  ProxyUpstream& upstream = service.view.At(aLink.upstream);
  auto elapsedMs = static_cast<double>((this->now - pending.sent).ms);
  upstream.latencyMs +=
    (elapsedMs - upstream.latencyMs) * detail::kLatencyWeight;
  this->AdaptWindow(service, aLink.upstream);
  if (pending.after) {
    upstream.lagMs =
      std::max(upstream.lagMs * detail::kLagDecay, detail::kMinLagMs);
  }
  double& slowest = service.maxLatencyMs[pending.route.database];
  slowest = std::max(elapsedMs, slowest * detail::kMaxLatencyDecay);

  bool isCommit = pending.statement.kind == StatementKind::Commit;
  bool inTransaction = aSession.state == SessionState::InTransaction;
  bool isCommitted =
    isCommit ? aSession.transactionWrote : pending.writes && !inTransaction;
  if (inTransaction && pending.writes) {
    aSession.transactionWrote = true;
  }
  this->Emit(ObserveLatency{ this->now - pending.arrived, pending.onReplica });
  if (isCommit || !inTransaction) {
    aSession.state = SessionState::Idle;
    aSession.pinned = 0;
    this->Release(aLink, aReply.state);
  } else if (aReply.state != SessionState::InTransaction) {
    // The upstream has ended the transaction that the session has open.
    aSession.pinned = 0;
    this->Release(aLink, aReply.state);
    aSession.state = SessionState::Failed;
  }
  if (isCommitted) {
    this->FinishCommit(
      service, aSession, { aLink.upstream, aReply, this->now });
    return;
  }
  this->Answer(aSession, aReply);
}

/**
 * Adapts the number of concurrent statements that the upstream gets from this
 * host. The window grows while the latency is close to its recent minimum and
 * shrinks when it exceeds `kCongestionFactor` times that.
 */
void
ProxyEngine::AdaptWindow(ProxyService& aService, UpstreamIndex aUpstream) const
{
  ProxyUpstream& upstream = aService.view.At(aUpstream);
  upstream.minLatencyMs = std::min(
    upstream.minLatencyMs * detail::kMinLatencyGrowth, upstream.latencyMs);
  if (upstream.window == 0) {
    upstream.window = aService.share;
  }
  bool isCongested =
    upstream.latencyMs > upstream.minLatencyMs * detail::kCongestionFactor;
  double step = isCongested ? -detail::kWindowShrink
                            : detail::kWindowGrowth / upstream.window;
  upstream.window = std::clamp<double>(
    upstream.window + step, 1, this->ConnectionLimit(aService, aUpstream));
}

void
ProxyEngine::NoteBusy(ProxyService& aService, UpstreamIndex aUpstream)
{
  ProxyUpstream& upstream = aService.view.At(aUpstream);
  if (upstream.busyUntil > this->now) {
    return;
  }
  double busy = aService.connections.UsageOf(aUpstream).busy + 1;
  upstream.window = std::max(busy * detail::kWindowDecrease, 1.0);
  upstream.busyUntil = this->now + detail::kBusyBackoff;
}

void
ProxyEngine::NoteFailure(ProxyLink& aLink,
                         CallerSession& aSession,
                         const StatementFailure& aFailure)
{
  PendingStatement& pending = *aSession.pending;
  ProxyService& service = this->ServiceOf(aLink.service);
  ProxyUpstream& upstream = service.view.At(aLink.upstream);
  this->AddDecision(LogEvent::StatementRetried,
                    pending.requestId,
                    { { "upstream", upstream.registration.id },
                      { "code", kFailureCodeNames.TextOf(aFailure.code) },
                      { "try", std::to_string(pending.tries) } });
  switch (aFailure.code) {
    case FailureCode::Behind:
      --pending.tries; // a lagging replica does not count as a failed try
      if (pending.after) {
        upstream.lagMs =
          std::min(upstream.lagMs * detail::kLagGrowth, detail::kMaxLagMs);
        bool mustUpdate = upstream.behindUntil <= this->now ||
                          pending.after->point.IsBehind(upstream.behind);
        upstream.behind = mustUpdate ? pending.after->point : upstream.behind;
        upstream.behindUntil =
          this->now + Duration{ static_cast<int64_t>(upstream.lagMs) };
      }
      break;
    case FailureCode::Busy:
      --pending.tries;
      this->NoteBusy(service, aLink.upstream);
      break;
    case FailureCode::ReadOnly:
      service.view.NoteNoLongerPrimary(aLink.upstream);
      break;
    default:
      pending.failedAt.insert(aLink.upstream);
      break;
  }
}

void
ProxyEngine::HandleFailure(ProxyLink& aLink,
                           CallerSession& aSession,
                           const StatementReply& aReply)
{
  PendingStatement& pending = *aSession.pending;
  StatementFailure failure = *aReply.failure;
  bool isCommit = pending.statement.kind == StatementKind::Commit;
  bool inTransaction = aSession.state == SessionState::InTransaction;
  bool isRestartable = !inTransaction || pending.startedTransaction;
  bool didNotRun = detail::DidNotRun(failure.code);
  bool mayRepeat = didNotRun || (!pending.writes && !isCommit &&
                                 pending.tries < detail::kMaxReadTries &&
                                 (failure.code == FailureCode::Failed ||
                                  failure.code == FailureCode::Timeout));
  if (isRestartable && mayRepeat) {
    this->NoteFailure(aLink, aSession, failure);
    aSession.pinned = 0;
    pending.mayHaveRun = pending.mayHaveRun || !didNotRun;
    this->Release(aLink, aReply.state);
    bool isBusy = failure.code == FailureCode::Busy;
    this->Requeue(aSession, isBusy ? kBusyRetryDelay : Millis(0));
    return;
  }
  if (inTransaction && failure.code == FailureCode::Busy &&
      aReply.state == SessionState::InTransaction) {
    this->NoteFailure(aLink, aSession, failure);
    this->Requeue(aSession, kBusyRetryDelay);
    return;
  }
  if (failure.code == FailureCode::ReadOnly) {
    this->ServiceOf(aLink.service).view.NoteNoLongerPrimary(aLink.upstream);
  }
  aSession.pinned = 0;
  this->Release(aLink, aReply.state);
  if (inTransaction) {
    aSession.state = isCommit ? SessionState::Idle : SessionState::Failed;
  }
  this->AnswerFailure(aSession, failure.code, failure.text);
}

void
ProxyEngine::Release(ProxyLink& aLink, SessionState aState)
{
  ProxyService& service = this->ServiceOf(aLink.service);
  service.connections.FinishBatch(aLink.id, aLink.sequence, this->now);
  aLink.caller = 0;
  if (aLink.use != LinkUse::Command) {
    aLink.lastServed = this->now;
  }
  if (aState != SessionState::Idle) {
    aLink.use = LinkUse::RollBack;
    aLink.sequence = service.connections.StartBatch(aLink.id, this->now);
    aLink.asked = this->now;
    aLink.limit = this->now + kRollBackTimeout;
    this->Emit(SendToUpstream{ aLink.id, "", { StatementKind::RollBack }, {} });
    return;
  }
  service.connections.Unpin(aLink.id);
  aLink.use = LinkUse::None;
  aLink.limit = kInfiniteFuture;
  this->SendQueuedCommands(service);
}

} // namespace marigoldpitch
