#include "fakes/generators.h"

#include <criterion/criterion.h>

// The guarantees for callers, as properties over random faults. The values that
// the callers read and write are checked; see fakes/history.h.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

const std::vector<FaultKind> kAllKinds = [] {
  std::vector<FaultKind> kinds;
  for (const auto& row : kFaultKindNames.rows) {
    kinds.push_back(row.value);
  }
  return kinds;
}();

bool
GuaranteesHold(const Plan& aPlan, const PlanOptions& aOptions = {})
{
  PlanResult result = RunPlan(aPlan, aOptions);
  if (!result.violations.empty() || result.hasDuplicateTerm) {
    RC_LOG() << aPlan << "\n" << result.ToString();
    return false;
  }
  return true;
}

/** Returns for how many seeds the checks find at least one violation. */
size_t
CountSeedsWithFindings(const std::vector<Fault>& aFaults,
                       const PlanOptions& aOptions,
                       uint32_t aSeeds)
{
  size_t found = 0;
  for (uint32_t seed = 1; seed <= aSeeds; ++seed) {
    found += RunPlan({ seed, aFaults }, aOptions).violations.empty() ? 0 : 1;
  }
  return found;
}

PlanOptions
OptionsWithLostAnswers()
{
  PlanOptions options;
  options.simulation.owners = 3;
  options.history.loseAnswers = true;
  return options;
}

} // namespace

Test(guarantees, hold_without_faults)
{
  cr_assert(rc::check("no fault, no violation, no promotion", [] {
    Plan plan;
    plan.seed = *rc::gen::inRange<uint32_t>(1, 100000);
    PlanResult result = RunPlan(plan);
    RC_ASSERT(result.violations.empty());
    RC_ASSERT(result.promotions == 0u);
    RC_ASSERT(result.writesNotRun == 0u);
    RC_ASSERT(result.writesOk > 0u);
  }));
}

namespace {

/**
 * Checks random plans of `aFaults` faults of the given kinds, with callers that
 * lose answers.
 */
bool
GuaranteesHoldForPlans(const char* aWhat,
                       const std::vector<FaultKind>& aKinds,
                       size_t aFaults)
{
  return rc::check(aWhat, [&] {
    auto plan = *GenPlan(aKinds, aFaults);
    RC_ASSERT(GuaranteesHold(plan, OptionsWithLostAnswers()));
  });
}

} // namespace

Test(guarantees, read_your_writes)
{
  cr_assert(GuaranteesHoldForPlans("read-your-writes and monotonic reads",
                                   { FaultKind::KillOwner,
                                     FaultKind::KillPrimary,
                                     FaultKind::StallReplica,
                                     FaultKind::SilenceLink },
                                   1));
}

Test(guarantees, replaced_primary_acknowledges_nothing)
{
  cr_assert(GuaranteesHoldForPlans("a replaced primary acknowledges nothing",
                                   { FaultKind::CutPrimaryFromReplicas,
                                     FaultKind::CutPrimaryFromAll,
                                     FaultKind::FreezePrimary,
                                     FaultKind::KillPrimary },
                                   1));
}

Test(guarantees, at_most_once)
{
  cr_assert(GuaranteesHoldForPlans(
    "no write runs twice, none reported as not run takes effect",
    { FaultKind::KillOwner,
      FaultKind::FreezeOwner,
      FaultKind::CutEntryFromOwner,
      FaultKind::SilenceUpstream,
      FaultKind::SilenceLink,
      FaultKind::KillPrimary },
    1));
}

Test(guarantees, hold_under_any_two_faults)
{
  cr_assert(
    GuaranteesHoldForPlans("any two faults at any two times", kAllKinds, 2));
}

// Mutation tests: the same checks must fail when a mechanism is switched off.

namespace {

class NoConfirmation : public ConfirmationPolicy
{
public:
  bool Counts(const LogPoint&, const UpstreamStatus&) const override
  {
    return true;
  }
  size_t Needed(size_t) const override { return 0; }
};

/** Routes reads by modified requirements. */
class ModifiedRequirementsRouting : public RoutingPolicy
{
public:
  Route Choose(const GroupConfig& aConfig,
               const GroupView& aView,
               const ConnectionTable& aConnections,
               const ReadRequirements& aRequirements,
               Time aNow) const override
  {
    return this->inner->Choose(
      aConfig, aView, aConnections, this->Modify(aRequirements), aNow);
  }

