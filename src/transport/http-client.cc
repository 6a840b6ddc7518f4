#include "marigoldpitch/transport/http-client.h"

#include "marigoldpitch/protocol/settings.h"
#include "marigoldpitch/transport/socket-address.h"

#include <algorithm>
#include <cctype>
#include <sys/socket.h>

namespace marigoldpitch {

namespace detail {
constexpr size_t kMaxPooledConnections = 4096;
constexpr uint64_t kPooledIdleMs = 5000;
// The I/O timeout of libh2o; each call also has its own `HttpCall::timeout`.
constexpr uint64_t kIoTimeoutMs = 120000;

/**
 * Makes the socket discard what it has not delivered when it is closed. A call
 * that was given up must not arrive later, when a cut in the network heals.
 */
void
DiscardOnClose(h2o_socket_t* aSocket)
{
  linger discard{ 1, 0 };
  setsockopt(h2o_socket_get_fd(aSocket),
             SOL_SOCKET,
             SO_LINGER,
             &discard,
             sizeof(discard));
}

std::string
LowerCase(const h2o_iovec_t& aText)
{
  std::string text(aText.base, aText.len);
  std::transform(
    text.begin(), text.end(), text.begin(), [](unsigned char aOne) {
      return static_cast<char>(std::tolower(aOne));
    });
  return text;
}

} // namespace detail

struct HttpClient::Call
{
  HttpClient* client = nullptr;
  h2o_http1client_t* handle = nullptr;
  std::string bytes;
  h2o_iovec_t buffer{};
  HttpReply reply;
  HttpCallback callback;
  TimerId timer = 0;
  bool finished = false;
};

Result<std::unique_ptr<HttpClient>>
HttpClient::Create(Loop& aLoop, const Endpoint& aEndpoint)
{
  BOOST_OUTCOME_TRY(auto address, SocketAddress::Create(aEndpoint));
  std::unique_ptr<HttpClient> client(new HttpClient(aLoop, aEndpoint));
  h2o_socketpool_init_by_address(&client->pool,
                                 address.Raw(),
                                 address.length,
                                 0,
                                 detail::kMaxPooledConnections);
  h2o_socketpool_set_timeout(&client->pool, aLoop.Raw(), detail::kPooledIdleMs);
  return client;
}

HttpClient::HttpClient(Loop& aLoop, const Endpoint& aEndpoint)
  : loop(aLoop)
  , authority(FormatEndpoint(aEndpoint))
{
  h2o_timeout_init(aLoop.Raw(), &this->ioTimeout, detail::kIoTimeoutMs);
  this->context.loop = aLoop.Raw();
  this->context.io_timeout = &this->ioTimeout;
}

HttpClient::~HttpClient()
{
  std::set<Call*> open = std::move(this->calls);
  this->calls.clear();
  for (Call* call : open) {
    this->loop.Cancel(call->timer);
    if (call->handle != nullptr) {
      h2o_http1client_cancel(call->handle);
    }
    delete call;
  }
  h2o_socketpool_dispose(&this->pool);
  h2o_timeout_dispose(this->loop.Raw(), &this->ioTimeout);
}

void
HttpClient::Send(const HttpCall& aCall, HttpCallback aCallback)
{
  std::string bytes = aCall.method + " " + aCall.path +
                      " HTTP/1.1\r\nhost: " + this->authority + "\r\n" +
                      aCall.headers;
  if (aCall.method == "POST") {
    bytes += "content-type: " + aCall.contentType +
             "\r\ncontent-length: " + std::to_string(aCall.body.size()) +
             "\r\n";
  }
  this->Start(bytes + "\r\n" + aCall.body, aCall.timeout, std::move(aCallback));
}

void
HttpClient::Start(std::string aBytes, Duration aTimeout, HttpCallback aCallback)
{
  auto* call = new Call();
  call->client = this;
  call->bytes = std::move(aBytes);
  call->callback = std::move(aCallback);
  this->calls.insert(call);
  call->timer = this->loop.After(aTimeout, [this, call] {
    if (call->handle != nullptr) {
      if (call->handle->sock != nullptr) {
        detail::DiscardOnClose(call->handle->sock);
      }
      h2o_http1client_cancel(std::exchange(call->handle, nullptr));
    }
    this->Finish(
      call, Error{ ErrorCode::Timeout, this->authority, "no answer in time" });
  });
  h2o_http1client_connect_with_pool(
    &call->handle, call, &this->context, &this->pool, OnConnected);
}

void
HttpClient::Finish(Call* aCall, Result<HttpReply> aResult)
{
  if (aCall->finished) {
    return;
  }
  aCall->finished = true;
  this->loop.Cancel(aCall->timer);
  this->calls.erase(aCall);
  HttpCallback callback = std::move(aCall->callback);
  // libh2o still uses the call until its callback returns.
  this->loop.Defer([aCall, callback, result = std::move(aResult)] {
    delete aCall;
    callback(result);
  });
}

h2o_http1client_head_cb
HttpClient::OnConnected(h2o_http1client_t* aClient,
                        const char* aError,
                        h2o_iovec_t** aBuffers,
                        size_t* aBufferCount,
                        int* aMethodIsHead)
{
  auto* call = static_cast<Call*>(aClient->data);
  if (aError != nullptr) {
    call->handle = nullptr;
    call->client->Finish(
      call, Error{ ErrorCode::Io, call->client->authority, aError });
    return nullptr;
  }
  call->buffer = h2o_iovec_init(call->bytes.data(), call->bytes.size());
  *aBuffers = &call->buffer;
  *aBufferCount = 1;
  *aMethodIsHead = 0;
  return OnHead;
}

h2o_http1client_body_cb
HttpClient::OnHead(h2o_http1client_t* aClient,
                   const char* aError,
                   int,
                   int aStatus,
                   h2o_iovec_t,
                   h2o_header_t* aHeaders,
                   size_t aHeaderCount,
                   int)
{
  auto* call = static_cast<Call*>(aClient->data);
  bool isEndOfStream = aError == h2o_http1client_error_is_eos;
  if (aError != nullptr && !isEndOfStream) {
    call->handle = nullptr;
    call->client->Finish(
      call, Error{ ErrorCode::Io, call->client->authority, aError });
    return nullptr;
  }
  call->reply.status = aStatus;
  for (size_t i = 0; i < aHeaderCount; ++i) {
    const h2o_header_t& header = aHeaders[i];
    call->reply.headers[detail::LowerCase(*header.name)] =
      std::string(header.value.base, header.value.len);
  }
  if (isEndOfStream) {
    call->handle = nullptr;
    call->client->Finish(call, call->reply);
    return nullptr;
  }
  return OnBody;
}

int
HttpClient::OnBody(h2o_http1client_t* aClient, const char* aError)
{
  auto* call = static_cast<Call*>(aClient->data);
  h2o_buffer_t** input = &aClient->sock->input;
  call->reply.body.append((*input)->bytes, (*input)->size);
  h2o_buffer_consume(input, (*input)->size);
  if (aError == nullptr) {
    return 0;
  }
  call->handle = nullptr;
  if (aError == h2o_http1client_error_is_eos) {
    call->client->Finish(call, call->reply);
  } else {
    call->client->Finish(
      call, Error{ ErrorCode::Io, call->client->authority, aError });
  }
  return -1;
}

} // namespace marigoldpitch
