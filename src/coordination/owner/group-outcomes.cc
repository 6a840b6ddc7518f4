#include "marigoldpitch/coordination/owner/group-engine.h"

// Retries, deadlines, answers held for confirmation, and final answers.

namespace marigoldpitch {

namespace detail {
constexpr double kServiceSmoothing = 32; // weight 1/32 for a new sample
} // namespace detail

void
GroupEngine::HandleLostBatch(Work& aWork)
{
  switch (aWork.phase) {
    case WorkPhase::Running:
      if (aWork.request.operation == Operation::Statement) {
        this->Finish(
          aWork,
          Outcome::NotRun,
          "the transaction was rolled back: upstream connection lost");
      } else if (aWork.request.operation == Operation::RollBack) {
        this->Finish(aWork, Outcome::Ok, "");
      } else {
        this->Retry(aWork, Duration{});
      }
      return;
    case WorkPhase::Claiming:
      // No commit was sent, so the loss of the connection rolls it back.
      this->Retry(aWork, Duration{});
      return;
    case WorkPhase::RollingBack:
      if (aWork.retryAfterRollBack) {
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
  if (!this->retries.TryWithdraw()) {
    this->FinishNotRun(aWork, "refused: the retry budget is exhausted");
    return;
  }
  this->Emit(Observe{ Observation::Retry, {} });
  aWork.retryAfterRollBack = false;
  aWork.notBefore = this->now + aDelay;
  this->queue.Requeue(aWork);
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
  Outcome outcome = this->OutcomeWithoutRecordCheck(aWork);
  std::string message = "not finished in time, and rolled back";
  if (phase == WorkPhase::Committing || phase == WorkPhase::Resolving ||
      (phase == WorkPhase::Confirming && !isRead) || aWork.mustResolve) {
    outcome = Outcome::Unknown;
    message = "no answer in time: retry with the same request id";
  } else if (isRead && aWork.request.maxAge) {
    outcome = Outcome::Stale;
    message = "no copy was fresh enough in time";
  }
  Answer answer = MakeAnswer(outcome, message);
  if (phase == WorkPhase::RollingBack && !aWork.retryAfterRollBack) {
    answer = aWork.answer;
  }
  if (aWork.connection == 0) {
    this->Finish(aWork, answer);
    return;
  }
  // A statement in a transaction is rolled back with the whole transaction, by
  // closing the connection. Any other batch runs to its end, so that its
  // connection can be reused.
  if (aWork.request.operation == Operation::Statement) {
    ConnectionId connection = aWork.connection;
    this->Finish(aWork, answer);
    this->CloseAndRemove(connection);
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
  aWork.deadline = kInfiniteFuture;
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
  this->Finish(
    aWork, this->OutcomeWithoutRecordCheck(aWork), std::move(aMessage));
}

Outcome
GroupEngine::OutcomeWithoutRecordCheck(const Work& aWork) const
{
  // An earlier attempt with the same request id may have run at another owner.
  // Only a first attempt is known not to have run without reading the record.
  bool hasRecord = NeedsRequestId(aWork.request.operation);
  bool isKnownNotRun =
    !aWork.mustResolve && (!hasRecord || aWork.request.firstAttempt);
  return isKnownNotRun ? Outcome::NotRun : Outcome::Unknown;
}

bool
GroupEngine::IsOverAnswerLimit(const Rows& aRows) const
{
  return FrameBytes(aRows) > this->options.answerBytes;
}

std::string
GroupEngine::OverLimitText() const
{
  return "the result is over the limit of " +
         std::to_string(this->options.answerBytes) + " bytes";
}

void
GroupEngine::UpdateServiceTime(const Work& aWork)
{
  double& service = this->serviceMs[static_cast<size_t>(aWork.lane)];
  service += (aWork.spentMs - service) / detail::kServiceSmoothing;
}

void
GroupEngine::Hold(Work& aWork, Answer aAnswer, const UpstreamStatus& aStatus)
{
  LogPoint point{ aStatus.term, aStatus.received };
  this->UpdateServiceTime(aWork);
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
  this->ProbeReplicas();
}

} // namespace marigoldpitch
