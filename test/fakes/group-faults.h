#ifndef MARIGOLDPITCH_TEST_FAKES_GROUP_FAULTS_H
#define MARIGOLDPITCH_TEST_FAKES_GROUP_FAULTS_H

#include "fakes/proxy-world.h"

#include "marigoldpitch/state/names.h"

#include <ostream>

/** Faults of a group's members and of its hosts, one after the other. */
namespace marigoldpitch::fakes {

// The platform's: a primary that reaches its successor steps down after this.
constexpr Duration kStepsDownAfter = Millis(1000);

enum class GroupFault
{
  Lapse, // the entry of a living upstream runs out
  Relist,
  Crash,
  Return, // with its log
  Deafen,
  Hear,
  Replace, // the process of a host
  MoveDuty,
  StoreDown,
  StoreUp,
};

constexpr NameTable<GroupFault, 10> kGroupFaultNames{ {
  { GroupFault::Lapse, "lapse" },
  { GroupFault::Relist, "relist" },
  { GroupFault::Crash, "crash" },
  { GroupFault::Return, "return" },
  { GroupFault::Deafen, "deafen" },
  { GroupFault::Hear, "hear" },
  { GroupFault::Replace, "replace" },
  { GroupFault::MoveDuty, "move-duty" },
  { GroupFault::StoreDown, "store-down" },
  { GroupFault::StoreUp, "store-up" },
} };

struct GroupStep
{
  GroupFault fault = GroupFault::Lapse;
  size_t party = 0;   // which upstream or host
  int64_t spanMs = 0; // until the next step
  int64_t readMs = 0; // until the registry is read
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
 * Plays the plan under reads and writes, ends all faults, and returns what was
 * wrong; empty when nothing was.
 */
std::string
PlayGroupPlan(const GroupPlan& aPlan);

bool
IsOk(const std::shared_ptr<FakeRequest>& aRequest);

/** Ends all faults but those of the lost; whether service returns in 10 s. */
bool
Returns(ProxyWorld& aWorld, size_t aHost, const std::set<size_t>& aLost = {});

} // namespace marigoldpitch::fakes

#endif
