#include "marigoldpitch/coordination/owner/upstream-call.h"

namespace marigoldpitch {

Answer
FailureAnswer(const StepResult& aFailure)
{
  Answer answer = MakeAnswer(OutcomeOf(aFailure.failure), aFailure.message);
  answer.sqlState = aFailure.sqlState;
  return answer;
}

const StepResult*
BatchResult::Failure() const
{
  for (const StepResult& step : this->steps) {
    if (step.outcome == StepOutcome::Failed) {
      return &step;
    }
  }
  return nullptr;
}

const UpstreamStatus*
BatchResult::Status() const
{
  for (auto it = this->steps.rbegin(); it != this->steps.rend(); ++it) {
    if (it->status) {
      return &*it->status;
    }
  }
  return nullptr;
}

bool
BatchResult::Done(size_t aStep) const
{
  return aStep < this->steps.size() &&
         this->steps[aStep].outcome == StepOutcome::Done;
}

} // namespace marigoldpitch
