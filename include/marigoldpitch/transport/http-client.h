#ifndef MARIGOLDPITCH_TRANSPORT_HTTP_CLIENT_H
#define MARIGOLDPITCH_TRANSPORT_HTTP_CLIENT_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/error.h"
#include "marigoldpitch/transport/loop.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

/** HTTP/1.1 calls to one server over a pool of persistent connections. */
namespace marigoldpitch {

struct HttpReply
{
  int status = 0;
  std::map<std::string, std::string> headers; // by name in lower case
  std::string body;
};

/** One request; `headers` holds complete header lines, each with its CRLF. */
struct HttpCall
{
  std::string method;
  std::string path;
  std::string headers = {};
  std::string contentType = "application/json";
  std::string body = {};
  Duration timeout = Seconds(1);
};

using HttpCallback = std::function<void(Result<HttpReply>)>;

class HttpClient
{
public:
  static Result<std::unique_ptr<HttpClient>> Create(Loop& aLoop,
                                                    const Endpoint& aEndpoint);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /**
   * Sends the request and calls `aCallback` once: with the response, or with an
   * error when the call fails or its timeout expires.
   */
  void Send(const HttpCall& aCall, HttpCallback aCallback);

  struct Call; // a call in progress

private:
  HttpClient(Loop& aLoop, const Endpoint& aEndpoint);

  void Start(std::string aBytes, Duration aTimeout, HttpCallback aCallback);
  void Finish(Call* aCall, Result<HttpReply> aResult);

  static h2o_http1client_head_cb OnConnected(h2o_http1client_t* aClient,
                                             const char* aError,
                                             h2o_iovec_t** aBuffers,
                                             size_t* aBufferCount,
                                             int* aMethodIsHead);
  static h2o_http1client_body_cb OnHead(h2o_http1client_t* aClient,
                                        const char* aError,
                                        int aMinorVersion,
                                        int aStatus,
                                        h2o_iovec_t aMessage,
                                        h2o_header_t* aHeaders,
                                        size_t aHeaderCount,
                                        int aHeaderBytes);
  static int OnBody(h2o_http1client_t* aClient, const char* aError);

  Loop& loop;
  std::string authority;
  h2o_socketpool_t pool{};
  h2o_timeout_t ioTimeout{};
  h2o_http1client_ctx_t context{};
  std::set<Call*> calls;
};

} // namespace marigoldpitch

#endif
