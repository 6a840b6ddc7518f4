#include "marigoldpitch/transport/store-client.h"

namespace marigoldpitch {

namespace detail {
constexpr Duration kCallTimeout = Seconds(1);
constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
} // namespace detail

Result<std::unique_ptr<StoreClient>>
StoreClient::Create(Loop& aLoop, const Endpoint& aEndpoint)
{
  BOOST_OUTCOME_TRY(auto client, HttpClient::Create(aLoop, aEndpoint));
  return std::unique_ptr<StoreClient>(new StoreClient(std::move(client)));
}

void
StoreClient::Get(const std::string& aKey, const StoreCallback& aCallback)
{
  this->Send(
    StoreCall::Get, EncodeStoreGet(aKey), detail::kCallTimeout, aCallback);
}

void
StoreClient::Swap(const std::string& aKey,
                  uint64_t aRevision,
                  const std::string& aText,
                  const StoreCallback& aCallback)
{
  this->Send(StoreCall::Swap,
             EncodeStoreSwap(aKey, aRevision, aText),
             detail::kCallTimeout,
             aCallback);
}

void
StoreClient::Watch(const std::string& aKey,
                   uint64_t aAfter,
                   Duration aWait,
                   const StoreCallback& aCallback)
{
  this->Send(StoreCall::Watch,
             EncodeStoreWatch(aKey, aAfter, aWait),
             aWait + detail::kCallTimeout,
             aCallback);
}

void
StoreClient::Send(StoreCall aCall,
                  const std::string& aBody,
                  Duration aTimeout,
                  const StoreCallback& aCallback)
{
  ++this->calls;
  auto callback = [aCallback](const Result<HttpReply>& aReply) {
    if (!aReply) {
      aCallback(aReply.error());
      return;
    }
    const HttpReply& reply = aReply.value();
    if (reply.status == detail::kStatusConflict) {
      aCallback(Error{ ErrorCode::Conflict, "store", reply.body });
    } else if (reply.status != detail::kStatusOk) {
      aCallback(Error{ ErrorCode::Unavailable,
                       "store",
                       "status " + std::to_string(reply.status) });
    } else {
      aCallback(DecodeStoreValue(reply.body));
    }
  };
  HttpCall call{ "POST", kStoreCallPaths.TextOf(aCall) };
  call.body = aBody;
  call.timeout = aTimeout;
  this->client->Send(call, callback);
}

} // namespace marigoldpitch
