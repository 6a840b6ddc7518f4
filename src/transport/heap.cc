#include "marigoldpitch/transport/heap.h"

#include "marigoldpitch/state/sizes.h"

#include <algorithm>
#include <malloc.h>

namespace marigoldpitch {

namespace detail {

constexpr int kLargeBlockBytes = 128 * static_cast<int>(kKibibyte);
constexpr Duration kTrimInterval = Seconds(1);
// Less is not worth the time to look for it.
constexpr size_t kMinPeakBytes = 4 * kMebibyte;

} // namespace detail

IdleHeap::IdleHeap()
{
  mallopt(M_MMAP_THRESHOLD, detail::kLargeBlockBytes);
}

void
IdleHeap::Update(Time aNow, size_t aHeldBytes)
{
  this->peakBytes = std::max(this->peakBytes, aHeldBytes);
  if (aNow - this->updated < detail::kTrimInterval) {
    return;
  }
  this->updated = aNow;
  if (this->peakBytes >= detail::kMinPeakBytes &&
      aHeldBytes < this->peakBytes / 2) {
    malloc_trim(0);
    this->peakBytes = aHeldBytes;
  }
}

} // namespace marigoldpitch
