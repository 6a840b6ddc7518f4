#include "marigoldpitch/coordination/owner/entry-engine.h"

#include "marigoldpitch/coordination/common/ownership.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr Duration kConnectTimeout = Millis(150);
constexpr Duration kReconnectDelay = Millis(500);
constexpr Duration kPingDelay = Millis(100);
constexpr Duration kPingTimeout = Millis(200);
// Time after the deadline in which the owner's answer may still arrive. The
// owner knows whether the request ran; the entry daemon often does not.
constexpr Duration kAnswerGrace = Millis(50);
constexpr size_t kMaxCandidates = 8; // candidates cached for each group
constexpr char kIncarnationSeparator = '~';

bool
IsTransactional(const Request& aRequest)
{
  return !aRequest.transaction.empty();
}

/**
 * The host of the owner that holds the transaction, whose id is
 * `host~incarnation/number`. An incarnation is one run of the owner process.
 */
std::string
HostOfTransaction(const std::string& aTransaction)
{
  return aTransaction.substr(0, aTransaction.find(kIncarnationSeparator));
}

/** Whether the request may run twice, because it has no lasting effect. */
bool
IsSafeToRepeat(const Request& aRequest)
{
  return aRequest.operation == Operation::Read ||
         aRequest.operation == Operation::Begin;
}

} // namespace detail

EntryActions
EntryEngine::Handle(Time aNow, const EntryEvent& aEvent)
{
  this->now = aNow;
  this->actions.clear();
  std::visit([this](const auto& aKind) { this->On(aKind); }, aEvent);
  return std::move(this->actions);
}

std::map<std::string, OwnerState>
EntryEngine::OwnerStates() const
{
  std::map<std::string, OwnerState> states;
  for (const auto& [host, owner] : this->owners) {
    states[host] = owner.state;
  }
  return states;
}

bool
EntryEngine::ApplyServiceSettings(Request& aRequest, Answer& aError) const
{
  const GroupConfig* group = this->config.FindGroup(aRequest.group);
  if (group == nullptr) {
    // At revision 0 no configuration has arrived yet: a retry may succeed.
    aError = MakeAnswer(
      this->config.revision == 0 ? Outcome::NotRun : Outcome::Invalid,
      "group: '" + aRequest.group +
        "' is not configured: this daemon's configuration lacks it");
    return false;
  }
  if (aRequest.service.empty()) {
    return true;
  }
  const ServiceConfig* service = group->FindService(aRequest.service);
  if (service == nullptr) {
    aError =
      MakeAnswer(Outcome::Invalid,
                 "service: '" + aRequest.service + "' is not configured");
    return false;
  }
  aRequest.priority = service->priority;
  if (aRequest.timeout.ms <= 0) {
    aRequest.timeout = service->timeout;
  }
  // A read uses the smaller of the caller's and the service's maximum age. If
  // the service sets none, the caller's is ignored and the primary serves the
  // read.
  if (service->maxAge && aRequest.operation == Operation::Read) {
    aRequest.maxAge = aRequest.maxAge
                        ? std::min(*aRequest.maxAge, *service->maxAge)
                        : *service->maxAge;
  } else {
    aRequest.maxAge.reset();
  }
  return true;
}

void
EntryEngine::On(const CallerRequested& aEvent)
{
  Request request = aEvent.request;
  Answer error;
  if (!this->ApplyServiceSettings(request, error)) {
    this->actions.emplace_back(AnswerCaller{ aEvent.handle, error, {} });
    return;
  }
  if (request.timeout.ms <= 0) {
    request.timeout = Request{}.timeout;
  }
  if (request.maxAge && request.priority == Priority::Normal) {
    request.priority = Priority::Tolerant;
  }
  uint64_t number = ++this->lastNumber;
  PendingRequest& pending = this->pending[number];
  pending.handle = aEvent.handle;
  pending.arrived = this->now;
  pending.deadline = this->now + request.timeout;
  pending.request = std::move(request);
  this->byHandle[aEvent.handle] = number;
  if (this->isClosing) {
    this->Expire();
    return;
  }
  this->AssignRequest(number);
}

