#include "fakes/promotion-plan.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

// The guarantees of a group, as a property over faults around a promotion.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr int kMaxSteps = 10;

rc::Gen<PromotionStep>
GenStep()
{
  auto faults = rc::gen::weightedElement<PromotionFault>(
    { { 4, PromotionFault::StartUnlisted },
      { 4, PromotionFault::CutPrimary },
      { 2, PromotionFault::BlockReplica },
      { 3, PromotionFault::RestartReplica },
      { 2, PromotionFault::PauseHost },
      { 2, PromotionFault::ReplaceHost },
      { 1, PromotionFault::SeverHost },
      { 1, PromotionFault::LosePromoter } });
  // A promotion for stalled commits takes some 1.3 s; faults should meet it.
  return rc::gen::build<PromotionStep>(
    rc::gen::set(&PromotionStep::fault, faults),
    rc::gen::set(&PromotionStep::target, rc::gen::inRange<size_t>(0, 12)),
    rc::gen::set(&PromotionStep::afterMs, rc::gen::inRange<int64_t>(0, 700)),
    rc::gen::set(&PromotionStep::spanMs, rc::gen::inRange<int64_t>(20, 4000)));
}

rc::Gen<PromotionPlan>
GenPlan()
{
  auto step = rc::gen::resize(rc::kNominalSize, GenStep());
  return rc::gen::build<PromotionPlan>(
    rc::gen::set(&PromotionPlan::seed, rc::gen::inRange<uint32_t>(1, 100000)),
    rc::gen::set(&PromotionPlan::promotionMs,
                 rc::gen::element<int64_t>(300, 300, 600, 1500, 3000, 4000)),
    rc::gen::set(
      &PromotionPlan::steps,
      rc::gen::resize(kMaxSteps,
                      rc::gen::container<std::vector<PromotionStep>>(step))));
}

} // namespace

Test(promotion_faults, faults_around_a_promotion_lose_nothing)
{
  cr_assert(rc::check("guarantees under faults around a promotion", [] {
    auto plan = *GenPlan();
    std::string violations = RunPromotionPlan(plan);
    RC_LOG() << plan << "\n" << violations;
    RC_ASSERT(violations.empty());
  }));
}

// Guards against a promoter that serves nothing once it reaches the hosts and
// the store again, which it was cut off from during a promotion.
Test(promotion_faults, promoter_that_was_cut_off_serves_again)
{
  PromotionPlan plan;
  plan.promotionMs = 600;
  plan.steps = { { PromotionFault::RestartReplica, 1, 0, 20 },
                 { PromotionFault::CutPrimary, 0, 7, 987 },
                 { PromotionFault::SeverHost, 0, 216, 2511 } };
  cr_assert_str_eq(RunPromotionPlan(plan).c_str(), "");
}
