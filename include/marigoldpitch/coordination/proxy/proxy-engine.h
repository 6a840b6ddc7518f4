#ifndef MARIGOLDPITCH_COORDINATION_PROXY_PROXY_ENGINE_H
#define MARIGOLDPITCH_COORDINATION_PROXY_PROXY_ENGINE_H

#include "marigoldpitch/coordination/common/admission.h"
#include "marigoldpitch/coordination/proxy/connection-budget.h"
#include "marigoldpitch/coordination/proxy/drain-schedule.h"
#include "marigoldpitch/coordination/proxy/group-recorder.h"
#include "marigoldpitch/coordination/proxy/promotion.h"
#include "marigoldpitch/coordination/proxy/proxy-session.h"
#include "marigoldpitch/coordination/proxy/statement-queue.h"

#include <memory>
#include <set>
#include <unordered_map>

/**
 * The decisions of a proxy that forwards callers' SQL sessions to the primary
 * and the replicas of each service.
 */
namespace marigoldpitch {

struct ProxyOptions
{
  std::string zone;
  std::string host = {};
  // How long upstreams serve after they have announced that they leave.
  Duration upstreamDrainTime = Millis(0);
  std::unique_ptr<AdmissionPolicy> admission = MakeDeadlineAdmission();
  LimitTolerance limitTolerance = {};
  // The most that sessions of other hosts may keep here together, in bytes.
  size_t maxRelayedBytes = SIZE_MAX;
};

/**
 * State that an interrupted promotion left at an upstream: a superseded primary
 * that has to be demoted, or a held replica that has to be resumed.
 */
struct StaleState
{
  UpstreamCommand command;
  Term held = 0;                    // the term that the replica is held for
  Time since = kInfinitePast;       // when this state was first reported
  Time lastCommand = kInfinitePast; // when `command` was last queued
};

/** All that the proxy keeps for one service. */
struct ProxyService
{
  ProxyService(ConnectionId aFirstId, Duration aUpstreamDrainTime)
    : view(aUpstreamDrainTime)
    , connections(0, 1, 1, aFirstId)
  {
  }

  std::string name;
  ServiceLimits config;
  ServiceView view;
  ConnectionTable connections;
  Promotion promotion;
  GroupRecorder recorder;
  StatementQueue queue;
  uint32_t share = 1; // this host's even share of an upstream's connections
  ServingHosts serving;
  std::vector<HostPlace> rankedHosts; // of this host's zone
  bool isServedHere = true;           // by this host
  bool isStandbyHere = false;         // this host serves it next
  bool isSpareHere = true;            // others may relay to this host
  Time lastLocalUse = kInfinitePast;  // when a statement was last queued here
  bool wasFollowed = true;            // as of the last update
  // By database: a decaying maximum of the response times, in milliseconds.
  std::map<std::string, double> maxLatencyMs;
  // A statement waits for a newer proof that the primary is still the primary.
  bool proofWanted = false;
  // When a replica read last lacked a log point to wait for.
  Time logPointWantedAt = kInfinitePast;
  bool proofRequestOpen = false;
  std::set<CallerId> awaitingReplica; // sessions in that phase, or lately
  // Commands that wait for a free connection to their upstream.
  std::map<UpstreamIndex, UpstreamCommand> queuedCommands;
  std::map<UpstreamIndex, StaleState> staleStates;
};

/**
 * Decides for all sessions of one host. Takes the time and one event, and
 * returns the actions that the caller has to perform; it does no I/O itself.
 * The clock also advances while the host is paused.
 */
class ProxyEngine
{
public:
  explicit ProxyEngine(ProxyOptions aOptions)
    : options(std::move(aOptions))
    , limits(this->options.host,
             this->options.limitTolerance,
             MakeLimitPolicy(this->options.limitTolerance))
  {
  }

  ProxyActions Handle(Time aNow, const ProxyEvent& aEvent);

  /** Whether the load balancer may send new callers to this host. */
  bool IsReady() const;

  /** Whether the process may exit: it drains and no session is open. */
  bool IsDrained() const
  {
    return this->IsDraining() && this->sessions.empty();
  }
  bool IsDraining() const { return this->drain.IsDraining(); }
  size_t Sessions() const { return this->sessions.size(); }

  /** What the session of the caller keeps, in bytes. */
  size_t HeldBytes(CallerId aCaller) const;

