#include "marigoldpitch/transport/blocking-http.h"

#include <optional>

namespace marigoldpitch {

namespace detail {

constexpr Duration kCallTimeout = Seconds(2);
constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;

} // namespace detail

Result<HttpReply>
BlockingHttp::Post(const Endpoint& aEndpoint,
                   const std::string& aPath,
                   const std::string& aContentType,
                   const std::string& aBody)
{
  BOOST_OUTCOME_TRY(auto client, HttpClient::Create(this->loop, aEndpoint));
  std::optional<Result<HttpReply>> reply;
  auto callback = [&](const Result<HttpReply>& aReply) {
    reply = aReply;
    this->loop.Stop();
  };
  HttpCall call{ "POST", aPath };
  call.contentType = aContentType;
  call.body = aBody;
  call.timeout = detail::kCallTimeout;
  client->Send(call, callback);
  this->loop.Run();
  return *reply;
}

Result<HttpReply>
BlockingHttp::Get(const Endpoint& aEndpoint, const std::string& aPath)
{
  BOOST_OUTCOME_TRY(auto client, HttpClient::Create(this->loop, aEndpoint));
  std::optional<Result<HttpReply>> reply;
  auto callback = [&](const Result<HttpReply>& aReply) {
    reply = aReply;
    this->loop.Stop();
  };
  HttpCall call{ "GET", aPath };
  call.timeout = detail::kCallTimeout;
  client->Send(call, callback);
  this->loop.Run();
  return *reply;
}

Result<void>
BlockingHttp::Call(const Endpoint& aEndpoint,
                   RpcMethod aMethod,
                   const google::protobuf::Message& aRequest,
                   google::protobuf::Message& aResponse)
{
  BOOST_OUTCOME_TRY(auto reply,
                    this->Post(aEndpoint,
                               kRpcMethodNames.TextOf(aMethod),
                               kBodyFormatNames.TextOf(BodyFormat::Proto),
                               aRequest.SerializeAsString()));
  if (reply.status != detail::kStatusOk) {
    return Error{ ErrorCode::Refused,
                  aEndpoint.address + ":" + std::to_string(aEndpoint.port),
                  "status " + std::to_string(reply.status) };
  }
  return DecodeBody(BodyFormat::Proto, reply.body, aResponse);
}

Result<StoreValue>
BlockingHttp::CallStore(const Endpoint& aEndpoint,
                        StoreCall aCall,
                        const std::string& aBody)
{
  BOOST_OUTCOME_TRY(auto reply,
                    this->Post(aEndpoint,
                               kStoreCallPaths.TextOf(aCall),
                               kBodyFormatNames.TextOf(BodyFormat::Json),
                               aBody));
  if (reply.status == detail::kStatusConflict) {
    return Error{ ErrorCode::Conflict, "store", reply.body };
  }
  if (reply.status != detail::kStatusOk) {
    return Error{ ErrorCode::Unavailable,
                  "store",
                  "status " + std::to_string(reply.status) };
  }
  return DecodeStoreValue(reply.body);
}

void
BlockingHttp::Sleep(Duration aDuration)
{
  this->loop.After(aDuration, [this] { this->loop.Stop(); });
  this->loop.Run();
}

int
RunTool(int aCount,
        char** aArguments,
        const std::string& aUsage,
        const std::vector<CommandOption>& aOptions,
        const ToolBody& aBody)
{
  auto line = ParseCommandLine(
    aCount, const_cast<const char**>(aArguments), aUsage, aOptions);
  if (!line) {
    return static_cast<int>(FailWith(ExitCode::Usage, line.error()));
  }
  if (line.value().isDone) {
    return static_cast<int>(ExitCode::Ok);
  }
  auto loop = Loop::Create();
  if (!loop) {
    return static_cast<int>(FailWith(ExitCode::Failed, loop.error()));
  }
  return static_cast<int>(aBody(*loop.value(), line.value()));
}

} // namespace marigoldpitch
