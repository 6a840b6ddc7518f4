#ifndef MARIGOLDPITCH_COORDINATION_PROXY_CUSTOMER_PLACEMENT_H
#define MARIGOLDPITCH_COORDINATION_PROXY_CUSTOMER_PLACEMENT_H

#include "marigoldpitch/coordination/proxy/service-placement.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/**
 * Which of a zone's serving hosts handles a customer's statements. A connection
 * to an upstream belongs to one customer, so few connections serve many callers
 * only if a customer's statements come together on few hosts.
 */
namespace marigoldpitch {

/** Who sends a statement, and to which service. */
struct ServedCaller
{
  std::string service;
  std::string customer; // empty: the configuration has no customers
  size_t spread = 1;    // as `CustomerSpread` gives it
  uint64_t session = 0;
};

/**
 * Over how many of a zone's serving hosts a customer is spread. `aShare` is its
 * part, from 0 to 1, of what all customers may ask by their configured rates; a
 * customer without a limit has a share of 1.
 */
size_t
CustomerSpread(double aShare, size_t aServing);

/**
 * The serving hosts, as indexes below `aServing` into `aRanked`, in the order
 * in which the caller's statements should go to them. `aRanked` is as
 * `RankPlaces` returns it. Without a customer the sessions are spread over all
 * of them. Otherwise each customer has an order of its own, by rendezvous
 * hashing that is weighted by capacity, and its sessions are spread over the
 * first `spread` of it; so all hosts of a zone choose alike.
 */
std::vector<size_t>
RankServingHosts(const ServedCaller& aCaller,
                 const std::vector<HostPlace>& aRanked,
                 size_t aServing);

} // namespace marigoldpitch

#endif
