#include "fakes/proxy-simulation.h"

#include <criterion/criterion.h>

#include <algorithm>

// The record of a group when the store comes back from an old copy.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kSeeds = 20;

ProxySimulationOptions
Options(uint32_t aSeed)
{
  ProxySimulationOptions options;
  options.seed = aSeed;
  options.freshness = Freshness::Bounded;
  options.jitter = Millis(4);
  options.stepsDownAfter = Seconds(1);
  options.storeEra = 1;
  return options;
}

std::vector<std::string>
RecordedIds(const ProxySimulation& aSimulation)
{
  std::vector<std::string> ids;
  for (const GroupMember& member : aSimulation.Group().members) {
    ids.push_back(member.id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

void
Write(ProxySimulation& aSimulation, size_t aHost, int aCount)
{
  CallerId caller = aSimulation.OpenSession(aHost);
  for (int i = 0; i < aCount; ++i) {
    cr_assert(IsOk(aSimulation.SubmitAndWait(
      aHost, caller, WriteStatement("a", "v" + std::to_string(i)))));
  }
}

/** Sends reads to the host each 10 ms. */
size_t
ServedReads(ProxySimulation& aSimulation, size_t aHost, Duration aSpan)
{
  std::vector<std::shared_ptr<FakeRequest>> reads;
  Time end = aSimulation.Now() + aSpan;
  while (aSimulation.Now() < end) {
    reads.push_back(aSimulation.SubmitStatement(
      aHost, aSimulation.OpenSession(aHost), ReadStatement("a")));
    aSimulation.RunFor(Millis(10));
  }
  aSimulation.RunFor(Seconds(1));
  return static_cast<size_t>(std::count_if(reads.begin(), reads.end(), IsOk));
}

const std::vector<std::string> kThree{ "u0", "u1", "u2" };
const std::vector<std::string> kFour{ "u0", "u1", "u2", "u3" };

} // namespace

Test(restored_groups, first_record_is_written_whatever_the_era)
{
  ProxySimulationOptions options = Options(1);
  options.storeEra = 2;
  options.hasGroupRecord = false;
  ProxySimulation simulation(options);
  simulation.SetPromoterLease(0, true);
  simulation.RunFor(Seconds(6));
  cr_assert_not(simulation.Group().position.IsUnset());
  cr_assert(RecordedIds(simulation) == kThree);
}

Test(restored_groups, record_of_the_copy_is_replaced_by_what_hosts_know)
{
  ProxySimulation simulation(Options(2));
  simulation.SetPromoterLease(0, true);
  GroupRecord copied = simulation.Group();
  simulation.AddUpstream();
  simulation.SendRegistryToAll();
  simulation.RunFor(Seconds(4));
  cr_assert(RecordedIds(simulation) == kFour);
  // The member that the copy lacks is not listed any more either.
  simulation.Upstream(3).isListed = false;
  simulation.RestoreStore(copied);
  simulation.SendRegistryToAll();
  cr_assert(RecordedIds(simulation) == kThree);
  simulation.RunFor(Seconds(4));
  cr_assert(RecordedIds(simulation) == kFour);
  cr_assert_eq(simulation.Group().order.era, 2);
}

Test(restored_groups, record_that_the_copy_lacks_is_written_again)
{
  ProxySimulation simulation(Options(3));
  simulation.SetPromoterLease(0, true);
  simulation.RunFor(Seconds(1));
  GroupRecord none = simulation.Group();
  none.members.clear();
  none.position = {};
  simulation.RestoreStore(none);
  simulation.RunFor(Seconds(4));
  cr_assert(RecordedIds(simulation) == kThree);
}

// A host that starts after the restore knows the copy's record only, in which
// the replica that confirms the commits is missing.
Test(restored_groups, new_host_does_not_count_by_the_record_of_a_copy)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxySimulationOptions options = Options(seed);
    options.upstreams = 2;
    ProxySimulation simulation(options);
    simulation.SetPromoterLease(0, true);
    GroupRecord copied = simulation.Group();
    size_t added = simulation.AddUpstream();
    simulation.SendRegistryToAll();
    simulation.RunFor(Seconds(4));
    // u1 hears nothing any more, u2 confirms and is not listed for two seconds,
    // and the primary is lost.
    simulation.SetReplicationBlocked(1, true);
    Write(simulation, 0, 5);
    simulation.RunFor(options.maxAge + Millis(100));
    simulation.Upstream(added).isListed = false;
    simulation.Upstream(0).isListed = false;
    simulation.Kill(0);
    simulation.SetPromoterLease(0, false);
    simulation.RestoreStore(copied);
    simulation.ReplaceHost(1);
    ServedReads(simulation, 1, Seconds(2));
    simulation.Upstream(added).isListed = true;
    simulation.SendRegistryToAll();
    simulation.RunFor(Seconds(4));
    cr_assert_eq(simulation.Violations(),
                 "",
                 "seed %u: %s",
                 seed,
                 simulation.Violations().c_str());
  }
}

Test(restored_groups, host_that_ran_through_serves_on)
{
  ProxySimulation simulation(Options(4));
  simulation.SetPromoterLease(0, true);
  simulation.RunFor(Seconds(1));
  Write(simulation, 0, 3);
  simulation.RestoreStore(simulation.Group());
  size_t served = ServedReads(simulation, 1, Seconds(1));
  cr_assert_eq(served, 100, "%zu reads served", served);
  cr_assert_eq(simulation.Violations(), "");
}
