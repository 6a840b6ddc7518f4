#include "fakes/promotion-run.h"

#include <criterion/criterion.h>

// What the promoter takes from the hosts' replies: the commits that only other
// hosts have acknowledged.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kSeeds = 30;
constexpr Duration kAfterwards = Seconds(4);

} // namespace

// Guards against an order for a log that lacks commits which other hosts have
// acknowledged: an unlisted upstream has confirmed them, and the promoter does
// not reach the primary.
Test(fence_replies, commits_that_only_other_hosts_acknowledged_are_kept)
{
  size_t acknowledged = 0;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PromotionRun run(PromotionRun::Options(seed));
    run.writers = { 1, 2 };
    run.StopReplication();
    run.simulation.Upstream(0).unreachableFrom.insert(0);
    run.WriteFor(Duration{ 10 * seed });
    size_t before = run.simulation.Acknowledged().size();
    size_t started = run.StartUnlisted();
    run.simulation.Upstream(started).unreachableFrom.insert(0);
    run.WriteFor(kAfterwards);
    acknowledged += run.simulation.Acknowledged().size() - before;
    std::string violation = run.Violation();
    cr_expect(violation.empty(), "seed %u: %s", seed, violation.c_str());
    violation = run.ViolationAfterRecovery();
    cr_expect(violation.empty(), "seed %u: %s", seed, violation.c_str());
  }
  cr_assert_gt(acknowledged, 0);
}
