#ifndef MARIGOLDPITCH_COORDINATION_PROXY_SERVICE_PLACEMENT_H
#define MARIGOLDPITCH_COORDINATION_PROXY_SERVICE_PLACEMENT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/**
 * Which hosts connect to the upstreams of a service. The others relay their
 * callers' statements to a host of their availability zone that does.
 */
namespace marigoldpitch {

struct HostPlace
{
  std::string host;
  std::string zone;
  double capacity = 1; // as `CapacityOf` gives it

  bool operator==(const HostPlace& aOther) const
  {
    return this->host == aOther.host && this->zone == aOther.zone &&
           this->capacity == aOther.capacity;
  }
};

/** How many hosts serve one service. */
struct ServingHosts
{
  size_t perZone = 0; // 0: every host serves it
  size_t total = 0;   // in all zones
  size_t zones = 0;
};

/**
 * Every host serves a service if each has enough connections then. Otherwise as
 * few hosts of each zone do as have. All hosts must be given, with one limit
 * for each upstream of the service.
 */
ServingHosts
CountServingHosts(uint32_t aConnectionLimit,
                  const std::vector<HostPlace>& aHosts);

/**
 * The hosts of the zone in the order in which they serve the service, by
 * rendezvous hashing that is weighted by their capacity: the first
 * `ServingHosts::perZone` of them serve it, and the next ones take over from
 * those that are lost. A host that comes, leaves or changes moves only itself:
 * the others keep their order.
 */
std::vector<HostPlace>
RankPlaces(const std::string& aService,
           const std::string& aZone,
           const std::vector<HostPlace>& aHosts);

/** The names of the hosts that `RankPlaces` returns, in its order. */
std::vector<std::string>
RankHosts(const std::string& aService,
          const std::string& aZone,
          const std::vector<HostPlace>& aHosts);

} // namespace marigoldpitch

#endif
