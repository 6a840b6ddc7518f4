#include "marigoldpitch/coordination/owner/group-engine.h"

// Reads: routing to an upstream that is fresh enough, and checking the status
// that it reports after the read.

namespace marigoldpitch {

ReadRequirements
GroupEngine::RequirementsOf(const Work& aWork) const
{
  const Request& request = aWork.request;
  ReadRequirements requirements;
  requirements.seen = this->sessions.Newest(request.session, request.token);
  requirements.primaryOnly = request.unresolved;
  requirements.maxAge = request.maxAge;
  requirements.zone = request.zone;
  requirements.arrived = aWork.arrived;
  requirements.deadline = aWork.deadline;
  requirements.hasQueuedPrimaryWork = this->queue.Queued(Lane::Primary) != 0;
  return requirements;
}

void
GroupEngine::StartRead(Work& aWork)
{
  Route route = this->policies.routing->Choose(this->config,
                                               this->view,
                                               this->connections,
                                               this->RequirementsOf(aWork),
                                               this->now);
  if (route.hasNoFreshReplica) {
    this->ProbeReplicas();
  }
  if (route.kind == RouteKind::Wait) {
    return;
  }
  auto connection = this->Acquire(route.upstream);
  if (!connection) {
    return;
  }
  Step user;
  user.kind = StepKind::User;
  user.statement = aWork.request.statement;
  Step begin;
  begin.kind = StepKind::BeginReadOnly;
  Step status;
  status.kind = StepKind::Status;
  Step commit;
  commit.kind = StepKind::Commit;
  this->Run(
    aWork, *connection, WorkPhase::Running, { begin, user, status, commit });
}

void
GroupEngine::ReadDone(Work& aWork, const BatchResult& aResult)
{
  if (const StepResult* failure = aResult.Failure()) {
    bool isStatementFailure =
      aResult.Done(0) && failure->failure != SqlErrorClass::Leaving;
    if (isStatementFailure) {
      this->RollBackAndAnswer(aWork, FailureAnswer(*failure));
    } else {
      this->CloseAndRemove(aWork.connection);
    }
    return;
  }
  const UpstreamStatus* status = aResult.Status();
  if (status == nullptr) {
    this->CloseAndRemove(aWork.connection);
    return;
  }
  ReadRequirements requirements = this->RequirementsOf(aWork);
  if (aWork.abandoned) {
    this->queue.Remove(aWork.id);
    return;
  }
  if (this->IsOverAnswerLimit(aResult.steps[1].rows)) {
    this->Finish(aWork, Outcome::Invalid, this->OverLimitText());
    return;
  }
  Answer answer;
  answer.rows = aResult.steps[1].rows;
  if (status->role == Role::Primary) {
    if (status->term != this->view.CurrentTerm()) {
      this->Retry(aWork, Duration{});
      return;
    }
    answer.source = Source::Primary;
    answer.age = Duration{};
    this->Emit(Observe{ requirements.maxAge ? Observation::FallbackRead
                                            : Observation::PrimaryRead,
                        {} });
    this->Hold(aWork, std::move(answer), *status);
    return;
  }
  bool isAccepted = requirements.maxAge && !requirements.primaryOnly &&
                    this->policies.routing->Accepts(
                      this->view, requirements, *status, this->now);
  if (!isAccepted) {
    this->Retry(aWork, Duration{});
    return;
  }
  answer.source = Source::Replica;
  answer.age = this->view.AgeOf(status->VisibleProgress(), this->now);
  answer.token = status->VisibleProgress().ToLogPoint();
  this->sessions.Advance(aWork.request.session, answer.token);
  this->UpdateServiceTime(aWork);
  this->Emit(Observe{ Observation::ReplicaRead, *answer.age });
  this->Finish(aWork, answer);
}

} // namespace marigoldpitch
