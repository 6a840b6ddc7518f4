#ifndef MARIGOLDPITCH_COORDINATION_OWNER_GROUP_ENGINE_H
#define MARIGOLDPITCH_COORDINATION_OWNER_GROUP_ENGINE_H

#include "marigoldpitch/coordination/owner/confirmations.h"
#include "marigoldpitch/coordination/owner/failover.h"
#include "marigoldpitch/coordination/owner/group-io.h"
#include "marigoldpitch/coordination/owner/group-view.h"
#include "marigoldpitch/coordination/owner/policies.h"
#include "marigoldpitch/coordination/owner/retry-budget.h"
#include "marigoldpitch/coordination/owner/work-queue.h"
#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/error.h"
#include "marigoldpitch/state/session-table.h"
#include "marigoldpitch/state/sizes.h"

#include <array>
#include <map>
#include <string>

/** Decisions of the owner of a group. */
namespace marigoldpitch {

/** Probe intervals and timeouts of an owner. */
struct GroupTiming
{
  Duration primaryProbeInterval = Millis(100);
  Duration replicaProbeInterval = Millis(250);
  Duration probeTimeout = Millis(150);   // then a probe counts as failed
  Duration batchLimit = Millis(1000);    // then a batch's connection is closed
  Duration pauseThreshold = Millis(200); // longer tick gaps are process pauses
  Duration contentionDelay = Millis(5);  // doubled with each further wait
  int maxContentionDoublings = 5;
  // Time left for batches on old connections once these are known to be silent.
  Duration oldBatchTimeout = Millis(200);
};

struct GroupOptions
{
  std::string owner;    // prefix of this owner's transaction ids
  bool standby = false; // not first in the group's owner order
  size_t sessions = 100000;
  size_t queueLimit = 10000;
  size_t answerBytes = 4 * kMebibyte; // limit of a frame that carries an answer
  GroupTiming timing;
};

/**
 * Decides for one group which upstream runs which request, when an answer may
 * be sent and when the primary is replaced. A time and an event go in, actions
 * come out. The engine reads no clock, does no I/O and uses no randomness.
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

  /**
   * Time until the next `Tick`: shortest while answers wait for confirmation,
   * longest when there is neither work nor a failover.
   */
  Duration TickInterval() const;

  /**
   * Applies a changed configuration. Returns false and changes nothing if the
   * upstreams' number, names or endpoints differ: that needs a new engine.
   */
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
  /**
   * The answer to a request that is invalid, or that arrives during a drain and
   * belongs to no open transaction. Unset for all other requests.
   */
  std::optional<Answer> Refusal(const Request& aRequest) const;
  /**
   * Whether the request can finish by its deadline, judged by the queue before
   * it. Requests inside a transaction are always admitted.
   */
  bool Admits(const Request& aRequest) const;
  /** Starts queued work that has a free connection, most urgent first. */
  void Dispatch();
  void StartQueued(Work& aWork);
  double MeanServiceMs(Lane aLane) const
  {
    return this->serviceMs[static_cast<size_t>(aLane)];
  }
  size_t SlotsFor(Lane aLane) const;
  /**
   * Closes connections whose batch has run past its limit, and connections of
   * the same upstream that have been idle since that batch started.
   */
  void CheckBatchLimits();
  /**
   * An idle connection to the upstream. If there is none, opens one within the
   * limits and returns nothing; the work stays queued.
   */
  std::optional<ConnectionId> Acquire(UpstreamIndex aUpstream);
  void Run(Work& aWork,
           ConnectionId aConnection,
           WorkPhase aPhase,
           Batch aBatch);
  /** Removes the connection and its transactions, and handles its work. */
  void RemoveConnection(ConnectionId aId);
  void CloseAndRemove(ConnectionId aId);
  /** Closes connections to the upstream that have been idle since `aSince`. */
  void CloseIdleSince(UpstreamIndex aUpstream, Time aSince);

  // group-outcomes.cc: retries, deadlines, held and final answers.
  void ExpireWork();
  void Expire(Work& aWork);
  /** Answers work now while its batch still runs; that result is discarded. */
  void Abandon(Work& aWork, const Answer& aAnswer);
  /**
   * The outcome of work that did not run under this attempt, when its record
   * was not checked: `NotRun` only if no earlier attempt can have run.
   */
  Outcome OutcomeWithoutRecordCheck(const Work& aWork) const;
  /**
   * Whether a result does not fit into a frame. Sent all the same, it would
   * close the link to the entry, with the other callers' requests on it.
   */
  bool IsOverAnswerLimit(const Rows& aRows) const;
  std::string OverLimitText() const;
  void UpdateServiceTime(const Work& aWork);
  /**
   * Decides what happens to work whose connection was lost. It is resolved if a
   * commit or a resolution was sent, finished if its transaction or rollback
   * ended with the connection, and retried otherwise.
   */
  void HandleLostBatch(Work& aWork);
  /** Queues the work again; its record then decides the outcome. */
  void RequeueToResolve(Work& aWork);
  /** Queues the work again after `aDelay` if the retry budget allows it. */
  void Retry(Work& aWork, Duration aDelay);
  void Finish(Work& aWork, const Answer& aAnswer);
  void Finish(Work& aWork, Outcome aOutcome, std::string aMessage);
  /**
   * Sends the answer once the primary's log end in `aStatus` is confirmed;
   * immediately if the policy needs no further upstream.
   */
  void Hold(Work& aWork, Answer aAnswer, const UpstreamStatus& aStatus);
  void FinishNotRun(Work& aWork, std::string aMessage);

