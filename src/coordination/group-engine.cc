#include "marigoldpitch/coordination/group-engine.h"

#include "marigoldpitch/coordination/statement-check.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr size_t kDispatchScan = 64;
constexpr Duration kReopenDelay = Millis(100);
constexpr Duration kConfirmingTick = Millis(2);
constexpr Duration kBusyTick = Millis(10);
constexpr Duration kIdleTick = Millis(50);
constexpr double kServiceSmoothing = 32;

bool
IsInTransaction(Operation aOperation)
{
  return aOperation == Operation::Statement ||
         aOperation == Operation::Commit || aOperation == Operation::RollBack;
}

bool
NeedsRequestId(Operation aOperation)
{
  return aOperation == Operation::Write || aOperation == Operation::Commit ||
         aOperation == Operation::Resolve;
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
  , askedAt(this->config.upstreams.size())
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
    return detail::kConfirmingTick;
  }
  bool isBusy = this->queue.Size() != 0 || this->failover.IsRunning();
  return isBusy ? detail::kBusyTick : detail::kIdleTick;
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
  if (Work* same = this->queue.FindByRequestId(request.requestId)) {
    same->handles.push_back(aEvent.handle);
    same->request.firstAttempt = false;
    if (same->abandoned) {
      same->abandoned = false;
      same->deadline = this->now + request.timeout;
    }
    return;
  }
  Work& work = this->queue.Add(aEvent.handle, request, this->now);
  this->retries.Earn();
  if (!this->Admits(request)) {
    this->Emit(Report{ LogEvent::RequestRefused,
                       "cannot finish in time: " + request.requestId });
    this->FinishNotRun(work, "refused: it could not finish in time");
  }
}

std::optional<Answer>
GroupEngine::Refusal(const Request& aRequest) const
{
  Operation operation = aRequest.operation;
  if (detail::NeedsRequestId(operation) && aRequest.requestId.empty()) {
    return MakeAnswer(Outcome::Invalid, "request_id: missing");
  }
  if (detail::CarriesStatement(operation) &&
      !IsDataStatement(aRequest.statement.sql)) {
    return MakeAnswer(Outcome::Invalid,
                      "statement.sql: only data statements are taken");
  }
  if (detail::IsInTransaction(operation) && aRequest.transaction.empty()) {
    return MakeAnswer(Outcome::Invalid, "transaction: missing");
  }
  if (this->draining && !detail::IsInTransaction(operation)) {
    Outcome outcome = aRequest.firstAttempt || operation == Operation::Read ||
                          operation == Operation::Begin
                        ? Outcome::NotRun
                        : Outcome::Unknown;
    Answer answer = MakeAnswer(outcome, "this owner is leaving");
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
  load.queued = this->queue.Queued();
  load.slots = this->SlotsFor(lane);
  load.serviceMs = this->ServiceOf(lane);
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
    // What has started runs to its end, so that its connection stays whole.
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
  this->connections.Opened(aEvent.connection, this->now);
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
  if (aEvent.failure == SqlClass::Leaving) {
    upstream.leavingByItself = true;
  }
  this->Emit(Report{ LogEvent::ConnectionLost,
                     this->config.upstreams[connection->upstream].name + ": " +
                       aEvent.reason });
  this->LoseConnection(aEvent.connection);
}

void
GroupEngine::LoseConnection(ConnectionId aId)
{
  Work* work = this->queue.FindByConnection(aId);
  for (auto it = this->transactions.begin(); it != this->transactions.end();) {
    bool isOnIt = it->second.connection == aId;
    it = isOnIt ? this->transactions.erase(it) : std::next(it);
  }
  this->connections.Remove(aId);
  if (work != nullptr) {
    this->AfterLoss(*work);
  }
}

void
GroupEngine::CloseAndLose(ConnectionId aId)
{
  this->Emit(CloseConnection{ aId });
  this->LoseConnection(aId);
}

void
GroupEngine::AfterLoss(Work& aWork)
{
  switch (aWork.phase) {
    case WorkPhase::Running:
      if (aWork.request.operation == Operation::Statement) {
        this->Finish(aWork,
                     Outcome::NotRun,
                     "the transaction was rolled back: connection lost");
      } else if (aWork.request.operation == Operation::RollBack) {
        this->Finish(aWork, Outcome::Ok, "");
      } else {
        this->Retry(aWork, Duration{});
      }
      return;
    case WorkPhase::Claiming:
      // No commit was sent, so the lost connection rolls all of it back.
      this->Retry(aWork, Duration{});
      return;
    case WorkPhase::Undoing:
      if (aWork.retryAfterUndo) {
        this->Retry(aWork, Duration{});
      } else {
        this->Finish(aWork, aWork.answer);
      }
      return;
    case WorkPhase::Committing:
    case WorkPhase::Resolving:
      this->RequeueToResolve(aWork);
      return;
    case WorkPhase::Queued:
    case WorkPhase::Confirming:
      return;
  }
}

void
GroupEngine::RequeueToResolve(Work& aWork)
{
  if (aWork.abandoned) {
    this->queue.Remove(aWork.id);
    return;
  }
  aWork.mustResolve = true;
  aWork.notBefore = this->now + this->options.timing.contentionDelay;
  this->queue.Requeue(aWork);
}

void
GroupEngine::Retry(Work& aWork, Duration aDelay)
{
  if (aWork.abandoned) {
    this->queue.Remove(aWork.id);
    return;
  }
  if (!this->retries.Spend()) {
    this->FinishNotRun(aWork, "refused: the budget for retries is spent");
    return;
  }
  this->Emit(Observe{ Observation::Retry, {} });
  aWork.retryAfterUndo = false;
  aWork.notBefore = this->now + aDelay;
  this->queue.Requeue(aWork);
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
    this->Learn(work->upstream, *status, work->started, work->startedEvent);
    // Learning of a new primary may have moved this work on already.
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
    case WorkPhase::Undoing:
      this->UndoDone(*work, result);
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
    this->Emit(Report{ LogEvent::UpstreamLeaving,
                       this->config.upstreams[aEvent.upstream].name });
  }
  upstream.leavingByList = aEvent.leaving;
  this->ConsiderFailover();
}

