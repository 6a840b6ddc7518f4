#include "fakes/proxy-simulation.h"

#include <criterion/criterion.h>

#include <algorithm>

// Promotions that `ProxyEngine` orders, and what callers see of them, on the
// fake clock.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kSeeds = 30;

ProxySimulationOptions
Options(Freshness aFreshness, uint32_t aSeed = 1)
{
  ProxySimulationOptions options;
  options.freshness = aFreshness;
  options.seed = aSeed;
  return options;
}

/** The same options with random message delays. */
ProxySimulationOptions
JitteredOptions(Freshness aFreshness, uint32_t aSeed)
{
  ProxySimulationOptions options = Options(aFreshness, aSeed);
  options.jitter = Millis(4);
  return options;
}

/** Gives host 0 the promoter lease and lets all hosts find the primary. */
void
WarmUp(ProxySimulation& aSimulation)
{
  aSimulation.SetPromoterLease(0, true);
  aSimulation.RunFor(Millis(1500));
}

} // namespace

// Guards against replicas that stay held after an aborted promotion: they
// confirm no commits, so every write waited for 15 s.
Test(proxy, unneeded_promotion_resumes_held_replicas)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  WarmUp(simulation);
  for (size_t host = 0; host < 2; ++host) {
    simulation.Upstream(0).unreachableFrom.insert(host);
    simulation.Upstream(2).unreachableFrom.insert(host);
  }
  simulation.RunFor(Millis(1500)); // the reachable replica is held
  simulation.Upstream(0).unreachableFrom.clear();
  simulation.Upstream(2).unreachableFrom.clear();
  simulation.RunFor(Millis(2500));
  CallerId caller = simulation.OpenSession(1);
  cr_assert(
    IsOk(simulation.SubmitAndWait(1, caller, WriteStatement("a", "v"))));
  cr_assert_eq(simulation.Upstream(1).held, 0);
  cr_assert_eq(simulation.Upstream(2).held, 0);
}

Test(proxy, lost_primary_is_replaced_without_losing_commits)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxySimulation simulation(JitteredOptions(Freshness::Newest, seed));
    WarmUp(simulation);
    CallerId caller = simulation.OpenSession(1);
    simulation.Upstream(1 + seed % 2).isReplicationBlocked = true;
    for (uint32_t i = 0; i < seed; ++i) {
      cr_assert(IsOk(simulation.SubmitAndWait(
        1, caller, WriteStatement("a", std::to_string(i)))));
    }
    simulation.Kill(0);
    simulation.RunFor(Seconds(3));
    cr_assert_eq(simulation.Promotions(), 1, "seed %u", seed);
    simulation.Upstream(1 + seed % 2).isReplicationBlocked = false;
    cr_assert(
      IsOk(simulation.SubmitAndWait(1, caller, WriteStatement("a", "after"))));
    cr_assert_eq(simulation.Violations(), "", "seed %u", seed);
  }
}

Test(proxy, host_cut_off_from_all_upstreams_promotes_nothing)
{
  for (int64_t span = 400; span <= 2000; span += 20) {
    ProxySimulation simulation(Options(Freshness::Newest));
    WarmUp(simulation);
    CallerId caller = simulation.OpenSession(1);
    for (size_t i = 0; i < 3; ++i) {
      simulation.Upstream(i).unreachableFrom.insert(0);
      simulation.Silence(0, i);
    }
    simulation.RunFor(Millis(span));
    for (size_t i = 0; i < 3; ++i) {
      simulation.Upstream(i).unreachableFrom.clear();
    }
    simulation.RunFor(Seconds(2));
    cr_assert_eq(simulation.Promotions(), 0, "cut off for %ld ms", span);
    cr_assert(
      IsOk(simulation.SubmitAndWait(1, caller, WriteStatement("a", "1"))));
  }
}

