#include "marigoldpitch/coordination/proxy/host-capacity.h"

#include <algorithm>
#include <cmath>

namespace marigoldpitch {

namespace detail {

// The bandwidth that the statements of one core use.
constexpr double kLinkMbpsPerCore = 50;
// Keeps weights apart from zero.
constexpr double kMinCapacity = 0.001;
// Of the capacity of a host with less than a core.
constexpr double kSmallHostExponent = 3;

} // namespace detail

double
CapacityOf(const HostResources& aResources)
{
  double capacity =
    aResources.cpuShare.value_or(1) * aResources.cores.value_or(1);
  if (aResources.linkMbps) {
    capacity =
      std::min(capacity, *aResources.linkMbps / detail::kLinkMbpsPerCore);
  }
  return std::max(capacity, detail::kMinCapacity);
}

double
ServingWeight(double aCapacity)
{
  double capacity = std::max(aCapacity, detail::kMinCapacity);
  return capacity < 1 ? std::pow(capacity, detail::kSmallHostExponent)
                      : capacity;
}

double
RendezvousScore(uint64_t aHash, double aWeight)
{
  // Strictly between 0 and 1, so that the logarithm is finite and negative.
  double uniform = (static_cast<double>(aHash >> 11) + 0.5) * 0x1p-53;
  return -aWeight / std::log(uniform);
}

} // namespace marigoldpitch
