#include "marigoldpitch/transport/http-server.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

struct Handler
{
  h2o_handler_t super;
  HttpServer* server;
};

/** Allocated in the request's memory pool and so disposed of with it. */
struct ExchangeRef
{
  HttpServer* server;
  ExchangeId id;
};

std::string
ToString(const h2o_iovec_t& aBytes)
{
  return { aBytes.base, aBytes.len };
}

const char*
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 415:
      return "Unsupported Media Type";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

} // namespace detail

Result<std::unique_ptr<HttpServer>>
HttpServer::Create(Loop& aLoop,
                   const Endpoint& aEndpoint,
                   const HttpLimits& aLimits,
                   HttpService& aService)
{
  std::unique_ptr<HttpServer> server(new HttpServer(aLoop, aLimits, aService));
  BOOST_OUTCOME_TRY(auto listener,
                    TcpListener::Create(aLoop, aEndpoint, *server));
  server->listener = std::move(listener);
  return server;
}

HttpServer::HttpServer(Loop& aLoop,
                       const HttpLimits& aLimits,
                       HttpService& aService)
  : loop(aLoop)
  , limits(aLimits)
  , service(aService)
{
  h2o_config_init(&this->config);
  this->config.max_request_entity_size = aLimits.bodyBytes;
  h2o_hostconf_t* host = h2o_config_register_host(
    &this->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
  h2o_handler_t* raw = h2o_create_handler(path, sizeof(detail::Handler));
  raw->on_req = OnRequest;
  reinterpret_cast<detail::Handler*>(raw)->server = this;
  h2o_context_init(&this->context, aLoop.Raw(), &this->config);
  this->acceptContext.ctx = &this->context;
  this->acceptContext.hosts = this->config.hosts;
}

// libh2o cannot dispose of a context that open connections still use, so the
// context is not freed; a server lives as long as its process.
HttpServer::~HttpServer() = default;

void
HttpServer::OnAccept(h2o_socket_t* aSocket)
{
  if (this->connections >= this->limits.connections) {
    h2o_socket_close(aSocket);
    return;
  }
  ++this->connections;
  aSocket->on_close.cb = OnSocketClosed;
  aSocket->on_close.data = this;
  h2o_accept(&this->acceptContext, aSocket);
}

void
HttpServer::OnSocketClosed(void* aServer)
{
  --static_cast<HttpServer*>(aServer)->connections;
}

int
HttpServer::OnRequest(h2o_handler_t* aHandler, h2o_req_t* aRequest)
{
  HttpServer* server = reinterpret_cast<detail::Handler*>(aHandler)->server;
  ExchangeId id = ++server->lastExchange;
  server->exchanges[id] = aRequest;
  auto* exchangeRef = static_cast<detail::ExchangeRef*>(h2o_mem_alloc_shared(
    &aRequest->pool, sizeof(detail::ExchangeRef), OnRequestDisposed));
  *exchangeRef = { server, id };

  HttpRequest request;
  request.method = detail::ToString(aRequest->method);
  request.path = detail::ToString(aRequest->path_normalized);
  if (aRequest->query_at != SIZE_MAX) {
    request.query =
      detail::ToString(aRequest->path)
        .substr(std::min(aRequest->query_at + 1, aRequest->path.len));
  }
  request.body = detail::ToString(aRequest->entity);
  ssize_t index =
    h2o_find_header(&aRequest->headers, H2O_TOKEN_CONTENT_TYPE, -1);
  if (index != -1) {
    request.contentType =
      detail::ToString(aRequest->headers.entries[index].value);
  }
  server->service.OnHttpRequest(id, request);
  return 0;
}

void
HttpServer::OnRequestDisposed(void* aExchangeRef)
{
  auto* exchangeRef = static_cast<detail::ExchangeRef*>(aExchangeRef);
  if (exchangeRef->server->exchanges.erase(exchangeRef->id) != 0) {
    exchangeRef->server->service.OnHttpAborted(exchangeRef->id);
  }
}

void
HttpServer::Respond(ExchangeId aExchange, const HttpResponse& aResponse)
{
  auto found = this->exchanges.find(aExchange);
  if (found == this->exchanges.end()) {
    return;
  }
  h2o_req_t* request = found->second;
  this->exchanges.erase(found);
  request->res.status = aResponse.status;
  request->res.reason = detail::ReasonPhrase(aResponse.status);
  h2o_iovec_t type = h2o_strdup(
    &request->pool, aResponse.contentType.data(), aResponse.contentType.size());
  h2o_add_header(&request->pool,
                 &request->res.headers,
                 H2O_TOKEN_CONTENT_TYPE,
                 nullptr,
                 type.base,
                 type.len);
  for (const auto& [name, value] : aResponse.headers) {
    h2o_iovec_t copiedName =
      h2o_strdup(&request->pool, name.data(), name.size());
    h2o_iovec_t copiedValue =
      h2o_strdup(&request->pool, value.data(), value.size());
    h2o_add_header_by_str(&request->pool,
                          &request->res.headers,
                          copiedName.base,
                          copiedName.len,
                          0,
                          nullptr,
                          copiedValue.base,
                          copiedValue.len);
  }
  h2o_send_inline(request, aResponse.body.data(), aResponse.body.size());
}

void
HttpServer::Drain()
{
  h2o_context_request_shutdown(&this->context);
}

} // namespace marigoldpitch
