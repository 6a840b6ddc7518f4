#include "marigoldpitch/coordination/proxy/proxy-engine.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marigoldpitch {

namespace detail {

constexpr size_t kDispatchWindow = 64;
// The costs of traffic between availability zones and of a read on the primary,
// as milliseconds of waiting.
constexpr double kOtherZoneCostMs = 25;
constexpr double kPrimaryCostMs = 12;
constexpr double kOpeningCostMs = 12;
// The added cost of taking another customer's place, who will open one as well.
constexpr double kReplacingCostMs = 48;
// The added cost of an upstream at which the same statement has just failed.
constexpr double kFailedCostMs = 1000;
constexpr uint32_t kMaxTries = 6;
constexpr Duration kCommitStall = Millis(300);
constexpr Duration kCensusInterval = Millis(200);
// A statement that waits for less time needs no further connection.
constexpr Duration kBorrowDelay = Millis(30);
// A relayed statement is given up this long before the caller's limit, so that
// the reply gets back in time.
constexpr Duration kRelayMargin = Millis(30);
// Hosts are known soon after the configuration. Until then all hosts may be
// new, and must not fill the upstreams' connections.
constexpr Duration kHostsTimeout = Millis(1000);
// Times are whole milliseconds; this margin covers the rounding of two of them.
constexpr Duration kClockMargin = Millis(2);

} // namespace detail

void
ProxyEngine::Submit(CallerSession& aSession, const StatementArrived& aEvent)
{
  bool inTransaction = aSession.state == SessionState::InTransaction;
  const DatabaseRoute* route = &aSession.route;
  if (!inTransaction && !aSession.origin) {
    route = this->RouteOf(aSession.database);
  }
  PendingStatement pending;
  pending.requestId = aEvent.requestId;
  pending.statement = aEvent.statement;
  if (route == nullptr) {
    this->AnswerFailure(aSession, FailureCode::NoDatabase, "no such database");
    return;
  }
  if (!this->JudgeKey(aSession, *route, aEvent.requestId)) {
    return;
  }
  pending.customer = aSession.customer;
  if (aEvent.statement.kind == StatementKind::Execute) {
    auto found = aSession.prepared.find(aEvent.statement.name);
    if (found == aSession.prepared.end()) {
      this->AnswerFailure(
        aSession, FailureCode::NoStatement, aEvent.statement.name);
      return;
    }
    pending.statement.writes = found->second.writes;
    pending.statement.preparedText = found->second.preparedText;
  }
  pending.route = *route;
  pending.writes = pending.statement.writes;
  bool readsOnly = inTransaction ? aSession.readOnly : !pending.writes;
  pending.needsPrimary = !readsOnly || route->freshness == Freshness::Newest;
  pending.needsProof = inTransaction || !pending.writes;
  pending.arrived = this->now - aEvent.spent;
  pending.deadline = pending.arrived + route->timeout;
  if (aSession.origin) {
    pending.deadline = pending.deadline - detail::kRelayMargin;
  }
  aSession.pending = pending;
  if (!this->AwaitsPermit(aSession)) {
    this->Admit(aSession);
  }
}

/** Queues the statement, or refuses it if it could not finish in time. */
void
ProxyEngine::Admit(CallerSession& aSession)
{
  const PendingStatement& pending = *aSession.pending;
  ProxyService& service = this->ServiceOf(pending.route.service);
  // The host that serves the service decides about a relayed statement.
  bool isDecidedHere = this->IsDecidedHere(service, aSession);
  bool isPlaced = aSession.pinned != 0 || !aSession.relayHost.empty();
  if (isDecidedHere && !isPlaced &&
      !this->Admits(service, pending, this->DescribeQueued(aSession))) {
    if (aSession.state == SessionState::InTransaction) {
      this->FailTransaction(aSession);
    }
    this->AnswerFailure(
      aSession, FailureCode::Busy, "it could not finish in time");
    return;
  }
  this->Enqueue(aSession);
}

/**
 * Whether the statement is expected to finish within its latency objective and
 * its timeout, given the statements ahead of it in the queue and the capacity
 * of the upstreams that may serve it.
 */
