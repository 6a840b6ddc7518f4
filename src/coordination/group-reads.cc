#include "marigoldpitch/coordination/group-engine.h"

// Reads: routing to an upstream that is fresh enough, and checking the status
// that it reports after the read.

namespace marigoldpitch {

ReadNeed
GroupEngine::NeedOf(const Work& aWork) const
{
  const Request& request = aWork.request;
  ReadNeed need;
  need.seen = this->sessions.Newest(request.session, request.token);
  need.primaryOnly = request.unresolved;
  need.maxAge = request.maxAge;
  need.zone = request.zone;
  need.arrived = aWork.arrived;
  need.deadline = aWork.deadline;
  need.primaryIsWanted = this->queue.Queued(Lane::Primary) != 0;
  return need;
}

void
GroupEngine::StartRead(Work& aWork)
{
  Route route = this->policies.routing->Choose(this->config,
                                               this->view,
                                               this->connections,
                                               this->NeedOf(aWork),
                                               this->now);
  if (route.lacksFreshness) {
    this->AskReplicas();
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
    bool isTheirs = aResult.Done(0) && failure->failure != SqlClass::Leaving;
    if (isTheirs) {
      this->Undo(aWork, FailureAnswer(*failure));
    } else {
      this->CloseAndLose(aWork.connection);
    }
    return;
  }
  const UpstreamStatus* status = aResult.Status();
  if (status == nullptr) {
    this->CloseAndLose(aWork.connection);
    return;
  }
  ReadNeed need = this->NeedOf(aWork);
  if (aWork.abandoned) {
    this->queue.Remove(aWork.id);
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
    this->Emit(Observe{
      need.maxAge ? Observation::FallbackRead : Observation::PrimaryRead, {} });
    this->Hold(aWork, std::move(answer), *status);
    return;
  }
  bool isAccepted =
    need.maxAge && !need.primaryOnly &&
    this->policies.routing->Accepts(this->view, need, *status, this->now);
  if (!isAccepted) {
    this->Retry(aWork, Duration{});
    return;
  }
  answer.source = Source::Replica;
  answer.age = this->view.AgeOf(status->VisibleProgress(), this->now);
  answer.token = status->VisibleProgress().ToLogPoint();
  this->sessions.Advance(aWork.request.session, answer.token);
  this->LearnService(aWork);
  this->Emit(Observe{ Observation::ReplicaRead, *answer.age });
  this->Finish(aWork, answer);
}

} // namespace marigoldpitch
