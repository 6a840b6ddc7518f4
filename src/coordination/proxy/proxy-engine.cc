#include "marigoldpitch/coordination/proxy/proxy-engine.h"
#include "marigoldpitch/coordination/proxy/statement-limits.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr size_t kMaxInbox = 32; // statements
constexpr Duration kHostDecreaseDelay = Seconds(4);
// How long links to serving hosts take to come up after a start.
constexpr Duration kRelayConnectTime = Millis(500);
constexpr ConnectionId kIdsPerService = ConnectionId{ 1 } << 40;

} // namespace detail

ProxyActions
ProxyEngine::Handle(Time aNow, const ProxyEvent& aEvent)
{
  this->now = std::max(this->now, aNow);
  std::visit([&](const auto& aOne) { this->On(aOne); }, aEvent);
  LimitActions limitActions;
  do {
    this->limits.MoveActions(limitActions);
    this->HandlePermits(std::exchange(limitActions.outcomes, {}));
    this->DispatchAll();
    // Answers may have let further statements of their sessions begin.
    this->limits.MoveActions(limitActions);
  } while (!limitActions.outcomes.empty());
  this->PerformLimits(std::move(limitActions));
  this->RemoveFinishedSessions();
  this->EndAnsweredSessions();
  return std::exchange(this->actions, {});
}

void
ProxyEngine::DispatchAll()
{
  for (auto& [name, service] : this->services) {
    this->ReviewAwaitingCommits(service);
  }
  for (auto& [name, service] : this->services) {
    if (!service.queue.IsEmpty()) {
      this->Dispatch(service);
      this->RequestProof(service);
    }
  }
}

void
ProxyEngine::Emit(ProxyAction aAction)
{
  this->actions.push_back(std::move(aAction));
}

void
ProxyEngine::AddDecision(
  LogEvent aEvent,
  const std::string& aRequestId,
  std::vector<std::pair<const char*, std::string>> aFields)
{
  this->Emit(LogDecision{ aEvent, aRequestId, std::move(aFields) });
}

bool
ProxyEngine::IsReady() const
{
  return this->config.version != 0 && this->hasRegistry && !this->IsDraining();
}

void
ProxyEngine::On(const SessionOpened& aEvent)
{
  if (this->CurrentDrainStage() >= DrainStage::EndingTransactions) {
    this->EndDrainedSession(aEvent.caller);
    return;
  }
  if (this->config.version == 0) {
    // The databases are not known yet.
    this->sessionsAwaitingConfig.push_back(aEvent);
    return;
  }
  CallerSession session;
  session.id = aEvent.caller;
  session.database = aEvent.database;
  session.key = aEvent.key;
  session.lastActive = this->now;
  const DatabaseRoute* route = this->RouteOf(aEvent.database);
  if (route == nullptr) {
    this->AddDecision(LogEvent::DatabaseUnknown,
                      "",
                      { { "database", aEvent.database },
                        { "version", std::to_string(this->config.version) } });
    this->Emit(EndSession{ aEvent.caller,
                           { FailureCode::NoDatabase, "no such database" } });
    return;
  }
  if (!this->CustomerOf(aEvent.key, *route)) {
    this->LogRefusedKey(session, "");
    this->Emit(EndSession{
      aEvent.caller, { FailureCode::Unauthorized, "the key is not known" } });
    return;
  }
  this->sessions[aEvent.caller] = session;
  this->Emit(ConfirmSession{ aEvent.caller });
}

void
ProxyEngine::OpenAwaitingSessions()
{
  for (const SessionOpened& opened :
       std::exchange(this->sessionsAwaitingConfig, {})) {
    this->On(opened);
  }
}

void
ProxyEngine::On(const SessionClosed& aEvent)
{
  auto isCaller = [&](const SessionOpened& aOpened) {
    return aOpened.caller == aEvent.caller;
  };
  this->sessionsAwaitingConfig.erase(
    std::remove_if(this->sessionsAwaitingConfig.begin(),
                   this->sessionsAwaitingConfig.end(),
                   isCaller),
    this->sessionsAwaitingConfig.end());
  auto found = this->sessions.find(aEvent.caller);
  if (found == this->sessions.end()) {
    return;
  }
  CallerSession& session = found->second;
  this->CancelPermit(session);
  this->Dequeue(session);
  this->LeaveTransaction(session);
  this->EndRelayedWork(session);
  if (session.origin) {
    this->relayedBytes -= session.relayedBytes;
    this->relayedSessions.erase(
      { session.origin->link, session.origin->session });
  }
  if (session.pending && session.pending->connection != 0) {
    ProxyLink& link = this->links.at(session.pending->connection);
    link.use = LinkUse::Orphan;
    link.caller = 0;
    link.limit = this->now + kOrphanTimeout;
  }
  this->sessions.erase(found);
}

