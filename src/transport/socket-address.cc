#include "marigoldpitch/transport/socket-address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace marigoldpitch {

Result<SocketAddress>
SocketAddress::Create(const Endpoint& aEndpoint)
{
  SocketAddress address;
  auto* four = reinterpret_cast<sockaddr_in*>(&address.storage);
  if (inet_pton(AF_INET, aEndpoint.address.c_str(), &four->sin_addr) == 1) {
    four->sin_family = AF_INET;
    four->sin_port = htons(aEndpoint.port);
    address.length = sizeof(sockaddr_in);
    return address;
  }
  address = {};
  auto* six = reinterpret_cast<sockaddr_in6*>(&address.storage);
  if (inet_pton(AF_INET6, aEndpoint.address.c_str(), &six->sin6_addr) == 1) {
    six->sin6_family = AF_INET6;
    six->sin6_port = htons(aEndpoint.port);
    address.length = sizeof(sockaddr_in6);
    return address;
  }
  return Error{ ErrorCode::BadSettings,
                aEndpoint.address,
                "not a numeric IP address" };
}

} // namespace marigoldpitch
