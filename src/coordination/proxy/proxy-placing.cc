#include "marigoldpitch/coordination/proxy/proxy-engine.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

// A read with no answer after this multiple of the recent slowest response is
// sent to another upstream. The limit grows in proportion to the attempts.
constexpr double kReadTimeoutFactor = 2;
constexpr double kInitialMaxLatencyMs = 250;
constexpr double kMinReadTimeoutMs = 120;
constexpr Duration kSetupTimeout = Millis(300);
constexpr Duration kOpenTimeout = Millis(500);

} // namespace detail

void
ProxyEngine::Open(ProxyService& aService, UpstreamIndex aUpstream)
{
  const ProxyUpstream& upstream = aService.view.At(aUpstream);
  const UpstreamUsage& use = aService.connections.UsageOf(aUpstream);
  bool isOpening = use.opening > aService.queue.size();
  if (isOpening || upstream.fullUntil > this->now ||
      upstream.avoidUntil > this->now) {
    return;
  }
  ConnectionId id = aService.connections.Open(aUpstream, this->now);
  ProxyLink& link = this->links[id];
  link.id = id;
  link.service = aService.name;
  link.upstream = aUpstream;
  link.asked = this->now;
  link.limit = this->now + detail::kOpenTimeout;
  aService.view.NoteAttempt(aUpstream, this->now);
  ++aService.view.At(aUpstream).openedSinceReport;
  this->Emit(OpenLink{ id,
                       aService.name,
                       upstream.registration.id,
                       upstream.registration.endpoint });
}

void
ProxyEngine::Assign(ProxyService& aService,
                    CallerSession& aSession,
                    ConnectionId aConnection)
{
  PendingStatement& pending = *aSession.pending;
  ProxyLink& link = this->links.at(aConnection);
  link.use = LinkUse::Statement;
  link.caller = aSession.id;
  link.sequence = aService.connections.StartBatch(aConnection, this->now);
  pending.connection = aConnection;
  pending.phase = StatementPhase::Preparing;
  ++pending.tries;
  this->SendSetup(link, aSession);
  link.asked = this->now;
  link.limit = this->now + detail::kSetupTimeout;
  if (link.openSetups.empty()) {
    this->SendNext(link, aSession);
  }
}

Duration
ProxyEngine::ReadTimeout(const ProxyService& aService,
                         const PendingStatement& aPending) const
{
  auto found = aService.maxLatencyMs.find(aPending.route.database);
  double slowest = found == aService.maxLatencyMs.end()
                     ? detail::kInitialMaxLatencyMs
                     : found->second;
  double limit =
    std::max(slowest * detail::kReadTimeoutFactor, detail::kMinReadTimeoutMs);
  return Duration{ static_cast<int64_t>(limit) * aPending.tries };
}

/**
 * Starts the session's transaction on the connection if it has not been started
 * at an upstream yet; otherwise sends the statement itself.
 */
void
ProxyEngine::SendNext(ProxyLink& aLink, CallerSession& aSession)
{
  PendingStatement& pending = *aSession.pending;
  ProxyService& service = this->ServiceOf(aLink.service);
  std::optional<LogPoint> after;
  if (pending.onReplica && pending.after) {
    after = pending.after->point;
  }
  aLink.asked = this->now;
  if (aSession.state == SessionState::InTransaction && aSession.pinned == 0) {
    pending.phase = StatementPhase::Beginning;
    pending.startedTransaction = true;
    aSession.pinned = aLink.id;
    service.connections.Pin(aLink.id, std::to_string(aSession.id));
    aLink.limit = this->now + detail::kSetupTimeout;
    StatementKind kind =
      aSession.readOnly ? StatementKind::BeginReadOnly : StatementKind::Begin;
    this->Emit(SendToUpstream{ aLink.id, "", { kind }, after });
    return;
  }
  if (aSession.pinned != 0) {
    after.reset(); // sent when the transaction was started
  }
  pending.phase = StatementPhase::Running;
  pending.sent = this->now;
  pending.inFlight = service.connections.UsageOf(aLink.upstream).busy;
  bool mayRepeat =
    !pending.writes && (pending.startedTransaction || aSession.pinned == 0);
  aLink.limit = kInfiniteFuture;
  if (mayRepeat) {
    aLink.limit = this->now + this->ReadTimeout(service, pending);
  }
  if (this->IsCommit(aSession)) {
    service.view.CommitSent(aLink.id, this->now);
  }
  this->LogPlacement(aLink, pending);
  this->NoteStatementToLeaving(aLink, aSession);
  SessionStatement statement = pending.statement;
  if (statement.kind == StatementKind::Execute) {
    statement.name = pending.preparedAs;
  }
  this->Emit(
    SendToUpstream{ aLink.id, pending.requestId, std::move(statement), after });
}

/**
 * Logs a single statement or the first one of a transaction if the upstream is
 * known to leave. Later statements of a transaction must go where it runs.
 */
void
ProxyEngine::NoteStatementToLeaving(const ProxyLink& aLink,
                                    const CallerSession& aSession)
{
  const PendingStatement& pending = *aSession.pending;
  ServiceView& view = this->ServiceOf(aLink.service).view;
  const Departure& departure = view.DepartureOf(aLink.upstream);
  bool isFirst = aSession.pinned == 0 || pending.startedTransaction;
  if (departure.IsServing() || !isFirst) {
    return;
  }
  view.NoteStatementToLeaving(aLink.upstream, this->now);
  this->AddDecision(
    LogEvent::StatementToLeaving,
    pending.requestId,
    { { "upstream", view.At(aLink.upstream).registration.id },
      { "as", pending.onReplica ? "replica" : "primary" },
      { "departure", kDepartureStateNames.TextOf(departure.state) },
      { "learned_ms", std::to_string((this->now - departure.learned).ms) },
      { "serving_ms", this->DescribeAge(departure.lastServing) } });
}

/** How long ago the time was, in milliseconds, as text. */
std::string
ProxyEngine::DescribeAge(Time aTime) const
{
  return aTime == kInfinitePast ? "unknown"
                                : std::to_string((this->now - aTime).ms);
}

void
ProxyEngine::LogPlacement(const ProxyLink& aLink,
                          const PendingStatement& aPending)
{
  const ServiceView& view = this->ServiceOf(aLink.service).view;
  std::string after = "none";
  std::string from = "none";
  std::string reportingMembers = "none";
  std::string age = "none";
  bool isExecution = aPending.statement.kind == StatementKind::Execute;
  if (aPending.onReplica && aPending.after) {
    const FreshnessSample& fresh = *aPending.after;
    after = FormatLogPoint(fresh.point);
    from = kSampleSourceNames.TextOf(fresh.origin.source);
    reportingMembers = std::to_string(fresh.origin.reportingMembers) + "/" +
                       std::to_string(fresh.origin.members);
    age = std::to_string((this->now - fresh.asked).ms);
  }
  this->AddDecision(
    LogEvent::StatementPlaced,
    aPending.requestId,
    { { "upstream", view.At(aLink.upstream).registration.id },
      { "as", aPending.onReplica ? "replica" : "primary" },
      { "after", after },
      { "after_from", from },
      { "after_heard", reportingMembers },
      { "after_age_ms", age },
      { "proof_age_ms",
        std::to_string((this->now - view.NewestProofAsked()).ms) },
      { "waited_ms", std::to_string((this->now - aPending.arrived).ms) },
      { "prepared_as", isExecution ? aPending.preparedAs : "none" },
      { "try", std::to_string(aPending.tries) } });
}

} // namespace marigoldpitch
