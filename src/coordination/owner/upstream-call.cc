#include "marigoldpitch/coordination/owner/upstream-call.h"

#include "marigoldpitch/state/sizes.h"

namespace marigoldpitch {

namespace detail {

// An upstream's message can contain the caller's text or values.
constexpr size_t kMaxMessageBytes = kKibibyte;

/** Cuts a long text before a character of UTF-8. */
std::string
Shorten(const std::string& aText)
{
  size_t end = kMaxMessageBytes;
  if (aText.size() <= end) {
    return aText;
  }
  while (end > 0 && (static_cast<unsigned char>(aText[end]) & 0xc0U) == 0x80U) {
    --end;
  }
  return aText.substr(0, end) + "...";
}

} // namespace detail

Answer
FailureAnswer(const StepResult& aFailure)
{
  Answer answer =
    MakeAnswer(OutcomeOf(aFailure.failure), detail::Shorten(aFailure.message));
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
