#include "marigoldpitch/coordination/proxy/service-placement.h"

#include "marigoldpitch/coordination/common/ownership.h"
#include "marigoldpitch/coordination/proxy/connection-budget.h"

#include <algorithm>
#include <map>

namespace marigoldpitch {

namespace detail {

// With fewer, a host could not run a statement beside a transaction.
constexpr uint32_t kEnoughConnections = 2;
// Connections that a serving host should have for the callers of its zone.
constexpr uint32_t kServingConnections = 6;

} // namespace detail

ServingHosts
CountServingHosts(uint32_t aConnectionLimit,
                  const std::vector<HostPlace>& aHosts)
{
  if (EvenShare(aConnectionLimit, aHosts.size()) >=
      detail::kEnoughConnections) {
    return { 0, aHosts.size(), 0 };
  }
  std::map<std::string, size_t> hostsByZone;
  for (const HostPlace& host : aHosts) {
    ++hostsByZone[host.zone];
  }
  size_t zones = std::max<size_t>(hostsByZone.size(), 1);
  size_t perZone = std::max<size_t>(
    EvenShare(aConnectionLimit, zones) / detail::kServingConnections, 1);
  size_t total = 0;
  for (const auto& [zone, count] : hostsByZone) {
    total += std::min(perZone, count);
  }
  bool isEveryHost = total == aHosts.size();
  return { isEveryHost ? 0 : perZone, total, hostsByZone.size() };
}

std::vector<std::string>
RankHosts(const std::string& aService,
          const std::string& aZone,
          const std::vector<HostPlace>& aHosts)
{
  std::vector<std::string> ranked;
  for (const HostPlace& host : aHosts) {
    if (host.zone == aZone) {
      ranked.push_back(host.host);
    }
  }
  std::string key = "serve " + aService;
  std::sort(ranked.begin(),
            ranked.end(),
            [&](const std::string& aOne, const std::string& aTwo) {
              uint64_t one = RendezvousWeight(key, aOne);
              uint64_t two = RendezvousWeight(key, aTwo);
              return one != two ? one > two : aOne < aTwo;
            });
  return ranked;
}

} // namespace marigoldpitch
