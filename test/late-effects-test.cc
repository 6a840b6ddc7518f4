#include "fakes/promotion-run.h"

#include <criterion/criterion.h>

// Promotions that take effect late, and confirmers that are back after the
// effect: the old primary and a replica reach each other and most hosts, but
// neither the new primary nor the promoter, host 0.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kSeeds = 30;
// Fences expire `kFenceValidity` after the promoter's last request.
constexpr Duration kAfterwards = Seconds(8);
// Another host gets the lease once its holder's has expired.
constexpr Duration kLeaseMoveDelay = Millis(6500);
constexpr Duration kEarlyLeaseMove = Seconds(3);

void
CheckNoViolation(const PromotionRun& aRun, uint32_t aSeed)
{
  std::string violation = aRun.Violation();
  cr_expect(violation.empty(), "seed %u: %s", aSeed, violation.c_str());
}

void
CheckRecovery(PromotionRun& aRun, uint32_t aSeed)
{
  std::string violation = aRun.ViolationAfterRecovery();
  cr_expect(violation.empty(), "seed %u: %s", aSeed, violation.c_str());
}

/**
 * A promotion for a primary that the promoter does not reach. One of the
 * replicas ends after its hold; from then on it and the old primary do not
 * reach the other one, the candidate.
 */
class SplitGroup
{
public:
  explicit SplitGroup(uint32_t aSeed)
    : run(PromotionRun::Options(aSeed))
    , seed(aSeed)
    , lost(1 + aSeed % 2)
    , candidate(3 - lost)
  {
    ProxySimulation& simulation = this->run.simulation;
    this->run.writers = { 1, 2 };
    // The candidate is the replica with the longest log.
    simulation.SetReplicationBlocked(this->lost, true);
    this->run.WriteFor(Millis(100));
    simulation.Upstream(0).unreachableFrom.insert(0);
    cr_assert(
      this->run.AwaitPhase(PromotionPhase::Confirming), "seed %u", this->seed);
    simulation.Kill(this->lost);
    simulation.Sever(this->lost, this->candidate);
    simulation.Sever(0, this->candidate);
    simulation.Upstream(this->lost).unreachableFrom.insert(0);
    simulation.Upstream(this->lost).isReplicationBlocked = false;
    cr_assert(this->run.AwaitPromotion(), "seed %u", this->seed);
    cr_assert_eq(simulation.PrimaryIndex(), this->candidate);
  }

  /** The hosts but the promoter do not reach the new primary either. */
  void HideNewPrimary()
  {
    ProxySimulation& simulation = this->run.simulation;
    simulation.Upstream(this->candidate).unreachableFrom = { 1, 2 };
  }

  /** The replica is back 20 to 3,000 ms after the effect. */
  void RestartReplica()
  {
    this->run.WriteFor(Duration{ 20 + 2980 * (this->seed - 1) / (kSeeds - 1) });
    this->run.simulation.Restart(this->lost);
  }

  void Check()
  {
    this->run.WriteFor(kAfterwards);
    CheckNoViolation(this->run, this->seed);
    CheckRecovery(this->run, this->seed);
  }

  PromotionRun run;
  uint32_t seed;
  size_t lost;
  size_t candidate;
};

enum class PromoterLoss
{
  Paused,
  Idle,     // its process is replaced, and gets no calls
  Replaced, // the new process gets calls
};

/**
 * The promoter is lost right after an order that takes effect `aEffect` later,
 * a replica is resumed meanwhile, and another host promotes 3 s later.
 */
void
CheckLateEffect(Duration aEffect, PromoterLoss aLoss)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxySimulationOptions options = PromotionRun::Options(seed);
    options.promotionTime = aEffect;
    PromotionRun run(options);
    ProxySimulation& simulation = run.simulation;
    run.StopReplication();
    cr_assert(run.AwaitPhase(PromotionPhase::Confirming), "seed %u", seed);
    if (aLoss == PromoterLoss::Paused) {
      simulation.paused.insert(0);
    } else {
      simulation.ReplaceHost(0);
    }
    if (aLoss != PromoterLoss::Replaced) {
      run.writers = { 1, 2 };
      run.readers = { 1, 2 };
    }
    run.WriteFor(Duration{ 40 * seed });
    run.Resume(2);
    run.WriteFor(kEarlyLeaseMove - Duration{ 40 * seed });
    simulation.SetPromoterLease(1, true);
    run.WriteFor(kAfterwards);
    CheckNoViolation(run, seed);
    CheckRecovery(run, seed);
  }
}

} // namespace

// Guards against losing what a replica that is back only after the effect
// confirms for the old primary (issue 47).
Test(late_effects, replica_back_after_the_effect_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SplitGroup group(seed);
    group.RestartReplica();
    group.Check();
  }
}

// Guards against the same while the other hosts do not reach the new primary.
Test(late_effects, replica_back_while_the_new_primary_is_hidden_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SplitGroup group(seed);
    group.HideNewPrimary();
    group.RestartReplica();
    group.Check();
  }
}

// Guards against the same when the promoter's process is replaced at the
// effect, so that nobody is told of the new term.
Test(late_effects, promoter_replaced_at_the_effect_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SplitGroup group(seed);
    group.HideNewPrimary();
    group.run.simulation.ReplaceHost(0);
    group.run.simulation.SetPromoterLease(0, true);
    group.RestartReplica();
    group.Check();
  }
}

// Guards against the same when the lease moves to another host at the effect.
Test(late_effects, lease_moved_at_the_effect_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SplitGroup group(seed);
    group.run.simulation.SetPromoterLease(0, false);
    group.RestartReplica();
    group.run.WriteFor(kLeaseMoveDelay);
    group.run.simulation.SetPromoterLease(1, true);
    group.Check();
  }
}

// Guards against a new process of another host, which does not know the term.
Test(late_effects, host_replaced_after_the_effect_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SplitGroup group(seed);
    group.HideNewPrimary();
    group.RestartReplica();
    group.run.simulation.ReplaceHost(2);
    group.Check();
  }
}

// Guards against taking a late order for expired: replicas are resumed, and it
// takes effect all the same.
Test(late_effects, late_order_of_a_lost_promoter_loses_no_commit)
{
  for (Duration effect : { Millis(1500), Seconds(3), Seconds(4) }) {
    CheckLateEffect(effect, PromoterLoss::Idle);
  }
}

Test(late_effects, late_order_of_a_paused_promoter_loses_no_commit)
{
  for (Duration effect : { Millis(1500), Seconds(3), Seconds(4) }) {
    CheckLateEffect(effect, PromoterLoss::Paused);
  }
}

// Guards against commits that the promoter's new process, which has no fence,
// acknowledges before its late order takes effect.
Test(late_effects, late_order_of_a_replaced_promoter_loses_no_commit)
{
  for (Duration effect : { Millis(1500), Seconds(3), Seconds(4) }) {
    CheckLateEffect(effect, PromoterLoss::Replaced);
  }
}
