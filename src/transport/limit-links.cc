#include "marigoldpitch/transport/limit-links.h"

#include "marigoldpitch/protocol/wire.h"

namespace marigoldpitch {

Result<std::unique_ptr<LimitLinks>>
LimitLinks::Create(Loop& aLoop,
                   const Endpoint& aOwn,
                   Metrics& aMetrics,
                   EventSink aSink)
{
  std::unique_ptr<LimitLinks> links(new LimitLinks(aMetrics, std::move(aSink)));
  BOOST_OUTCOME_TRY(auto socket, DatagramSocket::Create(aLoop, aOwn, *links));
  links->socket = std::move(socket);
  return links;
}

void
LimitLinks::SetHosts(std::map<std::string, Endpoint> aHosts)
{
  this->hosts = std::move(aHosts);
  this->names.clear();
  for (const auto& [name, endpoint] : this->hosts) {
    this->names[{ endpoint.address, endpoint.port }] = name;
  }
}

void
LimitLinks::Perform(const SendLimitRequest& aAction)
{
  this->metrics.Count(Counter::LimitRequests);
  this->Send(aAction.host, EncodeFrame(LimitRequestFrame{ aAction.request }));
}

void
LimitLinks::Perform(const SendLimitReply& aAction)
{
  this->Send(aAction.host, EncodeFrame(LimitReplyFrame{ aAction.reply }));
}

/** What cannot be sent counts as lost on the way. */
void
LimitLinks::Send(const std::string& aHost, const std::string& aEncoded)
{
  auto found = this->hosts.find(aHost);
  bool isSent =
    found != this->hosts.end() && this->socket->Send(found->second, aEncoded);
  if (!isSent) {
    this->metrics.Count(Counter::LimitMessagesUnsent);
  }
}

void
LimitLinks::OnDatagram(const Endpoint& aFrom, std::string_view aBytes)
{
  auto sender = this->names.find({ aFrom.address, aFrom.port });
  if (sender == this->names.end() || aBytes.size() > kMaxDatagramBytes) {
    this->metrics.Count(Counter::FramesRefused);
    return;
  }
  auto frame = DecodeFrame(aBytes);
  if (!frame) {
    this->metrics.Count(Counter::FramesRefused);
  } else if (auto* request = std::get_if<LimitRequestFrame>(&frame.value())) {
    this->sink(LimitRequestArrived{ sender->second, request->request });
  } else if (auto* reply = std::get_if<LimitReplyFrame>(&frame.value())) {
    this->sink(LimitReplyArrived{ sender->second, reply->reply });
  } else {
    this->metrics.Count(Counter::FramesRefused);
  }
}

} // namespace marigoldpitch
