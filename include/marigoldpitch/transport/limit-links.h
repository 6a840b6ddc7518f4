#ifndef MARIGOLDPITCH_TRANSPORT_LIMIT_LINKS_H
#define MARIGOLDPITCH_TRANSPORT_LIMIT_LINKS_H

#include "marigoldpitch/coordination/proxy/customer-limits.h"
#include "marigoldpitch/coordination/proxy/proxy-io.h"
#include "marigoldpitch/state/metrics.h"
#include "marigoldpitch/transport/datagram-socket.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

/** The datagrams that proxies exchange: about limits and fences. */
namespace marigoldpitch {

/**
 * Each host sends and receives at its `peers` endpoint, so that the address of
 * a datagram names its sender. What comes from elsewhere, or cannot be decoded,
 * is counted and dropped.
 */
class LimitLinks : public DatagramHandler
{
public:
  using EventSink = std::function<void(const ProxyEvent&)>;

  static Result<std::unique_ptr<LimitLinks>> Create(Loop& aLoop,
                                                    const Endpoint& aOwn,
                                                    Metrics& aMetrics,
                                                    EventSink aSink);

  /**
   * Sets where the listed hosts are, by name. One that is listed no more is
   * still heard for `kUnlistedHostTime`.
   */
  void SetHosts(const std::map<std::string, Endpoint>& aHosts, Time aNow);

  void Perform(const SendLimitRequest& aAction);
  void Perform(const SendLimitReply& aAction);
  void Perform(const SendFenceRequest& aAction);
  void Perform(const SendFenceReply& aAction);

  void OnDatagram(const Endpoint& aFrom, std::string_view aBytes) override;

private:
  LimitLinks(Metrics& aMetrics, EventSink aSink)
    : metrics(aMetrics)
    , sink(std::move(aSink))
  {
  }

  struct Host
  {
    Endpoint endpoint;
    Time until; // heard until then
  };

  void Send(const std::string& aHost, const std::string& aEncoded);

  Metrics& metrics;
  EventSink sink;
  std::unique_ptr<DatagramSocket> socket;
  std::map<std::string, Host> hosts;
  std::map<std::pair<std::string, uint16_t>, std::string> names; // by endpoint
};

} // namespace marigoldpitch

#endif
