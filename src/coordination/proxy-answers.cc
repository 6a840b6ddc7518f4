#include "marigoldpitch/coordination/proxy-engine.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr Duration kBusyPause = Millis(8);
constexpr double kLeastLagMs = 5;
constexpr double kMostLagMs = 200;
constexpr double kLagGrowth = 1.3; // if the replica is still behind
constexpr double kLagDecay = 0.98; // if it held the point
constexpr Duration kBusySpan = Millis(8);
constexpr double kWindowCut = 0.8;
constexpr double kWindowGrowth = 0.2; // per window of answers
constexpr double kWindowShrink = 0.05;
constexpr double kCongested = 2.5; // latency as a multiple of `leastMs`
constexpr double kLeastGrowth = 1.001;
constexpr Duration kWrongUpstreamSpan = Seconds(1);
constexpr uint32_t kMostFailedReads = 3;
constexpr double kLatencyWeight = 0.1;
constexpr double kSlowestKept = 0.998; // per answer

bool
DidNotRun(RefusalCode aCode)
{
  return aCode == RefusalCode::Busy || aCode == RefusalCode::NoStatement ||
         aCode == RefusalCode::Behind || aCode == RefusalCode::ReadOnly;
}

} // namespace detail

/** Any answer, even a refusal, shows that the upstream is reachable. */
void
ProxyEngine::Heard(ProxyLink& aLink)
{
  this->ServiceOf(aLink.service).view.Answered(aLink.upstream, this->now);
  this->pathProved = std::max(this->pathProved, aLink.asked);
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
  this->Heard(link);
  link.isOpening = false;
  link.limit = kInfiniteFuture;
  this->AskWanted(service);
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
  bool isFull =
    aEvent.refusal && aEvent.refusal->code == RefusalCode::TooManyConnections;
  bool isOther =
    aEvent.refusal && aEvent.refusal->code == RefusalCode::Misrouted;
  if (isFull) {
    upstream.fullUntil = this->now + kFullSpan;
  }
  this->Lose(aEvent.connection, !isFull);
  if (isOther) {
    upstream.avoidUntil = this->now + detail::kWrongUpstreamSpan;
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
  this->Heard(link);
  view.CommitEnded(link.id);
  if (aEvent.reply.position) {
    view.Saw(link.upstream, *aEvent.reply.position, link.asked);
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
      if (link.preludeOpen > 0) {
        --link.preludeOpen;
      }
      if (link.preludeOpen == 0) {
        this->Release(link, aEvent.reply.state);
      }
      return;
    case LinkUse::Report:
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
      this->PreludeAnswered(aLink, session, aReply);
      return;
    case StatementPhase::Beginning:
      this->BeginAnswered(aLink, session, aReply);
      return;
    default:
      this->StatementAnswered(aLink, session, aReply);
      return;
  }
}

void
ProxyEngine::PreludeAnswered(ProxyLink& aLink,
                             CallerSession& aSession,
                             const StatementReply& aReply)
{
  if (aReply.refusal) {
    // The session state on the connection is unknown now.
    this->Close(aLink.id, false);
    return;
  }
  if (--aLink.preludeOpen == 0) {
    this->SendNext(aLink, aSession);
  }
}

void
ProxyEngine::BeginAnswered(ProxyLink& aLink,
                           CallerSession& aSession,
                           const StatementReply& aReply)
{
  if (!aReply.refusal) {
    this->SendNext(aLink, aSession);
    return;
  }
  Refusal refusal = *aReply.refusal;
  this->NoteRefusal(aLink, aSession, refusal);
  aSession.pinned = 0;
  this->Release(aLink, aReply.state);
  this->Requeue(aSession,
                refusal.code == RefusalCode::Busy ? detail::kBusyPause
                                                  : Millis(0));
}

void
ProxyEngine::StatementAnswered(ProxyLink& aLink,
                               CallerSession& aSession,
                               const StatementReply& aReply)
{
  ProxyService& service = this->ServiceOf(aLink.service);
  service.connections.FinishBatch(aLink.id, aLink.sequence, this->now);
  aLink.limit = kInfiniteFuture;
  aSession.pending->connection = 0;
  if (aReply.refusal) {
    this->Refused(aLink, aSession, aReply);
  } else {
    this->Succeeded(aLink, aSession, aReply);
  }
}

void
ProxyEngine::Succeeded(ProxyLink& aLink,
                       CallerSession& aSession,
                       const StatementReply& aReply)
{
  PendingStatement& pending = *aSession.pending;
  ProxyService& service = this->ServiceOf(aLink.service);
  ProxyUpstream& upstream = service.view.At(aLink.upstream);
  auto took = static_cast<double>((this->now - pending.sent).ms);
  upstream.latencyMs += (took - upstream.latencyMs) * detail::kLatencyWeight;
  this->AdaptWindow(service, upstream);
  if (pending.after) {
    upstream.lagMs =
      std::max(upstream.lagMs * detail::kLagDecay, detail::kLeastLagMs);
  }
  double& slowest = service.slowestMs[pending.route.database];
  slowest = std::max(took, slowest * detail::kSlowestKept);

  bool isCommit = pending.statement.kind == StatementKind::Commit;
  bool inTransaction = aSession.state == SessionState::InTransaction;
  bool kept =
    isCommit ? aSession.transactionWrote : pending.writes && !inTransaction;
  if (kept && aReply.position) {
    aSession.lastCommit = *aReply.position;
    if (service.config.confirmedByReplica) {
      service.view.Confirmed(
        aLink.upstream, *aReply.position, pending.sent, this->now);
    }
  }
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
  this->Answer(aSession, aReply);
}

/**
 * Adapts the number of concurrent statements that the upstream gets from this
 * host. The window grows while the latency is close to its recent minimum and
 * shrinks when it exceeds `kCongested` times that.
 */
void
ProxyEngine::AdaptWindow(const ProxyService& aService, ProxyUpstream& aUpstream)
{
  aUpstream.leastMs =
    std::min(aUpstream.leastMs * detail::kLeastGrowth, aUpstream.latencyMs);
  if (aUpstream.window == 0) {
    aUpstream.window = aService.share;
  }
  bool isCongested =
    aUpstream.latencyMs > aUpstream.leastMs * detail::kCongested;
  double step = isCongested ? -detail::kWindowShrink
                            : detail::kWindowGrowth / aUpstream.window;
  aUpstream.window = std::clamp<double>(
    aUpstream.window + step, 1, std::max<double>(aService.share, 1));
}

void
ProxyEngine::NoteBusy(ProxyService& aService, UpstreamIndex aUpstream)
{
  ProxyUpstream& upstream = aService.view.At(aUpstream);
  if (upstream.busyUntil > this->now) {
    return;
  }
  double busy = aService.connections.UsageOf(aUpstream).busy + 1;
  upstream.window = std::max(busy * detail::kWindowCut, 1.0);
  upstream.busyUntil = this->now + detail::kBusySpan;
}

void
ProxyEngine::NoteRefusal(ProxyLink& aLink,
                         CallerSession& aSession,
                         const Refusal& aRefusal)
{
  PendingStatement& pending = *aSession.pending;
  ProxyService& service = this->ServiceOf(aLink.service);
  ProxyUpstream& upstream = service.view.At(aLink.upstream);
  this->Decide(LogEvent::StatementRetried,
               pending.requestId,
               { { "upstream", upstream.entry.id },
                 { "code", kRefusalCodeNames.TextOf(aRefusal.code) },
                 { "try", std::to_string(pending.tries) } });
  switch (aRefusal.code) {
    case RefusalCode::Behind:
      --pending.tries; // a lagging replica does not count as a failed try
      if (pending.after) {
        upstream.lagMs =
          std::min(upstream.lagMs * detail::kLagGrowth, detail::kMostLagMs);
        bool isNews = upstream.behindUntil <= this->now ||
                      pending.after->point.IsBehind(upstream.behind);
        upstream.behind = isNews ? pending.after->point : upstream.behind;
        upstream.behindUntil =
          this->now + Duration{ static_cast<int64_t>(upstream.lagMs) };
      }
      break;
    case RefusalCode::Busy:
      --pending.tries;
      this->NoteBusy(service, aLink.upstream);
      break;
    case RefusalCode::ReadOnly:
      service.view.LostLead(aLink.upstream);
      break;
    default:
      pending.refusedBy.insert(aLink.upstream);
      break;
  }
}

void
ProxyEngine::Refused(ProxyLink& aLink,
                     CallerSession& aSession,
                     const StatementReply& aReply)
{
  PendingStatement& pending = *aSession.pending;
  Refusal refusal = *aReply.refusal;
  bool isCommit = pending.statement.kind == StatementKind::Commit;
  bool inTransaction = aSession.state == SessionState::InTransaction;
  bool isAlone = !inTransaction || pending.began;
  bool didNotRun = detail::DidNotRun(refusal.code);
  bool mayRepeat = didNotRun || (!pending.writes && !isCommit &&
                                 pending.tries < detail::kMostFailedReads &&
                                 (refusal.code == RefusalCode::Failed ||
                                  refusal.code == RefusalCode::Timeout));
  if (isAlone && mayRepeat) {
    this->NoteRefusal(aLink, aSession, refusal);
    aSession.pinned = 0;
    pending.mayHaveRun = pending.mayHaveRun || !didNotRun;
    if (refusal.code == RefusalCode::NoStatement) {
      aLink.prepared.clear();
    }
    this->Release(aLink, aReply.state);
    bool isBusy = refusal.code == RefusalCode::Busy;
    this->Requeue(aSession, isBusy ? detail::kBusyPause : Millis(0));
    return;
  }
  if (inTransaction && refusal.code == RefusalCode::Busy &&
      aReply.state == SessionState::InTransaction) {
    this->NoteRefusal(aLink, aSession, refusal);
    this->Requeue(aSession, detail::kBusyPause);
    return;
  }
  if (refusal.code == RefusalCode::ReadOnly) {
    this->ServiceOf(aLink.service).view.LostLead(aLink.upstream);
  }
  aSession.pinned = 0;
  this->Release(aLink, aReply.state);
  if (inTransaction) {
    aSession.state = isCommit ? SessionState::Idle : SessionState::Failed;
  }
  this->Refuse(aSession, refusal.code, refusal.text);
}

void
ProxyEngine::Release(ProxyLink& aLink, SessionState aState)
{
  ProxyService& service = this->ServiceOf(aLink.service);
  service.connections.FinishBatch(aLink.id, aLink.sequence, this->now);
  aLink.caller = 0;
  if (aState != SessionState::Idle) {
    aLink.use = LinkUse::RollBack;
    aLink.sequence = service.connections.StartBatch(aLink.id, this->now);
    aLink.asked = this->now;
    aLink.limit = this->now + kRollBackLimit;
    this->Emit(AskLink{ aLink.id, "", { StatementKind::RollBack }, {} });
    return;
  }
  service.connections.Unpin(aLink.id);
  aLink.use = LinkUse::None;
  aLink.limit = kInfiniteFuture;
  this->AskWanted(service);
}

} // namespace marigoldpitch
