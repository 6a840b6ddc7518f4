#include "fakes/group-faults.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

// The guarantees of a group, as a property over random sequences of faults.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr int kMaxSteps = 24;

rc::Gen<GroupFault>
GenFault()
{
  return rc::gen::weightedElement<GroupFault>(
    { { 4, GroupFault::ReplaceProcess },
      { 3, GroupFault::ExpireRegistration },
      { 3, GroupFault::StopReplication },
      { 2, GroupFault::Crash },
      { 1, GroupFault::RenewRegistration },
      { 1, GroupFault::RestartWithLog },
      { 1, GroupFault::ResumeReplication },
      { 1, GroupFault::MoveLease },
      { 1, GroupFault::StoreDown },
      { 1, GroupFault::StoreUp } });
}

rc::Gen<GroupStep>
GenStep()
{
  return rc::gen::build<GroupStep>(
    rc::gen::set(&GroupStep::fault, GenFault()),
    rc::gen::set(&GroupStep::targetIndex, rc::gen::inRange<size_t>(0, 6)),
    rc::gen::set(&GroupStep::spanMs, rc::gen::inRange<int64_t>(0, 3000)),
    rc::gen::set(&GroupStep::registryReadMs,
                 rc::gen::inRange<int64_t>(0, 1500)));
}

rc::Gen<GroupPlan>
GenPlan()
{
  return rc::gen::build<GroupPlan>(
    rc::gen::set(&GroupPlan::seed, rc::gen::inRange<uint32_t>(1, 100000)),
    rc::gen::set(&GroupPlan::freshness,
                 rc::gen::element(
                   Freshness::Newest, Freshness::Bounded, Freshness::Session)),
    rc::gen::set(
      &GroupPlan::steps,
      rc::gen::resize(kMaxSteps,
                      rc::gen::container<std::vector<GroupStep>>(
                        rc::gen::resize(rc::kNominalSize, GenStep())))));
}

} // namespace

// Crashed upstreams restart with their log, as in docs/GUARANTEES.md.
Test(group_faults, reads_are_fresh_commits_survive_and_service_recovers)
{
  cr_assert(rc::check("guarantees under random sequences of faults", [] {
    auto plan = *GenPlan();
    std::string violations = RunGroupPlan(plan);
    RC_LOG() << plan << "\n" << violations;
    RC_ASSERT(violations.empty());
  }));
}

// Guards against releasing a held replica to the old primary while the promoted
// upstream is down. No upstream receives log entries, upstream 1 crashes, the
// promoter's process is replaced, then upstream 2 receives entries again.
Test(group_faults,
     replica_stays_held_while_an_unreachable_upstream_may_be_primary)
{
  GroupPlan plan;
  plan.steps = { { GroupFault::StopReplication, 2, 0, 0 },
                 { GroupFault::StopReplication, 1, 0, 0 },
                 { GroupFault::StopReplication, 0, 1304, 0 },
                 { GroupFault::Crash, 1, 0, 0 },
                 { GroupFault::ReplaceProcess, 0, 0, 0 },
                 { GroupFault::ResumeReplication, 2, 0, 0 } };
  cr_assert_str_eq(RunGroupPlan(plan).c_str(), "");
}