void
EntryEngine::On(const CallerCancelled& aEvent)
{
  auto found = this->byHandle.find(aEvent.handle);
  if (found == this->byHandle.end()) {
    return;
  }
  uint64_t number = found->second;
  PendingRequest& pending = this->pending[number];
  if (pending.isSentToHost) {
    this->actions.emplace_back(ForwardCancel{ pending.host, number });
    this->owners[pending.host].unanswered.erase(number);
  }
  this->pending.erase(number);
  this->byHandle.erase(found);
}

bool
EntryEngine::IsUsable(const std::string& aHost) const
{
  auto found = this->owners.find(aHost);
  if (found == this->owners.end()) {
    return true;
  }
  const Owner& owner = found->second;
  bool isDown = owner.state == OwnerState::Down && owner.downUntil > this->now;
  return !isDown && !owner.draining;
}

const std::vector<std::string>&
EntryEngine::RankedCandidates(const std::string& aGroup)
{
  auto found = this->candidatesByGroup.find(aGroup);
  if (found == this->candidatesByGroup.end()) {
    std::vector<std::string> ranked = RankCandidates(aGroup, this->hosts.hosts);
    ranked.resize(std::min(ranked.size(), detail::kMaxCandidates));
    found = this->candidatesByGroup.emplace(aGroup, std::move(ranked)).first;
  }
  return found->second;
}

std::string
EntryEngine::ChooseOwner(const PendingRequest& aPending)
{
  if (detail::IsTransactional(aPending.request)) {
    return detail::HostOfTransaction(aPending.request.transaction);
  }
  for (const std::string& host :
       this->RankedCandidates(aPending.request.group)) {
    if (this->IsUsable(host) && aPending.tried.count(host) == 0) {
      return host;
    }
  }
  return {};
}

void
EntryEngine::AssignRequest(uint64_t aNumber)
{
  PendingRequest& pending = this->pending[aNumber];
  pending.isSentToHost = false;
  pending.host = this->ChooseOwner(pending);
  if (pending.host.empty()) {
    return; // tried again on each tick until the request expires
  }
  Owner& owner = this->owners[pending.host];
  if (owner.state == OwnerState::Up) {
    this->Send(aNumber);
    return;
  }
  if (detail::IsTransactional(pending.request) &&
      owner.state != OwnerState::Connecting) {
    // No other owner has the transaction, so it counts as lost only after one
    // reconnect to its owner has failed.
    if (pending.hasTriedReconnect) {
      this->HandleTransactionLoss(aNumber);
      return;
    }
    pending.hasTriedReconnect = true;
  }
  if (owner.state != OwnerState::Connecting) {
    this->Connect(pending.host);
  }
}

void
EntryEngine::Connect(const std::string& aHost)
{
  Owner& owner = this->owners[aHost];
  owner.state = OwnerState::Connecting;
  owner.connectDeadline = this->now + detail::kConnectTimeout;
  this->actions.emplace_back(ConnectOwner{ aHost });
}

void
EntryEngine::Send(uint64_t aNumber)
{
  PendingRequest& pending = this->pending[aNumber];
  // The database stores a request record for each write and commit, but none
  // for a statement in a transaction, which could run twice if it were sent
  // twice. Its transaction is rolled back instead.
  if (pending.wasEverSent &&
      pending.request.operation == Operation::Statement) {
    pending.request.operation = Operation::RollBack;
    pending.isStatementReplaced = true;
  }
  Request request = pending.request;
  request.timeout = std::max(pending.deadline - this->now, Millis(1));
  // An earlier send may have run, so only the request record can now prove
  // "not run".
  request.firstAttempt = request.firstAttempt && !pending.wasEverSent;
  pending.isSentToHost = true;
  pending.wasEverSent = true;
  Owner& owner = this->owners[pending.host];
  owner.unanswered.insert(aNumber);
  owner.lastSent = this->now;
  this->actions.emplace_back(
    ForwardRequest{ pending.host, aNumber, std::move(request) });
}

