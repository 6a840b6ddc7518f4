#ifndef MARIGOLDPITCH_TRANSPORT_FRAME_LINK_H
#define MARIGOLDPITCH_TRANSPORT_FRAME_LINK_H

#include "marigoldpitch/protocol/frame-splitter.h"
#include "marigoldpitch/state/config.h"
#include "marigoldpitch/transport/stream-link.h"

#include <memory>
#include <string>

/** A TCP connection that carries frames, each prefixed with its size. */
namespace marigoldpitch {

class FrameLink;

class FrameLinkListener
{
public:
  virtual ~FrameLinkListener() = default;
  virtual void OnLinkUp(FrameLink& aLink) = 0;
  virtual void OnFrameBytes(FrameLink& aLink, const std::string& aFrame) = 0;

  /** The link is closed; no further call follows for it. */
  virtual void OnLinkDown(FrameLink& aLink, const Error& aReason) = 0;
};

class FrameLink : public StreamLink
{
public:
  static Result<std::shared_ptr<FrameLink>> Connect(
    Loop& aLoop,
    const Endpoint& aEndpoint,
    size_t aMaxFrameBytes,
    FrameLinkListener& aListener);
  static std::shared_ptr<FrameLink> FromSocket(Loop& aLoop,
                                               h2o_socket_t* aSocket,
                                               size_t aMaxFrameBytes,
                                               FrameLinkListener& aListener);

  void Send(const std::string& aFrame);

private:
  FrameLink(Loop& aLoop, size_t aMaxFrameBytes, FrameLinkListener& aListener);

  void OnUp() override { this->listener.OnLinkUp(*this); }
  void OnBytes(std::string_view aBytes) override;
  void OnDown(const Error& aReason) override
  {
    this->listener.OnLinkDown(*this, aReason);
  }

  FrameLinkListener& listener;
  FrameSplitter splitter;
};

} // namespace marigoldpitch

#endif
