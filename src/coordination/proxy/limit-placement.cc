#include "marigoldpitch/coordination/proxy/limit-placement.h"

#include "marigoldpitch/coordination/common/ownership.h"

#include <algorithm>
#include <xxhash.h>

namespace marigoldpitch {

namespace detail {

// The hosts of a slot ask each other all the time, so a small fleet has few
// slots; a large one has many, to divide the counting among its hosts.
constexpr size_t kSmallFleet = 128; // hosts
constexpr size_t kSmallFleetSlots = 32;
constexpr size_t kLimitSlots = 512;
// A majority of so many is reached while any two of them are lost.
constexpr size_t kRankedHosts = 5;

std::vector<std::string>
RankForSlot(size_t aSlot, const std::vector<std::string>& aHosts)
{
  std::string key = "limit " + std::to_string(aSlot);
  std::vector<std::pair<uint64_t, const std::string*>> weighted;
  weighted.reserve(aHosts.size());
  for (const std::string& host : aHosts) {
    weighted.emplace_back(RendezvousWeight(key, host), &host);
  }
  size_t count = std::min(kRankedHosts, weighted.size());
  std::partial_sort(weighted.begin(),
                    weighted.begin() + static_cast<std::ptrdiff_t>(count),
                    weighted.end(),
                    [](const auto& aOne, const auto& aTwo) {
                      return aOne.first != aTwo.first
                               ? aOne.first > aTwo.first
                               : *aOne.second < *aTwo.second;
                    });
  std::vector<std::string> ranked;
  for (size_t i = 0; i < count; ++i) {
    ranked.push_back(*weighted[i].second);
  }
  return ranked;
}

} // namespace detail

bool
CounterRanks::SetHosts(std::vector<std::string> aHosts)
{
  std::sort(aHosts.begin(), aHosts.end());
  if (aHosts == this->hosts) {
    return false;
  }
  this->hosts = std::move(aHosts);
  this->slots.clear();
  return true;
}

const std::vector<std::string>&
CounterRanks::Of(const std::string& aCustomer)
{
  size_t count = this->hosts.size() <= detail::kSmallFleet
                   ? detail::kSmallFleetSlots
                   : detail::kLimitSlots;
  size_t slot = XXH64(aCustomer.data(), aCustomer.size(), 0) % count;
  auto found = this->slots.find(slot);
  if (found == this->slots.end()) {
    found =
      this->slots.emplace(slot, detail::RankForSlot(slot, this->hosts)).first;
  }
  return found->second;
}

} // namespace marigoldpitch
