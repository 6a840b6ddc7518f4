#ifndef MARIGOLDPITCH_COORDINATION_PROXY_ENGINE_H
#define MARIGOLDPITCH_COORDINATION_PROXY_ENGINE_H

#include "marigoldpitch/coordination/group-recorder.h"
#include "marigoldpitch/coordination/policies.h"
#include "marigoldpitch/coordination/promotion.h"
#include "marigoldpitch/coordination/proxy-session.h"

#include <memory>
#include <set>
#include <tuple>
#include <unordered_map>

/** The decisions of a proxy that goes to upstreams itself. */
namespace marigoldpitch {

struct ProxyOptions
{
  std::string zone;
  std::unique_ptr<AdmissionPolicy> admission = MakeDeadlineAdmission();
};

/** What a promoter that died, or was cut off, left to be undone. */
struct Leftover
{
  AskUpstream ask;
  Term held = 0; // of a replica that is to be let go
  Time since = kLongAgo;
};

/** One service as a proxy sees it. */
struct ProxyService
{
  explicit ProxyService(ConnectionId aFirstId)
    : connections(0, 1, 1, aFirstId)
  {
  }

  // Priority, deadline, caller: the most urgent first.
  using QueueKey = std::tuple<int, int64_t, CallerId>;

  std::string name;
  ServiceLimits config;
  ServiceView view;
  ConnectionTable connections;
  Promotion promotion;
  GroupRecorder recorder;
  std::set<QueueKey> queue;
  uint32_t share = 1; // connections that this host may open to one upstream
  // By database: the slowest answer of late, forgotten slowly.
  std::map<std::string, double> slowestMs;
  bool proofWanted = false;      // that the primary leads
  Time pointWantedAt = kLongAgo; // by a read that no point allowed
  bool proofOpen = false;
  std::map<UpstreamIndex, AskUpstream> wanted; // no connection was free
  std::map<UpstreamIndex, Leftover> leftovers;
};

/**
 * Decides for all sessions of one host: (now, event) in, actions out. Times
 * count pauses of the host.
 */
class ProxyEngine
{
public:
  explicit ProxyEngine(ProxyOptions aOptions)
    : options(std::move(aOptions))
  {
  }

  ProxyActions Handle(Time aNow, const ProxyEvent& aEvent);

  /** Whether new callers may be sent here. */
  bool IsReady() const;

  /** Whether the process may end: it drains and nothing is open. */
  bool IsDrained() const
  {
    return this->IsDraining() && this->sessions.empty();
  }
  bool IsDraining() const { return this->drainSince != kNever; }
  size_t Sessions() const { return this->sessions.size(); }
  uint64_t ConfigVersion() const { return this->config.version; }
  const std::map<std::string, ProxyService>& Services() const
  {
    return this->services;
  }

private:
  // proxy-engine.cc: what the operator, the registry and callers say.
  void On(const SessionOpened& aEvent);
  void GreetWaiting();
  void On(const SessionClosed& aEvent);
  void On(const StatementArrived& aEvent);
  void On(const NonsenseArrived& aEvent);
  void On(const ConfigArrived& aEvent);
  void On(const RegistryRead& aEvent);
  void On(const HostsCounted& aEvent);
  void On(const ProxyDrainRequested& aEvent);
  void On(const ProxyTick& aEvent);
  ProxyService& ServiceOf(const std::string& aName);
  void ShareConnections(ProxyService& aService);
  void DrainSessions();

  // proxy-sessions.cc: statements that the proxy answers, and their end.
  void Take(CallerSession& aSession, const StatementArrived& aEvent);
  void TakeNext(CallerSession& aSession);
  void Begin(CallerSession& aSession, bool aReadOnly);
  void SetValue(CallerSession& aSession, const SessionStatement& aStatement);
  void RollBack(CallerSession& aSession);
  void Answer(CallerSession& aSession, StatementReply aReply);
  void Refuse(CallerSession& aSession,
              RefusalCode aCode,
              const std::string& aText);
  void FailTransaction(CallerSession& aSession);
  void LeaveTransaction(CallerSession& aSession);
  void ExpireTransactions();
  const DatabaseRoute* RouteOf(const std::string& aDatabase) const;

  // proxy-dispatch.cc: which statement goes to which upstream, and when.
  void Submit(CallerSession& aSession, const StatementArrived& aEvent);
  bool Admits(const ProxyService& aService,
              const PendingStatement& aPending) const;
  void Enqueue(CallerSession& aSession);
  void Dequeue(CallerSession& aSession);
  void Requeue(CallerSession& aSession, Duration aPause);
  void Dispatch(ProxyService& aService);
  bool Place(ProxyService& aService, CallerSession& aSession);
  bool HasRoomForTransaction(const ProxyService& aService,
                             UpstreamIndex aUpstream) const;
  double CostOf(const ProxyService& aService, UpstreamIndex aUpstream) const;
  static bool IsCommit(const CallerSession& aSession);
  bool HasRoom(const ProxyService& aService, UpstreamIndex aUpstream) const;
  double WaitOf(const ProxyService& aService,
                UpstreamIndex aUpstream,
                const std::optional<FreshPoint>& aAfter) const;
  std::optional<FreshPoint> PointFor(const ProxyService& aService,
                                     const CallerSession& aSession) const;
  std::optional<UpstreamIndex> Choose(ProxyService& aService,
                                      const CallerSession& aSession,
                                      const std::optional<FreshPoint>& aAfter);
  bool MayServe(ProxyService& aService,
                const CallerSession& aSession,
                UpstreamIndex aUpstream,
                const std::optional<FreshPoint>& aAfter) const;
  std::optional<ConnectionId> FindLink(const ProxyService& aService,
                                       UpstreamIndex aUpstream,
                                       const CallerSession& aSession) const;

