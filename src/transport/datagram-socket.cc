#include "marigoldpitch/transport/datagram-socket.h"

#include "marigoldpitch/protocol/settings.h"
#include "marigoldpitch/transport/socket-address.h"
#include "marigoldpitch/transport/unique-fd.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace marigoldpitch {

namespace detail {

// Between them, other sockets get their turn.
constexpr int kMaxDatagramsPerWakeup = 64;

Endpoint
EndpointOf(const sockaddr_storage& aAddress)
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  Endpoint endpoint;
  if (aAddress.ss_family == AF_INET) {
    const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(&aAddress);
    inet_ntop(AF_INET, &ipv4->sin_addr, text.data(), text.size());
    endpoint.port = ntohs(ipv4->sin_port);
  } else {
    const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(&aAddress);
    inet_ntop(AF_INET6, &ipv6->sin6_addr, text.data(), text.size());
    endpoint.port = ntohs(ipv6->sin6_port);
  }
  endpoint.address = text.data();
  return endpoint;
}

} // namespace detail

Result<std::unique_ptr<DatagramSocket>>
DatagramSocket::Create(Loop& aLoop,
                       const Endpoint& aEndpoint,
                       DatagramHandler& aHandler)
{
  BOOST_OUTCOME_TRY(auto address, SocketAddress::Create(aEndpoint));
  UniqueFd fd(::socket(
    address.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  bool isBound =
    fd.Get() >= 0 && bind(fd.Get(), address.Raw(), address.length) == 0;
  if (!isBound) {
    return Error{ ErrorCode::Io,
                  FormatEndpoint(aEndpoint),
                  std::string("cannot bind: ") + std::strerror(errno) };
  }
  h2o_socket_t* socket = h2o_evloop_socket_create(
    aLoop.Raw(), fd.Release(), H2O_SOCKET_FLAG_DONT_READ);
  return std::unique_ptr<DatagramSocket>(new DatagramSocket(socket, aHandler));
}

DatagramSocket::DatagramSocket(h2o_socket_t* aSocket, DatagramHandler& aHandler)
  : socket(aSocket)
  , handler(aHandler)
{
  this->socket->data = this;
  h2o_socket_read_start(this->socket, OnReadable);
}

DatagramSocket::~DatagramSocket()
{
  h2o_socket_close(this->socket);
}

void
DatagramSocket::OnReadable(h2o_socket_t* aSocket, const char*)
{
  auto* self = static_cast<DatagramSocket*>(aSocket->data);
  for (int i = 0; i < detail::kMaxDatagramsPerWakeup && self->Receive(); ++i) {
  }
}

/** Returns whether there may be more. */
bool
DatagramSocket::Receive()
{
  // One byte more shows that a datagram is too large.
  std::array<char, kMaxDatagramBytes + 1> bytes{};
  sockaddr_storage from{};
  socklen_t length = sizeof(from);
  ssize_t size = recvfrom(h2o_socket_get_fd(this->socket),
                          bytes.data(),
                          bytes.size(),
                          0,
                          reinterpret_cast<sockaddr*>(&from),
                          &length);
  if (size < 0) {
    // An earlier datagram could not be delivered; others may have arrived.
    return errno == ECONNREFUSED || errno == EINTR;
  }
  this->handler.OnDatagram(
    detail::EndpointOf(from),
    std::string_view(bytes.data(), static_cast<size_t>(size)));
  return true;
}

bool
DatagramSocket::Send(const Endpoint& aTo, std::string_view aBytes)
{
  auto address = SocketAddress::Create(aTo);
  if (!address || aBytes.size() > kMaxDatagramBytes) {
    return false;
  }
  ssize_t sent = sendto(h2o_socket_get_fd(this->socket),
                        aBytes.data(),
                        aBytes.size(),
                        0,
                        address.value().Raw(),
                        address.value().length);
  return sent == static_cast<ssize_t>(aBytes.size());
}

} // namespace marigoldpitch
