#ifndef MARIGOLDPITCH_TRANSPORT_HEAP_H
#define MARIGOLDPITCH_TRANSPORT_HEAP_H

#include "marigoldpitch/state/time.h"

#include <cstddef>

/** Gives memory that is free in the process back to the system. */
namespace marigoldpitch {

class IdleHeap
{
public:
  /**
   * Large blocks are given back as soon as they are freed. The allocator would
   * keep more and more of them, up to 32 MiB each.
   */
  IdleHeap();

  /**
   * Gives back what is free among smaller blocks, once much less is held than
   * there was; to be called now and then with what is held, in bytes.
   */
  void Update(Time aNow, size_t aHeldBytes);

private:
  size_t peakBytes = 0; // since memory was last given back
  Time updated = kInfinitePast;
};

} // namespace marigoldpitch

#endif
