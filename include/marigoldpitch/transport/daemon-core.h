#ifndef MARIGOLDPITCH_TRANSPORT_DAEMON_CORE_H
#define MARIGOLDPITCH_TRANSPORT_DAEMON_CORE_H

#include "marigoldpitch.pb.h"
#include "marigoldpitch/protocol/rpc.h"
#include "marigoldpitch/protocol/settings.h"
#include "marigoldpitch/state/metrics.h"
#include "marigoldpitch/transport/http-server.h"
#include "marigoldpitch/transport/loop.h"
#include "marigoldpitch/transport/peer-network.h"
#include "marigoldpitch/transport/spread-links.h"
#include "marigoldpitch/transport/store-client.h"

#include <memory>
#include <string>

/** What entries and owners have in common. */
namespace marigoldpitch {

/**
 * The operators' port, the links to peers, the configuration and the host
 * list. Roles derive from it.
 */
class DaemonCore
  : public PeerListener
  , public HttpService
  , public SpreadClient
{
public:
  DaemonCore(Loop& aLoop, Settings aSettings, DaemonRole aRole);
  ~DaemonCore() override = default;
  DaemonCore(const DaemonCore&) = delete;
  DaemonCore& operator=(const DaemonCore&) = delete;

  /** Opens the ports; a role opens its own in `OnStart`. */
  Result<void> Start();

  /** Stops taking work, waits for what is open, then stops the loop. */
  void Drain();

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
  void OnHttp(ExchangeId aExchange, const HttpRequest& aRequest) override;
  void OnHttpGone(ExchangeId) override {}
  const Endpoint* EndpointOf(const std::string& aPeer) const override;
  std::vector<std::string> FirstPeers() const override;
  void AskStore(const WatchStore& aAction) override;
  bool IsValid(const Document& aDocument) override;
  void TakeDocument(const Document& aDocument) override;
  bool IsDraining() const override { return this->draining; }

protected:
  // What a role adds.
  virtual Result<void> OnStart() = 0;
  virtual void OnConfiguration(const Config& aConfig) = 0;
  virtual void OnHosts(const HostList& aHosts) = 0;
  virtual void OnLinkUp(LinkId aLink,
                        const std::string& aPeer,
                        bool aOutbound) = 0;
  virtual void OnLinkFrame(LinkId aLink,
                           const std::string& aPeer,
                           const Frame& aFrame) = 0;
  virtual void OnLinkDown(LinkId aLink,
                          const std::string& aPeer,
                          bool aOutbound) = 0;
  virtual void FillStatus(v1::StatusResponse& aStatus) const = 0;
  virtual void OnDrain() = 0;
  virtual size_t Unfinished() const = 0;
  virtual bool IsReady() const = 0;

  Loop& loop;
  Settings settings;
  std::string self; // `host/role`
  Metrics metrics;
  std::unique_ptr<PeerNetwork> network;
  std::unique_ptr<StoreClient> store;
  Config config;
  HostList hosts;
  bool draining = false;

private:
  void OnStoreValue(DocumentKind aKind, const Result<StoreValue>& aValue);
  void CheckDrained();
  HttpResponse HandleOperators(const HttpRequest& aRequest);
  HttpResponse HandleRpc(RpcMethod aMethod, const HttpRequest& aRequest);
  std::string MetricsText();

  SpreadLinks spread;
  std::unique_ptr<HttpServer> operators;
  std::string configurationText;
  bool storeReachable = true;
  Time drainLimit = kNever;
  Time drainEarliest = kLongAgo;
};

/** Runs a daemon of one role from its command line to its end. */
using MakeDaemon = std::function<std::unique_ptr<DaemonCore>(Loop&, Settings)>;
int
RunDaemon(int aCount,
          const char** aArguments,
          DaemonRole aRole,
          const MakeDaemon& aMake);

} // namespace marigoldpitch

#endif
