#include "fakes/gossip-simulation.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

// Distribution of the store's documents by `Gossip`, also while the store is
// down or some daemons cannot reach it.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr Duration kPropagationTarget = Seconds(4);
} // namespace

Test(gossip, reaches_all_daemons_within_the_target)
{
  for (size_t hosts : { 5, 20, 80, 320 }) {
    GossipSimulation simulation(hosts, 11);
    simulation.RunFor(Seconds(30));
    uint64_t callsBefore = simulation.storeCalls;
    uint64_t messagesBefore = simulation.messages;
    simulation.PutConfiguration(7);
    int64_t elapsedMs = simulation.MeasurePropagationMs(7, Seconds(30));
    printf("config_spread_ms_%zu_daemons %ld ms\n", 2 * hosts, elapsedMs);
    printf("config_spread_messages_%zu_daemons %lu count\n",
           2 * hosts,
           simulation.messages - messagesBefore);
    simulation.RunFor(Seconds(1));
    printf("store_calls_per_change_%zu_daemons %lu count\n",
           2 * hosts,
           simulation.storeCalls - callsBefore);
    cr_assert_leq(elapsedMs, kPropagationTarget.ms);
  }
}

Test(gossip, survives_a_store_outage)
{
  GossipSimulation simulation(10, 3);
  simulation.PutConfiguration(1);
  simulation.RunFor(Seconds(5));
  simulation.storeDown = true;
  simulation.RunFor(Seconds(60));
  simulation.Restart("host-3/owner");
  cr_assert(simulation.MeasurePropagationMs(1, kPropagationTarget) <
              kPropagationTarget.ms,
            "a host that restarts during the outage gets it from its peers");
  simulation.storeDown = false;
  simulation.PutConfiguration(2);
  cr_assert_lt(simulation.MeasurePropagationMs(2, kPropagationTarget),
               kPropagationTarget.ms);
}

Test(gossip, revisions_never_decrease)
{
  cr_assert(rc::check("a daemon activates only higher revisions", [] {
    GossipSimulation simulation(*rc::gen::inRange<size_t>(2, 12),
                                *rc::gen::inRange<size_t>(1, 4));
    auto names = rc::gen::map(
      rc::gen::inRange<size_t>(0, simulation.daemons.size()),
      [&](size_t aIndex) {
        return std::next(simulation.daemons.begin(), static_cast<long>(aIndex))
          ->first;
      });
    uint64_t revision = 0;
    auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
    for (int step : steps) {
      if (step == 0) {
        simulation.PutConfiguration(++revision);
      } else if (step == 1) {
        simulation.storeDown = !simulation.storeDown;
      } else if (step == 2) {
        simulation.daemons[*names].frozenUntil = simulation.Now() + Seconds(30);
      } else if (step == 3) {
        simulation.daemons[*names].cutFromStore = true;
      } else {
        simulation.Restart(*names);
      }
      simulation.RunFor(Millis(*rc::gen::inRange<int64_t>(1, 3000)));
    }
    simulation.storeDown = false;
    for (auto& [name, daemon] : simulation.daemons) {
      daemon.cutFromStore = false;
    }
    simulation.PutConfiguration(++revision);
    simulation.RunFor(Seconds(40));
    RC_ASSERT(simulation.AllHaveConfiguration(revision));
    RC_ASSERT(!simulation.AnyReverted());
  }));
}

Test(mutants, accepting_any_revision_is_found)
{
  GossipSimulation simulation(10, 3);
  simulation.acceptAnyRevision = true;
  simulation.RunFor(Seconds(1));
  // Two changes are in flight at once, the first from frozen daemons.
  simulation.PutConfiguration(1);
  for (auto& [name, daemon] : simulation.daemons) {
    if (name < "host-5") {
      daemon.frozenUntil = simulation.Now() + Seconds(2);
    }
  }
  simulation.RunFor(Millis(10));
  simulation.PutConfiguration(2);
  simulation.RunFor(Seconds(10));
  cr_assert(simulation.AnyReverted());
}

