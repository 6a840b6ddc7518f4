#ifndef MARIGOLDPITCH_TRANSPORT_DAEMON_CORE_H
#define MARIGOLDPITCH_TRANSPORT_DAEMON_CORE_H

#include "marigoldpitch.pb.h"
#include "marigoldpitch/protocol/rpc.h"
#include "marigoldpitch/protocol/settings.h"
#include "marigoldpitch/state/metrics.h"
#include "marigoldpitch/transport/gossip-links.h"
#include "marigoldpitch/transport/http-server.h"
#include "marigoldpitch/transport/loop.h"
#include "marigoldpitch/transport/peer-network.h"
#include "marigoldpitch/transport/store-client.h"

#include <memory>
#include <string>

/** Base class of the entry daemon and the owner daemon. */
namespace marigoldpitch {

/**
 * Serves the operators' HTTP port, keeps the links to the other daemons (peers)
 * and keeps the configuration and the host list up to date. A role derives from
 * it: `EntryDaemon` accepts callers, `OwnerDaemon` manages groups of upstreams.
 */
class DaemonCore
  : public PeerListener
  , public HttpService
  , public GossipClient
{
public:
  DaemonCore(Loop& aLoop, Settings aSettings, DaemonRole aRole);
  ~DaemonCore() override = default;
  DaemonCore(const DaemonCore&) = delete;
  DaemonCore& operator=(const DaemonCore&) = delete;

  /** Opens the ports of all roles, then those of the role with `OnStart`. */
  Result<void> Start();

  /**
   * Stops accepting new work, waits until all open requests have ended or the
   * drain time limit has passed, then stops the loop.
   */
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
  void OnHttpRequest(ExchangeId aExchange,
                     const HttpRequest& aRequest) override;
  void OnHttpAborted(ExchangeId) override {}
  const Endpoint* FindEndpoint(const std::string& aPeer) const override;
  std::vector<std::string> SeedPeers() const override;
  void QueryStore(const WatchStore& aAction) override;
  bool IsValid(const Document& aDocument) override;
  void ApplyDocument(const Document& aDocument,
                     const std::string& aPeer) override;
  void OnConfirmed(DocumentKind, Time) override {}
  bool IsDraining() const override { return this->draining; }

protected:
  // Hooks that a role implements.
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

  /** The process ends a moment later; called once, if anything is open. */
  virtual void OnLastAnswers() {}
  virtual size_t Unfinished() const = 0;
  virtual bool IsReady() const = 0;

  Loop& loop;
  Settings settings;
  std::string ownName; // `host/role`
  Metrics metrics;
  std::unique_ptr<PeerNetwork> network;
  std::unique_ptr<StoreClient> store;
  Config config;
  HostList hosts;
  bool draining = false;

private:
  void OnStoreValue(DocumentKind aKind, const Result<StoreValue>& aValue);
  void CheckDrained();
  HttpResponse HandleOperatorRequest(const HttpRequest& aRequest);
  HttpResponse HandleRpc(RpcMethod aMethod, const HttpRequest& aRequest);
  std::string MetricsText();

  GossipLinks gossip;
  std::unique_ptr<HttpServer> operators;
  std::string configurationText;
  bool storeReachable = true;
  Time drainDeadline = kInfiniteFuture;
  Time earliestDrainEnd = kInfinitePast;
  bool areLastAnswersDue = true;
};

using DaemonFactory =
  std::function<std::unique_ptr<DaemonCore>(Loop&, Settings)>;

/** The main function of a daemon; returns the exit code of the process. */
int
RunDaemon(int aCount,
          const char** aArguments,
          DaemonRole aRole,
          const DaemonFactory& aFactory);

} // namespace marigoldpitch

#endif
