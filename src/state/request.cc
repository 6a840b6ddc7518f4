#include "marigoldpitch/state/request.h"

namespace marigoldpitch {

Answer
MakeAnswer(Outcome aOutcome, std::string aMessage)
{
  Answer answer;
  answer.outcome = aOutcome;
  answer.message = std::move(aMessage);
  return answer;
}

} // namespace marigoldpitch
