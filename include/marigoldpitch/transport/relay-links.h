#ifndef MARIGOLDPITCH_TRANSPORT_RELAY_LINKS_H
#define MARIGOLDPITCH_TRANSPORT_RELAY_LINKS_H

#include "marigoldpitch/coordination/proxy/proxy-io.h"
#include "marigoldpitch/transport/json-log.h"
#include "marigoldpitch/transport/peer-network.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

/** The links over which proxies relay statements to each other. */
namespace marigoldpitch {

/**
 * Keeps a link to each host that may serve statements for this one, and takes
 * the links of hosts that this one serves. A host that does not answer pings
 * while statements wait for it counts as lost: its link is closed, so that both
 * sides give up what was relayed over it.
 */
class RelayLinks : public PeerListener
{
public:
  using EventSink = std::function<void(const ProxyEvent&)>;

  /** Listens at `aListen` for the links of other proxies. */
  static Result<std::unique_ptr<RelayLinks>> Create(Loop& aLoop,
                                                    const std::string& aOwnHost,
                                                    const Endpoint& aListen,
                                                    JsonLog& aLog,
                                                    EventSink aSink);

  /** Sets the hosts to keep links to; connects to those that are new. */
  void SetHosts(const std::map<std::string, Endpoint>& aHosts);

  /** Sends pings and detects lost hosts; to be called every few milliseconds.
   */
  void Tick();

  void Perform(const RelayStatement& aAction);
  void Perform(const EndRelay& aAction);
  void Perform(const AnswerRelay& aAction);

  void OnPeerUp(LinkId aLink,
                const std::string& aPeer,
                bool aOutbound) override;
  void OnPeerFrame(LinkId aLink,
                   const std::string& aPeer,
                   const Frame& aFrame) override;
  void OnPeerDown(LinkId aLink,
                  const std::string& aPeer,
                  bool aOutbound) override;
  void OnBadFrame(const std::string& aPeer, const Error& aError) override;
  bool ClosesOnBadFrame() const override { return true; }

private:
  /** A host to which this one relays statements. */
  struct Host
  {
    Endpoint endpoint;
    LinkId link = 0; // 0: not up
    Time connectedAt = kInfinitePast;
    Time lastHeard = kInfinitePast;
    Time lastPing = kInfinitePast;
    // When the first ping since then was sent; `kInfiniteFuture`: none was.
    Time unansweredSince = kInfiniteFuture;
    std::set<uint64_t> waiting; // sessions whose statements are open there
  };

  RelayLinks(JsonLog& aLog, EventSink aSink)
    : log(aLog)
    , sink(std::move(aSink))
  {
  }

  void Connect(const std::string& aName, Host& aHost);
  void CheckHost(Host& aHost, Time aNow);
  void LoseHost(const std::string& aName, Host& aHost);
  void OnHostFrame(const std::string& aName, Host& aHost, const Frame& aFrame);

  JsonLog& log;
  EventSink sink;
  std::unique_ptr<PeerNetwork> network;
  std::map<std::string, Host> hosts;
  Time lastTick = kInfinitePast;
};

} // namespace marigoldpitch

#endif
