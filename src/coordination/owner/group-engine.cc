#include "marigoldpitch/coordination/owner/group-engine.h"

#include "marigoldpitch/coordination/owner/statement-check.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr size_t kDispatchScan = 64; // work considered per lane and event
constexpr Duration kReopenDelay = Millis(100);
constexpr Duration kConfirmingTickInterval = Millis(2);
constexpr Duration kBusyTickInterval = Millis(10);
constexpr Duration kIdleTickInterval = Millis(50);

bool
IsInTransaction(Operation aOperation)
{
  return aOperation == Operation::Statement ||
         aOperation == Operation::Commit || aOperation == Operation::RollBack;
}

bool
CarriesStatement(Operation aOperation)
{
  return aOperation == Operation::Read || aOperation == Operation::Write ||
         aOperation == Operation::Statement;
}

} // namespace detail

Result<std::unique_ptr<GroupEngine>>
GroupEngine::Create(GroupConfig aConfig,
                    Policies aPolicies,
                    GroupOptions aOptions)
{
  if (aConfig.upstreams.empty()) {
    return Error{ ErrorCode::BadConfiguration,
                  aConfig.name,
                  "a group needs at least one upstream" };
  }
  return std::unique_ptr<GroupEngine>(new GroupEngine(
    std::move(aConfig), std::move(aPolicies), std::move(aOptions)));
}

GroupEngine::GroupEngine(GroupConfig aConfig,
                         Policies aPolicies,
                         GroupOptions aOptions)
  : config(std::move(aConfig))
  , policies(std::move(aPolicies))
  , options(std::move(aOptions))
  , view(this->config)
  , connections(this->config.upstreams.size(),
                this->config.slots,
                this->config.connections)
  , sessions(this->options.sessions)
  , queue(this->policies.admission->OrdersByPriority())
  , probeEvents(this->config.upstreams.size())
{
}

GroupActions
GroupEngine::Handle(Time aNow, const GroupEvent& aEvent)
{
  this->now = aNow;
  ++this->eventNumber;
  this->actions.clear();
  std::visit([this](const auto& aKind) { this->On(aKind); }, aEvent);
  this->Dispatch();
  return std::move(this->actions);
}

Duration
GroupEngine::TickInterval() const
{
  if (!this->confirmations.Empty()) {
    return detail::kConfirmingTickInterval;
  }
  bool isBusy = this->queue.Size() != 0 || this->failover.IsRunning();
  return isBusy ? detail::kBusyTickInterval : detail::kIdleTickInterval;
}

bool
GroupEngine::Reconfigure(const GroupConfig& aConfig)
{
  if (aConfig.upstreams.size() != this->config.upstreams.size()) {
    return false;
  }
  for (size_t i = 0; i < aConfig.upstreams.size(); ++i) {
    const UpstreamConfig& before = this->config.upstreams[i];
    const UpstreamConfig& after = aConfig.upstreams[i];
    if (before.name != after.name || !(before.endpoint == after.endpoint)) {
      return false;
    }
  }
  for (size_t i = 0; i < aConfig.upstreams.size(); ++i) {
    this->view.At(i).leavingByConfig = aConfig.upstreams[i].leaving;
  }
  this->config = aConfig;
  this->connections.SetLimits(aConfig.slots, aConfig.connections);
  this->policies.confirmation = MakeConfirmation(aConfig.acknowledge);
  return true;
}

void
GroupEngine::Emit(GroupAction aAction)
{
  this->actions.push_back(std::move(aAction));
}

void
GroupEngine::On(const RequestArrived& aEvent)
{
  const Request& request = aEvent.request;
  this->lastRequest = this->now;
  if (auto refusal = this->Refusal(request)) {
    this->Emit(SendAnswer{ aEvent.handle, *refusal });
    return;
  }
  if (Work* same = this->queue.FindDuplicate(request)) {
    same->handles.push_back(aEvent.handle);
    same->request.firstAttempt = false;
    if (same->abandoned) {
      same->abandoned = false;
      same->deadline = this->now + request.timeout;
    }
    return;
  }
  Work& work = this->queue.Add(aEvent.handle, request, this->now);
  this->retries.Deposit();
  if (!this->Admits(request)) {
    this->Emit(
      AddLogLine{ LogEvent::RequestRefused,
                  "cannot finish by its deadline: " + request.requestId });
    this->FinishNotRun(work, "refused: it could not finish in time");
  }
}

