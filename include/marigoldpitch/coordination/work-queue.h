#ifndef MARIGOLDPITCH_COORDINATION_WORK_QUEUE_H
#define MARIGOLDPITCH_COORDINATION_WORK_QUEUE_H

#include "marigoldpitch/coordination/confirmations.h"
#include "marigoldpitch/coordination/policies.h"
#include "marigoldpitch/coordination/upstream-call.h"
#include "marigoldpitch/state/request.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

/** Requests on their way through a group's owner. */
namespace marigoldpitch {

enum class WorkPhase
{
  Queued,
  Running,    // a read, a begin, a statement or a roll back
  Claiming,   // a write before its commit was sent
  Undoing,    // a roll back after a failed step
  Committing, // the commit was sent
  Resolving,  // reading or settling the record of an earlier run
  Confirming, // the answer is held until a majority confirms it
};

constexpr NameTable<WorkPhase, 7> kWorkPhaseNames{ {
  { WorkPhase::Queued, "queued" },
  { WorkPhase::Running, "running" },
  { WorkPhase::Claiming, "claiming" },
  { WorkPhase::Undoing, "undoing" },
  { WorkPhase::Committing, "committing" },
  { WorkPhase::Resolving, "resolving" },
  { WorkPhase::Confirming, "confirming" },
} };

/** What queued work waits for. */
enum class Lane
{
  Primary,
  Replicas, // reads that accept age
};

constexpr NameTable<Lane, 2> kLaneNames{ {
  { Lane::Primary, "primary" },
  { Lane::Replicas, "replicas" },
} };

struct Work
{
  WorkId id = 0;
  std::vector<RequestHandle> handles; // all who asked with the same request id
  Request request;
  Lane lane = Lane::Primary;
  WorkPhase phase = WorkPhase::Queued;
  Time arrived;
  Time deadline;
  Time started = kLongAgo;
  uint64_t startedEvent = 0;   // number of the event that started the batch
  std::vector<StepKind> steps; // of the batch that runs or ran last
  Time batchLimit = kNever;
  ConnectionId connection = 0;
  UpstreamIndex upstream = 0;
  bool mustResolve = false; // a commit was sent and its answer lost
  bool retryAfterUndo = false;
  int waits = 0;          // for another transaction with the same record
  bool abandoned = false; // answered already; its batch still runs
  double spentMs = 0;     // time in a slot so far
  Time notBefore = kLongAgo;
  Rows rows;     // of the write, until its commit
  Answer answer; // held while confirming
};

/** All work of a group: the queue in order, and what has started. */
class WorkQueue
{
public:
  explicit WorkQueue(bool aByPriority)
    : byPriority(aByPriority)
  {
  }

  Work& Add(RequestHandle aHandle, const Request& aRequest, Time aNow);
  Work* Find(WorkId aId);

  /** Unfinished work with the same id and session; none without an id. */
  Work* FindSame(const Request& aRequest);

  /** Unfinished work whose batch runs on the connection. */
  Work* FindByConnection(ConnectionId aConnection);

  void Start(Work& aWork, ConnectionId aConnection);
  void Requeue(Work& aWork);
  void Release(Work& aWork); // from its connection
  void Remove(WorkId aId);

  /** Ids of queued work of a lane, most urgent first, at most `aMost`. */
  std::vector<WorkId> Head(Lane aLane, size_t aMost) const;
  std::vector<WorkId> All() const;

  size_t Queued() const
  {
    return this->order[0].size() + this->order[1].size();
  }
  size_t Queued(Lane aLane) const { return this->OrderOf(aLane).size(); }
  size_t Size() const { return this->works.size(); }

  /** Queued work that goes before a new request of this priority. */
  size_t Ahead(Lane aLane, Priority aPriority) const;

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
