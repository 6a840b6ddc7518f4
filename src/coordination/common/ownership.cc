#include "marigoldpitch/coordination/common/ownership.h"

#include <algorithm>
#include <xxhash.h>

namespace marigoldpitch {

uint64_t
RendezvousWeight(const std::string& aKey, const std::string& aName)
{
  std::string text = aKey + '\n' + aName;
  return XXH64(text.data(), text.size(), 0);
}

std::vector<std::string>
RankCandidates(const std::string& aGroup, const std::vector<HostEntry>& aHosts)
{
  struct Candidate
  {
    const HostEntry* host;
    uint64_t weight;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(aHosts.size());
  for (const HostEntry& host : aHosts) {
    candidates.push_back({ &host, RendezvousWeight(aGroup, host.name) });
  }
  auto ranksBefore = [](const Candidate& aLeft, const Candidate& aRight) {
    if (aLeft.host->state != aRight.host->state) {
      return aLeft.host->state == HostState::Live;
    }
    return aLeft.weight > aRight.weight;
  };
  std::sort(candidates.begin(), candidates.end(), ranksBefore);
  if (candidates.size() > 2) {
    const Candidate first = candidates.front();
    auto otherZone = std::find_if(
      candidates.begin() + 1, candidates.end(), [&](const Candidate& aOther) {
        return aOther.host->zone != first.host->zone &&
               aOther.host->state == HostState::Live;
      });
    if (otherZone != candidates.end()) {
      std::rotate(candidates.begin() + 1, otherZone, otherZone + 1);
    }
  }
  std::vector<std::string> names;
  names.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    names.push_back(candidate.host->name);
  }
  return names;
}

size_t
RankOf(const std::string& aHost,
       const std::string& aGroup,
       const std::vector<HostEntry>& aHosts)
{
  std::vector<std::string> names = RankCandidates(aGroup, aHosts);
  auto found = std::find(names.begin(), names.end(), aHost);
  return static_cast<size_t>(found - names.begin());
}

} // namespace marigoldpitch
