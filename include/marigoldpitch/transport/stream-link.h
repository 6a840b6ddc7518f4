#ifndef MARIGOLDPITCH_TRANSPORT_STREAM_LINK_H
#define MARIGOLDPITCH_TRANSPORT_STREAM_LINK_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/transport/loop.h"

#include <memory>
#include <string>
#include <string_view>

/** A TCP connection with a bounded queue of bytes to write. */
namespace marigoldpitch {

/** Kinds of links derive from it and cut the bytes into messages. */
class StreamLink : public std::enable_shared_from_this<StreamLink>
{
public:
  virtual ~StreamLink();
  StreamLink(const StreamLink&) = delete;
  StreamLink& operator=(const StreamLink&) = delete;

  /** Closes without a further call to the listener. */
  void Close();

  /** Closes when all that was queued has been written. */
  void CloseAfterWrites();
  bool IsOpen() const { return this->socket != nullptr; }

protected:
  StreamLink(Loop& aLoop, size_t aMaxQueuedBytes)
    : loop(aLoop)
    , maxQueuedBytes(aMaxQueuedBytes)
  {
  }

  virtual void OnUp() = 0;
  virtual void OnBytes(std::string_view aBytes) = 0;

  /** The last call; the link is closed. */
  virtual void OnDown(const Error& aReason) = 0;

  Result<void> Connect(const Endpoint& aEndpoint);
  void Accept(h2o_socket_t* aSocket);

  /** Queues bytes; a peer that takes too little loses its link. */
  void Write(std::string_view aBytes);
  void Fail(const Error& aReason);

private:
  static void OnConnected(h2o_socket_t* aSocket, const char* aError);
  static void OnRead(h2o_socket_t* aSocket, const char* aError);
  static void OnWritten(h2o_socket_t* aSocket, const char* aError);
  void WriteQueued();

  Loop& loop;
  size_t maxQueuedBytes;
  h2o_socket_t* socket = nullptr;
  bool connected = false;
  bool closing = false;
  std::string writing;
  std::string queued;
};

} // namespace marigoldpitch

#endif
