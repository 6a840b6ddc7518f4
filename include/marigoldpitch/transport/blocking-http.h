#ifndef MARIGOLDPITCH_TRANSPORT_BLOCKING_HTTP_H
#define MARIGOLDPITCH_TRANSPORT_BLOCKING_HTTP_H

#include "marigoldpitch.pb.h"
#include "marigoldpitch/protocol/rpc.h"
#include "marigoldpitch/protocol/store-messages.h"
#include "marigoldpitch/transport/command-line.h"
#include "marigoldpitch/transport/http-client.h"
#include "marigoldpitch/transport/loop.h"

#include <functional>
#include <string>
#include <vector>

/** Calls that wait for their answer, for the operators' tools alone. */
namespace marigoldpitch {

class BlockingHttp
{
public:
  explicit BlockingHttp(Loop& aLoop)
    : loop(aLoop)
  {
  }

  /** Runs the loop until the answer or its timeout is there. */
  Result<HttpReply> Post(const Endpoint& aEndpoint,
                         const std::string& aPath,
                         const std::string& aContentType,
                         const std::string& aBody);
  Result<HttpReply> Get(const Endpoint& aEndpoint, const std::string& aPath);

  /** An operator's call; fails unless the status is 200. */
  Result<void> Call(const Endpoint& aEndpoint,
                    RpcMethod aMethod,
                    const google::protobuf::Message& aRequest,
                    google::protobuf::Message& aResponse);

  /** A call to the store; `Conflict` carries the value that stands. */
  Result<StoreValue> Store(const Endpoint& aEndpoint,
                           StoreCall aCall,
                           const std::string& aBody);

  /** Sleeps in the loop. */
  void Wait(Duration aSpan);

private:
  Loop& loop;
};

/** Parses a tool's command line and runs its body with a loop of its own. */
using ToolBody = std::function<ExitCode(Loop&, const CommandLine&)>;
int
RunTool(int aCount,
        char** aArguments,
        const std::string& aUsage,
        const std::vector<CommandOption>& aOptions,
        const ToolBody& aBody);

} // namespace marigoldpitch

#endif
