#include "marigoldpitch/coordination/owner/group-engine.h"

#include <algorithm>

// Writes: the record of each request is committed or rolled back together with
// the write, in one transaction.

namespace marigoldpitch {

namespace detail {

Step
MakeStep(StepKind aKind, const std::string& aRecord = {})
{
  Step step;
  step.kind = aKind;
  step.record = aRecord;
  return step;
}

/** Whether the upstream, and not the statement, caused the failure. */
bool
IsUpstreamFault(SqlErrorClass aFailure)
{
  return aFailure == SqlErrorClass::ReadOnly ||
         aFailure == SqlErrorClass::Leaving || aFailure == SqlErrorClass::Full;
}

StepKind
FailedKind(const Work& aWork, const BatchResult& aResult)
{
  const StepResult* failure = aResult.Failure();
  auto index = static_cast<size_t>(failure - aResult.steps.data());
  return index < aWork.steps.size() ? aWork.steps[index] : StepKind::Status;
}

bool
HasStep(const Work& aWork, StepKind aKind)
{
  return std::find(aWork.steps.begin(), aWork.steps.end(), aKind) !=
         aWork.steps.end();
}

} // namespace detail

void
GroupEngine::StartOnPrimary(Work& aWork)
{
  auto primary = this->view.Primary();
  if (!primary || this->view.At(*primary).Leaving()) {
    return;
  }
  // A write whose commit got no answer claims its record again: if the write
  // ran, the claim fails and the record gives the answer. A commit of a
  // transaction cannot be run again, so its record is resolved instead.
  bool isResolve =
    aWork.request.operation == Operation::Resolve ||
    (aWork.mustResolve && aWork.request.operation != Operation::Write);
  bool isBegin = !isResolve && aWork.request.operation == Operation::Begin;
  // Transactions leave one connection for each slot to other work, so that idle
  // transactions cannot block it.
  uint32_t maxPinned = this->config.connections > this->config.slots
                         ? this->config.connections - this->config.slots
                         : 0;
  if (isBegin && this->transactions.size() >= maxPinned) {
    return;
  }
  auto connection = this->Acquire(*primary);
  if (!connection) {
    return;
  }
  if (isResolve) {
    this->StartResolve(aWork, *connection);
    return;
  }
  if (isBegin) {
    this->Run(aWork,
              *connection,
              WorkPhase::Running,
              { detail::MakeStep(StepKind::Begin) });
    return;
  }
  Step user = detail::MakeStep(StepKind::User);
  user.statement = aWork.request.statement;
  this->Run(aWork,
            *connection,
            WorkPhase::Claiming,
            { detail::MakeStep(StepKind::Begin),
              detail::MakeStep(StepKind::ClaimRecord, RecordKey(aWork.request)),
              user });
}

void
GroupEngine::ClaimDone(Work& aWork, const BatchResult& aResult)
{
  const StepResult* failure = aResult.Failure();
  if (failure != nullptr) {
    StepKind kind = detail::FailedKind(aWork, aResult);
    if (kind == StepKind::Begin || detail::IsUpstreamFault(failure->failure)) {
      this->CloseAndRemove(aWork.connection);
    } else if (kind == StepKind::User) {
      this->RollBackAndAnswer(aWork, FailureAnswer(*failure));
    } else if (failure->failure == SqlErrorClass::Duplicate) {
      this->RollBackAndReadRecord(aWork);
    } else if (failure->failure == SqlErrorClass::Contention) {
      this->RollBackAndRetry(aWork);
    } else {
      this->RollBackAndAnswer(aWork, FailureAnswer(*failure));
    }
    return;
  }
  // The claim succeeded, so no earlier transaction with this record has
  // committed or can still commit.
  aWork.mustResolve = false;
  if (aWork.abandoned || aWork.deadline <= this->now) {
    this->RollBackAndAnswer(
      aWork,
      MakeAnswer(this->OutcomeWithoutRecordCheck(aWork),
                 "not finished in time, and rolled back"));
    return;
  }
  if (this->IsOverAnswerLimit(aResult.steps.back().rows)) {
    this->RollBackAndAnswer(
      aWork,
      MakeAnswer(Outcome::Invalid, this->OverLimitText() + "; rolled back"));
    return;
  }
  aWork.rows = aResult.steps.back().rows;
  Step store =
    detail::MakeStep(StepKind::StoreResult, RecordKey(aWork.request));
  store.result = aWork.rows;
  this->Run(aWork,
            aWork.connection,
            WorkPhase::Committing,
            { store,
              detail::MakeStep(StepKind::Commit),
              detail::MakeStep(StepKind::Status) });
}

void
GroupEngine::CommitDone(Work& aWork, const BatchResult& aResult)
{
  bool isTransaction = aWork.request.operation == Operation::Commit;
  if (isTransaction) {
    this->EndTransaction(aWork.request.transaction);
  }
  const StepResult* failure = aResult.Failure();
  if (failure != nullptr) {
    StepKind kind = detail::FailedKind(aWork, aResult);
    bool isBeforeCommit =
      kind == StepKind::ClaimRecord || kind == StepKind::StoreResult;
    if (!isBeforeCommit || detail::IsUpstreamFault(failure->failure)) {
      this->CloseAndRemove(aWork.connection);
    } else if (failure->failure == SqlErrorClass::Duplicate) {
      this->RollBackAndReadRecord(aWork);
    } else {
      this->RollBackAndAnswer(aWork, FailureAnswer(*failure));
    }
    return;
  }
  const UpstreamStatus* status = aResult.Status();
  bool isCurrent = status != nullptr && status->role == Role::Primary &&
                   status->term == this->view.CurrentTerm();
  if (!isCurrent) {
    this->RequeueToResolve(aWork);
    return;
  }
  Answer answer;
  answer.rows = aWork.rows;
  answer.source = Source::Primary;
  this->Hold(aWork, std::move(answer), *status);
}

void
GroupEngine::StartResolve(Work& aWork, ConnectionId aConnection)
{
  std::string record = RecordKey(aWork.request);
  this->Run(aWork,
            aConnection,
            WorkPhase::Resolving,
            { detail::MakeStep(StepKind::Begin),
              detail::MakeStep(StepKind::Tombstone, record),
              detail::MakeStep(StepKind::Commit),
              detail::MakeStep(StepKind::Status) });
}

void
GroupEngine::RollBackAndReadRecord(Work& aWork)
{
  this->Run(aWork,
            aWork.connection,
            WorkPhase::Resolving,
            { detail::MakeStep(StepKind::RollBack),
              detail::MakeStep(StepKind::ReadRecord, RecordKey(aWork.request)),
              detail::MakeStep(StepKind::Status) });
}

void
GroupEngine::ResolveDone(Work& aWork, const BatchResult& aResult)
{
  const StepResult* failure = aResult.Failure();
  if (failure != nullptr) {
    bool isRecord = detail::FailedKind(aWork, aResult) == StepKind::Tombstone;
    if (isRecord && failure->failure == SqlErrorClass::Duplicate) {
      this->RollBackAndReadRecord(aWork);
    } else if (isRecord && failure->failure == SqlErrorClass::Contention) {
      this->RollBackAndRetry(aWork);
    } else {
      this->CloseAndRemove(aWork.connection);
    }
    return;
  }
  const UpstreamStatus* status = aResult.Status();
  bool isCurrent = status != nullptr && status->role == Role::Primary &&
                   status->term == this->view.CurrentTerm();
  if (!isCurrent) {
    this->RequeueToResolve(aWork);
    return;
  }
  if (detail::HasStep(aWork, StepKind::Tombstone)) {
    this->Hold(
      aWork,
      MakeAnswer(Outcome::NotRun, "the request did not run and can never run"),
      *status);
    return;
  }
  const std::optional<RequestRecord>& record = aResult.steps[1].record;
  if (!record) {
    // The other transaction rolled back between the insert and the read.
    aWork.notBefore = this->now + this->options.timing.contentionDelay;
    this->queue.Requeue(aWork);
    return;
  }
  Answer answer;
  if (record->ran && this->IsOverAnswerLimit(record->result)) {
    // It ran under a higher limit.
    answer = MakeAnswer(Outcome::Unknown,
                        "the request ran, but " + this->OverLimitText());
  } else if (record->ran) {
    answer.rows = record->result;
    answer.source = Source::Primary;
    answer.replayed = true;
  } else {
    answer =
      MakeAnswer(Outcome::NotRun, "the request did not run and can never run");
  }
  this->Hold(aWork, std::move(answer), *status);
}

void
GroupEngine::RollBackAndAnswer(Work& aWork, Answer aAnswer)
{
  aWork.answer = std::move(aAnswer);
  aWork.retryAfterRollBack = false;
  this->Run(aWork,
            aWork.connection,
            WorkPhase::RollingBack,
            { detail::MakeStep(StepKind::RollBack) });
}

void
GroupEngine::RollBackAndRetry(Work& aWork)
{
  aWork.retryAfterRollBack = true;
  this->Run(aWork,
            aWork.connection,
            WorkPhase::RollingBack,
            { detail::MakeStep(StepKind::RollBack) });
}

void
GroupEngine::RetryAfterContention(Work& aWork)
{
  if (aWork.abandoned) {
    this->queue.Remove(aWork.id);
    return;
  }
  // Another transaction holds the same record. It ends soon, or the upstream
  // ends it.
  const GroupTiming& timing = this->options.timing;
  aWork.retryAfterRollBack = false;
  aWork.contentionWaits =
    std::min(aWork.contentionWaits + 1, timing.maxContentionDoublings);
  aWork.notBefore = this->now + timing.contentionDelay *
                                  (int64_t{ 1 } << aWork.contentionWaits);
  this->queue.Requeue(aWork);
}

void
GroupEngine::RollBackDone(Work& aWork, const BatchResult& aResult)
{
  if (aResult.Failure() != nullptr) {
    this->CloseAndRemove(aWork.connection);
    return;
  }
  if (aWork.retryAfterRollBack) {
    this->RetryAfterContention(aWork);
    return;
  }
  this->Finish(aWork, aWork.answer);
}

} // namespace marigoldpitch
