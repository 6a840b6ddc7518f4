#include "marigoldpitch/transport/frame-link.h"

#include "marigoldpitch/state/sizes.h"

namespace marigoldpitch {

namespace detail {
constexpr size_t kMaxQueuedBytes = 64 * kMebibyte;
} // namespace detail

FrameLink::FrameLink(Loop& aLoop,
                     size_t aMaxFrameBytes,
                     FrameLinkListener& aListener)
  : StreamLink(aLoop, detail::kMaxQueuedBytes)
  , listener(aListener)
  , splitter(aMaxFrameBytes)
{
}

Result<std::shared_ptr<FrameLink>>
FrameLink::Connect(Loop& aLoop,
                   const Endpoint& aEndpoint,
                   size_t aMaxFrameBytes,
                   FrameLinkListener& aListener)
{
  std::shared_ptr<FrameLink> link(
    new FrameLink(aLoop, aMaxFrameBytes, aListener));
  BOOST_OUTCOME_TRYV(link->StreamLink::Connect(aEndpoint));
  return link;
}

std::shared_ptr<FrameLink>
FrameLink::FromSocket(Loop& aLoop,
                      h2o_socket_t* aSocket,
                      size_t aMaxFrameBytes,
                      FrameLinkListener& aListener)
{
  std::shared_ptr<FrameLink> link(
    new FrameLink(aLoop, aMaxFrameBytes, aListener));
  link->Accept(aSocket);
  return link;
}

void
FrameLink::OnBytes(std::string_view aBytes)
{
  this->splitter.Append(aBytes);
  while (this->IsOpen()) {
    auto frame = this->splitter.Next();
    if (!frame) {
      this->Fail(frame.error());
      return;
    }
    if (!frame.value()) {
      return;
    }
    this->listener.OnFrameBytes(*this, *frame.value());
  }
}

void
FrameLink::Send(const std::string& aFrame)
{
  this->Write(WithSizePrefix(aFrame));
}

} // namespace marigoldpitch