bool
ProxyEngine::Admits(const ProxyService& aService,
                    const PendingStatement& aPending,
                    const QueuedStatement& aQueued) const
{
  QueueLoad load;
  load.ahead = aService.queue.CountAhead(aQueued);
  if (load.ahead == 0) {
    return true;
  }
  double atOnce = 0;
  double perMs = 0;
  for (UpstreamIndex i = 0; i < aService.view.Size(); ++i) {
    const ProxyUpstream& upstream = aService.view.At(i);
    bool isPrimary = aService.view.Primary() == i;
    bool serves = isPrimary ? aService.view.IsPrimaryUsable(this->now)
                            : !aPending.needsPrimary &&
                                aService.view.IsUsable(i, this->now) &&
                                upstream.behindUntil <= this->now;
    if (serves) {
      double window = upstream.window == 0 ? aService.share : upstream.window;
      atOnce += window;
      perMs += window / std::max(upstream.latencyMs, 1.0);
    }
  }
  load.slots = static_cast<size_t>(std::ceil(atOnce));
  load.serviceMs = perMs == 0 ? 0 : static_cast<double>(load.slots) / perMs;
  Duration left =
    std::min(aPending.route.latencyObjective, aPending.route.timeout);
  return this->options.admission->Admits(load, left);
}

QueuedStatement
ProxyEngine::DescribeQueued(const CallerSession& aSession) const
{
  const PendingStatement& pending = *aSession.pending;
  return { pending.route.priority,
           pending.customer,
           this->CustomerWeight(pending.customer),
           pending.deadline.ms,
           aSession.id };
}

double
ProxyEngine::CustomerWeight(const std::string& aCustomer) const
{
  auto found = this->config.customers.find(aCustomer);
  return found == this->config.customers.end()
           ? 1
           : WeightOf(found->second.priority);
}

void
ProxyEngine::Enqueue(CallerSession& aSession)
{
  this->ServiceOf(aSession.pending->route.service)
    .queue.Insert(this->DescribeQueued(aSession));
}

void
ProxyEngine::Dequeue(CallerSession& aSession)
{
  if (aSession.pending) {
    this->ServiceOf(aSession.pending->route.service)
      .queue.Erase(this->DescribeQueued(aSession));
  }
}

void
ProxyEngine::Requeue(CallerSession& aSession, Duration aPause)
{
  PendingStatement& pending = *aSession.pending;
  pending.phase = StatementPhase::Queued;
  pending.connection = 0;
  pending.startedTransaction = false;
  pending.notBefore = this->now + aPause;
  if (pending.tries >= detail::kMaxTries || !this->IsRetryInTime(pending)) {
    bool inTransaction = aSession.state == SessionState::InTransaction;
    FailureCode code =
      pending.mayHaveRun ? FailureCode::Timeout : FailureCode::Busy;
    if (inTransaction) {
      this->FailTransaction(aSession);
      code = FailureCode::Aborted;
    }
    this->AnswerFailure(aSession, code, "no upstream accepted the statement");
    return;
  }
  if (!this->MayStillRun(aSession)) {
    this->WithdrawKey(aSession);
    return;
  }
  this->Enqueue(aSession);
}

void
ProxyEngine::Dispatch(ProxyService& aService)
{
  for (CallerId caller : aService.queue.Head(detail::kDispatchWindow)) {
    auto found = this->sessions.find(caller);
    bool isDue = found != this->sessions.end() && found->second.pending &&
                 found->second.pending->phase == StatementPhase::Queued &&
                 found->second.pending->notBefore <= this->now;
    if (!isDue) {
      continue;
    }
    QueuedStatement queued = this->DescribeQueued(found->second);
    if (this->Place(aService, found->second)) {
      aService.queue.TakePlaced(queued);
    }
  }
}

/**
 * Sends the statement if a connection for it is free; returns whether it was
 * sent. A statement of a transaction that has started at an upstream goes over
 * that transaction's connection.
 */
bool
ProxyEngine::Place(ProxyService& aService, CallerSession& aSession)
{
  if (aSession.pinned != 0) {
    if (IsCommit(aSession) && !this->MayCommit(aService, aSession)) {
      return false;
    }
    UpstreamIndex upstream = this->links.at(aSession.pinned).upstream;
    aSession.pending->onReplica = aService.view.Primary() != upstream;
    this->Assign(aService, aSession, aSession.pinned);
    return true;
  }
  if (this->Relay(aService, aSession)) {
    return true;
  }
  if (!aSession.origin && this->MustAwaitRelay(aService)) {
    return false;
  }
  aService.lastLocalUse = this->now;
  auto after = this->FreshPointFor(aService, aSession);
  auto upstream = this->ChooseUpstream(aService, aSession, after);
  if (!upstream) {
    return false;
  }
  auto link = this->FindLink(aService, *upstream, aSession);
  if (!link) {
    this->OpenFor(aService, *upstream, aSession);
    return false;
  }
  // Decided once, here: the primary may change before the statement is sent.
  aSession.pending->onReplica = aService.view.Primary() != *upstream;
  aSession.pending->after = after;
  this->Assign(aService, aSession, *link);
  return true;
}

