#ifndef MARIGOLDPITCH_LOAD_CALLER_H
#define MARIGOLDPITCH_LOAD_CALLER_H

#include "marigoldpitch.pb.h"
#include "marigoldpitch/protocol/rpc.h"
#include "marigoldpitch/transport/http-client.h"
#include "plan.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

/** The load generator's client of the entries. */
namespace marigoldpitch::load {

/** An entry's reply, either an answer or an error. */
struct Reply
{
  bool isAnswered = false; // and could be parsed
  bool hasError = false;
  v1::AnswerResponse answer;
  v1::ErrorResponse error;
  int64_t latencyMicros = 0;
};

using ReplyCallback = std::function<void(const Reply&)>;

/** Calls one method on one of the entries. */
class Caller
{
public:
  static Result<std::unique_ptr<Caller>> Create(Loop& aLoop,
                                                const LoadPlan& aPlan);

  /**
   * A random entry of those that report to be ready, as a load balancer would
   * choose; any entry if none is ready.
   */
  size_t ChooseEntry(std::mt19937& aRandom) const;

  /** Polls the readiness of all entries for as long as the loop runs. */
  void PollReadiness(Loop& aLoop);
  void Call(size_t aEntry,
            RpcMethod aMethod,
            const google::protobuf::Message& aMessage,
            const ReplyCallback& aCallback);

private:
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::vector<std::unique_ptr<HttpClient>> operators;
  std::vector<bool> ready;
};

void
AddParameter(google::protobuf::RepeatedPtrField<v1::Value>* aList,
             const std::string& aText);

/** The value of an answer with one cell; empty for any other answer. */
std::string
SingleValue(const v1::AnswerResponse& aAnswer);

} // namespace marigoldpitch::load

#endif
