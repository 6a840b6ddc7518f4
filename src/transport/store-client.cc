#include "marigoldpitch/transport/store-client.h"

namespace marigoldpitch {

namespace detail {
constexpr Duration kCallTimeout = Seconds(1);
constexpr int kOk = 200;
constexpr int kConflict = 409;
} // namespace detail

Result<std::unique_ptr<StoreClient>>
StoreClient::Create(Loop& aLoop, const Endpoint& aEndpoint)
{
  BOOST_OUTCOME_TRY(auto client, HttpClient::Create(aLoop, aEndpoint));
  return std::unique_ptr<StoreClient>(new StoreClient(std::move(client)));
}

void
StoreClient::Get(const std::string& aKey, const StoreDone& aDone)
{
  this->Send(StoreCall::Get, EncodeStoreGet(aKey), detail::kCallTimeout, aDone);
}

void
StoreClient::Swap(const std::string& aKey,
                  uint64_t aRevision,
                  const std::string& aText,
                  const StoreDone& aDone)
{
  this->Send(StoreCall::Swap,
             EncodeStoreSwap(aKey, aRevision, aText),
             detail::kCallTimeout,
             aDone);
}

void
StoreClient::Watch(const std::string& aKey,
                   uint64_t aAfter,
                   Duration aWait,
                   const StoreDone& aDone)
{
  this->Send(StoreCall::Watch,
             EncodeStoreWatch(aKey, aAfter, aWait),
             aWait + detail::kCallTimeout,
             aDone);
}

void
StoreClient::Send(StoreCall aCall,
                  const std::string& aBody,
                  Duration aTimeout,
                  const StoreDone& aDone)
{
  ++this->calls;
  auto done = [aDone](const Result<HttpReply>& aReply) {
    if (!aReply) {
      aDone(aReply.error());
      return;
    }
    const HttpReply& reply = aReply.value();
    if (reply.status == detail::kConflict) {
      aDone(Error{ ErrorCode::Conflict, "store", reply.body });
    } else if (reply.status != detail::kOk) {
      aDone(Error{ ErrorCode::Unavailable,
                   "store",
                   "status " + std::to_string(reply.status) });
    } else {
      aDone(DecodeStoreValue(reply.body));
    }
  };
  HttpCall call{ "POST", kStoreCallPaths.TextOf(aCall) };
  call.body = aBody;
  call.timeout = aTimeout;
  this->client->Send(call, done);
}

} // namespace marigoldpitch