  bool Accepts(const GroupView& aView,
               const ReadRequirements& aRequirements,
               const UpstreamStatus& aReported,
               Time aNow) const override
  {
    return this->inner->Accepts(
      aView, this->Modify(aRequirements), aReported, aNow);
  }

private:
  virtual ReadRequirements Modify(ReadRequirements aRequirements) const = 0;

  std::unique_ptr<RoutingPolicy> inner = MakeFreshReplicaRouting();
};

class TokenIgnoringRouting : public ModifiedRequirementsRouting
{
  ReadRequirements Modify(ReadRequirements aRequirements) const override
  {
    aRequirements.seen = {};
    return aRequirements;
  }
};

class AgeIgnoringRouting : public ModifiedRequirementsRouting
{
  ReadRequirements Modify(ReadRequirements aRequirements) const override
  {
    if (aRequirements.maxAge) {
      aRequirements.maxAge = Seconds(3600);
    }
    return aRequirements;
  }
};

/** Options with one of the default policies replaced. */
PlanOptions
WithMutant(std::function<void(Policies&)> aReplace)
{
  PlanOptions options;
  options.simulation.policies = PoliciesWith(std::move(aReplace));
  return options;
}

template<typename P>
PlanOptions
WithRouting()
{
  return WithMutant(
    [](Policies& aPolicies) { aPolicies.routing = std::make_unique<P>(); });
}

PlanOptions
WithoutConfirmation()
{
  return WithMutant([](Policies& aPolicies) {
    aPolicies.confirmation = std::make_unique<NoConfirmation>();
  });
}

Fault
FaultAt(FaultKind aKind, int64_t aAtMs, int64_t aSpanMs = 500)
{
  return { aKind, aAtMs, aSpanMs, 0 };
}

} // namespace

Test(mutants, writes_without_confirmation_are_found)
{
  std::vector<Fault> faults{ FaultAt(
                               FaultKind::CutPrimaryFromReplicas, 500, 2000),
                             FaultAt(FaultKind::KillPrimary, 900) };
  size_t found = CountSeedsWithFindings(faults, WithoutConfirmation(), 20);
  printf("found by the check in %zu of 20 seeds\n", found);
  cr_assert_gt(found, 0u);
  cr_assert_eq(CountSeedsWithFindings(faults, {}, 20), 0u);
}

Test(mutants, reads_without_tokens_are_found)
{
  size_t found =
    CountSeedsWithFindings({}, WithRouting<TokenIgnoringRouting>(), 20);
  printf("found by the check in %zu of 20 seeds\n", found);
  cr_assert_gt(found, 0u);
  cr_assert_eq(CountSeedsWithFindings({}, {}, 20), 0u);
}

Test(mutants, reads_without_age_are_found)
{
  std::vector<Fault> faults{ FaultAt(FaultKind::StallReplica, 100, 3500) };
  size_t found =
    CountSeedsWithFindings(faults, WithRouting<AgeIgnoringRouting>(), 20);
  printf("found by the check in %zu of 20 seeds\n", found);
  cr_assert_gt(found, 0u);
  cr_assert_eq(CountSeedsWithFindings(faults, {}, 20), 0u);
}

Test(mutants, duplicate_request_records_are_found)
{
  std::vector<Fault> faults{ FaultAt(FaultKind::SilenceUpstream, 300),
                             FaultAt(FaultKind::SilenceLink, 600),
                             FaultAt(FaultKind::FreezeOwner, 1200, 900) };
  PlanOptions mutant = OptionsWithLostAnswers();
  mutant.prepare = [](GroupSimulation& aSimulation) {
    for (size_t i = 0; i < aSimulation.config.upstreams.size(); ++i) {
      aSimulation.DatabaseOf(i).testSettings.enforceUniqueRecords = false;
    }
  };
  size_t found = CountSeedsWithFindings(faults, mutant, 20);
  printf("found by the check in %zu of 20 seeds\n", found);
  cr_assert_gt(found, 0u);
  cr_assert_eq(CountSeedsWithFindings(faults, OptionsWithLostAnswers(), 20),
               0u);
}
