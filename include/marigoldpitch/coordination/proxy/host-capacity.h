#ifndef MARIGOLDPITCH_COORDINATION_PROXY_HOST_CAPACITY_H
#define MARIGOLDPITCH_COORDINATION_PROXY_HOST_CAPACITY_H

#include <cstdint>
#include <optional>

/** How much a host can carry, and how much of the serving it gets for that. */
namespace marigoldpitch {

/** What the settings say about a host; unset: they say nothing. */
struct HostResources
{
  std::optional<double> cpuShare; // of a core
  std::optional<double> cores;    // how many cores that share is of
  std::optional<double> linkMbps;
};

/**
 * The statements that a host can carry, relative to one with a whole core; 1 if
 * the settings say nothing.
 */
double
CapacityOf(const HostResources& aResources);

/**
 * The weight of a host in the choice of serving hosts. A host with a whole core
 * or more gets work in proportion to its capacity. With less, each statement
 * also waits longer for its turn on the processor, so it gets less than that.
 */
double
ServingWeight(double aCapacity);

/**
 * The score of a host by weighted rendezvous hashing; the highest one wins. A
 * host's score depends on nothing but its own hash and weight, and each host
 * wins with a probability in proportion to its weight.
 */
double
RendezvousScore(uint64_t aHash, double aWeight);

} // namespace marigoldpitch

#endif
