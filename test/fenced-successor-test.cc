#include "fakes/group-faults.h"

#include <criterion/criterion.h>

#include <algorithm>

// When hosts use a new primary: at once if all hosts were fenced before its
// promotion was ordered, else after the last proof of the old one has expired.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kSeeds = 30;
constexpr Duration kWriteInterval = Millis(10);
// Reports are requested at most each 100 ms.
constexpr Duration kFencedUseLimit = Millis(250);
constexpr Duration kPromotionLimit = Seconds(6);

ProxySimulationOptions
Options(uint32_t aSeed)
{
  ProxySimulationOptions options;
  options.hosts = 3;
  options.seed = aSeed;
  options.jitter = Millis(4);
  options.connections = 120;
  options.stepsDownAfter = kStepsDownAfter;
  options.registryInterval = Millis(1000);
  return options;
}

/** A planned change of the primary, with writes and reads all the while. */
class PlannedChange
{
public:
  explicit PlannedChange(uint32_t aSeed)
    : simulation(Options(aSeed))
  {
    this->simulation.SetPromoterLease(0, true);
    this->simulation.RunFor(Millis(1500));
    this->WriteFor(Millis(200));
  }

  void WriteFor(Duration aSpan)
  {
    Time end = this->simulation.Now() + aSpan;
    while (this->simulation.Now() < end) {
      for (size_t host = 0; host < this->simulation.Hosts(); ++host) {
        std::string value = std::to_string(this->simulation.Requests().size());
        this->simulation.SubmitStatement(
          host, this->simulation.OpenSession(host), WriteStatement("a", value));
        this->simulation.SubmitStatement(
          host, this->simulation.OpenSession(host), ReadStatement("a"));
      }
      this->simulation.RunFor(
        std::min(kWriteInterval, end - this->simulation.Now()));
    }
  }

  void AwaitPromotion()
  {
    Time limit = this->simulation.Now() + kPromotionLimit;
    while (this->simulation.Promotions() == 0 &&
           this->simulation.Now() < limit) {
      this->WriteFor(Millis(1));
    }
    cr_assert_eq(this->simulation.Promotions(), 1);
  }

  /** How many commits of the new primary were acknowledged to callers. */
  size_t AcknowledgedAnew() const
  {
    const auto& entries = this->simulation.Acknowledged();
    return std::count_if(entries.begin(),
                         entries.end(),
                         [](const LogEntry& aOne) { return aOne.term > 1; });
  }

  void CheckNoViolation(uint32_t aSeed) const
  {
    std::string violations = this->simulation.Violations();
    std::string first = violations.substr(0, violations.find('\n'));
    cr_assert(first.empty(), "seed %u: %s", aSeed, first.c_str());
  }

  ProxySimulation simulation;
};

} // namespace

Test(fenced_successor, is_used_at_once_and_serves_no_stale_reads)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PlannedChange run(seed);
    run.simulation.AnnounceDeparture(0);
    run.AwaitPromotion();
    run.WriteFor(kFencedUseLimit);
    cr_assert_gt(run.AcknowledgedAnew(), 0, "seed %u", seed);
    run.WriteFor(Seconds(2));
    run.CheckNoViolation(seed);
  }
}

// A host that the promoter does not reach may still use the old primary.
Test(fenced_successor, waits_for_old_proofs_if_a_host_was_not_fenced)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PlannedChange run(seed);
    run.simulation.severedHosts = { { 0, 2 } };
    run.simulation.withoutRegistry = { 2 };
    run.simulation.AnnounceDeparture(0);
    run.AwaitPromotion();
    run.WriteFor(kPrimaryProofValidity - Millis(50));
    cr_assert_eq(run.AcknowledgedAnew(), 0, "seed %u", seed);
    run.WriteFor(Seconds(2));
    cr_assert_gt(run.AcknowledgedAnew(), 0, "seed %u", seed);
    run.CheckNoViolation(seed);
  }
}
