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

/** Calls to the entries. */
namespace marigoldpitch::load {

struct Reply
{
  bool arrived = false;
  bool hasError = false;
  v1::AnswerResponse answer;
  v1::ErrorResponse error;
  int64_t tookMicros = 0;
};

using ReplyDone = std::function<void(const Reply&)>;

/** Calls one method on one of the entries. */
class Caller
{
public:
  static Result<std::unique_ptr<Caller>> Create(Loop& aLoop,
                                                const LoadPlan& aPlan);

  /** Any entry that says it is ready, as a balancer would choose it. */
  size_t Choose(std::mt19937& aRandom) const;

  /** Asks again and again for as long as the loop runs. */
  void WatchReady(Loop& aLoop);
  void Call(size_t aEntry,
            RpcMethod aMethod,
            const google::protobuf::Message& aMessage,
            const ReplyDone& aDone);

private:
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::vector<std::unique_ptr<HttpClient>> operators;
  std::vector<bool> ready;
};

void
AddParameter(google::protobuf::RepeatedPtrField<v1::Value>* aList,
             const std::string& aText);

/** The one cell of an answer; empty when there is none. */
std::string
ValueIn(const v1::AnswerResponse& aAnswer);

} // namespace marigoldpitch::load

#endif
