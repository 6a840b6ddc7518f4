#include "marigoldpitch/transport/line-link.h"

namespace marigoldpitch {

namespace detail {
constexpr std::string_view kLineEnd = "\r\n";
// A multiple of `kMaxLineBytes`; a peer that does not read is disconnected.
constexpr size_t kMaxQueuedLineBytes = 4 * kMebibyte;
} // namespace detail

LineLink::LineLink(Loop& aLoop, uint64_t aTag, LineLinkListener& aListener)
  : StreamLink(aLoop, detail::kMaxQueuedLineBytes)
  , tag(aTag)
  , listener(aListener)
{
}

Result<std::shared_ptr<LineLink>>
LineLink::Connect(Loop& aLoop,
                  const Endpoint& aEndpoint,
                  uint64_t aTag,
                  LineLinkListener& aListener)
{
  std::shared_ptr<LineLink> link(new LineLink(aLoop, aTag, aListener));
  BOOST_OUTCOME_TRYV(link->StreamLink::Connect(aEndpoint));
  return link;
}

std::shared_ptr<LineLink>
LineLink::FromSocket(Loop& aLoop,
                     h2o_socket_t* aSocket,
                     uint64_t aTag,
                     LineLinkListener& aListener)
{
  std::shared_ptr<LineLink> link(new LineLink(aLoop, aTag, aListener));
  link->Accept(aSocket);
  return link;
}

void
LineLink::OnBytes(std::string_view aBytes)
{
  this->unparsed += aBytes;
  size_t consumed = 0;
  while (this->IsOpen()) {
    size_t end = this->unparsed.find(detail::kLineEnd, consumed);
    if (end == std::string::npos) {
      break;
    }
    std::string_view line =
      std::string_view(this->unparsed).substr(consumed, end - consumed);
    consumed = end + detail::kLineEnd.size();
    this->listener.OnLine(*this, line);
  }
  this->unparsed.erase(0, consumed);
  if (this->IsOpen() && this->unparsed.size() > kMaxLineBytes) {
    this->Fail(
      { ErrorCode::TooLarge, "read", "the line exceeds the maximum length" });
  }
}

} // namespace marigoldpitch
