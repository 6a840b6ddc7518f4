#include "marigoldpitch/state/request.h"

namespace marigoldpitch {

std::string
RecordName(const Request& aRequest)
{
  // The length keeps "a" with "b:c" apart from "a:b" with "c".
  return std::to_string(aRequest.session.size()) + ":" + aRequest.session +
         ":" + aRequest.requestId;
}

Answer
MakeAnswer(Outcome aOutcome, std::string aMessage)
{
  Answer answer;
  answer.outcome = aOutcome;
  answer.message = std::move(aMessage);
  return answer;
}

} // namespace marigoldpitch
