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
LineLink::Accepted(Loop& aLoop,
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
  this->pending += aBytes;
  size_t taken = 0;
  while (this->IsOpen()) {
    size_t end = this->pending.find(detail::kLineEnd, taken);
    if (end == std::string::npos) {
      break;
    }
    std::string_view line =
      std::string_view(this->pending).substr(taken, end - taken);
    taken = end + detail::kLineEnd.size();
    this->listener.OnLine(*this, line);
  }
  this->pending.erase(0, taken);
  if (this->IsOpen() && this->pending.size() > kMaxLineBytes) {
    this->Fail(
      { ErrorCode::TooLarge, "read", "the line exceeds the maximum length" });
  }
}

} // namespace marigoldpitch
