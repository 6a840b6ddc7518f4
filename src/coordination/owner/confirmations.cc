#include "marigoldpitch/coordination/owner/confirmations.h"

#include <algorithm>

namespace marigoldpitch {

void
Confirmations::Hold(WorkId aWork, const LogPoint& aPoint, uint64_t aSince)
{
  this->held.push_back({ aWork, aPoint, aSince, {} });
}

std::vector<WorkId>
Confirmations::ApplyStatus(UpstreamIndex aUpstream,
                           const UpstreamStatus& aStatus,
                           uint64_t aRequestEvent,
                           const ConfirmationPolicy& aPolicy,
                           size_t aMajority)
{
  std::vector<WorkId> released;
  size_t needed = aPolicy.Needed(aMajority);
  for (Held& item : this->held) {
    if (aRequestEvent >= item.since && aPolicy.Counts(item.point, aStatus)) {
      item.confirmedBy.insert(aUpstream);
    }
    if (item.confirmedBy.size() >= needed) {
      released.push_back(item.work);
    }
  }
  for (WorkId work : released) {
    this->Drop(work);
  }
  return released;
}

std::vector<WorkId>
Confirmations::TakeBelow(Term aTerm)
{
  std::vector<WorkId> removed;
  for (const Held& item : this->held) {
    if (item.point.term < aTerm) {
      removed.push_back(item.work);
    }
  }
  for (WorkId work : removed) {
    this->Drop(work);
  }
  return removed;
}

void
Confirmations::Drop(WorkId aWork)
{
  auto hasId = [&](const Held& aItem) { return aItem.work == aWork; };
  this->held.erase(std::remove_if(this->held.begin(), this->held.end(), hasId),
                   this->held.end());
}

} // namespace marigoldpitch
