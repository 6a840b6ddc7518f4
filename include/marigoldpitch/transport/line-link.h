#ifndef MARIGOLDPITCH_TRANSPORT_LINE_LINK_H
#define MARIGOLDPITCH_TRANSPORT_LINE_LINK_H

#include "marigoldpitch/state/sizes.h"
#include "marigoldpitch/transport/stream-link.h"

/** A TCP connection that carries lines. */
namespace marigoldpitch {

class LineLink;

class LineLinkListener
{
public:
  virtual ~LineLinkListener() = default;
  virtual void OnLinkUp(LineLink& aLink) = 0;

  /** One line without its end. */
  virtual void OnLine(LineLink& aLink, std::string_view aLine) = 0;

  /** The last call for a link; it is closed. */
  virtual void OnLinkDown(LineLink& aLink, const Error& aReason) = 0;
};

/** The longest line that is taken, in bytes; a longer one ends the link. */
constexpr size_t kMaxLineBytes = kMebibyte;

class LineLink : public StreamLink
{
public:
  /** `aTag` is the listener's own number for the link. */
  static Result<std::shared_ptr<LineLink>> Connect(Loop& aLoop,
                                                   const Endpoint& aEndpoint,
                                                   uint64_t aTag,
                                                   LineLinkListener& aListener);
  static std::shared_ptr<LineLink> Accepted(Loop& aLoop,
                                            h2o_socket_t* aSocket,
                                            uint64_t aTag,
                                            LineLinkListener& aListener);

  /** Sends lines that carry their ends. */
  void Send(std::string_view aLines) { this->Write(aLines); }
  uint64_t Tag() const { return this->tag; }

private:
  LineLink(Loop& aLoop, uint64_t aTag, LineLinkListener& aListener);

  void OnUp() override { this->listener.OnLinkUp(*this); }
  void OnBytes(std::string_view aBytes) override;
  void OnDown(const Error& aReason) override
  {
    this->listener.OnLinkDown(*this, aReason);
  }

  uint64_t tag;
  LineLinkListener& listener;
  std::string pending;
};

} // namespace marigoldpitch

#endif
