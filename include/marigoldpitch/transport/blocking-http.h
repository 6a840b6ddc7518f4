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

/**
 * Synchronous HTTP calls for the command-line tools. The daemons must not use
 * them, because each call runs the event loop until it completes.
 */
namespace marigoldpitch {

class BlockingHttp
{
public:
  explicit BlockingHttp(Loop& aLoop)
    : loop(aLoop)
  {
  }

  /** Runs the loop until the response arrives or the call times out. */
  Result<HttpReply> Post(const Endpoint& aEndpoint,
                         const std::string& aPath,
                         const std::string& aContentType,
                         const std::string& aBody);
  Result<HttpReply> Get(const Endpoint& aEndpoint, const std::string& aPath);

  /** Calls a method of the operators' port; fails unless the status is 200. */
  Result<void> Call(const Endpoint& aEndpoint,
                    RpcMethod aMethod,
                    const google::protobuf::Message& aRequest,
                    google::protobuf::Message& aResponse);

  /**
   * Calls the platform's key-value store. If a compare-and-swap finds another
   * revision, the error is `Conflict` and its message holds the current value.
   */
  Result<StoreValue> CallStore(const Endpoint& aEndpoint,
                               StoreCall aCall,
                               const std::string& aBody);

  /** Runs the loop for `aDuration`. */
  void Sleep(Duration aDuration);

private:
  Loop& loop;
};

using ToolBody = std::function<ExitCode(Loop&, const CommandLine&)>;

/**
 * Parses a tool's command line, creates an event loop and runs `aBody`. Returns
 * the exit code of the process.
 */
int
RunTool(int aCount,
        char** aArguments,
        const std::string& aUsage,
        const std::vector<CommandOption>& aOptions,
        const ToolBody& aBody);

} // namespace marigoldpitch

#endif