  /** Hosts to which statements may be relayed, so links to them are needed. */
  std::set<std::string> RelayHosts() const;
  uint64_t ConfigVersion() const { return this->config.version; }
  const std::map<std::string, ProxyService>& Services() const
  {
    return this->services;
  }

private:
  // proxy-engine.cc: events of the operator, the registry and callers.
  void DispatchAll();
  void On(const SessionOpened& aEvent);
  void OpenAwaitingSessions();
  void On(const SessionClosed& aEvent);
  void On(const StatementArrived& aEvent);
  void On(const InvalidStatementArrived& aEvent);
  void On(const ConfigArrived& aEvent);
  void On(const RegistryRead& aEvent);
  void On(const RegistryConfirmed& aEvent);
  void On(const HostsCounted& aEvent);
  void On(const ProxyTick& aEvent);
  ProxyService& ServiceOf(const std::string& aName);
  void ShareConnections(ProxyService& aService);
  uint32_t ConnectionLimit(const ProxyService& aService,
                           UpstreamIndex aUpstream) const;

  // proxy-drain.cc: the end of sessions while the host is drained.
  void On(const ProxyDrainRequested& aEvent);
  DrainStage CurrentDrainStage() const
  {
    return this->drain.StageAt(this->now);
  }
  size_t OwnSessions() const
  {
    return this->sessions.size() - this->relayedSessions.size();
  }
  bool MayEndSession(const CallerSession& aSession) const;
  void EndAnsweredSessions();
  void DrainSessions();
  void DrainSession(CallerSession& aSession);
  void LeaveAfterAnswers(CallerSession& aSession);
  void EndDrainedSession(CallerId aCaller);
  void EndAllSessions();

  // proxy-sessions.cc: statements that the proxy answers itself, replies to
  // callers, and the end of transactions.
  void HandleStatement(CallerSession& aSession, const StatementArrived& aEvent);
  void HandleNextStatement(CallerSession& aSession);
  void RefuseTooBig(CallerSession& aSession,
                    const std::string& aRequestId,
                    const std::string& aWhy);
  void Begin(CallerSession& aSession, bool aReadOnly);
  void SetValue(CallerSession& aSession, const StatementArrived& aEvent);
  void RollBack(CallerSession& aSession);
  void Answer(CallerSession& aSession, StatementReply aReply);
  void AnswerFailure(CallerSession& aSession,
                     FailureCode aCode,
                     const std::string& aText);
  void RefuseReply(CallerSession& aSession);
  void FailTransaction(CallerSession& aSession);
  void LeaveTransaction(CallerSession& aSession);
  void ExpireTransactions();
  const DatabaseRoute* RouteOf(const std::string& aDatabase) const;

  // proxy-customers.cc: whose statement it is, and the connections of
  // customers.
  std::optional<std::string> CustomerOf(const KeyHash& aKey,
                                        const DatabaseRoute& aRoute) const;
  bool KnowsCustomer(const std::string& aCustomer,
                     const DatabaseRoute& aRoute) const;
  bool MayContinue(const CallerSession& aSession) const;
  void LogRefusedKey(const CallerSession& aSession,
                     const std::string& aRequestId);
  bool JudgeKey(CallerSession& aSession,
                const DatabaseRoute& aRoute,
                const std::string& aRequestId);
  void RefuseKey(CallerSession& aSession, const std::string& aRequestId);
  bool MayStillRun(CallerSession& aSession);
  void JudgeSessions();
  void WithdrawKey(CallerSession& aSession);
  uint32_t KeptConnections(const ProxyService& aService) const;
  double ShareOf(const std::string& aCustomer) const;
  void SumCustomerRates();
  std::vector<ConnectionId> LinksByUse(const ProxyService& aService,
                                       UpstreamIndex aUpstream) const;
  static Time LastUse(const ProxyLink& aLink);
  static Duration UnusedTimeout(const ProxyLink& aLink, bool aIsWithinKept);
  bool IsOfRemovedCustomer(const ProxyLink& aLink) const;
  std::optional<ConnectionId> FindReplaceable(
    const ProxyService& aService,
    UpstreamIndex aUpstream,
    const PendingStatement& aPending) const;
  bool AwaitsOpening(const ProxyService& aService,
                     UpstreamIndex aUpstream,
                     CallerSession& aSession);
  void OpenFor(ProxyService& aService,
               UpstreamIndex aUpstream,
               CallerSession& aSession);

