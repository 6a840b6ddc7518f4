#include "fakes/group-faults.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

// The guarantees of a group, as a property over random sequences of faults.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr int kMostSteps = 24;

rc::Gen<GroupFault>
GenFault()
{
  return rc::gen::weightedElement<GroupFault>({ { 4, GroupFault::Replace },
                                                { 3, GroupFault::Lapse },
                                                { 3, GroupFault::Deafen },
                                                { 2, GroupFault::Crash },
                                                { 1, GroupFault::Relist },
                                                { 1, GroupFault::Return },
                                                { 1, GroupFault::Hear },
                                                { 1, GroupFault::MoveDuty },
                                                { 1, GroupFault::StoreDown },
                                                { 1, GroupFault::StoreUp } });
}

rc::Gen<GroupStep>
GenStep()
{
  return rc::gen::build<GroupStep>(
    rc::gen::set(&GroupStep::fault, GenFault()),
    rc::gen::set(&GroupStep::party, rc::gen::inRange<size_t>(0, 6)),
    rc::gen::set(&GroupStep::spanMs, rc::gen::inRange<int64_t>(0, 3000)),
    rc::gen::set(&GroupStep::readMs, rc::gen::inRange<int64_t>(0, 1500)));
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
      rc::gen::resize(kMostSteps,
                      rc::gen::container<std::vector<GroupStep>>(
                        rc::gen::resize(rc::kNominalSize, GenStep())))));
}

} // namespace

// Crashed upstreams restart with their log, as in docs/GUARANTEES.md.
Test(group_faults, no_read_is_too_old_no_commit_is_lost_and_service_returns)
{
  cr_assert(rc::check("guarantees under random sequences of faults", [] {
    auto plan = *GenPlan();
    std::string wrongs = PlayGroupPlan(plan);
    RC_LOG() << plan << "\n" << wrongs;
    RC_ASSERT(wrongs.empty());
  }));
}

// Guards against releasing a held replica to the old primary while the promoted
// upstream is down. No upstream receives log entries, upstream 1 crashes, the
// promoter's process is replaced, then upstream 2 receives entries again.
Test(group_faults, a_replica_stays_held_while_one_may_lead_that_is_not_heard)
{
  GroupPlan plan;
  plan.steps = {
    { GroupFault::Deafen, 2, 0, 0 },    { GroupFault::Deafen, 1, 0, 0 },
    { GroupFault::Deafen, 0, 1304, 0 }, { GroupFault::Crash, 1, 0, 0 },
    { GroupFault::Replace, 0, 0, 0 },   { GroupFault::Hear, 2, 0, 0 }
  };
  cr_assert_str_eq(PlayGroupPlan(plan).c_str(), "");
}
