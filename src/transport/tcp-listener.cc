#include "marigoldpitch/transport/tcp-listener.h"

#include "marigoldpitch/protocol/settings.h"
#include "marigoldpitch/transport/socket-address.h"
#include "marigoldpitch/transport/unique-fd.h"

#include <cerrno>
#include <cstring>

namespace marigoldpitch {

namespace detail {
constexpr int kBacklog = 1024;
constexpr int kMaxAcceptsPerWakeup = 64;
constexpr Duration kPauseTime = Millis(100);
} // namespace detail

Result<std::unique_ptr<TcpListener>>
TcpListener::Create(Loop& aLoop,
                    const Endpoint& aEndpoint,
                    AcceptHandler& aHandler)
{
  BOOST_OUTCOME_TRY(auto address, SocketAddress::Create(aEndpoint));
  UniqueFd fd(::socket(
    address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int on = 1;
  setsockopt(fd.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  bool isListening = fd.Get() >= 0 &&
                     bind(fd.Get(), address.Raw(), address.length) == 0 &&
                     listen(fd.Get(), detail::kBacklog) == 0;
  if (!isListening) {
    return Error{ ErrorCode::Io,
                  FormatEndpoint(aEndpoint),
                  std::string("cannot listen: ") + std::strerror(errno) };
  }
  h2o_socket_t* socket = h2o_evloop_socket_create(
    aLoop.Raw(), fd.Release(), H2O_SOCKET_FLAG_DONT_READ);
  return std::unique_ptr<TcpListener>(new TcpListener(aLoop, socket, aHandler));
}

TcpListener::TcpListener(Loop& aLoop,
                         h2o_socket_t* aSocket,
                         AcceptHandler& aHandler)
  : loop(aLoop)
  , socket(aSocket)
  , handler(aHandler)
{
  this->socket->data = this;
  h2o_socket_read_start(this->socket, OnReadable);
}

TcpListener::~TcpListener()
{
  this->loop.Cancel(this->resume);
  h2o_socket_close(this->socket);
}

/**
 * While descriptors are exhausted, the socket stays readable and would wake the
 * loop again at once.
 */
void
TcpListener::Pause()
{
  h2o_socket_read_stop(this->socket);
  this->resume = this->loop.After(detail::kPauseTime, [this] {
    this->resume = 0;
    h2o_socket_read_start(this->socket, OnReadable);
  });
}

void
TcpListener::OnReadable(h2o_socket_t* aSocket, const char* aError)
{
  if (aError != nullptr) {
    return;
  }
  auto* listener = static_cast<TcpListener*>(aSocket->data);
  for (int i = 0; i < detail::kMaxAcceptsPerWakeup; ++i) {
    h2o_socket_t* accepted = h2o_evloop_socket_accept(aSocket);
    if (accepted == nullptr) {
      if (errno == EMFILE || errno == ENFILE) {
        listener->Pause();
      }
      return;
    }
    listener->handler.OnAccept(accepted);
  }
}

} // namespace marigoldpitch
