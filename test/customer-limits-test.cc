#include "fakes/limit-simulation.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

// Customers' rate limits over all hosts: what is permitted in any span of the
// window while hosts and links fail, and what callers below the limit get.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr Duration kSettled = Seconds(12); // buckets are full by then

size_t
AllowedBy(const Customer& aCustomer, const LimitTolerance& aTolerance)
{
  double windowSeconds = static_cast<double>(aTolerance.window.ms) / 1000;
  return static_cast<size_t>(
    (aCustomer.operationsPerSecond * windowSeconds + aCustomer.burst) *
      (1 + aTolerance.excess) +
    aTolerance.slack);
}

/** Bounds of which one is missing. */
class MutantPolicy : public LimitPolicy
{
public:
  enum class Fault
  {
    None,
    FullBucketOnTakeover,
    NoCharge,
    PermitsWithoutExpiry,
    CountsAlone,
  };

  explicit MutantPolicy(Fault aFault)
    : fault(aFault)
  {
  }

  Duration PermitLifetime() const override
  {
    return this->fault == Fault::PermitsWithoutExpiry
             ? Seconds(3600)
             : this->real->PermitLifetime();
  }
  double InitialTokens(const Customer& aCustomer) const override
  {
    return this->fault == Fault::FullBucketOnTakeover
             ? aCustomer.burst
             : this->real->InitialTokens(aCustomer);
  }
  double MaxTokens(const Customer& aCustomer, bool aIsFirst) const override
  {
    bool isFull = this->fault == Fault::FullBucketOnTakeover;
    return this->real->MaxTokens(aCustomer, aIsFirst || isFull);
  }
  Customer Steady(const Customer& aCustomer) const override
  {
    return this->real->Steady(aCustomer);
  }
  bool ChargesHostsBefore() const override
  {
    return this->fault != Fault::NoCharge;
  }
  bool NeedsMajority() const override
  {
    return this->fault != Fault::CountsAlone;
  }
  Duration TakeoverDelay() const override
  {
    return this->real->TakeoverDelay();
  }

private:
  Fault fault;
  std::unique_ptr<LimitPolicy> real = MakeLimitPolicy(LimitTolerance{});
};

using Fault = MutantPolicy::Fault;

LimitSimulationOptions
Options(size_t aHosts, Fault aFault = Fault::None)
{
  LimitSimulationOptions options;
  options.hosts = aHosts;
  if (aFault != Fault::None) {
    options.makePolicy = [aFault] {
      return std::make_unique<MutantPolicy>(aFault);
    };
  }
  return options;
}

/** One of the faults that hosts and links have, for a while. */
void
PlayFault(LimitSimulation& aSimulation, std::mt19937& aRandom, size_t aCounter)
{
  size_t count = aSimulation.Hosts();
  size_t host = aRandom() % 2 == 0 ? aCounter : aRandom() % count;
  Duration span = Millis(100 + static_cast<int64_t>(aRandom() % 4000));
  switch (aRandom() % 7) {
    case 0:
      aSimulation.Kill(host);
      aSimulation.RunFor(span);
      aSimulation.Start(host);
      break;
    case 1:
      aSimulation.Pause(host);
      aSimulation.RunFor(span);
      aSimulation.Resume(host);
      break;
    case 2:
      aSimulation.SetSide(host, 1);
      aSimulation.RunFor(span);
      aSimulation.SetSide(host, 0);
      break;
    case 3: // two sides
      for (size_t i = 0; i < count; ++i) {
        aSimulation.SetSide(i, static_cast<int>(aRandom() % 2));
      }
      aSimulation.RunFor(span);
      for (size_t i = 0; i < count; ++i) {
        aSimulation.SetSide(i, 0);
      }
      break;
    case 4:
      for (int i = 0; i < 6; ++i) {
        aSimulation.CutLink(aRandom() % count, host);
      }
      aSimulation.RunFor(span);
      aSimulation.HealLinks();
      break;
    case 5:
      for (size_t i = 0; i < count; i += 2) {
        aSimulation.Kill(i);
      }
      aSimulation.RunFor(Millis(span.ms / 8));
      for (size_t i = 0; i < count; i += 2) {
        aSimulation.Start(i);
      }
      break;
    default:
      if (count < 12) {
        aSimulation.AddHost(Seconds(2));
      }
      aSimulation.RunFor(span);
      break;
  }
}

struct PlanResult
{
  size_t most = 0;
  size_t allowed = 0;
};