namespace {

// The options of proxies, one on each host.
GossipOptions
ZoneOptions()
{
  GossipOptions options;
  options.roles = { "proxy" };
  options.kinds = { DocumentKind::Configuration, DocumentKind::Upstreams };
  options.polled = { DocumentKind::Upstreams };
  options.neighbourSelection = NeighbourSelection::ZoneWatchers;
  options.digestInterval = Millis(500);
  options.storeRetry = Millis(250);
  options.maxUnconfirmedAge = Millis(2400);
  return options;
}

// A change is active on every daemon within this, also if watchers are lost.
constexpr Duration kZoneTarget = Millis(3000);

GossipSimulation
MakeZoneSimulation(size_t aHosts)
{
  GossipSimulation simulation(aHosts, 4, ZoneOptions());
  simulation.watchTimeout = Millis(1400);
  simulation.PutConfiguration(1);
  simulation.RunFor(Seconds(10));
  return simulation;
}

bool
AllHaveUpstreams(const GossipSimulation& aSimulation,
                 const std::string& aRegistry)
{
  return std::all_of(
    aSimulation.daemons.begin(),
    aSimulation.daemons.end(),
    [&](const auto& aDaemon) { return aDaemon.second.upstreams == aRegistry; });
}

} // namespace

Test(zones, store_calls_do_not_grow_with_the_hosts)
{
  // Four availability zones, each with two watches of 1.4 s and one poll per
  // second.
  constexpr uint64_t kMaxCallsPerSecond = 10;
  for (size_t hosts : { 5, 30, 100, 300 }) {
    GossipSimulation simulation(hosts, 4, ZoneOptions());
    simulation.watchTimeout = Millis(1400);
    simulation.PutConfiguration(1);
    simulation.RunFor(Seconds(10));
    uint64_t before = simulation.storeCalls;
    simulation.RunFor(Seconds(10));
    uint64_t calls = (simulation.storeCalls - before) / 10;
    printf("zone_store_calls_a_second_%zu_hosts %lu count\n", hosts, calls);
    cr_assert_leq(calls, kMaxCallsPerSecond);
  }
}

Test(zones, unchanged_documents_are_not_forwarded)
{
  GossipSimulation simulation = MakeZoneSimulation(30);
  uint64_t before = simulation.documentsSent;
  simulation.RunFor(Seconds(20));
  cr_assert_eq(simulation.documentsSent, before);
  simulation.registry = "two upstreams";
  simulation.RunFor(kZoneTarget);
  cr_assert(AllHaveUpstreams(simulation, "two upstreams"));
}

Test(zones, zone_with_watchers_cut_off_is_updated_in_time)
{
  GossipSimulation simulation = MakeZoneSimulation(30);
  size_t cutOffDaemons = 0;
  for (auto& [name, daemon] : simulation.daemons) {
    daemon.cutFromStore = daemon.gossip->IsWatcher();
    cutOffDaemons += daemon.cutFromStore ? 1 : 0;
  }
  cr_assert_eq(cutOffDaemons, 8);
  simulation.registry = "two upstreams";
  simulation.PutConfiguration(2);
  simulation.RunFor(kZoneTarget);
  for (auto& [name, daemon] : simulation.daemons) {
    bool knows =
      daemon.activeRevision == 2 && daemon.upstreams == "two upstreams";
    cr_assert(daemon.cutFromStore || knows, "%s", name.c_str());
  }
}

Test(zones, zone_with_frozen_watchers_is_updated_in_time)
{
  GossipSimulation simulation = MakeZoneSimulation(30);
  for (auto& [name, daemon] : simulation.daemons) {
    if (daemon.gossip->IsWatcher()) {
      daemon.frozenUntil = simulation.Now() + Seconds(60);
    }
  }
  simulation.PutConfiguration(2);
  simulation.RunFor(kZoneTarget);
  for (auto& [name, daemon] : simulation.daemons) {
    cr_assert(daemon.gossip->IsWatcher() || daemon.activeRevision == 2);
  }
}