void
ProxyEngine::On(const StatementArrived& aEvent)
{
  auto found = this->sessions.find(aEvent.caller);
  if (found == this->sessions.end()) {
    return;
  }
  CallerSession& session = found->second;
  session.lastActive = this->now;
  session.isFollowed = aEvent.isFollowed;
  if (session.pending || !session.inbox.empty()) {
    size_t bytes = session.inboxBytes + SizeOf(aEvent);
    if (session.inbox.size() < detail::kMaxInbox && bytes <= kMaxInboxBytes) {
      session.inbox.push_back(aEvent);
      session.inboxBytes = bytes;
      return;
    }
    std::string why = "too many pipelined statements";
    this->AddDecision(
      LogEvent::CallerRefused, aEvent.requestId, { { "why", why } });
    this->Emit(EndSession{ aEvent.caller, { FailureCode::TooBig, why } });
    this->On(SessionClosed{ aEvent.caller });
    return;
  }
  this->HandleStatement(session, aEvent);
}

void
ProxyEngine::On(const InvalidStatementArrived& aEvent)
{
  auto found = this->sessions.find(aEvent.caller);
  if (found == this->sessions.end()) {
    return;
  }
  this->AddDecision(
    LogEvent::CallerRefused, aEvent.requestId, { { "why", aEvent.why } });
  // Replies carry no id: a failure sent now would be taken for the reply to the
  // statement that is still open.
  if (found->second.pending) {
    this->Emit(EndSession{ aEvent.caller, { aEvent.code, aEvent.why } });
    this->On(SessionClosed{ aEvent.caller });
    return;
  }
  found->second.isFollowed = aEvent.isFollowed;
  bool isRefused = aEvent.code != FailureCode::Invalid;
  if (isRefused && found->second.state == SessionState::InTransaction) {
    this->FailTransaction(found->second);
  }
  this->AnswerFailure(found->second, aEvent.code, aEvent.why);
}

ProxyService&
ProxyEngine::ServiceOf(const std::string& aName)
{
  auto found = this->services.find(aName);
  if (found != this->services.end()) {
    return found->second;
  }
  ConnectionId firstId = detail::kIdsPerService * this->services.size();
  ProxyService& service =
    this->services
      .emplace(aName, ProxyService(firstId, this->options.upstreamDrainTime))
      .first->second;
  service.name = aName;
  service.view.SetRegistration(this->registration);
  if (this->hasGroups) {
    // The last read had no record of it, or it would be known.
    service.view.NoteMissingRecord(this->groupsEra);
  }
  return service;
}

void
ProxyEngine::On(const ConfigArrived& aEvent)
{
  if (aEvent.config.version <= this->config.version) {
    return;
  }
  this->config = aEvent.config;
  this->SumCustomerRates();
  this->configuredSince = std::min(this->configuredSince, this->now);
  for (const auto& [name, serviceConfig] : this->config.services) {
    ProxyService& service = this->ServiceOf(name);
    service.config = serviceConfig;
    service.view.SetRequiresReplicaConfirmation(
      serviceConfig.confirmedByReplica);
    this->ShareConnections(service);
  }
  this->limits.SetCustomers(this->now, this->config.customers);
  this->AddDecision(
    LogEvent::ConfigurationInForce,
    "",
    { { "version", std::to_string(this->config.version) },
      { "routes", std::to_string(this->config.routes.size()) },
      { "customers", std::to_string(this->config.customers.size()) } });
  this->JudgeSessions();
  this->OpenAwaitingSessions();
}

void
ProxyEngine::On(const RegistryRead& aEvent)
{
  std::map<std::string, std::vector<RegisteredUpstream>> byService;
  for (const auto& [name, service] : this->services) {
    byService[name];
  }
  for (const RegisteredUpstream& upstream : aEvent.upstreams) {
    byService[upstream.service].push_back(upstream);
  }
  for (const auto& [name, entries] : byService) {
    ProxyService& service = this->ServiceOf(name);
    RegistryChanges changes =
      service.view.ApplyRegistrations(entries, this->now);
    service.connections.AddUpstreams(changes.added);
    for (UpstreamIndex departed : changes.departed) {
      this->LogDeparture(service, departed, aEvent.peer);
    }
  }
  this->hasRegistry = true;
}