  // proxy-dispatch.cc: admission, the queue and the choice of an upstream.
  void Submit(CallerSession& aSession, const StatementArrived& aEvent);
  void Admit(CallerSession& aSession);
  bool Admits(const ProxyService& aService,
              const PendingStatement& aPending,
              const QueuedStatement& aQueued) const;
  QueuedStatement DescribeQueued(const CallerSession& aSession) const;
  double CustomerWeight(const std::string& aCustomer) const;
  void Enqueue(CallerSession& aSession);
  void Dequeue(CallerSession& aSession);
  void Requeue(CallerSession& aSession, Duration aPause);
  void Dispatch(ProxyService& aService);
  bool Place(ProxyService& aService, CallerSession& aSession);
  bool HasCapacityForTransaction(const ProxyService& aService,
                                 UpstreamIndex aUpstream) const;
  double CostOf(const ProxyService& aService, UpstreamIndex aUpstream) const;
  static bool IsCommit(const CallerSession& aSession);
  bool HasCapacity(const ProxyService& aService, UpstreamIndex aUpstream) const;
  bool MayOpen(const ProxyService& aService, UpstreamIndex aUpstream) const;
  void RequestCensus(ProxyService& aService, UpstreamIndex aUpstream);
  double EstimateWait(const ProxyService& aService,
                      UpstreamIndex aUpstream,
                      const std::optional<FreshnessSample>& aAfter) const;
  std::optional<FreshnessSample> FreshPointFor(
    const ProxyService& aService,
    const CallerSession& aSession) const;
  std::optional<UpstreamIndex> ChooseUpstream(
    ProxyService& aService,
    const CallerSession& aSession,
    const std::optional<FreshnessSample>& aAfter);
  bool MayServe(ProxyService& aService,
                const CallerSession& aSession,
                UpstreamIndex aUpstream,
                const std::optional<FreshnessSample>& aAfter) const;
  std::optional<ConnectionId> FindLink(const ProxyService& aService,
                                       UpstreamIndex aUpstream,
                                       const CallerSession& aSession) const;

  // proxy-limits.cc: rate limits of customers.
  void On(const LimitRequestArrived& aEvent);
  void On(const LimitReplyArrived& aEvent);
  void PerformLimits(LimitActions aActions);
  void UpdateLimitedHosts();
  bool AwaitsPermit(CallerSession& aSession);
  void CancelPermit(const CallerSession& aSession);
  void HandlePermits(const std::vector<PermitOutcome>& aOutcomes);
  void RefusePermit(CallerSession& aSession, const PermitOutcome& aOutcome);

  // proxy-relay.cc: statements for services that other hosts serve.
  void On(const RelayHostChanged& aEvent);
  void On(const RelayedReplyArrived& aEvent);
  void PlaceService(ProxyService& aService);
  bool IsFollowed(const ProxyService& aService) const;
  bool IsRelayAwaited(const ProxyService& aService) const;
  bool MustAwaitRelay(const ProxyService& aService) const;
  bool Relay(ProxyService& aService, CallerSession& aSession);
  std::string ChooseRelayHost(const ProxyService& aService,
                              const CallerSession& aSession) const;
  std::vector<std::string> RelayOrder(const ProxyService& aService,
                                      const CallerSession& aSession) const;
  bool IsDecidedHere(const ProxyService& aService,
                     const CallerSession& aSession) const;
  void AvoidRelayHost(const std::string& aHost, const std::string& aCustomer);
  void SendToHost(CallerSession& aSession, const std::string& aHost);
  void HandleLostRelay(CallerSession& aSession);
  void EndRelayedWork(CallerSession& aSession);

  // proxy-relay-serving.cc: statements that other hosts relay to this one.
  void On(const RelayedStatementArrived& aEvent);
  void On(const RelayedEndArrived& aEvent);
  void On(const RelayLinkLost& aEvent);
  CallerSession& RelayedSession(const RelayedStatementArrived& aEvent);
  bool MayServeRelayed(const RelayedStatement& aRelayed) const;
  void Decline(const RelayedStatementArrived& aEvent);
  void AnswerOrigin(CallerSession& aSession, StatementReply aReply);
  void RemoveFinishedSessions();