std::optional<Answer>
GroupEngine::Refusal(const Request& aRequest) const
{
  Operation operation = aRequest.operation;
  if (NeedsRequestId(operation) && aRequest.requestId.empty()) {
    return MakeAnswer(Outcome::Invalid, "request_id: missing");
  }
  if (detail::CarriesStatement(operation) &&
      !IsDataStatement(aRequest.statement.sql)) {
    return MakeAnswer(Outcome::Invalid,
                      "statement.sql: only data statements are accepted");
  }
  if (detail::IsInTransaction(operation) && aRequest.transaction.empty()) {
    return MakeAnswer(Outcome::Invalid, "transaction: missing");
  }
  if (this->draining && !detail::IsInTransaction(operation)) {
    Outcome outcome = aRequest.firstAttempt || operation == Operation::Read ||
                          operation == Operation::Begin
                        ? Outcome::NotRun
                        : Outcome::Unknown;
    Answer answer = MakeAnswer(outcome, "this owner is draining");
    answer.tryNext = true;
    return answer;
  }
  return std::nullopt;
}

bool
GroupEngine::Admits(const Request& aRequest) const
{
  if (detail::IsInTransaction(aRequest.operation)) {
    return true;
  }
  if (this->queue.Queued() > this->options.queueLimit) {
    return false;
  }
  Lane lane = WorkQueue::LaneOf(aRequest);
  QueueLoad load;
  load.ahead = this->queue.Ahead(lane, aRequest.priority);
  load.slots = this->SlotsFor(lane);
  load.serviceMs = this->MeanServiceMs(lane);
  return this->policies.admission->Admits(load, aRequest.timeout);
}

size_t
GroupEngine::SlotsFor(Lane aLane) const
{
  if (aLane == Lane::Primary) {
    return this->view.Primary() ? this->config.slots : 0;
  }
  size_t replicas = 0;
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    replicas += this->view.IsServingReplica(i) ? 1 : 0;
  }
  return replicas * this->config.slots;
}

void
GroupEngine::On(const RequestCancelled& aEvent)
{
  for (WorkId id : this->queue.All()) {
    Work* work = this->queue.Find(id);
    auto& handles = work->handles;
    auto found = std::find(handles.begin(), handles.end(), aEvent.handle);
    if (found == handles.end()) {
      continue;
    }
    handles.erase(found);
    // Started work runs to its end, so that its connection can be reused.
    if (handles.empty() && work->phase == WorkPhase::Queued &&
        !work->mustResolve) {
      this->queue.Remove(id);
    }
    return;
  }
}

void
GroupEngine::On(const ConnectionOpened& aEvent)
{
  this->connections.MarkOpened(aEvent.connection, this->now);
}

void
GroupEngine::On(const ConnectionLost& aEvent)
{
  const Connection* connection = this->connections.Find(aEvent.connection);
  if (connection == nullptr) {
    return;
  }
  UpstreamView& upstream = this->view.At(connection->upstream);
  if (connection->state == ConnectionState::Opening) {
    upstream.openAfter = this->now + detail::kReopenDelay;
  }
  if (aEvent.failure == SqlErrorClass::Leaving) {
    upstream.leavingByItself = true;
  }
  this->Emit(AddLogLine{ LogEvent::ConnectionLost,
                         this->config.upstreams[connection->upstream].name +
                           ": " + aEvent.reason });
  this->RemoveConnection(aEvent.connection);
}

void
GroupEngine::RemoveConnection(ConnectionId aId)
{
  Work* work = this->queue.FindByConnection(aId);
  for (auto it = this->transactions.begin(); it != this->transactions.end();) {
    bool usesConnection = it->second.connection == aId;
    it = usesConnection ? this->transactions.erase(it) : std::next(it);
  }
  this->connections.Remove(aId);
  if (work != nullptr) {
    this->HandleLostBatch(*work);
  }
}

void
GroupEngine::CloseAndRemove(ConnectionId aId)
{
  this->Emit(CloseConnection{ aId });
  this->RemoveConnection(aId);
}

void
GroupEngine::On(const BatchFinished& aEvent)
{
  if (!this->connections.FinishBatch(
        aEvent.connection, aEvent.sequence, this->now)) {
    return;
  }
  Work* work = this->queue.FindByConnection(aEvent.connection);
  if (work == nullptr) {
    return;
  }
  work->spentMs += static_cast<double>((this->now - work->started).ms);
  const BatchResult& result = aEvent.result;
  if (const UpstreamStatus* status = result.Status()) {
    this->ApplyStatus(
      work->upstream, *status, work->started, work->startedEvent);
    // If the status showed a new primary, this work may have been requeued or
    // answered already.
    if (this->queue.FindByConnection(aEvent.connection) != work) {
      return;
    }
  }
  switch (work->phase) {
    case WorkPhase::Running:
      if (work->request.operation == Operation::Read) {
        this->ReadDone(*work, result);
      } else if (work->request.operation == Operation::Begin) {
        this->BeginDone(*work, result);
      } else {
        this->StatementDone(*work, result);
      }
      return;
    case WorkPhase::Claiming:
      this->ClaimDone(*work, result);
      return;
    case WorkPhase::RollingBack:
      this->RollBackDone(*work, result);
      return;
    case WorkPhase::Committing:
      this->CommitDone(*work, result);
      return;
    case WorkPhase::Resolving:
      this->ResolveDone(*work, result);
      return;
    case WorkPhase::Queued:
    case WorkPhase::Confirming:
      return;
  }
}