Test(proxy, leaving_primary_is_replaced_while_writes_continue)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  WarmUp(simulation);
  simulation.Upstream(0).entry.leaving = true;
  simulation.SendRegistryToAll();
  // Each write has its own caller, so that a write that hangs at the old
  // primary delays no other.
  std::vector<std::shared_ptr<FakeRequest>> writes;
  for (int i = 0; i < 200; ++i) {
    writes.push_back(simulation.SubmitStatement(
      1, simulation.OpenSession(1), WriteStatement("a", std::to_string(i))));
    simulation.RunFor(Millis(10));
  }
  simulation.RunFor(Seconds(2));
  std::vector<int64_t> served;
  for (const auto& write : writes) {
    if (IsOk(write)) {
      served.push_back(write->answered.ms);
    }
  }
  std::sort(served.begin(), served.end());
  int64_t longestGapMs = 0;
  for (size_t i = 1; i < served.size(); ++i) {
    longestGapMs = std::max(longestGapMs, served[i] - served[i - 1]);
  }
  cr_assert_eq(simulation.Promotions(), 1);
  cr_assert_neq(simulation.PrimaryIndex(), 0);
  cr_assert_lt(longestGapMs, 1000);
  cr_assert_eq(simulation.Violations(), "");
}

// A primary cut off from its replicas answers reads, but its commits hang.
Test(proxy, primary_with_stalled_commits_is_replaced)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  WarmUp(simulation);
  simulation.SubmitAndWait(
    1, simulation.OpenSession(1), WriteStatement("a", "v"));
  simulation.Upstream(1).isReplicationBlocked = true;
  simulation.Upstream(2).isReplicationBlocked = true;
  int reads = 0;
  for (int i = 0; i < 200; ++i) {
    if (i % 5 == 0) {
      simulation.SubmitStatement(
        0, simulation.OpenSession(0), WriteStatement("a", std::to_string(i)));
    }
    auto read = simulation.SubmitAndWait(
      1, simulation.OpenSession(1), ReadStatement("a"));
    reads += IsOk(read) && simulation.Promotions() == 0 ? 1 : 0;
    simulation.RunFor(Millis(10));
    if (simulation.Promotions() != 0) {
      simulation.Upstream(1).isReplicationBlocked = false;
      simulation.Upstream(2).isReplicationBlocked = false;
    }
  }
  cr_assert_eq(simulation.Promotions(), 1);
  // Stalled commits leave connections for reads.
  cr_assert_geq(reads, 40);
  cr_assert(IsOk(simulation.SubmitAndWait(
    0, simulation.OpenSession(0), WriteStatement("a", "after"))));
  cr_assert_eq(simulation.Violations(), "");
}

// Guards against losing commits in a second promotion: after the first, the
// only remaining replica had received no log entries for a long time.
Test(proxy, replica_without_all_commits_is_not_promoted)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  WarmUp(simulation);
  simulation.Upstream(2).isReplicationBlocked = true;
  for (int i = 0; i < 20; ++i) {
    simulation.SubmitAndWait(
      1, simulation.OpenSession(1), WriteStatement("a", std::to_string(i)));
  }
  simulation.Kill(0);
  simulation.SendRegistryToAll();
  for (int i = 0; i < 100; ++i) {
    simulation.SubmitStatement(0,
                               simulation.OpenSession(0),
                               WriteStatement("a", "x" + std::to_string(i)));
    simulation.RunFor(Millis(100));
  }
  cr_assert_eq(simulation.Promotions(), 1);
  cr_assert_eq(simulation.PrimaryIndex(), 1);
  cr_assert_eq(simulation.Violations(), "");
}

// The only replica that confirmed the last commits has gone, and the primary
// has crashed. Promoting the remaining replica would lose those commits.
Test(proxy, crashed_primary_is_waited_for_if_no_replica_holds_its_commits)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  WarmUp(simulation);
  CallerId caller = simulation.OpenSession(1);
  simulation.Upstream(2).isReplicationBlocked = true;
  for (int i = 0; i < 20; ++i) {
    cr_assert(IsOk(simulation.SubmitAndWait(
      1, caller, WriteStatement("a", std::to_string(i)))));
  }
  simulation.Kill(1);
  simulation.SendRegistryToAll();
  simulation.Kill(0);
  simulation.RunFor(Seconds(5));
  cr_assert_eq(simulation.Promotions(), 0);
  simulation.Restart(0);
  simulation.Upstream(2).isReplicationBlocked = false;
  simulation.SendRegistryToAll();
  simulation.RunFor(Seconds(2));
  cr_assert(
    IsOk(simulation.SubmitAndWait(1, caller, WriteStatement("a", "after"))));
  cr_assert_eq(simulation.Violations(), "");
}

