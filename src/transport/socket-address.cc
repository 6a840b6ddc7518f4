#include "marigoldpitch/transport/socket-address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace marigoldpitch {

Result<SocketAddress>
SocketAddress::Create(const Endpoint& aEndpoint)
{
  SocketAddress address;
  auto* ipv4 = reinterpret_cast<sockaddr_in*>(&address.storage);
  if (inet_pton(AF_INET, aEndpoint.address.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(aEndpoint.port);
    address.length = sizeof(sockaddr_in);
    return address;
  }
  address = {};
  auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
  if (inet_pton(AF_INET6, aEndpoint.address.c_str(), &ipv6->sin6_addr) == 1) {
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(aEndpoint.port);
    address.length = sizeof(sockaddr_in6);
    return address;
  }
  return Error{ ErrorCode::BadSettings,
                aEndpoint.address,
                "not a numeric IP address" };
}

} // namespace marigoldpitch
