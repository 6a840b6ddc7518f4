#include "marigoldpitch/coordination/owner/work-queue.h"

namespace marigoldpitch {

Work&
WorkQueue::Add(RequestHandle aHandle, const Request& aRequest, Time aNow)
{
  WorkId id = ++this->lastId;
  Work& work = this->works[id];
  work.id = id;
  work.handles.push_back(aHandle);
  work.request = aRequest;
  work.arrived = aNow;
  work.deadline = aNow + aRequest.timeout;
  work.lane = LaneOf(aRequest);
  this->Enqueue(work);
  if (!aRequest.requestId.empty()) {
    this->byRecord[RecordKey(aRequest)] = id;
  }
  return work;
}

Work*
WorkQueue::Find(WorkId aId)
{
  auto found = this->works.find(aId);
  return found == this->works.end() ? nullptr : &found->second;
}

Work*
WorkQueue::FindDuplicate(const Request& aRequest)
{
  auto found = this->byRecord.find(RecordKey(aRequest));
  return found == this->byRecord.end() ? nullptr : this->Find(found->second);
}

Work*
WorkQueue::FindByConnection(ConnectionId aConnection)
{
  auto found = this->byConnection.find(aConnection);
  return found == this->byConnection.end() ? nullptr
                                           : this->Find(found->second);
}

void
WorkQueue::Start(Work& aWork, ConnectionId aConnection)
{
  this->Dequeue(aWork);
  aWork.connection = aConnection;
  this->byConnection[aConnection] = aWork.id;
}

void
WorkQueue::Requeue(Work& aWork)
{
  this->Release(aWork);
  aWork.phase = WorkPhase::Queued;
  this->Enqueue(aWork);
}

void
WorkQueue::Release(Work& aWork)
{
  if (aWork.connection != 0) {
    this->byConnection.erase(aWork.connection);
    aWork.connection = 0;
  }
}

void
WorkQueue::Remove(WorkId aId)
{
  Work* work = this->Find(aId);
  if (work == nullptr) {
    return;
  }
  this->Release(*work);
  this->Dequeue(*work);
  auto named = this->byRecord.find(RecordKey(work->request));
  if (named != this->byRecord.end() && named->second == aId) {
    this->byRecord.erase(named);
  }
  this->works.erase(aId);
}

std::vector<WorkId>
WorkQueue::Head(Lane aLane, size_t aLimit) const
{
  std::vector<WorkId> head;
  for (const Key& key : this->OrderOf(aLane)) {
    if (head.size() == aLimit) {
      break;
    }
    head.push_back(std::get<2>(key));
  }
  return head;
}

std::vector<WorkId>
WorkQueue::All() const
{
  std::vector<WorkId> all;
  all.reserve(this->works.size());
  for (const auto& [id, work] : this->works) {
    all.push_back(id);
  }
  return all;
}

size_t
WorkQueue::Ahead(Lane aLane, Priority aPriority) const
{
  if (!this->byPriority) {
    return this->Queued(aLane);
  }
  size_t ahead = 0;
  for (size_t i = 0; i <= static_cast<size_t>(aPriority); ++i) {
    ahead += this->queuedBy[static_cast<size_t>(aLane)][i];
  }
  return ahead;
}

Lane
WorkQueue::LaneOf(const Request& aRequest)
{
  bool acceptsStaleness = aRequest.operation == Operation::Read &&
                          aRequest.maxAge.has_value() && !aRequest.unresolved;
  return acceptsStaleness ? Lane::Replicas : Lane::Primary;
}

void
WorkQueue::Enqueue(Work& aWork)
{
  auto lane = static_cast<size_t>(aWork.lane);
  if (this->order[lane].insert(this->KeyOf(aWork)).second) {
    ++this->queuedBy[lane][static_cast<size_t>(aWork.request.priority)];
  }
}

void
WorkQueue::Dequeue(Work& aWork)
{
  auto lane = static_cast<size_t>(aWork.lane);
  if (this->order[lane].erase(this->KeyOf(aWork)) != 0) {
    --this->queuedBy[lane][static_cast<size_t>(aWork.request.priority)];
  }
}

WorkQueue::Key
WorkQueue::KeyOf(const Work& aWork) const
{
  if (!this->byPriority) {
    return { 0, 0, aWork.id };
  }
  return { static_cast<int>(aWork.request.priority),
           aWork.deadline.ms,
           aWork.id };
}

} // namespace marigoldpitch