void
GroupEngine::On(const DrainRequested&)
{
  this->draining = true;
}

void
GroupEngine::On(const UpstreamListedLeaving& aEvent)
{
  UpstreamView& upstream = this->view.At(aEvent.upstream);
  if (aEvent.leaving && !upstream.leavingByList) {
    this->Emit(AddLogLine{ LogEvent::UpstreamLeaving,
                           this->config.upstreams[aEvent.upstream].name });
  }
  upstream.leavingByList = aEvent.leaving;
  this->UpdateFailover();
}

void
GroupEngine::On(const Tick&)
{
  bool wasPaused =
    !(this->lastTick == kInfinitePast) &&
    this->now - this->lastTick > this->options.timing.pauseThreshold;
  this->lastTick = this->now;
  if (wasPaused) {
    this->ResumeAfterPause();
  }
  this->CheckProbeTimeouts();
  this->ExpireWork();
  this->CheckBatchLimits();
  this->ExpireTransactions();
  this->ReserveTermsIfLow();
  this->UpdateFailover();
  this->RedirectPrimaryWork();
  this->ProbeDueUpstreams();
}

void
GroupEngine::Dispatch()
{
  for (const auto& lane : kLaneNames.rows) {
    for (WorkId id : this->queue.Head(lane.value, detail::kDispatchScan)) {
      Work* work = this->queue.Find(id);
      if (work != nullptr && work->notBefore <= this->now) {
        this->StartQueued(*work);
      }
    }
  }
}

void
GroupEngine::StartQueued(Work& aWork)
{
  Operation operation = aWork.request.operation;
  bool isSingleStatement =
    operation == Operation::Read || operation == Operation::Write;
  auto leftMs = static_cast<double>((aWork.deadline - this->now).ms);
  // Work that would reach its deadline while it runs would waste the slot.
  if (isSingleStatement && !aWork.mustResolve &&
      leftMs < this->MeanServiceMs(aWork.lane)) {
    this->FinishNotRun(aWork, "refused: it could not finish in time");
    return;
  }
  if (aWork.mustResolve || operation == Operation::Resolve) {
    this->StartOnPrimary(aWork);
  } else if (operation == Operation::Read) {
    this->StartRead(aWork);
  } else if (detail::IsInTransaction(operation)) {
    this->StartInTransaction(aWork);
  } else {
    this->StartOnPrimary(aWork);
  }
}

std::optional<ConnectionId>
GroupEngine::Acquire(UpstreamIndex aUpstream)
{
  if (auto idle = this->connections.FindIdle(aUpstream)) {
    return idle;
  }
  bool isAllowed = this->connections.HasFreeSlot(aUpstream) &&
                   this->connections.CanOpen(aUpstream) &&
                   this->view.At(aUpstream).openAfter <= this->now;
  uint32_t opening = this->connections.UsageOf(aUpstream).opening;
  if (isAllowed && opening < this->config.slots) {
    ConnectionId id = this->connections.Open(aUpstream, this->now);
    this->Emit(OpenConnection{ id, aUpstream });
  }
  return std::nullopt;
}

void
GroupEngine::Run(Work& aWork,
                 ConnectionId aConnection,
                 WorkPhase aPhase,
                 Batch aBatch)
{
  uint64_t sequence = this->connections.StartBatch(aConnection, this->now);
  this->queue.Start(aWork, aConnection);
  aWork.upstream = this->connections.Find(aConnection)->upstream;
  aWork.phase = aPhase;
  aWork.started = this->now;
  aWork.startedEvent = this->eventNumber;
  aWork.batchLimit = this->now + this->options.timing.batchLimit;
  aWork.steps.clear();
  for (const Step& step : aBatch) {
    aWork.steps.push_back(step.kind);
  }
  this->Emit(RunBatch{ aConnection, sequence, std::move(aBatch) });
}

void
GroupEngine::CheckBatchLimits()
{
  for (WorkId id : this->queue.All()) {
    Work* work = this->queue.Find(id);
    bool isOverdue =
      work != nullptr && work->connection != 0 && work->batchLimit <= this->now;
    if (isOverdue) {
      UpstreamIndex upstream = work->upstream;
      Time started = work->started;
      this->CloseAndRemove(work->connection);
      this->CloseIdleSince(upstream, started);
    }
  }
}

void
GroupEngine::CloseIdleSince(UpstreamIndex aUpstream, Time aSince)
{
  // The failure that broke one connection may have broken all connections that
  // were idle at that time. A connection that was used since is known to work.
  for (ConnectionId id : this->connections.ConnectionsOf(aUpstream)) {
    const Connection* connection = this->connections.Find(id);
    if (connection->state == ConnectionState::Idle &&
        connection->since <= aSince) {
      this->CloseAndRemove(id);
    }
  }
}

} // namespace marigoldpitch