  // proxy-placing.cc: putting a statement on a connection.
  void Open(ProxyService& aService, UpstreamIndex aUpstream);
  void Assign(ProxyService& aService,
              CallerSession& aSession,
              ConnectionId aConnection);
  void PutValues(ProxyLink& aLink, CallerSession& aSession);
  void SendNext(ProxyLink& aLink, CallerSession& aSession);
  void ReportPlaced(const ProxyLink& aLink, const PendingStatement& aPending);
  Duration ReadLimit(const ProxyService& aService,
                     const PendingStatement& aPending) const;

  // proxy-answers.cc: what upstreams answer.
  void On(const LinkOpened& aEvent);
  void On(const LinkLost& aEvent);
  void On(const LinkAnswered& aEvent);
  void Heard(ProxyLink& aLink);
  void Answered(ProxyLink& aLink, const StatementReply& aReply);
  void PreludeAnswered(ProxyLink& aLink,
                       CallerSession& aSession,
                       const StatementReply& aReply);
  void BeginAnswered(ProxyLink& aLink,
                     CallerSession& aSession,
                     const StatementReply& aReply);
  void StatementAnswered(ProxyLink& aLink,
                         CallerSession& aSession,
                         const StatementReply& aReply);
  void Succeeded(ProxyLink& aLink,
                 CallerSession& aSession,
                 const StatementReply& aReply);
  void Refused(ProxyLink& aLink,
               CallerSession& aSession,
               const StatementReply& aReply);
  static void AdaptWindow(const ProxyService& aService,
                          ProxyUpstream& aUpstream);
  void NoteBusy(ProxyService& aService, UpstreamIndex aUpstream);
  void NoteRefusal(ProxyLink& aLink,
                   CallerSession& aSession,
                   const Refusal& aRefusal);
  void Release(ProxyLink& aLink, SessionState aState);

  // proxy-losses.cc: connections that end, and limits that pass.
  void LostAnswer(CallerSession& aSession, UpstreamIndex aUpstream);
  void AbortTransaction(CallerSession& aSession, const std::string& aWhy);
  void Lose(ConnectionId aConnection, bool aIsUpstreamAtFault);
  void Close(ConnectionId aConnection, bool aIsUpstreamAtFault);
  void CheckLimits();
  Time LimitOf(const CallerSession& aSession) const;
  void Expire(CallerSession& aSession);
  void ReportLack(const CallerSession& aSession);

  // proxy-watch.cc: reports of upstreams, proofs, promotions.
  void On(const LinkReported& aEvent);
  void On(const DutyChanged& aEvent);
  void On(const PromotionOrdered& aEvent);
  void On(const GroupsRead& aEvent);
  void Watch(ProxyService& aService);
  void KeepRecord(ProxyService& aService);
  void AskProof(ProxyService& aService);
  void Ask(ProxyService& aService, const AskUpstream& aAsk);
  void AskWanted(ProxyService& aService);
  void CloseSurplus(ProxyService& aService);
  void Perform(ProxyService& aService, const PromotionSteps& aSteps);
  void NoteLeftover(ProxyService& aService,
                    UpstreamIndex aUpstream,
                    const UpstreamReport& aReport);
  bool MayMend(ProxyService& aService, const Leftover& aLeftover) const;
  void MendLeftovers(ProxyService& aService);
  void ReportPromotion(const ProxyService& aService, PromotionPhase aBefore);
  std::string DescribeMembers(const ProxyService& aService) const;
  void ReportLeader(ProxyService& aService,
                    std::optional<UpstreamIndex> aBefore,
                    Term aTermBefore);

  void Emit(ProxyAction aAction);
  void Decide(LogEvent aEvent,
              const std::string& aRequestId,
              std::vector<std::pair<const char*, std::string>> aFields);

  ProxyOptions options;
  ProxyConfig config;
  bool hasRegistry = false;
  size_t hosts = 0; // 0 until they were counted
  Time fewerSince = kNever;
  std::vector<SessionOpened> waitingToOpen; // for the first configuration
  bool mayAct = false;
  Time actsSince = kLongAgo;
  Time pathProved = kLongAgo; // when the newest answered question was sent
  std::map<std::string, ProxyService> services;
  std::unordered_map<CallerId, CallerSession> sessions;
  std::unordered_map<ConnectionId, ProxyLink> links;
  Time now;
  Time drainSince = kNever;
  Duration grace;
  ProxyActions actions;
};

} // namespace marigoldpitch

#endif