  // group-reads.cc
  ReadRequirements RequirementsOf(const Work& aWork) const;
  void StartRead(Work& aWork);
  /**
   * Answers from a replica if its status after the read meets the requirements.
   * An answer of the current primary is held until it is confirmed. Any other
   * read that succeeded is retried.
   */
  void ReadDone(Work& aWork, const BatchResult& aResult);

  // group-writes.cc
  void StartOnPrimary(Work& aWork);
  void StartResolve(Work& aWork, ConnectionId aConnection);
  /**
   * Sends the commit if the record was claimed and the statement ran. If the
   * record exists, reads it; if another transaction holds it, waits. All other
   * failures roll back and answer, or close the connection if the upstream
   * caused them.
   */
  void ClaimDone(Work& aWork, const BatchResult& aResult);
  void RollBackDone(Work& aWork, const BatchResult& aResult);
  /**
   * Holds the answer if the commit succeeded and the upstream is still the
   * primary of the current term; resolves the work if it is not.
   */
  void CommitDone(Work& aWork, const BatchResult& aResult);
  /**
   * Answers from the record: its result if the request ran, `NotRun` if a
   * tombstone bars it. Without a record the work is queued again.
   */
  void ResolveDone(Work& aWork, const BatchResult& aResult);
  void RollBackAndReadRecord(Work& aWork);
  void RollBackAndAnswer(Work& aWork, Answer aAnswer);
  void RollBackAndRetry(Work& aWork);
  /** Queues the work again; the delay doubles with each wait, up to a limit. */
  void RetryAfterContention(Work& aWork);

  // group-transactions.cc
  void StartInTransaction(Work& aWork);
  void BeginDone(Work& aWork, const BatchResult& aResult);
  void StatementDone(Work& aWork, const BatchResult& aResult);
  void EndTransaction(const std::string& aTransaction);
  /** Closes the connections of transactions that were idle for too long. */
  void ExpireTransactions();

  // group-watch.cc: probes, failure detection and failover.
  void On(const StatusAnswered& aEvent);
  void On(const StatusFailed& aEvent);
  void On(const TermAdopted& aEvent);
  void On(const TermRefused& aEvent);
  void On(const Promoted& aEvent);
  void On(const PromotionFailed& aEvent);
  void On(const TermsGranted& aEvent);
  void ApplyStatus(UpstreamIndex aUpstream,
                   const UpstreamStatus& aStatus,
                   Time aRequestedAt,
                   uint64_t aRequestEvent);
  /**
   * Requeues work whose held answer is of an older term than the new primary's,
   * and closes connections to other upstreams that are no longer of use.
   */
  void PrimaryChanged();
  /**
   * Closes the connections to all upstreams but the primary that run anything
   * other than a read or belong to a transaction.
   */
  void CloseOutdatedConnections();
  /**
   * Tells an upstream to follow the primary if its status shows that it does
   * not, unless a failover runs or the upstream has a higher term.
   */
  void SendFollowIfNeeded(UpstreamIndex aUpstream);
  void ProbeDueUpstreams();
  void SendProbe(UpstreamIndex aUpstream);
  void ProbeReplicas();
  void CheckProbeTimeouts();
  void HandleFailedProbe(UpstreamIndex aUpstream);
  /**
   * Called when a probe over a new connection succeeded after probes since
   * `aSince` had failed: the connections of that time are treated as dead.
   */
  void ExpireOldConnections(UpstreamIndex aUpstream, Time aSince);
  /**
   * Starts a failover when the primary is down by the suspicion policy, or is
   * leaving and the serving replicas are a majority of the group. Ends an
   * attempt that must be aborted.
   */
  void UpdateFailover();
  /** How long a suspicion must last before this owner starts a failover. */
  Duration FailoverDelay() const;
  /** Whether the serving replicas besides `aLeaving` are a majority. */
  bool HasSuccessorMajority(UpstreamIndex aLeaving) const;
  /**
   * Sends queued work on to the next owner while this owner cannot reach the
   * primary although the replicas can.
   */
  void RedirectPrimaryWork();
  /** Resets failed probes and timeouts after a pause of this process. */
  void ResumeAfterPause();
  /** Reserves more terms when few are left. */
  void ReserveTermsIfLow();

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
  ReservedTerms terms;
  RetryBudget retries;
  std::map<std::string, Transaction> transactions;
  // Number of the event that sent the last probe to each upstream.
  std::vector<uint64_t> probeEvents;
  uint64_t lastProbe = 0;
  uint64_t lastTransaction = 0;
  uint64_t eventNumber = 0;
  Time now;
  Time lastTick = kInfinitePast;
  Time primaryDownSince = kInfiniteFuture; // start of the failover gap
  Time suspectedAt = kInfiniteFuture;
  Time lastRequest = kInfinitePast;
  Time termsRequestedAt = kInfinitePast;
  // Moving average of the time that a request holds a slot, for each lane.
  std::array<double, kLaneNames.Size()> serviceMs{ 4, 2 };
  bool draining = false;
  GroupActions actions;
};

} // namespace marigoldpitch

#endif
