#ifndef MARIGOLDPITCH_TRANSPORT_SOCKET_ADDRESS_H
#define MARIGOLDPITCH_TRANSPORT_SOCKET_ADDRESS_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/error.h"

#include <sys/socket.h>

/** Converts endpoints to socket addresses of the operating system. */
namespace marigoldpitch {

struct SocketAddress
{
  sockaddr_storage storage{};
  socklen_t length = 0;

  static Result<SocketAddress> Create(const Endpoint& aEndpoint);

  sockaddr* Raw() { return reinterpret_cast<sockaddr*>(&this->storage); }
};

} // namespace marigoldpitch

#endif