void
EntryEngine::On(const OwnerAnswered& aEvent)
{
  auto found = this->pending.find(aEvent.number);
  // The request has already been answered or cancelled.
  if (found == this->pending.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  bool isFromAssignedOwner = pending.host == aEvent.host;
  this->owners[aEvent.host].unanswered.erase(aEvent.number);
  bool isTransactionLost =
    pending.isStatementReplaced ||
    (aEvent.answer.tryNext && detail::IsTransactional(pending.request));
  if (isTransactionLost) {
    this->HandleTransactionLoss(aEvent.number);
    return;
  }
  if (aEvent.answer.tryNext) {
    if (isFromAssignedOwner) {
      pending.tried.insert(aEvent.host);
      this->AssignRequest(aEvent.number);
      // All usable candidates have answered "try next": the next tick starts
      // again with the first candidate.
      if (pending.host.empty()) {
        pending.tried.clear();
      }
    }
    return;
  }
  // An owner that is no longer assigned can report success only: the assigned
  // owner may still run the request.
  if (!isFromAssignedOwner && aEvent.answer.outcome != Outcome::Ok) {
    return;
  }
  this->Finish(aEvent.number, aEvent.answer);
}

void
EntryEngine::On(const OwnerConnected& aEvent)
{
  Owner& owner = this->owners[aEvent.host];
  owner.state = OwnerState::Up;
  owner.lastHeard = this->now;
  owner.pingSent = kInfiniteFuture;
  owner.draining = false;
  this->actions.emplace_back(AddEntryLogLine{ LogEvent::PeerUp, aEvent.host });
  for (auto& [number, pending] : this->pending) {
    if (pending.host == aEvent.host && !pending.isSentToHost) {
      this->Send(number);
    }
  }
}

void
EntryEngine::On(const OwnerLost& aEvent)
{
  this->HandleOwnerLoss(aEvent.host);
}

void
EntryEngine::HandleOwnerLoss(const std::string& aHost)
{
  Owner& owner = this->owners[aHost];
  bool wasUp = owner.state == OwnerState::Up;
  if (wasUp) {
    this->actions.emplace_back(AddEntryLogLine{ LogEvent::PeerDown, aHost });
  }
  owner.unanswered.clear();
  owner.pingSent = kInfiniteFuture;
  for (auto& [number, pending] : this->pending) {
    if (pending.host == aHost) {
      pending.isSentToHost = false;
    }
  }
  // A connection can fail while new ones to the same host work, so reconnect
  // to that host first.
  if (wasUp) {
    this->Connect(aHost);
    return;
  }
  owner.state = OwnerState::Down;
  owner.downUntil = this->now + detail::kReconnectDelay;
  this->ReassignRequests(aHost);
}

void
EntryEngine::ReassignRequests(const std::string& aHost)
{
  std::vector<uint64_t> numbers;
  for (const auto& [number, pending] : this->pending) {
    if (pending.host == aHost && !pending.isSentToHost) {
      numbers.push_back(number);
    }
  }
  for (uint64_t number : numbers) {
    this->AssignRequest(number);
  }
}

void
EntryEngine::HandleTransactionLoss(uint64_t aNumber)
{
  PendingRequest& pending = this->pending[aNumber];
  if (pending.request.operation == Operation::Commit) {
    // The next owner reads from the request record whether the commit took
    // effect.
    pending.request.operation = Operation::Resolve;
    pending.request.transaction.clear();
    // The commit may have run, so `Expire` must not answer `NotRun`.
    pending.wasEverSent = true;
    this->AssignRequest(aNumber);
    return;
  }
  bool isRollBack = pending.request.operation == Operation::RollBack &&
                    !pending.isStatementReplaced;
  this->Finish(aNumber,
               MakeAnswer(isRollBack ? Outcome::Ok : Outcome::Conflict,
                          "the transaction could not be continued and was "
                          "rolled back"));
}

void
EntryEngine::On(const OwnerFrameReceived& aEvent)
{
  Owner& owner = this->owners[aEvent.host];
  owner.lastHeard = this->now;
  owner.pingSent = kInfiniteFuture;
}

void
EntryEngine::On(const OwnerDraining& aEvent)
{
  this->owners[aEvent.host].draining = true;
}

void
EntryEngine::On(const HostsChanged& aEvent)
{
  this->hosts = aEvent.hosts;
  this->candidatesByGroup.clear();
}

void
EntryEngine::On(const ConfigurationChanged& aEvent)
{
  this->config = aEvent.config;
}

void
EntryEngine::On(const EntryTick&)
{
  for (auto& [host, owner] : this->owners) {
    this->CheckOwner(host, owner);
  }
  std::vector<uint64_t> unassigned;
  for (const auto& [number, pending] : this->pending) {
    if (pending.host.empty()) {
      unassigned.push_back(number);
    }
  }
  for (uint64_t number : unassigned) {
    this->AssignRequest(number);
  }
  this->Expire();
}

void
EntryEngine::CheckOwner(const std::string& aHost, Owner& aOwner)
{
  if (aOwner.state == OwnerState::Connecting) {
    if (aOwner.connectDeadline <= this->now) {
      this->actions.emplace_back(DisconnectOwner{ aHost });
      this->HandleOwnerLoss(aHost);
    }
    return;
  }
  if (aOwner.state != OwnerState::Up || aOwner.unanswered.empty()) {
    return;
  }
  // Only a connection with unanswered requests is pinged, so idle connections
  // cause no traffic.
  Time idleSince = std::max(aOwner.lastHeard, aOwner.lastSent);
  bool isPingPending = !(aOwner.pingSent == kInfiniteFuture);
  if (!isPingPending && this->now - idleSince >= detail::kPingDelay) {
    aOwner.pingSent = this->now;
    this->actions.emplace_back(PingOwner{ aHost });
  } else if (isPingPending &&
             this->now - aOwner.pingSent >= detail::kPingTimeout) {
    this->actions.emplace_back(DisconnectOwner{ aHost });
    this->HandleOwnerLoss(aHost);
  }
}

void
EntryEngine::On(const EntryClosing&)
{
  this->isClosing = true;
  this->Expire();
}

void
EntryEngine::Expire()
{
  std::vector<uint64_t> expired;
  for (const auto& [number, pending] : this->pending) {
    if (this->isClosing ||
        pending.deadline + detail::kAnswerGrace <= this->now) {
      expired.push_back(number);
    }
  }
  for (uint64_t number : expired) {
    const PendingRequest& pending = this->pending[number];
    // A read or a begin has no lasting effect, so it counts as not run even if
    // an owner ran it.
    bool canReportNotRun =
      detail::IsSafeToRepeat(pending.request) ||
      (!pending.wasEverSent && pending.request.firstAttempt);
    Outcome outcome = canReportNotRun ? Outcome::NotRun : Outcome::Unknown;
    if (pending.request.operation == Operation::Read &&
        pending.request.maxAge) {
      outcome = Outcome::Stale;
    }
    if (pending.isSentToHost) {
      this->actions.emplace_back(ForwardCancel{ pending.host, number });
      this->owners[pending.host].unanswered.erase(number);
    }
    this->Finish(number,
                 MakeAnswer(outcome,
                            this->isClosing ? "this host is shutting down"
                                            : "no owner answered in time"));
  }
}

void
EntryEngine::Finish(uint64_t aNumber, Answer aAnswer)
{
  auto found = this->pending.find(aNumber);
  PendingRequest& pending = found->second;
  this->actions.emplace_back(AnswerCaller{
    pending.handle, std::move(aAnswer), this->now - pending.arrived });
  this->byHandle.erase(pending.handle);
  this->pending.erase(found);
}

} // namespace marigoldpitch