/** Plays faults while the customer sends many times what it may. */
PlanResult
PlayPlan(uint32_t aSeed, Fault aFault)
{
  std::mt19937 random(aSeed);
  LimitSimulationOptions options = Options(5 + random() % 5, aFault);
  options.seed = aSeed;
  options.lossShare = 0.02;
  options.repeatShare = 0.02;
  options.lateShare = 0.01;
  LimitSimulation simulation(options);
  Customer customer{ "large" };
  customer.operationsPerSecond = 40 + random() % 300;
  customer.burst = customer.operationsPerSecond * (1 + random() % 2);
  simulation.SetCustomer(customer);
  simulation.RunFor(kSettled);
  double factor = random() % 2 == 0 ? 7.5 : 1.5;
  simulation.Use("large",
                 customer.operationsPerSecond * factor,
                 simulation.AllHosts(),
                 Seconds(18));
  for (int i = 0; i < 5; ++i) {
    simulation.RunFor(Millis(static_cast<int64_t>(random() % 1500)));
    PlayFault(simulation, random, simulation.CounterOf("large"));
  }
  simulation.RunFor(Seconds(5));
  return { simulation.MostInWindow("large"),
           AllowedBy(customer, options.tolerance) };
}

/** How many of the plans go over the limit with that bound missing. */
size_t
CountOver(Fault aFault, uint32_t aPlans)
{
  size_t over = 0;
  for (uint32_t seed = 1; seed <= aPlans; ++seed) {
    PlanResult result = PlayPlan(seed, aFault);
    over += result.most > result.allowed ? 1 : 0;
  }
  return over;
}

Customer
MakeCustomer(const std::string& aName, double aPerSecond, double aBurst)
{
  Customer customer{ aName };
  customer.operationsPerSecond = aPerSecond;
  customer.burst = aBurst;
  return customer;
}

} // namespace

Test(customer_limits, no_span_of_the_window_is_over_the_limit)
{
  cr_assert(rc::check([] {
    auto seed = *rc::gen::inRange<uint32_t>(0, 1000000000);
    PlanResult result = PlayPlan(seed, Fault::None);
    RC_LOG() << "seed " << seed << ": " << result.most << " of "
             << result.allowed << "\n";
    RC_ASSERT(result.most <= result.allowed);
  }));
}

Test(customer_limits, each_missing_bound_is_noticed)
{
  cr_expect_gt(CountOver(Fault::FullBucketOnTakeover, 20), 0);
  cr_expect_gt(CountOver(Fault::CountsAlone, 20), 0);
}

// A link between two hosts that both reach the others is all that is lost, so
// a host that stands in and the first host both count.
Test(customer_limits, a_host_that_stands_in_charges_the_first)
{
  for (Fault fault : { Fault::None, Fault::NoCharge }) {
    LimitSimulationOptions options = Options(7, fault);
    LimitSimulation simulation(options);
    Customer customer = MakeCustomer("large", 300, 300);
    simulation.SetCustomer(customer);
    simulation.RunFor(kSettled);
    size_t counter = simulation.CounterOf("large");
    size_t cut = (counter + 1) % 7;
    simulation.CutLink(cut, counter);
    simulation.Use("large", 900, { cut }, Seconds(12));
    simulation.Use("large", 900, { counter }, Seconds(12));
    simulation.RunFor(Seconds(13));
    bool isOver =
      simulation.MostInWindow("large") > AllowedBy(customer, options.tolerance);
    cr_expect_eq(isOver, fault == Fault::NoCharge);
  }
}

// Permits that were granted while a customer sent little are used at once.
Test(customer_limits, permits_expire)
{
  for (Fault fault : { Fault::None, Fault::PermitsWithoutExpiry }) {
    CustomerPermits permits(MutantPolicy(fault).PermitLifetime());
    Time now{ 1000 };
    cr_assert_not(permits.Take(now, "c", 1, Millis(100)));
    cr_assert_eq(permits.NextWishes(now, 3).size(), 1);
    permits.OnGrant(now, 0, now, { "c", true, 5, {}, {} });
    cr_assert(permits.Take(now + Millis(20), "c", 2, Millis(100)));
    bool isTaken = permits.Take(now + Millis(400), "c", 3, Millis(100));
    cr_expect_eq(isTaken, fault == Fault::PermitsWithoutExpiry);
  }
}

Test(customer_limits, a_customer_below_its_limit_is_never_refused)
{
  cr_assert(rc::check([] {
    LimitSimulationOptions options = Options(*rc::gen::inRange<size_t>(1, 40));
    options.seed = *rc::gen::arbitrary<uint32_t>();
    LimitSimulation simulation(options);
    auto perSecond = *rc::gen::inRange(2, 400);
    simulation.SetCustomer(MakeCustomer("c", perSecond, perSecond));
    simulation.RunFor(kSettled);
    bool isOnOneHost = *rc::gen::arbitrary<bool>();
    auto hosts = isOnOneHost ? std::vector<size_t>{ 0 } : simulation.AllHosts();
    simulation.Use("c", perSecond * 0.95, hosts, Seconds(6));
    simulation.RunFor(Seconds(8));
    RC_ASSERT(simulation.Count("c", PermitResult::Granted) ==
              simulation.Sent("c"));
  }));
}