  // proxy-placing.cc: sending a statement over a connection.
  void Open(ProxyService& aService, UpstreamIndex aUpstream);
  ConnectionId StartOpening(ProxyService& aService,
                            UpstreamIndex aUpstream,
                            const std::string& aCustomer);
  void Assign(ProxyService& aService,
              CallerSession& aSession,
              ConnectionId aConnection);
  void SendNext(ProxyLink& aLink, CallerSession& aSession);
  void LogPlacement(const ProxyLink& aLink, const PendingStatement& aPending);
  void NoteStatementToLeaving(const ProxyLink& aLink,
                              const CallerSession& aSession);
  Duration ReadTimeout(const ProxyService& aService,
                       const PendingStatement& aPending) const;

  // proxy-opening.cc: the pace of new connections and of retries.
  bool IsOpeningPaced(const ProxyService& aService,
                      UpstreamIndex aUpstream) const;
  void NoteFull(ProxyService& aService, UpstreamIndex aUpstream);
  bool IsRetryInTime(const PendingStatement& aPending) const;

  // proxy-setup.cc: what a connection gets before a session's statement.
  void SendSetup(ProxyLink& aLink, CallerSession& aSession);
  bool NeedsReset(const ProxyLink& aLink, const CallerSession& aSession) const;
  void SendPrepare(ProxyLink& aLink, PendingStatement& aPending);
  void SendSetupStatement(ProxyLink& aLink, const SessionStatement& aStatement);
  static SessionState ExpectedState(const CallerSession& aSession);
  void HandleSetupReply(ProxyLink& aLink,
                        CallerSession& aSession,
                        const StatementReply& aReply);
  void LogRefusedSetup(const ProxyLink& aLink,
                       const PendingStatement& aPending,
                       const OpenSetup& aSetup,
                       const StatementFailure& aFailure);
  void HandleRefusedSetup(ProxyLink& aLink,
                          CallerSession& aSession,
                          const OpenSetup& aSetup,
                          const StatementReply& aReply);
  void Abandon(ProxyLink& aLink, SessionState aState);

  // proxy-answers.cc: replies of upstreams.
  void On(const LinkOpened& aEvent);
  void On(const LinkLost& aEvent);
  void On(const LinkAnswered& aEvent);
  void NoteAnswer(ProxyLink& aLink);
  void Answered(ProxyLink& aLink, const StatementReply& aReply);
  void HandleBeginReply(ProxyLink& aLink,
                        CallerSession& aSession,
                        const StatementReply& aReply);
  void HandleStatementReply(ProxyLink& aLink,
                            CallerSession& aSession,
                            const StatementReply& aReply);
  void HandleSuccess(ProxyLink& aLink,
                     CallerSession& aSession,
                     const StatementReply& aReply);
  void HandleFailure(ProxyLink& aLink,
                     CallerSession& aSession,
                     const StatementReply& aReply);
  void AdaptWindow(ProxyService& aService, UpstreamIndex aUpstream) const;
  void NoteBusy(ProxyService& aService, UpstreamIndex aUpstream);
  void NoteFailure(ProxyLink& aLink,
                   CallerSession& aSession,
                   const StatementFailure& aFailure);
  void Release(ProxyLink& aLink, SessionState aState);

  // proxy-losses.cc: lost connections and timeouts.
  void HandleLostAnswer(CallerSession& aSession, UpstreamIndex aUpstream);
  void AbortTransaction(CallerSession& aSession, const std::string& aWhy);
  void RemoveLink(ConnectionId aConnection, bool aIsUpstreamAtFault);
  void Close(ConnectionId aConnection, bool aIsUpstreamAtFault);
  void CheckDeadlines();
  Time DeadlineOf(const CallerSession& aSession) const;
  bool NeedsPrimaryThatHasLeft(const PendingStatement& aPending) const;
  void Expire(CallerSession& aSession);
  void GiveUp(CallerSession& aSession, const std::string& aWhy);
  void LogUnprovedRead(const CallerSession& aSession);

  // proxy-watch.cc: status reports of upstreams, proofs that the primary is
  // still the primary, promotions.
  void On(const LinkReported& aEvent);
  void On(const PromoterLeaseChanged& aEvent);
  void On(const PromotionOrdered& aEvent);
  void On(const GroupsRead& aEvent);
  bool MayPromote() const
  {
    return this->mayPromote && this->now < this->mayPromoteUntil;
  }
  void UpdateService(ProxyService& aService);
  void UpdateGroupRecord(ProxyService& aService);
  void RequestProof(ProxyService& aService);
  void QueueCommand(ProxyService& aService, const UpstreamCommand& aCommand);
  void SendQueuedCommands(ProxyService& aService);
  void CloseUnneededLinks(ProxyService& aService);
  void Perform(ProxyService& aService, const PromotionActions& aActions);
  void NoteStaleState(ProxyService& aService,
                      UpstreamIndex aUpstream,
                      const UpstreamReport& aReport);
  bool MayCleanUp(ProxyService& aService, const StaleState& aStaleState) const;
  void CleanUpStaleStates(ProxyService& aService);

