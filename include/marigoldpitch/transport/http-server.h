#ifndef MARIGOLDPITCH_TRANSPORT_HTTP_SERVER_H
#define MARIGOLDPITCH_TRANSPORT_HTTP_SERVER_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/sizes.h"
#include "marigoldpitch/transport/loop.h"
#include "marigoldpitch/transport/tcp-listener.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

/** An HTTP/1.1 and HTTP/2 server for callers and operators. */
namespace marigoldpitch {

/** Identifies a request and its pending response within a server. */
using ExchangeId = uint64_t;

struct HttpRequest
{
  std::string method;
  std::string path;
  std::string query = {}; // without the question mark
  std::string contentType;
  std::string body;
};

struct HttpResponse
{
  int status = 200;
  std::string contentType;
  std::string body;
  // Beside that of the content's type.
  std::map<std::string, std::string> headers = {};
};

class HttpService
{
public:
  virtual ~HttpService() = default;

  /** A request arrived; the service responds now or later with `Respond`. */
  virtual void OnHttpRequest(ExchangeId aExchange,
                             const HttpRequest& aRequest) = 0;

  /** The client disconnected before the response; `Respond` has no effect. */
  virtual void OnHttpAborted(ExchangeId aExchange) = 0;
};

struct HttpLimits
{
  size_t bodyBytes = kMebibyte;
  size_t connections = 20000;
};

class HttpServer : public AcceptHandler
{
public:
  static Result<std::unique_ptr<HttpServer>> Create(Loop& aLoop,
                                                    const Endpoint& aEndpoint,
                                                    const HttpLimits& aLimits,
                                                    HttpService& aService);
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Sends the response; does nothing if the client has disconnected. */
  void Respond(ExchangeId aExchange, const HttpResponse& aResponse);

  /**
   * Closes each connection when its open exchanges have ended, and sends GOAWAY
   * to HTTP/2 clients.
   */
  void Drain();
  size_t OpenExchanges() const { return this->exchanges.size(); }

  void OnAccept(h2o_socket_t* aSocket) override;

private:
  HttpServer(Loop& aLoop, const HttpLimits& aLimits, HttpService& aService);

  static int OnRequest(h2o_handler_t* aHandler, h2o_req_t* aRequest);
  static void OnRequestDisposed(void* aExchangeRef);
  static void OnSocketClosed(void* aServer);

  Loop& loop;
  HttpLimits limits;
  HttpService& service;
  h2o_globalconf_t config{};
  h2o_context_t context{};
  h2o_accept_ctx_t acceptContext{};
  std::unique_ptr<TcpListener> listener;
  std::unordered_map<ExchangeId, h2o_req_t*> exchanges;
  ExchangeId lastExchange = 0;
  size_t connections = 0;
};

} // namespace marigoldpitch

#endif
