#ifndef MARIGOLDPITCH_COORDINATION_OWNERSHIP_H
#define MARIGOLDPITCH_COORDINATION_OWNERSHIP_H

#include "marigoldpitch/state/config.h"

#include <string>
#include <vector>

/** Which host owns a group: rendezvous hashing over the host list. */
namespace marigoldpitch {

/**
 * Hosts in the order in which they own the group. Leaving hosts come last. The
 * second host lies in another availability zone than the first where one can,
 * so that a zone's loss does not take both.
 */
std::vector<std::string>
RankOwners(const std::string& aGroup, const std::vector<HostEntry>& aHosts);

/** The place of a host in that order; the list's size when it is not there. */
size_t
RankOf(const std::string& aHost,
       const std::string& aGroup,
       const std::vector<HostEntry>& aHosts);

/** A stable weight of a pair of names. */
uint64_t
Weight(const std::string& aKey, const std::string& aName);

} // namespace marigoldpitch

#endif