// The load: a customer that sends 7.5 times its usual, beside a small one.
Test(customer_limits, a_large_customer_gets_its_limit_and_others_theirs)
{
  LimitSimulationOptions options = Options(35);
  LimitSimulation simulation(options);
  Customer large = MakeCustomer("large", 500, 500);
  simulation.SetCustomer(large);
  simulation.SetCustomer(MakeCustomer("small", 3, 3));
  simulation.RunFor(kSettled);
  simulation.Use("large", 3750, simulation.AllHosts(), Seconds(10));
  simulation.Use("small", 2, simulation.AllHosts(), Seconds(10));
  simulation.RunFor(Seconds(11));
  size_t granted = simulation.Count("large", PermitResult::Granted);
  cr_expect_leq(simulation.MostInWindow("large"),
                AllowedBy(large, options.tolerance));
  // Its rate over ten seconds and the burst, but for one part in twenty.
  cr_expect_geq(granted, (500 * 10 + 500) * 0.95);
  cr_expect_eq(simulation.Count("large", PermitResult::NoCounter), 0);
  cr_expect_eq(simulation.Count("small", PermitResult::Granted),
               simulation.Sent("small"));
  for (const FakeOperation& operation : simulation.Operations()) {
    cr_assert(operation.result.has_value());
    cr_assert_leq((operation.answered - operation.sent).ms, 200);
  }
}

// The failure: the host that counts is lost, or cut off, while callers of the
// customer go on below its limit at the others.
Test(customer_limits, a_lost_counter_costs_callers_little)
{
  for (bool isCut : { false, true }) {
    LimitSimulation simulation(Options(12));
    simulation.SetCustomer(MakeCustomer("c", 200, 200));
    simulation.RunFor(kSettled);
    size_t counter = simulation.CounterOf("c");
    std::vector<size_t> others = simulation.AllHosts();
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(counter));
    if (isCut) {
      simulation.SetSide(counter, 1);
    } else {
      simulation.Kill(counter);
    }
    simulation.Use("c", 150, others, Seconds(5));
    simulation.RunFor(Seconds(6));
    cr_expect_geq(simulation.Count("c", PermitResult::Granted),
                  simulation.Sent("c") * 0.97);
  }
}

// After a loss of power all hosts start together with empty buckets.
Test(customer_limits, a_fleet_that_starts_again_serves_at_once)
{
  LimitSimulation simulation(Options(12));
  simulation.SetCustomer(MakeCustomer("c", 200, 200));
  simulation.RunFor(kSettled);
  for (size_t host : simulation.AllHosts()) {
    simulation.Kill(host);
    simulation.Start(host);
  }
  simulation.Use("c", 100, simulation.AllHosts(), Seconds(5));
  simulation.RunFor(Seconds(6));
  cr_expect_geq(simulation.Count("c", PermitResult::Granted),
                simulation.Sent("c") * 0.95);
}

Test(customer_limits, a_lower_limit_binds_one_window_after_it_is_in_force)
{
  LimitSimulationOptions options = Options(9);
  LimitSimulation simulation(options);
  simulation.SetCustomer(MakeCustomer("c", 400, 400));
  simulation.RunFor(kSettled);
  simulation.Use("c", 1000, simulation.AllHosts(), Seconds(20));
  simulation.RunFor(Seconds(3));
  Customer lower = MakeCustomer("c", 40, 40);
  simulation.SetCustomer(lower, Seconds(1));
  simulation.RunFor(Seconds(17));
  Time binds =
    Time{ kSettled.ms } + Seconds(3) + Seconds(1) + options.tolerance.window;
  cr_expect_leq(simulation.MostInWindow("c", binds),
                AllowedBy(lower, options.tolerance));
}

Test(customer_limits, refused_operations_come_back_one_after_the_other)
{
  CustomerLimits limits(
    "h0", LimitTolerance{}, MakeLimitPolicy(LimitTolerance{}));
  Time now{ 1000 };
  limits.SetHosts(now, { "h0" });
  limits.SetCustomers(now, { { "c", MakeCustomer("c", 10, 10) } });
  now = now + Seconds(3);
  limits.OnTick(now);
  for (CallerId caller = 1; caller <= 30; ++caller) {
    limits.Take(now, "c", caller, Millis(150));
  }
  limits.OnTick(now + Millis(20));
  LimitActions actions;
  limits.MoveActions(actions);
  Duration last = Millis(0);
  size_t refused = 0;
  for (const PermitOutcome& outcome : actions.outcomes) {
    if (outcome.result == PermitResult::OverLimit) {
      ++refused;
      cr_assert_gt(outcome.retryAfter.ms, last.ms);
      last = outcome.retryAfter;
    }
  }
  cr_assert_gt(refused, 10);
}
