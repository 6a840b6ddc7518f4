#include "fakes/group-faults.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <ostream>

// Replicas that restart after they were held for a promotion: a restarted
// replica is not held any more and confirms commits of the old primary.
//
// Host 0 holds the promoter lease and is partitioned from the primary u0, which
// the other hosts still reach. u1 is to replace it, and u2 restarts.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kSeeds = 30;
constexpr Duration kWriteInterval = Millis(20);
// The first and the last time between the order and the end of the replica's
// process; a promotion takes effect 300 ms after its order.
constexpr int64_t kFirstEndMs = 5;
constexpr int64_t kEndStepMs = 8;
constexpr int64_t kResumeStepMs = 7;
constexpr Duration kRestartTime = Millis(40);
constexpr Duration kCatchUpTime = Millis(150);
constexpr Duration kPromotionLimit = Seconds(5);

ProxySimulationOptions
Options(uint32_t aSeed)
{
  ProxySimulationOptions options;
  options.hosts = 3;
  options.seed = aSeed;
  options.jitter = Millis(4);
  options.connections = 120;
  options.stepsDownAfter = kStepsDownAfter;
  return options;
}

/** A simulation in which the promoter cannot reach the primary any more. */
class PartitionedPromoter
{
public:
  explicit PartitionedPromoter(uint32_t aSeed)
    : simulation(Options(aSeed))
  {
    this->simulation.SetPromoterLease(0, true);
    this->simulation.RunFor(Millis(1500));
    this->WriteFor(Millis(200));
    this->simulation.Upstream(0).unreachableFrom.insert(0);
  }

  const Promotion& RunningPromotion()
  {
    return this->simulation.Host(0).Services().at("service").promotion;
  }

  /** Sends writes to `writers` in turn, and reads to `readers`. */
  void WriteFor(Duration aSpan)
  {
    Time end = this->simulation.Now() + aSpan;
    while (this->simulation.Now() < end) {
      size_t turn = this->simulation.Requests().size();
      this->SubmitWrite(this->writers[turn % this->writers.size()]);
      for (size_t reader : this->readers) {
        this->simulation.SubmitStatement(
          reader, this->simulation.OpenSession(reader), ReadStatement("a"));
      }
      this->simulation.RunFor(
        std::min(kWriteInterval, end - this->simulation.Now()));
    }
  }

  void SubmitWrite(size_t aHost)
  {
    std::string value =
      "w" + std::to_string(this->simulation.Requests().size());
    this->simulation.SubmitStatement(
      aHost, this->simulation.OpenSession(aHost), WriteStatement("a", value));
  }

  /** Runs until the promotion is in the phase. */
  void AwaitPhase(PromotionPhase aPhase)
  {
    Time limit = this->simulation.Now() + kPromotionLimit;
    while (this->RunningPromotion().Phase() != aPhase &&
           this->simulation.Now() < limit) {
      this->WriteFor(Millis(1));
    }
    cr_assert_eq(this->RunningPromotion().Phase(), aPhase);
  }

  /** Runs until the upstream is held or `kPromotionLimit` is over. */
  void AwaitHold(size_t aUpstream)
  {
    Time limit = this->simulation.Now() + kPromotionLimit;
    while (this->RunningPromotion().Held().count(aUpstream) == 0 &&
           this->simulation.Now() < limit) {
      this->WriteFor(Millis(1));
    }
  }

  void RestartReplica(size_t aUpstream, Duration aDowntime = kRestartTime)
  {
    this->simulation.Kill(aUpstream);
    this->WriteFor(aDowntime);
    this->simulation.Restart(aUpstream);
  }

  /** A command that resumes the replica arrives late, from another promoter. */
  void ResumeLate(size_t aUpstream)
  {
    this->simulation.Upstream(aUpstream).held = 0;
    this->simulation.SetReplicationBlocked(aUpstream, false);
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

  void CheckNoViolation(uint32_t aSeed) const
  {
    std::string violations = this->simulation.Violations();
    std::string first = violations.substr(0, violations.find('\n'));
    cr_assert(first.empty(), "seed %u: %s", aSeed, first.c_str());
  }

  ProxySimulation simulation;
  std::vector<size_t> writers{ 1, 2 };
  std::vector<size_t> readers{ 0, 1, 2 };
};

/** A replica restarts, or the promoter does not reach it for a while. */
struct HoldFault
{
  int64_t afterMs = 0; // after the end of the last fault
  size_t upstream = 1;
  bool isRestart = true;
  int64_t spanMs = 0; // how long the replica is down or out of reach
};

std::ostream&
operator<<(std::ostream& aOut, const HoldFault& aFault)
{
  return aOut << "after " << aFault.afterMs << " ms u" << aFault.upstream
              << (aFault.isRestart ? " down for " : " out of reach for ")
              << aFault.spanMs << " ms";
}

rc::Gen<HoldFault>
GenHoldFault()
{
  return rc::gen::build<HoldFault>(
    rc::gen::set(&HoldFault::afterMs, rc::gen::inRange<int64_t>(0, 400)),
    rc::gen::set(&HoldFault::upstream, rc::gen::inRange<size_t>(1, 3)),
    rc::gen::set(&HoldFault::isRestart, rc::gen::arbitrary<bool>()),
    rc::gen::set(&HoldFault::spanMs,
                 rc::gen::inRange<int64_t>(kRestartTime.ms, 300)));
}

} // namespace

