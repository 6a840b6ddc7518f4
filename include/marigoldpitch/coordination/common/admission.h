#ifndef MARIGOLDPITCH_COORDINATION_COMMON_ADMISSION_H
#define MARIGOLDPITCH_COORDINATION_COMMON_ADMISSION_H

#include "marigoldpitch/state/time.h"

#include <cstddef>
#include <memory>

/** Whether a new request is queued, as a replaceable decision. */
namespace marigoldpitch {

/** Load that a new request meets. */
struct QueueLoad
{
  size_t ahead = 0;     // queued work that runs before it
  size_t slots = 0;     // slots of the upstreams that can serve it
  double serviceMs = 1; // average time that a request holds a slot
};

/** Decides whether a new request is queued, and the order of the queue. */
class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;
  virtual bool Admits(const QueueLoad& aLoad, Duration aTimeLeft) const = 0;

  /** Whether the queue is ordered by priority rather than by arrival. */
  virtual bool OrdersByPriority() const = 0;
};

/**
 * Rejects a request that is not expected to finish by its deadline, unless no
 * upstream can serve it at the moment.
 */
std::unique_ptr<AdmissionPolicy>
MakeDeadlineAdmission();

/** Admits everything, first in, first out; the baseline for comparisons. */
std::unique_ptr<AdmissionPolicy>
MakeFifoAdmission();

} // namespace marigoldpitch

#endif
