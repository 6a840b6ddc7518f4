#ifndef MARIGOLDPITCH_TRANSPORT_STREAM_LINK_H
#define MARIGOLDPITCH_TRANSPORT_STREAM_LINK_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/transport/loop.h"

#include <memory>
#include <string>
#include <string_view>

/** A TCP connection with a bounded write queue. */
namespace marigoldpitch {

/** Base class of links; a derived class splits the bytes into messages. */
class StreamLink : public std::enable_shared_from_this<StreamLink>
{
public:
  virtual ~StreamLink();
  StreamLink(const StreamLink&) = delete;
  StreamLink& operator=(const StreamLink&) = delete;

  /** Closes without calling the listener. */
  void Close();

  bool IsOpen() const { return this->socket != nullptr; }

  /** Leaves further bytes to the kernel, which slows the peer down. */
  void PauseReading();
  void ResumeReading();

  bool IsSending() const
  {
    return !this->inFlight.empty() || !this->queued.empty();
  }

  /** The bytes of the write queue. */
  size_t UnsentBytes() const
  {
    return this->inFlight.capacity() + this->queued.capacity();
  }

protected:
  StreamLink(Loop& aLoop, size_t aMaxQueuedBytes)
    : loop(aLoop)
    , maxQueuedBytes(aMaxQueuedBytes)
  {
  }

  virtual void OnUp() = 0;
  virtual void OnBytes(std::string_view aBytes) = 0;

  /** Queued bytes have been written. */
  virtual void OnSent() {}

  /** The link is closed; no further call follows. */
  virtual void OnDown(const Error& aReason) = 0;

  Result<void> Connect(const Endpoint& aEndpoint);
  void Accept(h2o_socket_t* aSocket);

  /** Queues bytes; the link is closed if the queue exceeds its limit. */
  void Write(std::string_view aBytes);

  /** Closes the link and reports it with `OnDown`. */
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
  bool isPaused = false;
  std::string inFlight; // passed to the socket, write not completed
  std::string queued;   // written next
};

} // namespace marigoldpitch

#endif
