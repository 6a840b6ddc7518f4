#include "marigoldpitch/coordination/proxy/service-placement.h"

#include "marigoldpitch/coordination/common/ownership.h"
#include "marigoldpitch/coordination/proxy/connection-budget.h"
#include "marigoldpitch/coordination/proxy/host-capacity.h"

#include <algorithm>
#include <map>
#include <tuple>

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

std::vector<HostPlace>
RankPlaces(const std::string& aService,
           const std::string& aZone,
           const std::vector<HostPlace>& aHosts)
{
  struct Candidate
  {
    const HostPlace* place;
    uint64_t hash;
    double score;
  };
  std::string key = "serve " + aService;
  std::vector<Candidate> candidates;
  for (const HostPlace& host : aHosts) {
    if (host.zone == aZone) {
      uint64_t hash = RendezvousWeight(key, host.host);
      double weight = ServingWeight(host.capacity);
      candidates.push_back({ &host, hash, RendezvousScore(hash, weight) });
    }
  }
  auto ranksBefore = [](const Candidate& aOne, const Candidate& aTwo) {
    return std::tie(aOne.score, aOne.hash, aTwo.place->host) >
           std::tie(aTwo.score, aTwo.hash, aOne.place->host);
  };
  std::sort(candidates.begin(), candidates.end(), ranksBefore);
  std::vector<HostPlace> ranked;
  ranked.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    ranked.push_back(*candidate.place);
  }
  return ranked;
}

std::vector<std::string>
RankHosts(const std::string& aService,
          const std::string& aZone,
          const std::vector<HostPlace>& aHosts)
{
  std::vector<std::string> names;
  for (const HostPlace& place : RankPlaces(aService, aZone, aHosts)) {
    names.push_back(place.host);
  }
  return names;
}

} // namespace marigoldpitch
