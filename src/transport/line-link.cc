#include "marigoldpitch/transport/line-link.h"

namespace marigoldpitch {

LineLink::LineLink(Loop& aLoop, uint64_t aTag, LineLinkListener& aListener)
  : StreamLink(aLoop, kMaxQueuedLineBytes)
  , tag(aTag)
  , listener(aListener)
  , splitter(kMaxLineBytes)
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
  this->splitter.Append(aBytes);
  while (this->IsOpen()) {
    auto line = this->splitter.Next();
    if (!line) {
      this->Fail(line.error());
      return;
    }
    if (!line.value()) {
      this->splitter.ReleaseUnused();
      this->listener.OnTransferred(*this);
      return;
    }
    this->listener.OnLine(*this, *line.value());
  }
}

} // namespace marigoldpitch
