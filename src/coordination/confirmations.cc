#include "marigoldpitch/coordination/confirmations.h"

#include <algorithm>

namespace marigoldpitch {

void
Confirmations::Hold(WorkId aWork, const LogPoint& aPoint, uint64_t aSince)
{
  this->held.push_back({ aWork, aPoint, aSince, {} });
}

std::vector<WorkId>
Confirmations::Learn(UpstreamIndex aUpstream,
                     const UpstreamStatus& aStatus,
                     uint64_t aAskedAt,
                     const ConfirmationPolicy& aPolicy,
                     size_t aMajority)
{
  std::vector<WorkId> released;
  size_t needed = aPolicy.Needed(aMajority);
  for (Held& item : this->held) {
    if (aAskedAt >= item.since && aPolicy.Counts(item.point, aStatus)) {
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
  std::vector<WorkId> taken;
  for (const Held& item : this->held) {
    if (item.point.term < aTerm) {
      taken.push_back(item.work);
    }
  }
  for (WorkId work : taken) {
    this->Drop(work);
  }
  return taken;
}

void
Confirmations::Drop(WorkId aWork)
{
  auto isIt = [&](const Held& aItem) { return aItem.work == aWork; };
  this->held.erase(std::remove_if(this->held.begin(), this->held.end(), isIt),
                   this->held.end());
}

} // namespace marigoldpitch