/**
 * The log point that a replica must reach to serve the statement. It covers all
 * commits that were acknowledged more than the accepted age before the
 * statement (in a transaction: its begin) arrived and, with
 * `Freshness::Session`, the session's last commit. Unset if the statement needs
 * the primary, or if no known point covers that time.
 */
std::optional<FreshnessSample>
ProxyEngine::FreshPointFor(const ProxyService& aService,
                           const CallerSession& aSession) const
{
  const PendingStatement& pending = *aSession.pending;
  if (pending.needsPrimary) {
    return std::nullopt;
  }
  bool inTransaction = aSession.state == SessionState::InTransaction;
  Time from = inTransaction ? aSession.transactionArrived : pending.arrived;
  auto point = aService.view.PointSince(from - pending.route.maxAge +
                                        detail::kClockMargin);
  bool seesItself = pending.route.freshness == Freshness::Session;
  if (point && seesItself && point->point.IsBehind(aSession.lastCommit)) {
    point->point = aSession.lastCommit;
    point->origin.source = SampleSource::OwnCommit;
  }
  return point;
}

/**
 * Whether the statement may be sent to the upstream now. The primary must be
 * usable, and proved to have been the primary at the oldest time that the
 * statement may read. A replica must be usable, and `aAfter` must be known, so
 * that the replica can be told which log point to wait for. For a transaction,
 * the upstream must have a connection to spare.
 */
bool
ProxyEngine::MayServe(ProxyService& aService,
                      const CallerSession& aSession,
                      UpstreamIndex aUpstream,
                      const std::optional<FreshnessSample>& aAfter) const
{
  const PendingStatement& pending = *aSession.pending;
  const ServiceView& view = aService.view;
  if (aSession.state == SessionState::InTransaction &&
      !this->HasCapacityForTransaction(aService, aUpstream)) {
    return false;
  }
  if (view.Primary() == aUpstream) {
    bool accepts = pending.route.freshness != Freshness::Newest;
    Time from = pending.arrived - (accepts ? pending.route.maxAge : Millis(0));
    // A commit that no replica confirms keeps its slot; further commits would
    // take the slots that reads on the primary need.
    bool isStalled =
      IsCommit(aSession) && view.CommitStall(this->now) >= detail::kCommitStall;
    if (!view.IsPrimaryUsable(this->now) || isStalled) {
      return false;
    }
    if (IsCommit(aSession) && !view.MaySendCommits(this->now)) {
      aService.proofWanted = true;
      return false;
    }
    bool isProved =
      !pending.needsProof || view.IsPrimaryProvedAt(from, this->now);
    aService.proofWanted = aService.proofWanted || !isProved;
    return isProved;
  }
  if (pending.needsPrimary || !aAfter || !view.IsUsable(aUpstream, this->now)) {
    return false;
  }
  return true;
}

/** Whether a successful answer to the statement acknowledges a commit. */
bool
ProxyEngine::IsCommit(const CallerSession& aSession)
{
  const PendingStatement& pending = *aSession.pending;
  if (pending.statement.kind == StatementKind::Commit) {
    return aSession.transactionWrote;
  }
  return pending.writes && aSession.state == SessionState::Idle;
}

bool
ProxyEngine::MayOpen(const ProxyService& aService,
                     UpstreamIndex aUpstream) const
{
  bool awaitsHosts = this->hosts == 0 &&
                     this->now - this->configuredSince < detail::kHostsTimeout;
  return !awaitsHosts &&
         aService.connections.UsageOf(aUpstream).open <
           this->ConnectionLimit(aService, aUpstream) &&
         this->IsOpeningPaced(aService, aUpstream);
}

/**
 * Requests a report for its count of connections, if this host needs more than
 * its share.
 */
void
ProxyEngine::RequestCensus(ProxyService& aService, UpstreamIndex aUpstream)
{
  ProxyUpstream& upstream = aService.view.At(aUpstream);
  bool isShareOpen =
    aService.connections.UsageOf(aUpstream).open >= aService.share;
  if (isShareOpen &&
      this->now - upstream.reportAsked >= detail::kCensusInterval) {
    upstream.reportWanted = true;
  }
}

/** Statements beyond the window would only queue up at the upstream. */
bool
ProxyEngine::HasCapacity(const ProxyService& aService,
                         UpstreamIndex aUpstream) const
{
  const ProxyUpstream& upstream = aService.view.At(aUpstream);
  if (upstream.busyUntil > this->now) {
    return false;
  }
  double window = upstream.window == 0 ? aService.share : upstream.window;
  return aService.connections.UsageOf(aUpstream).busy < std::max(window, 1.0);
}

