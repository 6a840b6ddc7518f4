#include "marigoldpitch/coordination/proxy/customer-placement.h"

#include "marigoldpitch/coordination/common/ownership.h"
#include "marigoldpitch/coordination/proxy/host-capacity.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace marigoldpitch {

namespace detail {

// A customer stays on one host while it takes less than this part of an even
// division of the work among the serving hosts.
constexpr double kMaxShareOfOneHost = 0.5;

/** Sorts the indexes by the customer's own order of the hosts. */
void
SortForCustomer(std::vector<size_t>& aOrder,
                const ServedCaller& aCaller,
                const std::vector<HostPlace>& aRanked)
{
  std::string key = "customer " + aCaller.service + '\n' + aCaller.customer;
  std::vector<double> scores;
  scores.reserve(aOrder.size());
  for (size_t index : aOrder) {
    const HostPlace& place = aRanked[index];
    scores.push_back(RendezvousScore(RendezvousWeight(key, place.host),
                                     ServingWeight(place.capacity)));
  }
  std::sort(aOrder.begin(), aOrder.end(), [&](size_t aOne, size_t aTwo) {
    return scores[aOne] != scores[aTwo] ? scores[aOne] > scores[aTwo]
                                        : aOne < aTwo;
  });
}

} // namespace detail

size_t
CustomerSpread(double aShare, size_t aServing)
{
  double hosts = std::ceil(aShare * static_cast<double>(aServing) /
                           detail::kMaxShareOfOneHost);
  double most = static_cast<double>(std::max<size_t>(aServing, 1));
  return static_cast<size_t>(std::clamp(hosts, 1.0, most));
}

std::vector<size_t>
RankServingHosts(const ServedCaller& aCaller,
                 const std::vector<HostPlace>& aRanked,
                 size_t aServing)
{
  std::vector<size_t> order(std::min(aServing, aRanked.size()));
  std::iota(order.begin(), order.end(), 0);
  if (order.empty()) {
    return order;
  }
  size_t spread = order.size();
  if (!aCaller.customer.empty()) {
    detail::SortForCustomer(order, aCaller, aRanked);
    spread = std::clamp<size_t>(aCaller.spread, 1, order.size());
  }
  auto start = static_cast<std::ptrdiff_t>(aCaller.session % spread);
  std::rotate(order.begin(),
              order.begin() + start,
              order.begin() + static_cast<std::ptrdiff_t>(spread));
  return order;
}

} // namespace marigoldpitch
