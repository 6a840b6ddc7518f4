#include "fakes/history.h"
#include "fakes/requests.h"
#include "fakes/transactions.h"

#include <criterion/criterion.h>

// Leaving upstreams and draining owners, on the fake clock.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

/** How the shutdown of an upstream is announced to the owners. */
enum class LeavingSource
{
  List,
  OwnReport,
  Configuration,
};

/**
 * Announces that the upstream is leaving, and checks that it gets no new work
 * later than 3 s after that. A leaving primary must be replaced once.
 */
void
CheckLeaving(LeavingSource aSource, size_t aUpstream)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    GroupSimulation simulation(ThreeOwnerOptions(seed));
    simulation.SetStoreDown(true);
    History history(simulation, {});
    history.Start();
    if (aSource == LeavingSource::List) {
      simulation.ListLeaving(aUpstream);
    } else if (aSource == LeavingSource::OwnReport) {
      simulation.SetReportsLeaving(aUpstream);
    } else {
      GroupConfig config = simulation.config;
      config.upstreams[aUpstream].leaving = true;
      for (size_t i = 0; i < simulation.Owners(); ++i) {
        cr_assert(simulation.EngineOf(i).Reconfigure(config));
      }
    }
    Time announcedAt = simulation.Now();
    simulation.RunFor(Seconds(4));
    history.CheckFinalState(Seconds(4));
    cr_assert(history.violations.empty(),
              "%s",
              history.violations.empty() ? "" : history.violations[0].c_str());
    Duration after = simulation.lastWorkStarted[aUpstream] - announcedAt;
    cr_assert_leq(after.ms, 3000, "new work after %ld ms", after.ms);
    cr_assert_eq(simulation.promotions, aUpstream == 0 ? 1u : 0u);
  }
}

} // namespace

Test(leaving, gets_no_new_work_when_marked_in_the_host_list)
{
  CheckLeaving(LeavingSource::List, 0);
  CheckLeaving(LeavingSource::List, 1);
}

Test(leaving, gets_no_new_work_when_reported_by_the_upstream)
{
  CheckLeaving(LeavingSource::OwnReport, 0);
  CheckLeaving(LeavingSource::OwnReport, 2);
}

Test(leaving, gets_no_new_work_when_marked_in_the_configuration)
{
  CheckLeaving(LeavingSource::Configuration, 0);
  CheckLeaving(LeavingSource::Configuration, 1);
}

// Without an announcement, `CheckLeaving` would fail.
Test(mutants, missing_leaving_mark_is_found)
{
  GroupSimulation simulation(ThreeOwnerOptions(1));
  History history(simulation, {});
  history.Start();
  Time announcedAt = simulation.Now();
  simulation.RunFor(Seconds(4));
  for (size_t i = 0; i < 3; ++i) {
    cr_assert_gt((simulation.lastWorkStarted[i] - announcedAt).ms, 3000);
  }
}

// If owners were killed without draining, transactions would fail.
Test(mutants, kill_without_draining_is_found)
{
  size_t found = 0;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    GroupSimulation simulation(ThreeOwnerOptions(seed));
    Transactions callers(simulation, 3, false);
    callers.Start();
    simulation.KillOwner(simulation.PreferredOwner());
    simulation.RunFor(Seconds(2));
    found += callers.failed != 0 ? 1 : 0;
  }
  printf("found by the check in %zu of %u seeds\n", found, kSeeds);
  cr_assert_gt(found, 0u);
}

Test(draining, fails_no_request)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    GroupSimulation simulation(ThreeOwnerOptions(seed));
    History history(simulation, {});
    history.Start();
    Transactions callers(simulation, 3, false);
    callers.Start();
    size_t owner = simulation.PreferredOwner();
    simulation.DrainOwner(owner);
    Time drainStart = simulation.Now();
    while (simulation.EngineOf(owner).Unfinished() +
             simulation.EngineOf(owner).OpenTransactions() !=
           0) {
      cr_assert_lt((simulation.Now() - drainStart).ms, 2000);
      simulation.RunFor(Millis(1));
    }
    simulation.KillOwner(owner);
    simulation.RunFor(Seconds(2));
    callers.Stop();
    history.CheckFinalState(Seconds(4));
    callers.Check();
    cr_assert(history.violations.empty());
    cr_assert(callers.violations.empty());
    cr_assert_eq(callers.failed, 0u, "seed %u", seed);
    cr_assert_eq(history.writesNotRun, 0u, "seed %u", seed);
    cr_assert_eq(history.writesUnknown, 0u, "seed %u", seed);
  }
}
