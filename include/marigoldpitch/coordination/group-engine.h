#ifndef MARIGOLDPITCH_COORDINATION_GROUP_ENGINE_H
#define MARIGOLDPITCH_COORDINATION_GROUP_ENGINE_H

#include "marigoldpitch/coordination/confirmations.h"
#include "marigoldpitch/coordination/failover.h"
#include "marigoldpitch/coordination/group-io.h"
#include "marigoldpitch/coordination/group-view.h"
#include "marigoldpitch/coordination/policies.h"
#include "marigoldpitch/coordination/retry-budget.h"
#include "marigoldpitch/coordination/work-queue.h"
#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/error.h"
#include "marigoldpitch/state/session-table.h"

#include <array>
#include <map>
#include <string>

/** The decisions of a group's owner. */
namespace marigoldpitch {

/** How often and how patiently an owner watches; all spans in milliseconds. */
struct GroupTiming
{
  Duration probePrimary = Millis(100);
  Duration probeReplica = Millis(250);
  Duration probeLimit = Millis(150);    // an open question counts as failed
  Duration batchLimit = Millis(1000);   // a silent batch loses its connection
  Duration pauseNoticed = Millis(200);  // a gap between ticks: we were paused
  Duration contentionDelay = Millis(5); // doubled with each further wait
  int mostContentionDoublings = 5;
  Duration silentBatch = Millis(200); // left once old connections are silent
};

struct GroupOptions
{
  std::string owner; // names this owner's transactions
  bool standby = false;
  size_t sessions = 100000;
  size_t queueLimit = 10000;
  GroupTiming timing;
};

/**
 * Decides for one group: (now, event) in, actions out. It reads no clock, does
 * no I/O and draws no randomness.
 *
 * Example:
 *
 *     auto engine = GroupEngine::Create(config, MakeDefaultPolicies(config),
 *                                       options);
 *     for (const GroupAction& action : engine.value()->Handle(now, Tick{})) {
 *       Perform(action);
 *     }
 */
class GroupEngine
{
public:
  static Result<std::unique_ptr<GroupEngine>> Create(GroupConfig aConfig,
                                                     Policies aPolicies,
                                                     GroupOptions aOptions);

  GroupActions Handle(Time aNow, const GroupEvent& aEvent);

  /** How long until the next `Tick` is due. */
  Duration TickInterval() const;

  /** Takes a changed configuration; false when upstreams were replaced. */
  bool Reconfigure(const GroupConfig& aConfig);
  void SetStandby(bool aStandby) { this->options.standby = aStandby; }

  const GroupConfig& Config() const { return this->config; }
  const GroupView& View() const { return this->view; }
  const ConnectionTable& Connections() const { return this->connections; }
  const Failover& CurrentFailover() const { return this->failover; }
  size_t Unfinished() const { return this->queue.Size(); }
  size_t OpenTransactions() const { return this->transactions.size(); }
  size_t Sessions() const { return this->sessions.Size(); }

private:
  struct Transaction
  {
    ConnectionId connection = 0;
    std::string session;
    Time lastUsed;
  };

  GroupEngine(GroupConfig aConfig, Policies aPolicies, GroupOptions aOptions);

  // group-engine.cc: events of requests and of connections, the queue.
  void On(const RequestArrived& aEvent);
  void On(const RequestCancelled& aEvent);
  void On(const ConnectionOpened& aEvent);
  void On(const ConnectionLost& aEvent);
  void On(const BatchFinished& aEvent);
  void On(const DrainRequested& aEvent);
  void On(const Tick& aEvent);
  void On(const UpstreamListedLeaving& aEvent);
  std::optional<Answer> Refusal(const Request& aRequest) const;
  bool Admits(const Request& aRequest) const;
  void Dispatch();
  void StartQueued(Work& aWork);
  double ServiceOf(Lane aLane) const
  {
    return this->serviceMs[static_cast<size_t>(aLane)];
  }
  size_t SlotsFor(Lane aLane) const;
  void CheckBatchLimits();
  std::optional<ConnectionId> Acquire(UpstreamIndex aUpstream);
  void Run(Work& aWork,
           ConnectionId aConnection,
           WorkPhase aPhase,
           Batch aBatch);
  void LoseConnection(ConnectionId aId);
  void CloseAndLose(ConnectionId aId);
  void DropUnproven(UpstreamIndex aUpstream, Time aSince);