namespace {

/** The options of proxies, which read the groups along with the hosts. */
GossipSimulation
MakeGroupSimulation(size_t aHosts)
{
  GossipOptions options = ZoneOptions();
  options.kinds.push_back(DocumentKind::Hosts);
  options.polled.push_back(DocumentKind::Hosts);
  GossipSimulation simulation(aHosts, 4, options);
  simulation.watchTimeout = Millis(1400);
  simulation.groups = 20;
  simulation.PutConfiguration(1);
  simulation.RunFor(Seconds(30)); // the first reads of the hosts end after 20 s
  return simulation;
}

bool
AllHaveGroups(const GossipSimulation& aSimulation, uint64_t aRevision)
{
  return std::all_of(
    aSimulation.daemons.begin(),
    aSimulation.daemons.end(),
    [&](const auto& aDaemon) { return aDaemon.second.groups == aRevision; });
}

} // namespace

Test(groups, reach_all_daemons_and_a_restarted_one)
{
  GossipSimulation simulation = MakeGroupSimulation(30);
  cr_assert(AllHaveGroups(simulation, 20));
  uint64_t before = simulation.documentsSent;
  simulation.RunFor(Seconds(20));
  cr_assert_eq(
    simulation.documentsSent, before, "sent only after a record has changed");
  simulation.groups = 25;
  simulation.RunFor(kZoneTarget);
  cr_assert(AllHaveGroups(simulation, 25));
  // A host that joins while the store is down gets them from its neighbours.
  simulation.storeDown = true;
  simulation.RunFor(Seconds(5));
  simulation.Restart("host-7/proxy");
  cr_assert_eq(simulation.daemons["host-7/proxy"].groups, 0);
  simulation.RunFor(kZoneTarget);
  cr_assert(AllHaveGroups(simulation, 25));
  cr_assert_not(simulation.groupsRequested,
                "groups are read along with the hosts");
}

Test(groups, group_revisions_never_decrease)
{
  cr_assert(rc::check("lagging store replicas cause no lower revision", [] {
    GossipSimulation simulation = MakeGroupSimulation(8);
    auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    for (int step : steps) {
      auto index = *rc::gen::inRange<size_t>(0, simulation.daemons.size());
      std::string name =
        std::next(simulation.daemons.begin(), static_cast<long>(index))->first;
      if (step == 0) {
        simulation.previousGroups = simulation.groups;
        simulation.groups += 3;
      } else if (step == 1) {
        simulation.staleReader = name;
      } else if (step == 2) {
        simulation.Restart(name);
      } else {
        simulation.daemons[name].frozenUntil = simulation.Now() + Seconds(4);
      }
      simulation.RunFor(Millis(*rc::gen::inRange<int64_t>(1, 2000)));
    }
    simulation.staleReader.clear();
    simulation.previousGroups = simulation.groups;
    simulation.groups += 1;
    simulation.RunFor(Seconds(10));
    RC_ASSERT(AllHaveGroups(simulation, simulation.groups));
    RC_ASSERT(!simulation.AnyReverted());
  }));
}

Test(mutants, trusting_silent_watchers_is_found)
{
  GossipOptions options = ZoneOptions();
  options.maxUnconfirmedAge = Seconds(3600);
  GossipSimulation simulation(30, 4, options);
  simulation.watchTimeout = Millis(1400);
  simulation.PutConfiguration(1);
  simulation.RunFor(Seconds(10));
  for (auto& [name, daemon] : simulation.daemons) {
    daemon.cutFromStore = daemon.gossip->IsWatcher();
  }
  simulation.PutConfiguration(2);
  simulation.RunFor(kZoneTarget);
  cr_assert(!simulation.AllHaveConfiguration(2));
  bool isUpdatedElsewhere = std::any_of(
    simulation.daemons.begin(),
    simulation.daemons.end(),
    [](const auto& aDaemon) {
      return !aDaemon.second.cutFromStore && aDaemon.second.activeRevision == 2;
    });
  cr_assert(!isUpdatedElsewhere);
}
