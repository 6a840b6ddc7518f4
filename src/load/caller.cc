#include "caller.h"

#include "marigoldpitch/transport/clock.h"

namespace marigoldpitch::load {

namespace detail {
constexpr Duration kCallTimeout = Seconds(4);
constexpr Duration kReadinessInterval = Millis(50);
constexpr Duration kReadinessTimeout = Millis(500);
} // namespace detail

Result<std::unique_ptr<Caller>>
Caller::Create(Loop& aLoop, const LoadPlan& aPlan)
{
  std::unique_ptr<Caller> caller(new Caller());
  for (const Endpoint& entry : aPlan.entries) {
    BOOST_OUTCOME_TRY(auto client, HttpClient::Create(aLoop, entry));
    caller->clients.push_back(std::move(client));
  }
  caller->ready.assign(caller->clients.size(), true);
  for (const Endpoint& endpoint : aPlan.operators) {
    BOOST_OUTCOME_TRY(auto client, HttpClient::Create(aLoop, endpoint));
    caller->operators.push_back(std::move(client));
  }
  caller->PollReadiness(aLoop);
  return caller;
}

size_t
Caller::ChooseEntry(std::mt19937& aRandom) const
{
  std::vector<size_t> choices;
  for (size_t i = 0; i < this->ready.size(); ++i) {
    if (this->ready[i]) {
      choices.push_back(i);
    }
  }
  if (choices.empty()) {
    return aRandom() % this->clients.size();
  }
  return choices[aRandom() % choices.size()];
}

void
Caller::PollReadiness(Loop& aLoop)
{
  for (size_t i = 0; i < this->operators.size(); ++i) {
    auto callback = [this, i](const Result<HttpReply>& aReply) {
      this->ready[i] = aReply && aReply.value().status == 200;
    };
    HttpCall call{ "GET", "/ready" };
    call.timeout = detail::kReadinessTimeout;
    this->operators[i]->Send(call, callback);
  }
  aLoop.After(detail::kReadinessInterval,
              [this, &aLoop] { this->PollReadiness(aLoop); });
}

void
Caller::Call(size_t aEntry,
             RpcMethod aMethod,
             const google::protobuf::Message& aMessage,
             const ReplyCallback& aCallback)
{
  int64_t start = ReadMonotonicMicros();
  auto callback = [aCallback, start](const Result<HttpReply>& aReply) {
    Reply reply;
    reply.latencyMicros = ReadMonotonicMicros() - start;
    if (aReply && aReply.value().status == 200) {
      reply.isAnswered = reply.answer.ParseFromString(aReply.value().body);
    } else if (aReply) {
      reply.hasError = reply.error.ParseFromString(aReply.value().body);
      reply.isAnswered = reply.hasError;
    }
    aCallback(reply);
  };
  HttpCall call{ "POST", kRpcMethodNames.TextOf(aMethod) };
  call.contentType = "application/proto";
  call.body = aMessage.SerializeAsString();
  call.timeout = detail::kCallTimeout;
  this->clients[aEntry]->Send(call, callback);
}

void
AddParameter(google::protobuf::RepeatedPtrField<v1::Value>* aList,
             const std::string& aText)
{
  aList->Add()->set_text(aText);
}

std::string
SingleValue(const v1::AnswerResponse& aAnswer)
{
  const v1::ResultSet& result = aAnswer.result();
  bool hasCell = result.rows_size() == 1 && result.rows(0).cells_size() == 1;
  return hasCell ? result.rows(0).cells(0).text() : std::string();
}

} // namespace marigoldpitch::load
