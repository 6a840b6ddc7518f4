#include "fakes/proxy-simulation.h"

#include <criterion/criterion.h>

// Decisions of hosts while running upstreams are missing from the registry,
// because their registrations have expired.
//
// Upstream u0 is the first primary. To replace it, the host with the promoter
// lease first holds replicas for a higher term, so that they confirm
// nothing to u0 any more, and then promotes one of them.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

/** Gives host 0 the promoter lease and commits a few writes. */
void
WarmUp(ProxySimulation& aSimulation)
{
  aSimulation.SetPromoterLease(0, true);
  aSimulation.RunFor(Millis(1500));
  for (int i = 0; i < 3; ++i) {
    aSimulation.SubmitAndWait(
      0, aSimulation.OpenSession(0), WriteStatement("a", std::to_string(i)));
  }
}

ProxySimulationOptions
Options(Freshness aFreshness, size_t aHosts)
{
  ProxySimulationOptions options;
  options.freshness = aFreshness;
  options.hosts = aHosts;
  return options;
}

/** Sends writes to the host, each in its own session; ignores the answers. */
void
SubmitWrites(ProxySimulation& aSimulation, size_t aHost, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    std::string value = "p" + std::to_string(aSimulation.Requests().size());
    aSimulation.SubmitStatement(
      aHost, aSimulation.OpenSession(aHost), WriteStatement("a", value));
    aSimulation.RunFor(Millis(10));
  }
}

} // namespace

// Guards against losing commits: the promoter did not hold the replica that was
// missing from its registry, and that replica went on confirming commits of the
// old primary.
Test(expired_registrations, promotion_holds_a_replica_missing_from_the_registry)
{
  ProxySimulation simulation(Options(Freshness::Newest, 2));
  WarmUp(simulation);
  simulation.SendPartialRegistry(0, { 0, 1 });
  simulation.RunFor(Millis(2000));
  SubmitWrites(simulation, 0, 3);
  simulation.Upstream(0).unreachableFrom.insert(
    0); // only the promoter loses the primary
  SubmitWrites(simulation, 1, 300);
  simulation.RunFor(Seconds(3));
  cr_assert_eq(simulation.Promotions(), 1);
  cr_assert_eq(simulation.Violations(), "");
}

Test(expired_registrations, new_promoter_replaces_a_primary_that_stays_unlisted)
{
  ProxySimulation simulation(Options(Freshness::Newest, 2));
  WarmUp(simulation);
  simulation.SetPromoterLease(0, false);
  simulation.Upstream(0).isListed = false;
  simulation.Upstream(2).isListed = false;
  simulation.ReplaceHost(1); // its process never sees them listed
  simulation.SetPromoterLease(1, true);
  SubmitWrites(simulation, 0, 200);
  cr_assert_eq(simulation.Promotions(), 0); // the entry may still come back
  SubmitWrites(simulation, 0, 100);
  simulation.RunFor(Seconds(3));
  cr_assert_eq(simulation.Promotions(), 1);
  cr_assert_eq(simulation.PrimaryIndex(), 1);
  cr_assert(IsOk(simulation.SubmitAndWait(
    1, simulation.OpenSession(1), WriteStatement("a", "last"))));
  cr_assert_eq(simulation.Violations(), "");
}

Test(expired_registrations, new_promoter_keeps_a_primary_whose_entry_comes_back)
{
  ProxySimulation simulation(Options(Freshness::Newest, 2));
  WarmUp(simulation);
  simulation.SetPromoterLease(0, false);
  simulation.Upstream(0).isListed = false;
  simulation.Upstream(2).isListed = false;
  simulation.ReplaceHost(1);
  simulation.SetPromoterLease(1, true);
  SubmitWrites(simulation, 0, 200);
  simulation.Upstream(0).isListed = true;
  simulation.Upstream(2).isListed = true;
  simulation.SendRegistryToAll();
  SubmitWrites(simulation, 0, 100);
  simulation.RunFor(Seconds(3));
  cr_assert_eq(simulation.Promotions(), 0);
  cr_assert_eq(simulation.Violations(), "");
}

Test(expired_registrations,
     reads_stay_fresh_while_the_primary_is_unlisted_for_half_a_minute)
{
  ProxySimulationOptions options = Options(Freshness::Bounded, 2);
  options.maxAge = Millis(1500);
  ProxySimulation simulation(options);
  WarmUp(simulation);
  simulation.SetPromoterLease(0, false);
  CallerId reader = simulation.OpenSession(1);
  simulation.SubmitAndWait(1, reader, ReadStatement("a"));
  simulation.RunFor(Millis(500));
  simulation.SetReplicationBlocked(1, true);
  simulation.Upstream(0).unreachableFrom.insert(1);
  simulation.Upstream(0).isListed = false;
  simulation.SendRegistryToAll();
  SubmitWrites(simulation, 0, 5);
  simulation.RunFor(Seconds(31)); // longer than `kAbsentMemberTimeout`
  size_t served = 0;
  for (int i = 0; i < 20; ++i) {
    served +=
      IsOk(simulation.SubmitAndWait(1, reader, ReadStatement("a"))) ? 1 : 0;
    simulation.RunFor(Millis(20));
  }
  cr_assert_eq(simulation.Violations(), "");
  cr_assert_geq(served, 19);
}

// Guards against a new primary that is used too early. Host 1 is new and has
// seen two of the three upstreams listed. As both were held, it assumed that no
// proof of the old primary could still be valid, and used the new primary while
// host 2 still relied on such a proof.
Test(expired_registrations, new_host_waits_until_proofs_of_other_hosts_expire)
{
  ProxySimulation simulation(Options(Freshness::Newest, 3));
  WarmUp(simulation);
  simulation.ReplaceHost(1);
  simulation.SendPartialRegistry(1, { 0, 1 });
  simulation.RunFor(Millis(1000));
  simulation.Upstream(1).unreachableFrom.insert(
    2); // host 2 reaches only the old primary and u2
  simulation.Reset(2, 1);
  simulation.Upstream(0).unreachableFrom.insert(
    0); // the promoter loses the primary
  simulation.Upstream(2).unreachableFrom.insert(
    0); // it reaches u2 only after u1
  simulation.Silence(0, 2);
  int stepsSinceHold = 0;
  for (int i = 0; i < 400; ++i) {
    SessionStatement statement = ReadStatement("a");
    if (simulation.Promotions() != 0) {
      statement = WriteStatement("a", "n" + std::to_string(i));
    }
    simulation.SubmitStatement(1, simulation.OpenSession(1), statement);
    simulation.SubmitStatement(
      2, simulation.OpenSession(2), ReadStatement("a"));
    simulation.RunFor(Millis(10));
    bool isHeld = simulation.Upstream(1).held != 0 || stepsSinceHold != 0;
    stepsSinceHold += isHeld ? 1 : 0;
    if (stepsSinceHold == 40) {
      simulation.Upstream(2).unreachableFrom.erase(0);
    }
  }
  cr_assert_eq(simulation.Promotions(), 1);
  cr_assert_eq(simulation.Violations(), "");
}
