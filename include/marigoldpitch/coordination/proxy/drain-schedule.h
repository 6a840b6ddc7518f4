#ifndef MARIGOLDPITCH_COORDINATION_PROXY_DRAIN_SCHEDULE_H
#define MARIGOLDPITCH_COORDINATION_PROXY_DRAIN_SCHEDULE_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/time.h"

#include <cstddef>

namespace marigoldpitch {

/** What a host that is to end does with its sessions, in order. */
enum class DrainStage
{
  NotDraining,
  Announced,          // the load balancer has yet to notice
  Ending,             // sessions outside transactions end, a few at a time
  EndingAll,          // each ends with its next answer, or is idle
  EndingTransactions, // open transactions as well; no new sessions
  Over,               // nothing is read, and nothing stays open
};

constexpr NameTable<DrainStage, 6> kDrainStageNames{ {
  { DrainStage::NotDraining, "not-draining" },
  { DrainStage::Announced, "announced" },
  { DrainStage::Ending, "ending" },
  { DrainStage::EndingAll, "ending-all" },
  { DrainStage::EndingTransactions, "ending-transactions" },
  { DrainStage::Over, "over" },
} };

/**
 * How the grace period of a host is divided. The stages leave a statement that
 * was read in one of them the time to be answered in the next.
 */
class DrainSchedule
{
public:
  /** Has no effect once started. `aGrace` is the time until the kill. */
  void Start(Time aNow, Duration aGrace);

  bool IsDraining() const { return this->since != kInfiniteFuture; }
  DrainStage StageAt(Time aNow) const;

  /**
   * Whether one more session may be ended, if `aOpen` are open and `aEnded`
   * have been ended: they are spread over the stage `Ending`.
   */
  bool MayEndOneMore(Time aNow, size_t aOpen, size_t aEnded) const;

private:
  Time since = kInfiniteFuture;
  Time ending;
  Time endingAll;
  Time endingTransactions;
  Time over;
};

} // namespace marigoldpitch

#endif