  // group-outcomes.cc: retries, deadlines, held answers, the last word.
  void ExpireWork();
  void Expire(Work& aWork);
  void Abandon(Work& aWork, const Answer& aAnswer);
  Outcome UnprovedOutcome(const Work& aWork) const;
  void LearnService(const Work& aWork);
  void AfterLoss(Work& aWork);
  void RequeueToResolve(Work& aWork);
  void Retry(Work& aWork, Duration aDelay);
  void Finish(Work& aWork, const Answer& aAnswer);
  void Finish(Work& aWork, Outcome aOutcome, std::string aMessage);
  void Hold(Work& aWork, Answer aAnswer, const UpstreamStatus& aStatus);
  void FinishNotRun(Work& aWork, std::string aMessage);

  // group-reads.cc
  ReadNeed NeedOf(const Work& aWork) const;
  void StartRead(Work& aWork);
  void ReadDone(Work& aWork, const BatchResult& aResult);

  // group-writes.cc
  void StartOnPrimary(Work& aWork);
  void StartResolve(Work& aWork, ConnectionId aConnection);
  void ClaimDone(Work& aWork, const BatchResult& aResult);
  void UndoDone(Work& aWork, const BatchResult& aResult);
  void CommitDone(Work& aWork, const BatchResult& aResult);
  void ResolveDone(Work& aWork, const BatchResult& aResult);
  void ReadRecordAfterUndo(Work& aWork);
  void Undo(Work& aWork, Answer aAnswer);
  void UndoAndRetry(Work& aWork);
  void WaitForOther(Work& aWork);

  // group-transactions.cc
  void StartInTransaction(Work& aWork);
  void BeginDone(Work& aWork, const BatchResult& aResult);
  void StatementDone(Work& aWork, const BatchResult& aResult);
  void EndTransaction(const std::string& aTransaction);
  void ExpireTransactions();

  // group-watch.cc: statuses, suspicion and failover.
  void On(const StatusAnswered& aEvent);
  void On(const StatusFailed& aEvent);
  void On(const TermAdopted& aEvent);
  void On(const TermRefused& aEvent);
  void On(const Promoted& aEvent);
  void On(const PromotionFailed& aEvent);
  void On(const TermsGranted& aEvent);
  void Learn(UpstreamIndex aUpstream,
             const UpstreamStatus& aStatus,
             Time aAsked,
             uint64_t aAskedAt);
  void PrimaryChanged();
  void LeaveReplacedPrimaries();
  void TellToFollow(UpstreamIndex aUpstream);
  void Watch();
  void Ask(UpstreamIndex aUpstream);
  void AskReplicas();
  void CheckAsks();
  void AskFailed(UpstreamIndex aUpstream);
  void OldConnectionsAreSilent(UpstreamIndex aUpstream, Time aSince);
  void ConsiderFailover();
  Duration Patience() const;
  bool HasSuccessor(UpstreamIndex aLeaving) const;
  void HandOverWork();
  void ResumeAfterPause();
  void KeepTerms();

  void Emit(GroupAction aAction);

  GroupConfig config;
  Policies policies;
  GroupOptions options;
  GroupView view;
  ConnectionTable connections;
  SessionTable sessions;
  WorkQueue queue;
  Confirmations confirmations;
  Failover failover;
  TermReserve terms;
  RetryBudget retries;
  std::map<std::string, Transaction> transactions;
  std::vector<uint64_t> askedAt; // event number of each open question
  uint64_t lastAsk = 0;
  uint64_t lastTransaction = 0;
  uint64_t eventNumber = 0;
  Time now;
  Time lastTick = kLongAgo;
  Time primaryLostAt = kNever;
  Time suspectedAt = kNever;
  Time lastRequest = kLongAgo;
  Time termsAskedAt = kLongAgo;
  // Smoothed time in a slot of one request, for each lane.
  std::array<double, kLaneNames.Size()> serviceMs{ 4, 2 };
  bool draining = false;
  GroupActions actions;
};

} // namespace marigoldpitch

#endif