// Guards against losing the commits that a held replica confirms once it has
// restarted, between the order of a promotion and its effect.
Test(lost_holds, replica_restarted_after_the_order_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PartitionedPromoter run(seed);
    run.AwaitPhase(PromotionPhase::Confirming);
    run.WriteFor(Duration{ kFirstEndMs + kEndStepMs * seed });
    run.RestartReplica(2);
    run.AwaitPromotion();
    run.CheckNoViolation(seed);
    run.WriteFor(Seconds(2));
    run.CheckNoViolation(seed);
  }
}

// Guards against ordering a promotion for which one of the replicas is not held
// any more.
Test(lost_holds, replica_restarted_before_the_order_is_held_again)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PartitionedPromoter run(seed);
    run.simulation.Upstream(1).unreachableFrom.insert(0);
    run.AwaitHold(2);
    run.RestartReplica(2);
    run.simulation.Upstream(1).unreachableFrom.erase(0);
    run.AwaitPromotion();
    run.CheckNoViolation(seed);
    run.WriteFor(Seconds(2));
    run.CheckNoViolation(seed);
  }
}

// Guards against losing the commits that a held replica confirms once a late
// command of an earlier promoter has resumed it. Its connections stay open, so
// only its report shows it.
Test(lost_holds, replica_resumed_after_the_order_loses_no_commit)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PartitionedPromoter run(seed);
    run.AwaitPhase(PromotionPhase::Confirming);
    run.WriteFor(Duration{ kFirstEndMs + kResumeStepMs * seed });
    run.ResumeLate(2);
    run.AwaitPromotion();
    run.CheckNoViolation(seed);
    run.WriteFor(Seconds(2));
    run.CheckNoViolation(seed);
  }
}

// Guards against an order by holds of which one has ended since its report.
Test(lost_holds, replica_resumed_before_the_order_is_held_again)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PartitionedPromoter run(seed);
    run.simulation.Upstream(1).unreachableFrom.insert(0);
    run.AwaitHold(2);
    run.ResumeLate(2);
    run.simulation.Upstream(1).unreachableFrom.erase(0);
    run.AwaitPhase(PromotionPhase::Ordering);
    cr_assert_neq(run.simulation.Upstream(2).held, 0, "seed %u", seed);
    run.AwaitPromotion();
    run.CheckNoViolation(seed);
  }
}

// Guards against losing commits while the candidate of a leaving primary
// catches up: a replica that is resumed meanwhile confirms what the candidate
// lacks.
Test(lost_holds, replica_resumed_while_the_candidate_catches_up_is_held_again)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PartitionedPromoter run(seed);
    run.simulation.Upstream(0).unreachableFrom.clear();
    run.simulation.Upstream(2).unreachableFrom.insert(0);
    run.simulation.AnnounceDeparture(0);
    run.simulation.SendRegistryToAll();
    run.AwaitPhase(PromotionPhase::Holding);
    run.simulation.SetReplicationBlocked(1, true);
    run.WriteFor(Millis(40));
    run.simulation.Upstream(2).unreachableFrom.erase(0);
    run.AwaitPhase(PromotionPhase::CatchingUp);
    run.ResumeLate(2);
    run.WriteFor(kCatchUpTime);
    run.simulation.SetReplicationBlocked(1, false);
    run.simulation.SetReplicationBlocked(1, true);
    run.AwaitPromotion();
    run.CheckNoViolation(seed);
  }
}

// Guards against stale reads after a hold was lost: a host that had seen all
// replicas held used the new primary at once, while another host, which did not
// know of it, relied on a later proof that the old one was still the primary.
Test(lost_holds, host_unaware_of_a_promotion_serves_no_stale_reads)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PartitionedPromoter run(seed);
    run.simulation.Upstream(0).unreachableFrom.insert(1);
    run.simulation.Upstream(1).unreachableFrom.insert(2);
    run.writers = { 2 };
    run.AwaitPhase(PromotionPhase::Confirming);
    run.WriteFor(Millis(150) + Duration{ 3 * seed });
    run.RestartReplica(2);
    run.AwaitPromotion();
    run.simulation.Upstream(2).unreachableFrom.insert(2);
    run.writers = { 1 };
    run.WriteFor(Seconds(1));
    run.CheckNoViolation(seed);
  }
}

// Guards against any order of restarts and of partitions between the promoter
// and the replicas that loses commits or ends the service.
Test(lost_holds, restarts_during_a_promotion_lose_nothing)
{
  cr_assert(rc::check("guarantees when held replicas restart", [] {
    PartitionedPromoter run(*rc::gen::inRange<uint32_t>(1, 100000));
    auto faults =
      *rc::gen::resize(4,
                       rc::gen::container<std::vector<HoldFault>>(
                         rc::gen::resize(rc::kNominalSize, GenHoldFault())));
    run.AwaitPhase(PromotionPhase::Holding);
    for (const HoldFault& fault : faults) {
      run.WriteFor(Duration{ fault.afterMs });
      if (fault.isRestart) {
        run.RestartReplica(fault.upstream, Duration{ fault.spanMs });
        continue;
      }
      auto& unreachable = run.simulation.Upstream(fault.upstream);
      unreachable.unreachableFrom.insert(0);
      run.WriteFor(Duration{ fault.spanMs });
      unreachable.unreachableFrom.erase(0);
    }
    run.WriteFor(Seconds(1));
    RC_ASSERT(ServiceRecovers(run.simulation, 1));
    RC_ASSERT(run.simulation.Violations() == "");
  }));
}
