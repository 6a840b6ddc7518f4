#include "marigoldpitch/coordination/proxy/customer-placement.h"
#include "marigoldpitch/coordination/proxy/proxy-engine.h"

#include <algorithm>

// A session's statements for a service that this host does not serve go to one
// that does. The session stays here: its settings, prepared statements and
// state go along with each statement, and only an open transaction binds it to
// one host.

namespace marigoldpitch {

namespace detail {

// How many hosts beyond the serving ones are tried before this host serves its
// callers itself.
constexpr size_t kSpareHosts = 2;
constexpr Duration kDeclinedPause = Millis(500);
// How long a host may take from its start until it uses a primary.
constexpr Duration kWarmUpTime = Millis(1000);
// How long statements wait for a link that was lost before this host serves
// them itself.
constexpr Duration kRelinkTime = Millis(150);
// How long a service is followed after its last statement.
constexpr Duration kFollowTime = Seconds(5);

} // namespace detail

void
ProxyEngine::PlaceService(ProxyService& aService)
{
  aService.serving = { 0, this->hosts, 0 };
  aService.rankedHosts.clear();
  aService.isServedHere = true;
  aService.isSpareHere = true;
  aService.isStandbyHere = false;
  if (this->places.empty()) {
    return;
  }
  aService.serving =
    CountServingHosts(aService.config.connections, this->places);
  if (aService.serving.perZone == 0) {
    return;
  }
  aService.rankedHosts =
    RankPlaces(aService.name, this->options.zone, this->places);
  const auto& ranked = aService.rankedHosts;
  auto isOwn = [&](const HostPlace& aPlace) {
    return aPlace.host == this->options.host;
  };
  auto own = std::find_if(ranked.begin(), ranked.end(), isOwn);
  auto rank = static_cast<size_t>(own - ranked.begin());
  aService.isServedHere = ranked.empty() || rank < aService.serving.perZone;
  aService.isSpareHere = aService.isServedHere ||
                         rank < aService.serving.perZone + detail::kSpareHosts;
  aService.isStandbyHere =
    own != ranked.end() && rank == aService.serving.perZone;
}

/** Whether this host asks the service's upstreams for reports. */
bool
ProxyEngine::IsFollowed(const ProxyService& aService) const
{
  return aService.isServedHere || aService.isStandbyHere ||
         this->MayPromote() || aService.promotion.IsRunning() ||
         this->now - aService.lastLocalUse < detail::kFollowTime;
}

/**
 * Whether the service's statements wait here for a link to a host that serves
 * it. After a loss of power all hosts start together; if each served all
 * services until its links are up, they would fill the upstreams' connections.
 */
bool
ProxyEngine::IsRelayAwaited(const ProxyService& aService) const
{
  return !aService.isServedHere && this->now < this->relayExpectedUntil;
}

/**
 * Whether the host's own callers wait for a link rather than being served here.
 * After a start that may have been every host's, a host that others do not
 * relay to waits until the connections of lost processes are gone: so many
 * hosts with a connection each would fill the upstreams.
 */
bool
ProxyEngine::MustAwaitRelay(const ProxyService& aService) const
{
  return this->IsRelayAwaited(aService) ||
         (!aService.isSpareHere && this->now < this->soloFrom);
}

std::set<std::string>
ProxyEngine::RelayHosts() const
{
  std::set<std::string> wanted;
  for (const auto& [name, service] : this->services) {
    if (service.isServedHere && !this->config.hasCustomers) {
      continue;
    }
    size_t spare = service.isServedHere ? 0 : detail::kSpareHosts;
    size_t count =
      std::min(service.serving.perZone + spare, service.rankedHosts.size());
    for (size_t i = 0; i < count; ++i) {
      wanted.insert(service.rankedHosts[i].host);
    }
  }
  wanted.erase(this->options.host);
  return wanted;
}

/** Relays the session's statement if another host is to serve it. */
bool
ProxyEngine::Relay(ProxyService& aService, CallerSession& aSession)
{
  if (aSession.origin) {
    return false;
  }
  std::string host = aSession.relayHost;
  bool mayRelay = !aService.isServedHere || !aSession.pending->customer.empty();
  if (host.empty() && mayRelay) {
    host = this->ChooseRelayHost(aService, aSession);
  }
  if (host.empty()) {
    return false;
  }
  this->SendToHost(aSession, host);
  return true;
}

/**
 * The hosts of the zone to which the session's statement may be relayed: those
 * that serve the service, then spare ones. A small customer's statements go to
 * one serving host, so that few connections serve them; without customers, the
 * sessions are spread over the serving hosts.
 */
std::vector<std::string>
ProxyEngine::RelayOrder(const ProxyService& aService,
                        const CallerSession& aSession) const
{
  const auto& ranked = aService.rankedHosts;
  const std::string& customer = aSession.pending->customer;
  size_t serving = std::min(aService.serving.perZone, ranked.size());
  size_t count = std::min(serving + detail::kSpareHosts, ranked.size());
  size_t spread = CustomerSpread(this->ShareOf(customer), serving);
  ServedCaller caller{ aService.name, customer, spread, aSession.id };
  std::vector<std::string> order;
  for (size_t index : RankServingHosts(caller, ranked, serving)) {
    order.push_back(ranked[index].host);
  }
  for (size_t i = serving; i < count; ++i) {
    order.push_back(ranked[i].host);
  }
  return order;
}

/**
 * Whether this host admits the session's statement, which otherwise is decided
 * by the host that it is relayed to.
 */
bool
ProxyEngine::IsDecidedHere(const ProxyService& aService,
                           const CallerSession& aSession) const
{
  if (aSession.origin || !aService.isServedHere) {
    return aSession.origin.has_value();
  }
  return aSession.pending->customer.empty() ||
         this->ChooseRelayHost(aService, aSession).empty();
}

/**
 * The first usable host of `RelayOrder`, or nothing if this host comes before
 * it. A host whose link has just come up may have started anew and not know the
 * primary yet, so another one is preferred.
 */
std::string
ProxyEngine::ChooseRelayHost(const ProxyService& aService,
                             const CallerSession& aSession) const
{
  std::string young;
  const std::string& customer = aSession.pending->customer;
  auto order = this->RelayOrder(aService, aSession);
  for (size_t i = 0; i < order.size(); ++i) {
    const std::string& host = order[i];
    if (host == this->options.host) {
      break;
    }
    auto link = this->relayHosts.find(host);
    auto avoided = this->relayAvoidUntil.find({ host, customer });
    bool isAvoided =
      avoided != this->relayAvoidUntil.end() && avoided->second > this->now;
    bool isUsable = link != this->relayHosts.end() && !isAvoided &&
                    aSession.pending->failedRelays.count(host) == 0;
    if (isUsable && this->now - link->second >= detail::kWarmUpTime) {
      return host;
    }
    // A serving host's link may come up a moment later than another's.
    bool isAwaited =
      i >= aService.serving.perZone && this->IsRelayAwaited(aService);
    if (isUsable && !isAwaited && young.empty()) {
      young = host;
    }
  }
  return aService.isServedHere ? std::string() : young;
}

void
ProxyEngine::SendToHost(CallerSession& aSession, const std::string& aHost)
{
  PendingStatement& pending = *aSession.pending;
  bool inTransaction = aSession.state == SessionState::InTransaction;
  RelayedStatement relayed;
  relayed.session = aSession.id;
  relayed.number = ++aSession.lastRelayNumber;
  relayed.requestId = pending.requestId;
  relayed.statement = pending.statement;
  relayed.route = pending.route;
  relayed.customer = pending.customer;
  relayed.values = aSession.values;
  relayed.lastCommit = aSession.lastCommit;
  relayed.state = aSession.state;
  relayed.readOnly = aSession.readOnly;
  relayed.isContinued = !aSession.relayHost.empty();
  relayed.spent = this->now - pending.arrived;
  if (inTransaction) {
    relayed.transactionSpent = this->now - aSession.transactionArrived;
    pending.startedTransaction = !relayed.isContinued;
    aSession.relayHost = aHost;
  }
  pending.phase = StatementPhase::Relayed;
  pending.relayHost = aHost;
  pending.relayNumber = relayed.number;
  pending.sent = this->now;
  ++pending.tries;
  this->AddDecision(LogEvent::StatementRelayed,
                    pending.requestId,
                    { { "to", aHost },
                      { "service", pending.route.service },
                      { "waited_ms", std::to_string(relayed.spent.ms) },
                      { "try", std::to_string(pending.tries) } });
  this->Emit(RelayStatement{ aHost, std::move(relayed) });
}

/**
 * The host has declined a customer's statement. It may serve others: it may
 * only have another version of the configuration.
 */
void
ProxyEngine::AvoidRelayHost(const std::string& aHost,
                            const std::string& aCustomer)
{
  for (auto it = this->relayAvoidUntil.begin();
       it != this->relayAvoidUntil.end();) {
    it =
      it->second <= this->now ? this->relayAvoidUntil.erase(it) : std::next(it);
  }
  this->relayAvoidUntil[{ aHost, aCustomer }] =
    this->now + detail::kDeclinedPause;
}

void
ProxyEngine::On(const RelayedReplyArrived& aEvent)
{
  const RelayedReply& relayed = aEvent.reply;
  auto found = this->sessions.find(relayed.session);
  bool isAwaited = found != this->sessions.end() && found->second.pending &&
                   found->second.pending->phase == StatementPhase::Relayed &&
                   found->second.pending->relayHost == aEvent.host &&
                   found->second.pending->relayNumber == relayed.number;
  if (!isAwaited) {
    return; // given up
  }
  CallerSession& session = found->second;
  PendingStatement& pending = *session.pending;
  bool inTransaction = session.state == SessionState::InTransaction;
  if (relayed.isDeclined) {
    this->AvoidRelayHost(aEvent.host, pending.customer);
    pending.failedRelays.insert(aEvent.host);
    session.relayHost.clear();
    this->Requeue(session, Millis(0));
    return;
  }
  if (relayed.reply.failure) {
    session.state = relayed.reply.state;
    if (session.state != SessionState::InTransaction) {
      session.relayHost.clear();
    }
    this->AnswerFailure(
      session, relayed.reply.failure->code, relayed.reply.failure->text);
    return;
  }
  bool isCommit = pending.statement.kind == StatementKind::Commit;
  bool isCommitted =
    isCommit ? session.transactionWrote : pending.writes && !inTransaction;
  if (isCommitted && relayed.reply.position) {
    session.lastCommit = *relayed.reply.position;
  }
  if (inTransaction && pending.writes) {
    session.transactionWrote = true;
  }
  session.state = isCommit ? SessionState::Idle : relayed.reply.state;
  if (session.state != SessionState::InTransaction) {
    session.relayHost.clear();
  }
  this->Answer(session, relayed.reply);
}

void
ProxyEngine::On(const RelayHostChanged& aEvent)
{
  this->AddDecision(
    LogEvent::RelayHostChanged,
    "",
    { { "peer", aEvent.host }, { "link", aEvent.isUp ? "up" : "down" } });
  if (aEvent.isUp) {
    this->relayHosts[aEvent.host] = this->now;
    return;
  }
  this->relayHosts.erase(aEvent.host);
  this->relayExpectedUntil =
    std::max(this->relayExpectedUntil, this->now + detail::kRelinkTime);
  std::vector<CallerId> waiting;
  std::vector<CallerId> open;
  for (const auto& [id, session] : this->sessions) {
    if (session.pending && session.pending->relayHost == aEvent.host &&
        session.pending->phase == StatementPhase::Relayed) {
      waiting.push_back(id);
    } else if (session.relayHost == aEvent.host) {
      open.push_back(id);
    }
  }
  for (CallerId id : waiting) {
    this->HandleLostRelay(this->sessions.at(id));
  }
  for (CallerId id : open) {
    this->AbortTransaction(this->sessions.at(id), "the serving host was lost");
  }
}

/**
 * The link to the host that has the session's statement was lost. The host may
 * have run it, but nothing is committed that this session has not sent a COMMIT
 * for: a transaction that began with this statement can be started again.
 */
void
ProxyEngine::HandleLostRelay(CallerSession& aSession)
{
  PendingStatement& pending = *aSession.pending;
  bool isCommit = pending.statement.kind == StatementKind::Commit;
  bool inTransaction = aSession.state == SessionState::InTransaction;
  std::string why = "the serving host was lost";
  pending.mayHaveRun = true;
  pending.failedRelays.insert(pending.relayHost);
  aSession.relayHost.clear();
  if (inTransaction && !pending.startedTransaction) {
    bool mayBeCommitted = isCommit && aSession.transactionWrote;
    aSession.state = isCommit ? SessionState::Idle : SessionState::Failed;
    this->AnswerFailure(aSession,
                        mayBeCommitted ? FailureCode::OutcomeUnknown
                                       : FailureCode::Aborted,
                        why);
    return;
  }
  if (pending.writes && !inTransaction) {
    this->AnswerFailure(aSession, FailureCode::OutcomeUnknown, why);
    return;
  }
  this->AddDecision(LogEvent::StatementRetried,
                    pending.requestId,
                    { { "code", "serving-host-lost" },
                      { "phase", kStatementPhaseNames.TextOf(pending.phase) },
                      { "try", std::to_string(pending.tries) } });
  this->Requeue(aSession, Millis(0));
}

/** Gives up what another host does for the session, if it does anything. */
void
ProxyEngine::EndRelayedWork(CallerSession& aSession)
{
  std::string host = std::exchange(aSession.relayHost, {});
  bool isPending =
    aSession.pending && aSession.pending->phase == StatementPhase::Relayed;
  if (isPending) {
    host = aSession.pending->relayHost;
  }
  if (!host.empty()) {
    this->Emit(EndRelay{ host, { aSession.id } });
  }
}

} // namespace marigoldpitch
