#include "fakes/group-faults.h"

#include <criterion/criterion.h>

#include <algorithm>

// Promotions while an upstream that no host has listed confirms commits: the
// successor of a member that left, which has its address and its log, or a
// member that is back after a crash. Both confirm before they are registered.
//
// The primary u0 and the replica u2 stay. u1 is gone for so long that, if only
// its own commits mattered, the record could do without it. Then u2 gets no log
// entries any more, so that the commits of u0 stall, and the upstream that is
// not listed appears while the promoter acts.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kSeeds = 30;
// Commits that stall keep their connections, so there are few of them.
constexpr Duration kWriteInterval = Millis(300);
// A stall is replaced after 900 ms; the unlisted upstream appears around that.
constexpr Duration kFirstAppearance = Millis(800);
constexpr Duration kAppearanceStep = Millis(20);

ProxySimulationOptions
Options(uint32_t aSeed)
{
  ProxySimulationOptions options;
  options.hosts = 2;
  options.seed = aSeed;
  options.jitter = Millis(4);
  options.stepsDownAfter = kStepsDownAfter;
  options.registryInterval = Millis(1000);
  return options;
}

/** Sends writes to both hosts for `aSpan`. */
void
WriteFor(ProxySimulation& aSimulation, Duration aSpan)
{
  Time end = aSimulation.Now() + aSpan;
  while (aSimulation.Now() < end) {
    for (size_t host = 0; host < aSimulation.Hosts(); ++host) {
      std::string value = std::to_string(aSimulation.Requests().size());
      aSimulation.SubmitStatement(
        host, aSimulation.OpenSession(host), WriteStatement("a", value));
    }
    aSimulation.RunFor(std::min(kWriteInterval, end - aSimulation.Now()));
  }
}

/** Waits until u1 has been gone for `aAbsence`, and stops replication to u2. */
void
LoseBothReplicas(ProxySimulation& aSimulation, Duration aAbsence)
{
  aSimulation.Kill(1);
  WriteFor(aSimulation, aAbsence);
  aSimulation.SetReplicationBlocked(2, true);
}

void
CheckNoViolation(const ProxySimulation& aSimulation, uint32_t aSeed)
{
  std::string violations = aSimulation.Violations();
  std::string first = violations.substr(0, violations.find('\n'));
  cr_assert(first.empty(), "seed %u: %s", aSeed, first.c_str());
}

} // namespace

Test(unlisted_confirmers, successor_that_is_not_listed_yet_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxySimulation simulation(Options(seed));
    simulation.SetPromoterLease(0, true);
    simulation.RunFor(Millis(1500));
    simulation.AnnounceDeparture(1);
    WriteFor(simulation, Seconds(2));
    LoseBothReplicas(simulation, Seconds(8));
    WriteFor(simulation, kFirstAppearance + kAppearanceStep * seed);
    size_t successor = simulation.AddUpstream();
    simulation.Upstream(successor).entry.endpoint =
      simulation.Upstream(1).entry.endpoint;
    simulation.Upstream(successor).isListed = false;
    WriteFor(simulation, Seconds(1));
    simulation.Upstream(successor).isListed = true;
    WriteFor(simulation, Seconds(2));
    CheckNoViolation(simulation, seed);
    cr_assert(ServiceRecovers(simulation, 1, { 1 }), "seed %u", seed);
    CheckNoViolation(simulation, seed);
  }
}

Test(unlisted_confirmers, member_back_from_a_long_absence_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxySimulation simulation(Options(seed));
    simulation.SetPromoterLease(0, true);
    simulation.RunFor(Millis(1500));
    LoseBothReplicas(simulation, Seconds(15));
    WriteFor(simulation, kFirstAppearance + kAppearanceStep * seed);
    simulation.Upstream(1).isListed = false;
    simulation.Restart(1);
    WriteFor(simulation, Seconds(1));
    simulation.Upstream(1).isListed = true;
    WriteFor(simulation, Seconds(2));
    CheckNoViolation(simulation, seed);
    cr_assert(ServiceRecovers(simulation, 1), "seed %u", seed);
    CheckNoViolation(simulation, seed);
  }
}

// The primary leaves while u1 is gone, and goes on confirming through u2, which
// is to replace it. u2 gets no more log entries once the promotion is ordered,
// and a successor of u1 that is not listed yet confirms them.
Test(unlisted_confirmers, leaving_primary_with_unlisted_successor_loses_nothing)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxySimulation simulation(Options(seed));
    simulation.SetPromoterLease(0, true);
    simulation.RunFor(Millis(1500));
    simulation.AnnounceDeparture(1);
    WriteFor(simulation, Seconds(2));
    simulation.Kill(1);
    WriteFor(simulation, Seconds(8));
    size_t successor = simulation.AddUpstream();
    simulation.Upstream(successor).entry.endpoint =
      simulation.Upstream(1).entry.endpoint;
    simulation.Upstream(successor).isListed = false;
    simulation.AnnounceDeparture(0);
    for (int i = 0; i < 2500 && simulation.Promotions() == 0; ++i) {
      const auto& promotion =
        simulation.Host(0).Services().at("service").promotion;
      if (promotion.Phase() == PromotionPhase::Confirming) {
        simulation.Upstream(2).isReplicationBlocked = true;
      }
      WriteFor(simulation, Millis(1));
    }
    cr_assert_eq(simulation.Promotions(), 1, "seed %u", seed);
    simulation.SetReplicationBlocked(2, false);
    simulation.Upstream(successor).isListed = true;
    WriteFor(simulation, Seconds(2));
    CheckNoViolation(simulation, seed);
  }
}
