#ifndef MARIGOLDPITCH_TEST_FAKES_GROUP_FAULTS_H
#define MARIGOLDPITCH_TEST_FAKES_GROUP_FAULTS_H

#include "fakes/proxy-simulation.h"

#include "marigoldpitch/state/names.h"

#include <ostream>

/** Sequences of faults in a group's upstreams, its hosts and the store. */
namespace marigoldpitch::fakes {

// As on the platform: the time after which a replaced primary that reaches its
// successor steps down.
constexpr Duration kStepsDownAfter = Millis(1000);

enum class GroupFault
{
  ExpireRegistration, // the registration of a running upstream expires
  RenewRegistration,
  Crash,
  RestartWithLog,  // a crashed upstream restarts with its log
  StopReplication, // an upstream receives no log entries
  ResumeReplication,
  ReplaceProcess, // the process of a host
  MoveLease,      // the promoter lease, to another host
  StoreDown,
  StoreUp,
};

constexpr NameTable<GroupFault, 10> kGroupFaultNames{ {
  { GroupFault::ExpireRegistration, "lapse" },
  { GroupFault::RenewRegistration, "relist" },
  { GroupFault::Crash, "crash" },
  { GroupFault::RestartWithLog, "return" },
  { GroupFault::StopReplication, "deafen" },
  { GroupFault::ResumeReplication, "hear" },
  { GroupFault::ReplaceProcess, "replace" },
  { GroupFault::MoveLease, "move-duty" },
  { GroupFault::StoreDown, "store-down" },
  { GroupFault::StoreUp, "store-up" },
} };

struct GroupStep
{
  GroupFault fault = GroupFault::ExpireRegistration;
  size_t targetIndex = 0; // index of the upstream or host, modulo their number
  int64_t spanMs = 0;     // until the next step
  int64_t registryReadMs = 0; // until the registry is read
};

struct GroupPlan
{
  uint32_t seed = 1;
  Freshness freshness = Freshness::Bounded;
  std::vector<GroupStep> steps;
};

std::ostream&
operator<<(std::ostream& aOut, const GroupPlan& aPlan);

/**
 * Runs the plan under reads and writes, ends all faults, and returns a line for
 * each violation found; empty if there is none.
 */
std::string
RunGroupPlan(const GroupPlan& aPlan);

/**
 * Ends all faults, but does not restart the upstreams in `aLost`. Returns
 * whether a write and a read at `aHost` succeed within 10 s.
 */
bool
ServiceRecovers(ProxySimulation& aSimulation,
                size_t aHost,
                const std::set<size_t>& aLost = {});

} // namespace marigoldpitch::fakes

#endif