void
GroupEngine::On(const Tick&)
{
  bool wasPaused =
    !(this->lastTick == kLongAgo) &&
    this->now - this->lastTick > this->options.timing.pauseNoticed;
  this->lastTick = this->now;
  if (wasPaused) {
    this->ResumeAfterPause();
  }
  this->CheckAsks();
  this->ExpireWork();
  this->CheckBatchLimits();
  this->ExpireTransactions();
  this->KeepTerms();
  this->ConsiderFailover();
  this->HandOverWork();
  this->Watch();
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
  bool isWhole = operation == Operation::Read || operation == Operation::Write;
  auto leftMs = static_cast<double>((aWork.deadline - this->now).ms);
  // A slot is worth more than work that its deadline would only cut off.
  if (isWhole && !aWork.mustResolve && leftMs < this->ServiceOf(aWork.lane)) {
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
                   this->connections.MayOpen(aUpstream) &&
                   this->view.At(aUpstream).openAfter <= this->now;
  uint32_t opening = this->connections.Use(aUpstream).opening;
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
GroupEngine::ExpireWork()
{
  for (WorkId id : this->queue.All()) {
    Work* work = this->queue.Find(id);
    if (work != nullptr && work->deadline <= this->now) {
      this->Expire(*work);
    }
  }
}

void
GroupEngine::Expire(Work& aWork)
{
  WorkPhase phase = aWork.phase;
  bool isRead = aWork.request.operation == Operation::Read;
  if (phase == WorkPhase::Confirming) {
    this->confirmations.Drop(aWork.id);
  }
  Outcome outcome = this->UnprovedOutcome(aWork);
  std::string message = "not done in time, and rolled back";
  if (phase == WorkPhase::Committing || phase == WorkPhase::Resolving ||
      (phase == WorkPhase::Confirming && !isRead) || aWork.mustResolve) {
    outcome = Outcome::Unknown;
    message = "no answer in time: ask with the same id";
  } else if (isRead && aWork.request.maxAge) {
    outcome = Outcome::Stale;
    message = "no copy was fresh enough in time";
  }
  Answer answer = MakeAnswer(outcome, message);
  if (phase == WorkPhase::Undoing && !aWork.retryAfterUndo) {
    answer = aWork.answer;
  }
  if (aWork.connection == 0) {
    this->Finish(aWork, answer);
    return;
  }
  // A statement of a transaction is undone with all of it; any other batch runs
  // to its end, so that its connection stays whole for others.
  if (aWork.request.operation == Operation::Statement) {
    ConnectionId connection = aWork.connection;
    this->Finish(aWork, answer);
    this->CloseAndLose(connection);
    return;
  }
  this->Abandon(aWork, answer);
}

void
GroupEngine::Abandon(Work& aWork, const Answer& aAnswer)
{
  for (RequestHandle handle : aWork.handles) {
    this->Emit(SendAnswer{ handle, aAnswer });
  }
  aWork.handles.clear();
  aWork.abandoned = true;
  aWork.deadline = kNever;
}

void
GroupEngine::CheckBatchLimits()
{
  for (WorkId id : this->queue.All()) {
    Work* work = this->queue.Find(id);
    bool isSilent =
      work != nullptr && work->connection != 0 && work->batchLimit <= this->now;
    if (isSilent) {
      UpstreamIndex upstream = work->upstream;
      Time started = work->started;
      this->CloseAndLose(work->connection);
      this->DropUnproven(upstream, started);
    }
  }
}

void
GroupEngine::DropUnproven(UpstreamIndex aUpstream, Time aSince)
{
  // What took one idle connection away may have taken all that were idle then;
  // one that has answered since is proved.
  for (ConnectionId id : this->connections.AllOf(aUpstream)) {
    const Connection* connection = this->connections.Find(id);
    if (connection->state == ConnectionState::Idle &&
        connection->since <= aSince) {
      this->CloseAndLose(id);
    }
  }
}

void
GroupEngine::Finish(Work& aWork, const Answer& aAnswer)
{
  for (RequestHandle handle : aWork.handles) {
    this->Emit(SendAnswer{ handle, aAnswer });
  }
  this->queue.Remove(aWork.id);
}

void
GroupEngine::Finish(Work& aWork, Outcome aOutcome, std::string aMessage)
{
  this->Finish(aWork, MakeAnswer(aOutcome, std::move(aMessage)));
}

void
GroupEngine::FinishNotRun(Work& aWork, std::string aMessage)
{
  this->Finish(aWork, this->UnprovedOutcome(aWork), std::move(aMessage));
}

Outcome
GroupEngine::UnprovedOutcome(const Work& aWork) const
{
  // An earlier attempt under this id may have run elsewhere: only a first one
  // can be called "not run" without a look at the record.
  bool hasRecord = detail::NeedsRequestId(aWork.request.operation);
  bool isProved =
    !aWork.mustResolve && (!hasRecord || aWork.request.firstAttempt);
  return isProved ? Outcome::NotRun : Outcome::Unknown;
}

void
GroupEngine::LearnService(const Work& aWork)
{
  double& service = this->serviceMs[static_cast<size_t>(aWork.lane)];
  service += (aWork.spentMs - service) / detail::kServiceSmoothing;
}

void
GroupEngine::Hold(Work& aWork, Answer aAnswer, const UpstreamStatus& aStatus)
{
  LogPoint point{ aStatus.term, aStatus.received };
  this->LearnService(aWork);
  aAnswer.token = point;
  this->sessions.Advance(aWork.request.session, point);
  if (aWork.abandoned ||
      this->policies.confirmation->Needed(this->config.Majority()) == 0) {
    this->Finish(aWork, aAnswer);
    return;
  }
  this->queue.Release(aWork);
  aWork.phase = WorkPhase::Confirming;
  aWork.answer = std::move(aAnswer);
  this->confirmations.Hold(aWork.id, point, this->eventNumber);
  this->AskReplicas();
}

} // namespace marigoldpitch
