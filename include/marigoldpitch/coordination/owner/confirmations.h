#ifndef MARIGOLDPITCH_COORDINATION_OWNER_CONFIRMATIONS_H
#define MARIGOLDPITCH_COORDINATION_OWNER_CONFIRMATIONS_H

#include "marigoldpitch/coordination/owner/policies.h"
#include "marigoldpitch/state/position.h"
#include "marigoldpitch/state/upstream-status.h"

#include <cstdint>
#include <set>
#include <vector>

/** Answers held until enough upstreams confirm the log point of each. */
namespace marigoldpitch {

using WorkId = uint64_t;

/**
 * Decides when a held answer may be sent: once as many upstreams as
 * `ConfirmationPolicy` requires have reported a status that confirms the
 * answer's log point. A status counts only if it was requested after the answer
 * arrived, because an earlier one may predate a promotion.
 */
class Confirmations
{
public:
  /**
   * Holds the answer of `aWork` until `aPoint` is confirmed. `aSince` is the
   * number of the event that delivered the answer.
   */
  void Hold(WorkId aWork, const LogPoint& aPoint, uint64_t aSince);

  /**
   * Applies a status that was requested at event `aRequestEvent`. Returns the
   * work that is now confirmed, in the order in which it was held, and removes
   * it.
   */
  std::vector<WorkId> ApplyStatus(UpstreamIndex aUpstream,
                                  const UpstreamStatus& aStatus,
                                  uint64_t aRequestEvent,
                                  const ConfirmationPolicy& aPolicy,
                                  size_t aMajority);

  /** Removes and returns the work held for a term below `aTerm`. */
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
