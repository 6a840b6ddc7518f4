#ifndef MARIGOLDPITCH_COORDINATION_OWNER_WORK_QUEUE_H
#define MARIGOLDPITCH_COORDINATION_OWNER_WORK_QUEUE_H

#include "marigoldpitch/coordination/owner/confirmations.h"
#include "marigoldpitch/coordination/owner/policies.h"
#include "marigoldpitch/coordination/owner/upstream-call.h"
#include "marigoldpitch/state/request.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

/** Requests that a group's owner has not finished. */
namespace marigoldpitch {

enum class WorkPhase
{
  Queued,
  Running,     // a read, a begin, a statement or a rollback
  Claiming,    // a write before its commit is sent
  RollingBack, // a rollback after a failed step
  Committing,  // the commit was sent
  Resolving,   // reading the record of an earlier run, or barring a run by one
  Confirming,  // the answer is held until enough upstreams confirm it
};

constexpr NameTable<WorkPhase, 7> kWorkPhaseNames{ {
  { WorkPhase::Queued, "queued" },
  { WorkPhase::Running, "running" },
  { WorkPhase::Claiming, "claiming" },
  { WorkPhase::RollingBack, "undoing" },
  { WorkPhase::Committing, "committing" },
  { WorkPhase::Resolving, "resolving" },
  { WorkPhase::Confirming, "confirming" },
} };

/** The upstreams that queued work waits for. */
enum class Lane
{
  Primary,
  Replicas, // reads that accept staleness
};

constexpr NameTable<Lane, 2> kLaneNames{ {
  { Lane::Primary, "primary" },
  { Lane::Replicas, "replicas" },
} };

/** One request, or several with the same request id, and its progress. */
struct Work
{
  WorkId id = 0;
  std::vector<RequestHandle> handles; // all requests with the same request id
  Request request;
  Lane lane = Lane::Primary;
  WorkPhase phase = WorkPhase::Queued;
  Time arrived;
  Time deadline;
  Time started = kInfinitePast;
  uint64_t startedEvent = 0;   // number of the event that started the batch
  std::vector<StepKind> steps; // of the batch that runs or ran last
  Time batchLimit = kInfiniteFuture; // the batch's connection is then closed
  ConnectionId connection = 0;
  UpstreamIndex upstream = 0;
  bool mustResolve = false; // an earlier commit may have taken effect
  bool retryAfterRollBack = false;
  int contentionWaits = 0;        // for other transactions with the same record
  bool abandoned = false;         // already answered, but its batch still runs
  double spentMs = 0;             // time it has held a slot so far
  Time notBefore = kInfinitePast; // not started before this time
  Rows rows;                      // of the write, until its commit
  Answer answer;                  // held while confirming
};

/**
 * All unfinished work of a group: queued work in order, and started work. The
 * order is by priority, then deadline, then arrival; or by arrival only.
 */
class WorkQueue
{
public:
  explicit WorkQueue(bool aByPriority)
    : byPriority(aByPriority)
  {
  }

  Work& Add(RequestHandle aHandle, const Request& aRequest, Time aNow);
  Work* Find(WorkId aId);

  /** Unfinished work with the same request id and session; null if none. */
  Work* FindDuplicate(const Request& aRequest);

  /** Unfinished work whose batch runs on the connection; null if none. */
  Work* FindByConnection(ConnectionId aConnection);

  void Start(Work& aWork, ConnectionId aConnection);
  void Requeue(Work& aWork);
  void Release(Work& aWork); // detaches it from its connection
  void Remove(WorkId aId);

  /** Ids of queued work of a lane, most urgent first, at most `aLimit`. */
  std::vector<WorkId> Head(Lane aLane, size_t aLimit) const;
  std::vector<WorkId> All() const;

  size_t Queued() const
  {
    return this->order[0].size() + this->order[1].size();
  }
  size_t Queued(Lane aLane) const { return this->OrderOf(aLane).size(); }
  size_t Size() const { return this->works.size(); }

  /**
   * Amount of queued work that runs before a new request of this priority: the
   * lane's work with the same or a more urgent priority, or all work of the
   * lane if the order is by arrival.
   */
  size_t Ahead(Lane aLane, Priority aPriority) const;

  /**
   * `Replicas` for a read with a maximum age whose session has no write without
   * an answer, else `Primary`.
   */
  static Lane LaneOf(const Request& aRequest);

private:
  using Key = std::tuple<int, int64_t, WorkId>;
  using Order = std::set<Key>;

  const Order& OrderOf(Lane aLane) const
  {
    return this->order[static_cast<size_t>(aLane)];
  }
  void Enqueue(Work& aWork);
  void Dequeue(Work& aWork);

  Key KeyOf(const Work& aWork) const;

  bool byPriority;
  WorkId lastId = 0;
  std::unordered_map<WorkId, Work> works;
  std::array<Order, kLaneNames.Size()> order;
  std::unordered_map<std::string, WorkId> byRecord;
  std::unordered_map<ConnectionId, WorkId> byConnection;
  std::array<std::array<size_t, kPriorityNames.Size()>, kLaneNames.Size()>
    queuedBy{};
};

} // namespace marigoldpitch

#endif