  // proxy-fencing.cc: which commits are acknowledged to callers while a
  // promotion may be ordered.
  void On(const RegistrationRenewed& aEvent);
  void On(const FenceRequestArrived& aEvent);
  void On(const FenceReplyArrived& aEvent);
  void SendFenceReplies(ProxyService& aService);
  void SendFenceReplyTo(const std::string& aHost, const FenceReply& aReply);
  void SendFence(const ProxyService& aService, const FenceHost& aFence);
  void UpdateRoster(const HostsCounted& aCounted);
  bool MayCommit(ProxyService& aService, CallerSession& aSession);
  void FinishCommit(ProxyService& aService,
                    CallerSession& aSession,
                    AcknowledgedCommit aCommit);
  void ReviewAwaitingCommits(ProxyService& aService);
  void RequestCommitReports(ProxyService& aService, Duration aWaited);
  void HideCommit(ProxyService& aService,
                  CallerSession& aSession,
                  const LogPoint& aEnd);

  // proxy-watch-log.cc: log lines about promotions, primaries and leaving
  // upstreams.
  void LogPromotion(const ProxyService& aService, PromotionPhase aBefore);
  void LogReleasedCandidate(const ProxyService& aService,
                            const CandidateReleased& aReleased);
  std::string DescribeMembers(const ProxyService& aService) const;
  void LogPrimary(ProxyService& aService,
                  std::optional<UpstreamIndex> aBefore,
                  Term aTermBefore);
  void LogDeparture(const ProxyService& aService,
                    UpstreamIndex aUpstream,
                    const std::string& aPeer);
  void LogFinishedDepartures(ProxyService& aService);
  void LogServing(const std::set<std::string>& aBefore);
  std::set<std::string> ServedServices() const;

  std::string DescribeAge(Time aTime) const;
  void Emit(ProxyAction aAction);
  void AddDecision(LogEvent aEvent,
                   const std::string& aRequestId,
                   std::vector<std::pair<const char*, std::string>> aFields);

  ProxyOptions options;
  CustomerLimits limits;
  ProxyConfig config;
  double allCustomersRate = 0; // the sum of their limits, a second
  uint64_t groupsEra = 0; // of the store, as of the last read of the groups
  bool hasGroups = false; // whether they were read
  bool hasRegistry = false;
  size_t hosts = 0; // 0: not counted yet
  std::vector<HostPlace> places;
  HostRoster roster;             // the hosts that a promoter has to fence
  RegistrationSpan registration; // of this host
  Time configuredSince = kInfiniteFuture;
  // Hosts to which a link is up, and since when.
  std::map<std::string, Time> relayHosts;
  // By host and customer.
  std::map<std::pair<std::string, std::string>, Time> relayAvoidUntil;
  // Until then links to serving hosts are expected to come up.
  Time relayExpectedUntil = kInfinitePast;
  // From then on this host may serve what others should.
  Time soloFrom = kInfinitePast;
  // By link and the sender's session: the session that serves it here.
  std::map<std::pair<RelayLinkId, uint64_t>, CallerId> relayedSessions;
  size_t relayedBytes = 0; // that `relayedSessions` keep
  CallerId lastRelayedCaller = 0;
  std::vector<CallerId> finishedSessions;
  std::vector<CallerId> answeredSessions; // while an event was handled
  Time fewerHostsSince = kInfiniteFuture;
  // Sessions that wait for the first configuration.
  std::vector<SessionOpened> sessionsAwaitingConfig;
  // Whether and until when this host may order promotions.
  bool mayPromote = false;
  Time mayPromoteUntil = kInfinitePast;
  Time mayPromoteSince = kInfinitePast;
  // When the newest request that any upstream has answered was sent.
  Time pathWorkedAt = kInfinitePast;
  std::map<std::string, ProxyService> services;
  std::unordered_map<CallerId, CallerSession> sessions;
  std::unordered_map<ConnectionId, ProxyLink> links;
  Time now;
  DrainSchedule drain;
  size_t endedSessions = 0; // that the drain has ended, or is about to
  ProxyActions actions;
};

} // namespace marigoldpitch

#endif
