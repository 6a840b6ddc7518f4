#include "marigoldpitch/coordination/proxy/unsettled-samples.h"

#include "marigoldpitch/coordination/proxy/group-membership.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr size_t kMaxUnsettledSamples = 256;
// Samples that are closer together than this add nothing.
constexpr Duration kMinSampleDistance = Millis(20);

} // namespace detail

void
UnsettledSamples::Add(const FreshnessSample& aSample)
{
  bool isTooClose =
    !this->samples.empty() &&
    aSample.asked < this->samples.back().asked + detail::kMinSampleDistance;
  if (isTooClose) {
    return;
  }
  this->samples.push_back(aSample);
  if (this->samples.size() > detail::kMaxUnsettledSamples) {
    this->samples.pop_front();
  }
}

std::vector<FreshnessSample>
UnsettledSamples::Settle(Time aAsOf)
{
  if (this->lastRead != kInfinitePast &&
      aAsOf - this->lastRead > kMaxRegistryGap) {
    this->trustedFrom = aAsOf + kRegistryRewriteTime;
  }
  this->lastRead = std::max(this->lastRead, aAsOf);
  std::vector<FreshnessSample> settled;
  if (aAsOf < this->trustedFrom) {
    return settled;
  }
  this->listedUntil = std::max(this->listedUntil, aAsOf - kListingTime);
  while (!this->samples.empty() &&
         this->samples.front().asked <= this->listedUntil) {
    settled.push_back(this->samples.front());
    this->samples.pop_front();
  }
  return settled;
}

} // namespace marigoldpitch
