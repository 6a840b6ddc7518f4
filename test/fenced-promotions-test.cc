#include "fakes/promotion-run.h"

#include <criterion/criterion.h>

// Commits that are confirmed between the order of a promotion and its effect,
// or after it, by upstreams that the promoter does not know, does not reach or
// cannot hold. Each is lost at the new primary, so no caller may be told that
// it was committed.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kSeeds = 30;
constexpr Duration kAfterwards = Seconds(2);

void
CheckNoViolation(const PromotionRun& aRun, uint32_t aSeed)
{
  std::string violation = aRun.Violation();
  cr_expect(violation.empty(), "seed %u: %s", aSeed, violation.c_str());
}

void
CheckRecovery(PromotionRun& aRun,
              uint32_t aSeed,
              const std::set<size_t>& aLost = {})
{
  std::string violation = aRun.ViolationAfterRecovery(aLost);
  cr_expect(violation.empty(), "seed %u: %s", aSeed, violation.c_str());
}

/** Runs until the phase, which each seed must reach. */
void
AwaitPhase(PromotionRun& aRun, PromotionPhase aPhase, uint32_t aSeed)
{
  cr_assert(aRun.AwaitPhase(aPhase), "seed %u", aSeed);
}

void
AwaitPromotion(PromotionRun& aRun, uint32_t aSeed)
{
  cr_assert(aRun.AwaitPromotion(), "seed %u: no promotion", aSeed);
}

} // namespace

// Guards against losing the waiting commits that an unlisted upstream confirms
// between the order and the effect of a promotion for stalled commits.
Test(fenced_promotions, upstream_started_after_the_order_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PromotionRun run(PromotionRun::Options(seed));
    run.StopReplication();
    AwaitPhase(run, PromotionPhase::Confirming, seed);
    run.WriteFor(Duration{ 5 + 9 * seed });
    size_t started = run.StartUnlisted();
    AwaitPromotion(run, seed);
    CheckNoViolation(run, seed);
    run.WriteFor(Millis(500));
    run.simulation.Upstream(started).isListed = true;
    run.WriteFor(kAfterwards);
    CheckNoViolation(run, seed);
    CheckRecovery(run, seed);
  }
}

// Guards against an order by logs that lack what an unlisted upstream confirms
// between the holds and the order.
Test(fenced_promotions, upstream_started_before_the_order_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PromotionRun run(PromotionRun::Options(seed));
    run.StopReplication();
    AwaitPhase(run, PromotionPhase::Holding, seed);
    run.WriteFor(Duration{ seed });
    size_t started = run.StartUnlisted();
    run.AwaitPromotion();
    CheckNoViolation(run, seed);
    run.simulation.Upstream(started).isListed = true;
    run.WriteFor(kAfterwards);
    CheckNoViolation(run, seed);
    CheckRecovery(run, seed);
  }
}

// Guards against passing on an acknowledgement that reaches a host when it goes
// on after the promotion has taken effect.
Test(fenced_promotions, paused_host_acknowledges_no_lost_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PromotionRun run(PromotionRun::Options(seed));
    run.StopReplication();
    run.WriteFor(Millis(100));
    run.simulation.paused.insert(2);
    run.writers = { 0, 1 };
    run.readers = { 0, 1 };
    AwaitPhase(run, PromotionPhase::Confirming, seed);
    run.WriteFor(Duration{ 5 + 9 * seed });
    run.StartUnlisted();
    AwaitPromotion(run, seed);
    run.WriteFor(Duration{ 10 * seed });
    run.simulation.paused.erase(2);
    run.WriteFor(kAfterwards);
    CheckNoViolation(run, seed);
    CheckRecovery(run, seed);
  }
}

// Guards against the same when the promoter's messages to the host are lost.
Test(fenced_promotions,
     paused_host_without_requests_acknowledges_no_lost_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PromotionRun run(PromotionRun::Options(seed));
    run.simulation.severedHosts = { { 0, 2 }, { 2, 0 } };
    run.StopReplication();
    run.WriteFor(Millis(100));
    run.simulation.paused.insert(2);
    run.writers = { 0, 1 };
    run.readers = { 0, 1 };
    AwaitPhase(run, PromotionPhase::Confirming, seed);
    run.WriteFor(Duration{ 5 + 9 * seed });
    run.StartUnlisted();
    AwaitPromotion(run, seed);
    run.WriteFor(Duration{ 10 * seed });
    run.simulation.paused.erase(2);
    run.WriteFor(kAfterwards);
    CheckNoViolation(run, seed);
    CheckRecovery(run, seed);
  }
}

// Guards against a host that the promoter's messages do not reach, and which
// has lost the store, but still acknowledges commits.
Test(fenced_promotions, severed_host_without_the_store_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PromotionRun run(PromotionRun::Options(seed));
    run.simulation.severedHosts = { { 0, 2 }, { 2, 0 } };
    run.simulation.withoutRegistry = { 2 };
    run.StopReplication();
    AwaitPhase(run, PromotionPhase::Confirming, seed);
    run.WriteFor(Duration{ 5 + 9 * seed });
    size_t started = run.StartUnlisted();
    AwaitPromotion(run, seed);
    run.WriteFor(Millis(500));
    run.simulation.Upstream(started).isListed = true;
    run.WriteFor(kAfterwards);
    CheckNoViolation(run, seed);
    CheckRecovery(run, seed);
  }
}

// Guards against the same when the host still reads the store: there is no
// order before it is reached, though an upstream confirms what it has sent.
Test(fenced_promotions, severed_host_with_the_store_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PromotionRun run(PromotionRun::Options(seed));
    run.simulation.severedHosts = { { 0, 2 }, { 2, 0 } };
    run.StopReplication();
    AwaitPhase(run, PromotionPhase::Fencing, seed);
    run.WriteFor(Duration{ 5 + 9 * seed });
    size_t started = run.StartUnlisted();
    run.WriteFor(Seconds(3));
    cr_assert_eq(run.simulation.Promotions(), 0, "seed %u", seed);
    run.simulation.Upstream(started).isListed = true;
    run.simulation.severedHosts.clear();
    run.WriteFor(kAfterwards);
    CheckNoViolation(run, seed);
    CheckRecovery(run, seed);
  }
}

// Guards against a new process of a fenced host, which has no fence yet.
Test(fenced_promotions, host_replaced_after_the_order_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PromotionRun run(PromotionRun::Options(seed));
    run.StopReplication();
    AwaitPhase(run, PromotionPhase::Confirming, seed);
    run.StartUnlisted();
    run.WriteFor(Duration{ 8 * seed });
    run.simulation.ReplaceHost(2);
    AwaitPromotion(run, seed);
    run.WriteFor(kAfterwards);
    CheckNoViolation(run, seed);
    CheckRecovery(run, seed);
  }
}