/** The estimated time until the replica reaches the point, in milliseconds. */
double
ProxyEngine::EstimateWait(const ProxyService& aService,
                          UpstreamIndex aUpstream,
                          const std::optional<FreshnessSample>& aAfter) const
{
  const ProxyUpstream& upstream = aService.view.At(aUpstream);
  bool lacksIt = aService.view.Primary() != aUpstream && aAfter &&
                 upstream.behindUntil > this->now &&
                 !aAfter->point.IsBehind(upstream.behind);
  return lacksIt ? static_cast<double>((upstream.behindUntil - this->now).ms)
                 : 0;
}

/**
 * Whether another transaction may take a connection. One of those that this
 * host may have stays free of transactions, unless it is the only one.
 */
bool
ProxyEngine::HasCapacityForTransaction(const ProxyService& aService,
                                       UpstreamIndex aUpstream) const
{
  uint32_t open = 0;
  for (ConnectionId id : aService.connections.ConnectionsOf(aUpstream)) {
    open += aService.connections.Find(id)->transaction.empty() ? 0 : 1;
  }
  uint32_t limit = this->ConnectionLimit(aService, aUpstream);
  return open + 1 < limit || (open == 0 && limit == 1);
}

double
ProxyEngine::CostOf(const ProxyService& aService, UpstreamIndex aUpstream) const
{
  const ProxyUpstream& upstream = aService.view.At(aUpstream);
  const UpstreamUsage& use = aService.connections.UsageOf(aUpstream);
  double cost = upstream.latencyMs * (1 + use.busy);
  cost += upstream.registration.zone == this->options.zone
            ? 0
            : detail::kOtherZoneCostMs;
  cost += aService.view.Primary() == aUpstream ? detail::kPrimaryCostMs : 0;
  return cost;
}

/**
 * The upstream with the lowest cost that may serve the statement and has a free
 * connection, or may open one. Unset if there is none, or if the cheapest one
 * is a replica that has yet to receive the point: the statement then waits.
 */
std::optional<UpstreamIndex>
ProxyEngine::ChooseUpstream(ProxyService& aService,
                            const CallerSession& aSession,
                            const std::optional<FreshnessSample>& aAfter)
{
  const PendingStatement& pending = *aSession.pending;
  std::optional<UpstreamIndex> best;
  double bestCost = std::numeric_limits<double>::max();
  bool mustWait = false;
  for (UpstreamIndex i = 0; i < aService.view.Size(); ++i) {
    if (!this->MayServe(aService, aSession, i, aAfter)) {
      continue;
    }
    bool isIdle = this->FindLink(aService, i, aSession).has_value();
    bool mayOpen = isIdle || this->MayOpen(aService, i);
    bool isReachable =
      mayOpen || this->FindReplaceable(aService, i, pending).has_value();
    if (!isReachable || !this->HasCapacity(aService, i)) {
      if (this->now - pending.arrived >= detail::kBorrowDelay) {
        this->RequestCensus(aService, i);
      }
      continue;
    }
    double wait = this->EstimateWait(aService, i, aAfter);
    double cost = this->CostOf(aService, i) + wait;
    cost += isIdle ? 0 : detail::kOpeningCostMs;
    cost += mayOpen ? 0 : detail::kReplacingCostMs;
    cost += pending.failedAt.count(i) != 0 ? detail::kFailedCostMs : 0;
    if (cost < bestCost) {
      best = i;
      bestCost = cost;
      mustWait = wait > 0;
    }
  }
  if (!aAfter && !pending.needsPrimary) {
    aService.logPointWantedAt = this->now;
  }
  return mustWait ? std::nullopt : best;
}

/**
 * An idle connection of the customer to the upstream: one with the session's
 * settings if there is any, else the one that was answered last.
 */
std::optional<ConnectionId>
ProxyEngine::FindLink(const ProxyService& aService,
                      UpstreamIndex aUpstream,
                      const CallerSession& aSession) const
{
  std::optional<ConnectionId> best;
  Time bestAnswer = kInfinitePast;
  for (ConnectionId id : aService.connections.ConnectionsOf(aUpstream)) {
    const ProxyLink& link = this->links.at(id);
    if (link.isOpening || link.use != LinkUse::None ||
        link.customer != aSession.pending->customer) {
      continue;
    }
    if (link.values == aSession.values) {
      return id;
    }
    if (!best || link.lastAnswer > bestAnswer) {
      best = id;
      bestAnswer = link.lastAnswer;
    }
  }
  return best;
}

} // namespace marigoldpitch
