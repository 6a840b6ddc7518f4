#ifndef MARIGOLDPITCH_COORDINATION_COMMON_OWNERSHIP_H
#define MARIGOLDPITCH_COORDINATION_COMMON_OWNERSHIP_H

#include "marigoldpitch/state/config.h"

#include <string>
#include <vector>

/** Assigns groups to hosts by rendezvous hashing over the host list. */
namespace marigoldpitch {

/**
 * The candidates for owner of the group, in the order in which they are chosen:
 * live hosts before leaving ones, each by descending weight. With three or more
 * hosts, the second one is the first live host outside the first host's
 * availability zone, if there is one, so that the loss of a zone does not take
 * both.
 */
std::vector<std::string>
RankCandidates(const std::string& aGroup, const std::vector<HostEntry>& aHosts);

/** Index of a host in that order; the number of hosts if it is not listed. */
size_t
RankOf(const std::string& aHost,
       const std::string& aGroup,
       const std::vector<HostEntry>& aHosts);

/** Hash of a pair of names; the same in every process. */
uint64_t
RendezvousWeight(const std::string& aKey, const std::string& aName);

} // namespace marigoldpitch

#endif