void
ProxyEngine::On(const RegistryConfirmed& aEvent)
{
  for (auto& [name, service] : this->services) {
    service.view.ConfirmRegistrations(aEvent.asOf);
  }
}

void
ProxyEngine::On(const GroupsRead& aEvent)
{
  for (const GroupRecord& record : aEvent.groups) {
    ProxyService& service = this->ServiceOf(record.service);
    size_t added = service.view.ApplyRecord(record, this->now);
    service.connections.AddUpstreams(added);
  }
  this->groupsEra = aEvent.era;
  this->hasGroups = true;
  std::set<std::string> recorded;
  for (const GroupRecord& record : aEvent.groups) {
    recorded.insert(record.service);
  }
  for (auto& [name, service] : this->services) {
    if (recorded.count(name) == 0) {
      service.view.NoteMissingRecord(aEvent.era);
    }
  }
}

void
ProxyEngine::UpdateGroupRecord(ProxyService& aService)
{
  aService.view.NoteMissingRecord(this->groupsEra);
  auto record = aService.recorder.Update(aService.view, this->now);
  if (record) {
    record->service = aService.name;
    this->Emit(RecordGroup{ *record });
  }
}

void
ProxyEngine::On(const HostsCounted& aEvent)
{
  this->UpdateRoster(aEvent);
  size_t counted = std::max<size_t>(aEvent.hosts, 1);
  if (counted >= this->hosts) {
    this->fewerHostsSince = kInfiniteFuture;
  } else if (this->fewerHostsSince == kInfiniteFuture) {
    this->fewerHostsSince = this->now;
  }
  // After an outage of the store, keys of live hosts may be missing for a
  // while.
  bool isSettled =
    this->now - this->fewerHostsSince >= detail::kHostDecreaseDelay;
  bool isReplaced = counted == this->hosts && aEvent.places != this->places;
  if (counted > this->hosts || isSettled || isReplaced) {
    if (this->places.empty()) {
      this->relayExpectedUntil = this->now + detail::kRelayConnectTime;
      this->soloFrom = this->now + kLingerTime;
    }
    std::set<std::string> before = this->ServedServices();
    this->hosts = counted;
    this->places = aEvent.places;
    this->fewerHostsSince = kInfiniteFuture;
    for (auto& [name, service] : this->services) {
      this->ShareConnections(service);
    }
    this->LogServing(before);
    this->UpdateLimitedHosts();
  }
}

/**
 * Until the hosts are counted, this host opens one connection; likewise if
 * neither it nor a host that others relay to is to serve the service.
 */
void
ProxyEngine::ShareConnections(ProxyService& aService)
{
  this->PlaceService(aService);
  uint32_t limit = aService.config.connections;
  if (this->hosts == 0 || !aService.isSpareHere) {
    aService.share = 1;
  } else if (aService.serving.perZone == 0) {
    aService.share = EvenShare(limit, this->hosts);
  } else {
    aService.share =
      ServingShare(limit, aService.serving.total, aService.serving.zones);
  }
}

/**
 * How many connections this host may have to the upstream now: its share, or
 * what it has and may borrow beyond it.
 */
uint32_t
ProxyEngine::ConnectionLimit(const ProxyService& aService,
                             UpstreamIndex aUpstream) const
{
  const ProxyUpstream& upstream = aService.view.At(aUpstream);
  uint32_t open = aService.connections.UsageOf(aUpstream).open;
  if (open < aService.share) {
    return aService.share;
  }
  ConnectionCensus census;
  if (upstream.report) {
    census = { upstream.report->connections, upstream.reportAsked };
  }
  bool isDivided = aService.serving.perZone != 0;
  return open + BorrowableConnections(
                  UsableConnections(aService.config.connections, isDivided),
                  aService.serving.total,
                  census,
                  upstream.openedSinceReport,
                  this->now);
}

void
ProxyEngine::On(const ProxyTick&)
{
  this->limits.OnTick(this->now);
  this->CheckDeadlines();
  this->ExpireTransactions();
  for (auto& [name, service] : this->services) {
    this->UpdateService(service);
  }
  if (this->IsDraining()) {
    this->DrainSessions();
  }
}

} // namespace marigoldpitch
