#ifndef MARIGOLDPITCH_TRANSPORT_OWNER_DAEMON_H
#define MARIGOLDPITCH_TRANSPORT_OWNER_DAEMON_H

#include "marigoldpitch/coordination/owner/group-engine.h"
#include "marigoldpitch/coordination/owner/term-reserver.h"
#include "marigoldpitch/transport/daemon-core.h"
#include "marigoldpitch/transport/upstream-pool.h"

#include <map>
#include <memory>
#include <unordered_map>

/**
 * The owner daemon: manages groups of upstreams (a primary and its replicas)
 * and runs the requests that entry daemons forward to it.
 */
namespace marigoldpitch {

class OwnerDaemon;

/**
 * A group of upstreams: the engine that decides, and the connections over which
 * its decisions are carried out.
 */
class OwnedGroup : public GroupEventSink
{
public:
  static Result<std::unique_ptr<OwnedGroup>> Create(OwnerDaemon& aDaemon,
                                                    const GroupConfig& aConfig,
                                                    GroupOptions aOptions);
  ~OwnedGroup() override;
  OwnedGroup(const OwnedGroup&) = delete;
  OwnedGroup& operator=(const OwnedGroup&) = delete;

  void OnGroupEvent(const GroupEvent& aEvent) override;
  GroupEngine& Engine() { return *this->engine; }
  const GroupEngine& Engine() const { return *this->engine; }
  bool isStandby = false;

private:
  OwnedGroup(OwnerDaemon& aDaemon,
             const GroupConfig& aConfig,
             std::unique_ptr<GroupEngine> aEngine);

  void Tick();
  void ArmTimer();
  void Perform(const SendAnswer& aAction);
  void Perform(const ReserveTerms& aAction);
  void Perform(const AddLogLine& aAction);
  void Perform(const Observe& aAction);
  template<typename A>
  void Perform(const A& aAction)
  {
    this->pool.Perform(aAction);
  }
  void HandleReserverAction(const ReserverAction& aAction);
  void OnTermRecord(const Result<StoreValue>& aValue);

  OwnerDaemon& daemon;
  std::unique_ptr<GroupEngine> engine;
  UpstreamPool pool;
  TermReserver reserver;
  TimerId timer = 0;
  Time nextTick = kInfiniteFuture;
  // Shared with callbacks, which check that the group still exists.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

class OwnerDaemon : public DaemonCore
{
public:
  OwnerDaemon(Loop& aLoop, Settings aSettings);

  /** Sends the answer to the entry that forwarded the request. */
  void DeliverAnswer(RequestHandle aHandle, const Answer& aAnswer);
  Loop& GetLoop() { return this->loop; }
  Metrics& GetMetrics() { return this->metrics; }
  StoreClient& GetStore() { return *this->store; }
  const std::string& Incarnation() const { return this->incarnation; }

protected:
  Result<void> OnStart() override;
  void OnConfiguration(const Config& aConfig) override;
  void OnHosts(const HostList& aHosts) override;
  void OnLinkUp(LinkId aLink,
                const std::string& aPeer,
                bool aOutbound) override;
  void OnLinkFrame(LinkId aLink,
                   const std::string& aPeer,
                   const Frame& aFrame) override;
  void OnLinkDown(LinkId aLink,
                  const std::string& aPeer,
                  bool aOutbound) override;
  void FillStatus(v1::StatusResponse& aStatus) const override;
  void OnDrain() override;
  size_t Unfinished() const override;
  bool IsReady() const override;

private:
  /** A request that an entry forwarded and that has no answer yet. */
  struct ForwardedRequest
  {
    LinkId link = 0;
    uint64_t number = 0;
    std::string group;
    Time arrived;
  };

  void OnRequest(LinkId aLink, const RequestFrame& aFrame);
  void OnCancel(LinkId aLink, uint64_t aNumber);

  /** Opens the group if necessary; null if it is not configured. */
  OwnedGroup* FindOrCreateGroup(const std::string& aName);

  /** Deletes groups that are idle and not needed here; runs periodically. */
  void ReleaseUnusedGroups();

  /** Opens or reconfigures the group if this host needs it. */
  void ApplyGroupConfig(const GroupConfig& aConfig);

  /** Tells the group which upstreams the host list marks as leaving. */
  void UpdateLeavingUpstreams(OwnedGroup& aGroup);
  GroupOptions MakeGroupOptions(const GroupConfig& aConfig) const;

  /** This host's rank among the owners of the group; 0 is the owner. */
  size_t OwnRank(const std::string& aGroup) const;

  // `host~random`, unique to this run; recorded with its transactions and the
  // terms that it reserves.
  std::string incarnation;
  std::map<std::string, std::unique_ptr<OwnedGroup>> groups;
  // No longer configured, or replaced; kept until their work has ended.
  std::vector<std::unique_ptr<OwnedGroup>> drainingGroups;
  std::unordered_map<RequestHandle, ForwardedRequest> forwardedRequests;
  // By link and the number that the entry gave the request.
  std::map<std::pair<LinkId, uint64_t>, RequestHandle> handleByNumber;
  RequestHandle lastHandle = 0;
};

} // namespace marigoldpitch

#endif
