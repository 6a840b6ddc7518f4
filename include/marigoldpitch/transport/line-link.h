#ifndef MARIGOLDPITCH_TRANSPORT_LINE_LINK_H
#define MARIGOLDPITCH_TRANSPORT_LINE_LINK_H

#include "marigoldpitch/protocol/line-splitter.h"
#include "marigoldpitch/state/sizes.h"
#include "marigoldpitch/transport/stream-link.h"

/** A TCP connection that carries text lines, each ended by CRLF. */
namespace marigoldpitch {

class LineLink;

class LineLinkListener
{
public:
  virtual ~LineLinkListener() = default;
  virtual void OnLinkUp(LineLink& aLink) = 0;

  /** A line was received; `aLine` excludes the CRLF. */
  virtual void OnLine(LineLink& aLink, std::string_view aLine) = 0;

  /** The link is closed; no further call follows for it. */
  virtual void OnLinkDown(LineLink& aLink, const Error& aReason) = 0;

  /** Bytes were received or sent, after the calls for what they complete. */
  virtual void OnTransferred(LineLink&) {}
};

/** The maximum length of a line in bytes; a longer line closes the link. */
constexpr size_t kMaxLineBytes = kMebibyte;

/** How much may wait to be sent; a peer that does not read is disconnected. */
constexpr size_t kMaxQueuedLineBytes = 4 * kMebibyte;

class LineLink : public StreamLink
{
public:
  /** `aTag` identifies the link to the listener; `LineLink` doesn't use it. */
  static Result<std::shared_ptr<LineLink>> Connect(Loop& aLoop,
                                                   const Endpoint& aEndpoint,
                                                   uint64_t aTag,
                                                   LineLinkListener& aListener);
  static std::shared_ptr<LineLink> FromSocket(Loop& aLoop,
                                              h2o_socket_t* aSocket,
                                              uint64_t aTag,
                                              LineLinkListener& aListener);

  /** Sends complete lines, each ended by CRLF. */
  void Send(std::string_view aLines) { this->Write(aLines); }
  uint64_t Tag() const { return this->tag; }

  /** The bytes of lines that are not complete. */
  size_t ReceivedBytes() const { return this->splitter.HeldBytes(); }
  /** Whether another line was received together with the last one. */
  bool HasFurtherLine() const { return this->splitter.HasLine(); }
  bool HasPartialLine() const { return this->splitter.HasPartialLine(); }

private:
  LineLink(Loop& aLoop, uint64_t aTag, LineLinkListener& aListener);

  void OnUp() override { this->listener.OnLinkUp(*this); }
  void OnBytes(std::string_view aBytes) override;
  void OnSent() override { this->listener.OnTransferred(*this); }
  void OnDown(const Error& aReason) override
  {
    this->listener.OnLinkDown(*this, aReason);
  }

  uint64_t tag;
  LineLinkListener& listener;
  LineSplitter splitter;
};

} // namespace marigoldpitch

#endif
