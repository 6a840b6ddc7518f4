#ifndef MARIGOLDPITCH_TRANSPORT_DATAGRAM_SOCKET_H
#define MARIGOLDPITCH_TRANSPORT_DATAGRAM_SOCKET_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/transport/loop.h"

#include <memory>
#include <string>
#include <string_view>

/** Datagrams, which may be lost, late, repeated, or in another order. */
namespace marigoldpitch {

/** Fits one packet of an ordinary network. */
constexpr size_t kMaxDatagramBytes = 1400;

class DatagramHandler
{
public:
  virtual ~DatagramHandler() = default;
  virtual void OnDatagram(const Endpoint& aFrom, std::string_view aBytes) = 0;
};

class DatagramSocket
{
public:
  static Result<std::unique_ptr<DatagramSocket>>
  Create(Loop& aLoop, const Endpoint& aEndpoint, DatagramHandler& aHandler);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /**
   * Returns whether the datagram was passed on; it is dropped if it is too
   * large, or while there is no room for it.
   */
  bool Send(const Endpoint& aTo, std::string_view aBytes);

private:
  DatagramSocket(h2o_socket_t* aSocket, DatagramHandler& aHandler);
  static void OnReadable(h2o_socket_t* aSocket, const char* aError);
  bool Receive();

  h2o_socket_t* socket;
  DatagramHandler& handler;
};

} // namespace marigoldpitch

#endif
