#include "marigoldpitch/coordination/proxy/connection-budget.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

// Share of an upstream's connections that no host counts on.
constexpr double kReservedShare = 0.1;
// Share of an upstream's connections up to which hosts may borrow. The rest
// lets hosts with unused shares open theirs.
constexpr double kBorrowableShare = 0.75;
// The same if only some hosts serve the service.
constexpr double kDividedShare = 0.5;
constexpr Duration kMaxCensusAge = Millis(1000);

} // namespace detail

uint32_t
EvenShare(uint32_t aConnectionLimit, size_t aHosts)
{
  auto reserve =
    static_cast<uint32_t>(aConnectionLimit * detail::kReservedShare);
  uint32_t shared = aConnectionLimit - reserve;
  auto share = static_cast<uint32_t>(shared / std::max<size_t>(aHosts, 1));
  return std::max(share, 1u);
}

uint32_t
ServingShare(uint32_t aConnectionLimit,
             size_t aServingHosts,
             size_t aStandbyHosts)
{
  size_t usable = UsableConnections(aConnectionLimit, true);
  size_t shared = usable - std::min(usable, aStandbyHosts);
  auto share =
    static_cast<uint32_t>(shared / std::max<size_t>(aServingHosts, 1));
  return std::max(share, 1u);
}

uint32_t
UsableConnections(uint32_t aConnectionLimit, bool aIsDivided)
{
  double share = aIsDivided ? detail::kDividedShare : detail::kBorrowableShare;
  return static_cast<uint32_t>(aConnectionLimit * share);
}

uint32_t
BorrowableConnections(uint32_t aUsableConnections,
                      size_t aHosts,
                      const ConnectionCensus& aCensus,
                      uint32_t aOpenedSince,
                      Time aNow)
{
  bool isOutdated = aNow - aCensus.asked > detail::kMaxCensusAge;
  if (isOutdated || aCensus.connections >= aUsableConnections) {
    return 0;
  }
  auto part = static_cast<uint32_t>((aUsableConnections - aCensus.connections) /
                                    std::max<size_t>(aHosts, 1));
  return part > aOpenedSince ? part - aOpenedSince : 0;
}

} // namespace marigoldpitch