// Guards against a service without a primary: the hosts kept to the id of a
// crashed primary that had restarted in its term under another id.
Test(proxy, primary_restarted_under_another_id_is_recognised)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  WarmUp(simulation);
  simulation.SetPromoterLease(0, false);
  CallerId caller = simulation.OpenSession(1);
  simulation.SubmitAndWait(1, caller, WriteStatement("a", "v"));
  simulation.Kill(0);
  simulation.RunFor(Millis(300));
  simulation.Upstream(0).entry.id = "u9";
  simulation.Restart(0);
  simulation.SendRegistryToAll();
  simulation.RunFor(Millis(1000));
  cr_assert(
    IsOk(simulation.SubmitAndWait(1, caller, WriteStatement("a", "w"))));
}

Test(proxy, replicas_left_held_by_another_promoter_are_resumed)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  WarmUp(simulation);
  simulation.Upstream(1).held = 2;
  simulation.Upstream(2).held = 2;
  CallerId caller = simulation.OpenSession(0);
  simulation.SubmitAndWait(0, caller, ReadStatement("a"));
  simulation.RunFor(Millis(500));
  cr_assert_eq(simulation.Upstream(1).held, 0);
  cr_assert_eq(simulation.Upstream(2).held, 0);
}

// Guards against stale reads on a host that still reaches the replaced primary
// while the promoter does not.
Test(proxy, a_replaced_primary_serves_no_reads)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxySimulation simulation(JitteredOptions(Freshness::Newest, seed));
    WarmUp(simulation);
    simulation.SubmitAndWait(
      1, simulation.OpenSession(1), WriteStatement("a", "before"));
    simulation.Upstream(0).unreachableFrom.insert(
      0); // the promoter cannot reach the primary
    for (int i = 0; i < 600; ++i) {
      simulation.SubmitStatement(
        1, simulation.OpenSession(1), ReadStatement("a"));
      simulation.RunFor(Millis(5 + seed % 7));
      if (i % 10 == 0) {
        std::string value = "w" + std::to_string(i);
        simulation.SubmitStatement(
          0, simulation.OpenSession(0), WriteStatement("a", value));
      }
    }
    cr_assert_eq(simulation.Promotions(), 1);
    cr_assert_gt(simulation.Acknowledged().size(), 1);
    cr_assert_eq(simulation.Violations(), "", "seed %u", seed);
  }
}

// Guards against stale reads on a host that does not learn of the promotion and
// still relies on its last proof of the old primary.
Test(proxy, host_unaware_of_a_promotion_serves_no_stale_reads)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxySimulation simulation(JitteredOptions(Freshness::Newest, seed));
    WarmUp(simulation);
    simulation.Upstream(0).entry.leaving = true;
    simulation.SendRegistryToAll();
    for (uint32_t i = 0; i < 250; ++i) {
      if (i == 5 + seed * 2) {
        simulation.Upstream(1).unreachableFrom.insert(1);
        simulation.Upstream(2).unreachableFrom.insert(1);
        simulation.Upstream(0).unreachableFrom.insert(
          0); // the promoter cannot demote it
      }
      simulation.SubmitStatement(
        1, simulation.OpenSession(1), ReadStatement("a"));
      simulation.SubmitStatement(
        0, simulation.OpenSession(0), WriteStatement("a", std::to_string(i)));
      simulation.RunFor(Millis(7));
    }
    cr_assert_eq(simulation.Promotions(), 1);
    cr_assert_eq(simulation.Violations(), "", "seed %u", seed);
  }
}
