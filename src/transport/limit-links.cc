#include "marigoldpitch/transport/limit-links.h"

#include "marigoldpitch/protocol/wire.h"

#include <algorithm>

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
LimitLinks::SetHosts(const std::map<std::string, Endpoint>& aHosts, Time aNow)
{
  for (auto& [name, host] : this->hosts) {
    host.until = std::min(host.until, aNow + kUnlistedHostTime);
  }
  for (const auto& [name, endpoint] : aHosts) {
    this->hosts[name] = { endpoint, kInfiniteFuture };
  }
  this->names.clear();
  for (auto it = this->hosts.begin(); it != this->hosts.end();) {
    if (it->second.until <= aNow) {
      it = this->hosts.erase(it);
      continue;
    }
    // A listed host goes before one that had its address.
    const Endpoint& endpoint = it->second.endpoint;
    std::string& name = this->names[{ endpoint.address, endpoint.port }];
    bool isListed = it->second.until == kInfiniteFuture;
    name = name.empty() || isListed ? it->first : name;
    ++it;
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

void
LimitLinks::Perform(const SendFenceRequest& aAction)
{
  this->Send(aAction.host, EncodeFrame(FenceRequestFrame{ aAction.request }));
}

void
LimitLinks::Perform(const SendFenceReply& aAction)
{
  this->Send(aAction.host, EncodeFrame(FenceReplyFrame{ aAction.reply }));
}

/** What cannot be sent counts as lost on the way. */
void
LimitLinks::Send(const std::string& aHost, const std::string& aEncoded)
{
  auto found = this->hosts.find(aHost);
  bool isSent = found != this->hosts.end() &&
                this->socket->Send(found->second.endpoint, aEncoded);
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
  } else if (auto* fence = std::get_if<FenceRequestFrame>(&frame.value())) {
    this->sink(FenceRequestArrived{ sender->second, fence->request });
  } else if (auto* fenced = std::get_if<FenceReplyFrame>(&frame.value())) {
    this->sink(FenceReplyArrived{ sender->second, fenced->reply });
  } else {
    this->metrics.Count(Counter::FramesRefused);
  }
}

} // namespace marigoldpitch
