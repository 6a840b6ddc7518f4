#ifndef MARIGOLDPITCH_TRANSPORT_FRAME_LINK_H
#define MARIGOLDPITCH_TRANSPORT_FRAME_LINK_H

#include "marigoldpitch/protocol/frame-splitter.h"
#include "marigoldpitch/state/config.h"
#include "marigoldpitch/transport/loop.h"

#include <memory>
#include <string>

/** A TCP connection that carries size-prefixed frames. */
namespace marigoldpitch {

class FrameLink;

class FrameLinkListener
{
public:
  virtual ~FrameLinkListener() = default;
  virtual void OnLinkUp(FrameLink& aLink) = 0;
  virtual void OnFrameBytes(FrameLink& aLink, const std::string& aFrame) = 0;

  /** The last call for a link; it is closed. */
  virtual void OnLinkDown(FrameLink& aLink, const Error& aReason) = 0;
};

class FrameLink : public std::enable_shared_from_this<FrameLink>
{
public:
  static Result<std::shared_ptr<FrameLink>> Connect(
    Loop& aLoop,
    const Endpoint& aEndpoint,
    size_t aMaxFrameBytes,
    FrameLinkListener& aListener);
  static std::shared_ptr<FrameLink> Accepted(Loop& aLoop,
                                             h2o_socket_t* aSocket,
                                             size_t aMaxFrameBytes,
                                             FrameLinkListener& aListener);
  ~FrameLink();
  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;

  /** Queues a frame; a peer that takes too little loses its link. */
  void Send(const std::string& aFrame);

  /** Closes without a further call to the listener. */
  void Close();
  bool IsOpen() const { return this->socket != nullptr; }

private:
  FrameLink(Loop& aLoop, size_t aMaxFrameBytes, FrameLinkListener& aListener);

  static void OnConnected(h2o_socket_t* aSocket, const char* aError);
  static void OnRead(h2o_socket_t* aSocket, const char* aError);
  static void OnWritten(h2o_socket_t* aSocket, const char* aError);
  void Attach(h2o_socket_t* aSocket);
  void TakeFrames();
  void WriteQueued();
  void Fail(const Error& aReason);

  Loop& loop;
  FrameLinkListener& listener;
  FrameSplitter splitter;
  h2o_socket_t* socket = nullptr;
  bool connected = false;
  std::string writing;
  std::string queued;
};

} // namespace marigoldpitch

#endif
