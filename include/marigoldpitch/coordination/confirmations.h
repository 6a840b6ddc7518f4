#ifndef MARIGOLDPITCH_COORDINATION_CONFIRMATIONS_H
#define MARIGOLDPITCH_COORDINATION_CONFIRMATIONS_H

#include "marigoldpitch/coordination/policies.h"
#include "marigoldpitch/state/position.h"
#include "marigoldpitch/state/upstream-status.h"

#include <cstdint>
#include <set>
#include <vector>

/** Primary answers held until a majority of the group confirms them. */
namespace marigoldpitch {

using WorkId = uint64_t;

/**
 * Each held answer names the log point it depends on. A status counts only when
 * it was asked for after the answer came: an older one may predate a promotion.
 */
class Confirmations
{
public:
  /** `aSince` is the number of the event that brought the answer. */
  void Hold(WorkId aWork, const LogPoint& aPoint, uint64_t aSince);

  /** Work that the status completes, in the order it was held. */
  std::vector<WorkId> Learn(UpstreamIndex aUpstream,
                            const UpstreamStatus& aStatus,
                            uint64_t aAskedAt,
                            const ConfirmationPolicy& aPolicy,
                            size_t aMajority);

  /** Work held for a term below `aTerm`, removed. */
  std::vector<WorkId> TakeBelow(Term aTerm);

  void Drop(WorkId aWork);
  bool Empty() const { return this->held.empty(); }

private:
  struct Held
  {
    WorkId work;
    LogPoint point;
    uint64_t since;
    std::set<UpstreamIndex> confirmedBy;
  };

  std::vector<Held> held;
};

} // namespace marigoldpitch

#endif
