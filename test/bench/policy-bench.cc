#include "fakes/history.h"
#include "fakes/overload.h"
#include "fakes/plan.h"

#include <fmt/format.h>

#include <algorithm>

// Measures the policies on a simulated clock, and a simple baseline for each in
// the same run.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kSeeds = 20;

PlanOptions
LaggingOptionsOf(const Deployment& aDeployment)
{
  PlanOptions options = OptionsOf(aDeployment);
  options.simulation.longestLag = Millis(400);
  options.history.maxAge = Millis(600);
  options.history.countOracleReads = true;
  return options;
}

double
Share(uint64_t aPart, uint64_t aWhole)
{
  return aWhole == 0
           ? 0
           : 100.0 * static_cast<double>(aPart) / static_cast<double>(aWhole);
}

void
MeasureReplicaShare(const Deployment& aDeployment,
                    const char* aCase,
                    const std::vector<Fault>& aFaults)
{
  PlanResult total;
  PlanResult baseline;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PlanOptions options = LaggingOptionsOf(aDeployment);
    total.Add(RunPlan({ seed, aFaults }, options));
    options.simulation.policies = PoliciesWith([](Policies& aPolicies) {
      aPolicies.routing = MakePrimaryOnlyRouting();
    });
    baseline.Add(RunPlan({ seed, aFaults }, options));
  }
  std::string name = fmt::format("{}_{}", aDeployment.name, aCase);
  fmt::print("replica_share_{} {:.2f} percent oracle {:.2f} of_oracle {:.2f} "
             "baseline {:.2f}\n",
             name,
             Share(total.tolerantReplicaReads, total.tolerantReads),
             Share(total.oracleReads, total.tolerantReads),
             Share(total.tolerantReplicaReads, total.oracleReads),
             Share(baseline.tolerantReplicaReads, baseline.tolerantReads));
  fmt::print("stale_reads_{} {} count\n", name, total.violations.size());
  fmt::print("tolerant_reads_refused_{} {} count baseline {}\n",
             name,
             total.readsRefused,
             baseline.readsRefused);
}

void
MeasureOverload(const Deployment& aDeployment)
{
  double capacity = FindCapacity(aDeployment);
  fmt::print(
    "capacity_{} {:.0f} per_second\n", aDeployment.name, capacity * 1000);
  for (double load : { 0.8, 1.0, 2.0, 4.0 }) {
    OverloadResult defaultResult =
      RunOverload(aDeployment, capacity * load, false);
    OverloadResult fifoResult = RunOverload(aDeployment, capacity * load, true);
    double maxRequests = capacity * static_cast<double>(kOverloadLength.ms);
    fmt::print("goodput_{}_at_{} {:.1f} percent_of_capacity baseline {:.1f}\n",
               aDeployment.name,
               load,
               100 * static_cast<double>(defaultResult.good) / maxRequests,
               100 * static_cast<double>(fifoResult.good) / maxRequests);
    fmt::print("urgent_in_time_{}_at_{} {:.1f} percent baseline {:.1f}\n",
               aDeployment.name,
               load,
               Share(defaultResult.criticalGood, defaultResult.criticalOffered),
               Share(fifoResult.criticalGood, fifoResult.criticalOffered));
    fmt::print("recovery_{}_at_{} {} ms baseline {}\n",
               aDeployment.name,
               load,
               defaultResult.recoveryMs,
               fifoResult.recoveryMs);
  }
}

void
MeasureRetries(const Deployment& aDeployment)
{
  // Silences the connections to each upstream in turn, again and again.
  GroupSimulationOptions options = LaggingOptionsOf(aDeployment).simulation;
  GroupSimulation simulation(options);
  History history(simulation, {});
  history.Start();
  uint64_t before = simulation.batches;
  uint64_t retriesBefore = simulation.retries;
  uint64_t answeredBefore = history.writesOk + history.readsOk;
  for (int i = 0; i < 20; ++i) {
    simulation.SilenceConnections(simulation.PreferredOwner(),
                                  static_cast<size_t>(i) % 3);
    simulation.RunFor(Millis(500));
  }
  uint64_t answered = history.writesOk + history.readsOk - answeredBefore;
  fmt::print(
    "retries_{} {} count of {} answered {} batches {}\n",
    aDeployment.name,
    simulation.retries - retriesBefore,
    answered,
    fmt::format("{:.3f} times",
                1 + static_cast<double>(simulation.retries - retriesBefore) /
                      static_cast<double>(answered)),
    simulation.batches - before);
}

void
MeasureOwnerLoss(const Deployment& aDeployment)
{
  std::vector<int64_t> gaps;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    Fault kill{ FaultKind::KillOwner, 500, 0, 0 };
    PlanResult result =
      RunPlan({ seed, { kill } }, LaggingOptionsOf(aDeployment));
    gaps.push_back(result.longestWriteGap.ms);
  }
  std::sort(gaps.begin(), gaps.end());
  fmt::print("gap_writes_losing_owner_{} {} ms median, {} ms longest\n",
             aDeployment.name,
             gaps[gaps.size() / 2],
             gaps.back());
}

} // namespace

int
main()
{
  for (const Deployment& deployment : { kAddisAbaba, kBrittany }) {
    MeasureReplicaShare(deployment, "no_fault", {});
    MeasureReplicaShare(deployment,
                        "stalled_replica",
                        { { FaultKind::StallReplica, 100, 3500, 0 } });
    MeasureReplicaShare(
      deployment, "failover", { { FaultKind::KillPrimary, 1000, 0, 0 } });
    MeasureOverload(deployment);
    MeasureRetries(deployment);
    MeasureOwnerLoss(deployment);
  }
  return 0;
}
