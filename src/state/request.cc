#include "marigoldpitch/state/request.h"

namespace marigoldpitch {

std::string
RecordKey(const Request& aRequest)
{
  // Without the length, session "a" with id "b:c" and session "a:b" with id
  // "c" would have the same key.
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
