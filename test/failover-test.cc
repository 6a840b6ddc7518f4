#include "fakes/generators.h"

#include <criterion/criterion.h>

#include <algorithm>

// Failovers on the fake clock: how long writes and reads are interrupted with
// the latencies of the two deployments, and which faults cause a promotion.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kRuns = 200;
constexpr Duration kWriteGapTarget = Seconds(1);

int64_t
Percentile(std::vector<int64_t> aValues, size_t aPercent)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[(aValues.size() - 1) * aPercent / 100];
}

/**
 * Kills the primary once in each of `kRuns` runs, prints the median and the
 * 99th percentile of the longest gaps between answers, and checks the gap of
 * writes.
 */
void
CheckGaps(const Deployment& aDeployment)
{
  std::vector<int64_t> writes;
  std::vector<int64_t> reads;
  std::vector<int64_t> baselineReads; // longest read gaps without a failover
  for (uint32_t seed = 1; seed <= kRuns; ++seed) {
    Fault kill{ FaultKind::KillPrimary, 500 + seed * 7 % 1000, 0, 0 };
    PlanResult result = RunPlan({ seed, { kill } }, OptionsOf(aDeployment));
    cr_assert(result.violations.empty(),
              "seed %u: %s",
              seed,
              result.ToString().c_str());
    cr_assert_eq(result.promotions, 1u, "seed %u", seed);
    writes.push_back(result.longestWriteGap.ms);
    reads.push_back(result.longestReadGap.ms);
    PlanResult baseline = RunPlan({ seed, {} }, OptionsOf(aDeployment));
    baselineReads.push_back(baseline.longestReadGap.ms);
  }
  printf(
    "%s_gap_writes_median %ld ms\n", aDeployment.name, Percentile(writes, 50));
  printf(
    "%s_gap_writes_p99 %ld ms\n", aDeployment.name, Percentile(writes, 99));
  printf(
    "%s_gap_reads_median %ld ms\n", aDeployment.name, Percentile(reads, 50));
  printf("%s_gap_reads_p99 %ld ms\n", aDeployment.name, Percentile(reads, 99));
  printf("%s_gap_reads_without_failover_median %ld ms\n",
         aDeployment.name,
         Percentile(baselineReads, 50));
  printf("%s_gap_reads_without_failover_p99 %ld ms\n",
         aDeployment.name,
         Percentile(baselineReads, 99));
  cr_assert_leq(Percentile(writes, 99), kWriteGapTarget.ms);
}

/** Runs the faults with `kRuns` / 4 seeds; returns the number of promotions. */
size_t
CountPromotions(const std::vector<Fault>& aFaults, const PlanOptions& aOptions)
{
  size_t promotions = 0;
  for (uint32_t seed = 1; seed <= kRuns / 4; ++seed) {
    PlanResult result = RunPlan({ seed, aFaults }, aOptions);
    cr_assert(result.violations.empty(),
              "seed %u: %s",
              seed,
              result.ToString().c_str());
    promotions += result.promotions;
  }
  return promotions;
}

/**
 * A mutant of the policy: suspects the primary as soon as this owner gets no
 * answer from it, without asking the replicas.
 */
class SingleOwnerSuspicion : public SuspicionPolicy
{
public:
  bool IsDown(const GroupConfig&,
              const GroupView& aView,
              Time aNow) const override
  {
    auto primary = aView.Primary();
    return primary && aView.IsSilent(*primary, aNow);
  }
};

} // namespace

Test(failover, write_gap_meets_target_in_addis_ababa)
{
  CheckGaps(kAddisAbaba);
}

Test(failover, write_gap_meets_target_in_brittany)
{
  CheckGaps(kBrittany);
}

Test(failover, succeeds_while_the_store_is_down)
{
  std::vector<Fault> faults{ { FaultKind::StoreDown, 0, 10000, 0 },
                             { FaultKind::KillPrimary, 800, 0, 0 } };
  cr_assert_eq(CountPromotions(faults, OptionsOf(kAddisAbaba)), kRuns / 4);
}

Test(failover, a_primary_cut_from_its_replicas_is_replaced)
{
  std::vector<Fault> faults{
    { FaultKind::CutPrimaryFromReplicas, 500, 3000, 0 }
  };
  cr_assert_eq(CountPromotions(faults, OptionsOf(kBrittany)), kRuns / 4);
}

Test(failover, no_promotion_for_silent_connections)
{
  std::vector<Fault> faults{ { FaultKind::SilenceUpstream, 500, 0, 0 },
                             { FaultKind::SilenceUpstream, 1500, 0, 0 } };
  cr_assert_eq(CountPromotions(faults, OptionsOf(kAddisAbaba)), 0u);
}

Test(failover, no_promotion_for_a_frozen_owner)
{
  std::vector<Fault> faults{ { FaultKind::FreezeOwner, 500, 300, 0 },
                             { FaultKind::FreezeOwner, 1500, 1200, 0 } };
  cr_assert_eq(CountPromotions(faults, OptionsOf(kAddisAbaba)), 0u);
}

Test(failover, no_promotion_when_one_owner_loses_the_primary)
{
  std::vector<Fault> faults{ { FaultKind::CutOwnerFromPrimary, 500, 2000, 0 } };
  cr_assert_eq(CountPromotions(faults, OptionsOf(kAddisAbaba)), 0u);

  PlanOptions mutant = OptionsOf(kAddisAbaba);
  mutant.simulation.policies = PoliciesWith([](Policies& aPolicies) {
    aPolicies.suspicion = std::make_unique<SingleOwnerSuspicion>();
  });
  cr_assert_gt(CountPromotions(faults, mutant), 0u);
}

Test(failover, leaving_primary_is_replaced)
{
  std::vector<Fault> faults{ { FaultKind::ListLeaving, 500, 0, 0 } };
  cr_assert_eq(CountPromotions(faults, OptionsOf(kBrittany)), kRuns / 4);
}
