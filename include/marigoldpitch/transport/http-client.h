#ifndef MARIGOLDPITCH_TRANSPORT_HTTP_CLIENT_H
#define MARIGOLDPITCH_TRANSPORT_HTTP_CLIENT_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/error.h"
#include "marigoldpitch/transport/loop.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

/** HTTP/1.1 calls to one server, over kept connections. */
namespace marigoldpitch {

struct HttpReply
{
  int status = 0;
  std::string body;
};

/** One call; `headers` holds whole lines with their ends. */
struct HttpCall
{
  std::string method;
  std::string path;
  std::string headers = {};
  std::string contentType = "application/json";
  std::string body = {};
  Duration timeout = Seconds(1);
};

using HttpDone = std::function<void(Result<HttpReply>)>;

class HttpClient
{
public:
  static Result<std::unique_ptr<HttpClient>> Create(Loop& aLoop,
                                                    const Endpoint& aEndpoint);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Calls `aDone` once, with a timeout error at the latest. */
  void Send(const HttpCall& aCall, HttpDone aDone);

  struct Call; // one call on its way

private:
  HttpClient(Loop& aLoop, const Endpoint& aEndpoint);

  void Start(std::string aBytes, Duration aTimeout, HttpDone aDone);
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
