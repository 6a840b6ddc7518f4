#ifndef MARIGOLDPITCH_COORDINATION_PROXY_LIMIT_PLACEMENT_H
#define MARIGOLDPITCH_COORDINATION_PROXY_LIMIT_PLACEMENT_H

#include <cstddef>
#include <map>
#include <string>
#include <vector>

/** Which host counts a customer's operations. */
namespace marigoldpitch {

/**
 * Ranks hosts for each customer by rendezvous hashing over all hosts: the first
 * counts, the next ones stand in for it, and all of them are the witnesses of
 * each other. Customers are hashed into slots, so that the work does not grow
 * with the customers.
 */
class CounterRanks
{
public:
  /** Returns whether the hosts are others than before. */
  bool SetHosts(std::vector<std::string> aHosts);

  /** The first hosts of the customer's slot; empty while no host is known. */
  const std::vector<std::string>& Of(const std::string& aCustomer);

private:
  std::vector<std::string> hosts; // sorted
  std::map<size_t, std::vector<std::string>> slots;
};

} // namespace marigoldpitch

#endif
