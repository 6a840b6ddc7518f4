#include "fakes/proxy-simulation.h"

#include <criterion/criterion.h>

// What counts as an operation of a customer, and what callers get over its
// limit, with sessions and upstreams.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr Duration kSettled = Seconds(6);

KeyHash
Key()
{
  KeyHash key;
  key.bytes[0] = 7;
  return key;
}

/** Of a customer without a limit. */
KeyHash
UnlimitedKey()
{
  KeyHash key;
  key.bytes[0] = 8;
  return key;
}

ConfigArrived
Config(double aPerSecond, double aBurst)
{
  ProxyConfig config;
  config.version = 2;
  DatabaseRoute route;
  route.database = "db";
  route.service = "service";
  route.latencyObjective = Millis(300);
  config.routes["db"] = route;
  config.services["service"] = { 12, true };
  config.hasCustomers = true;
  Customer customer{ "c" };
  customer.operationsPerSecond = aPerSecond;
  customer.burst = aBurst;
  config.customers["c"] = customer;
  config.keys[Key()] = "c";
  config.customers["unlimited"] = Customer{ "unlimited" };
  config.keys[UnlimitedKey()] = "unlimited";
  return { config };
}

/** Hosts with a customer whose bucket is full. */
class Fixture
{
public:
  explicit Fixture(const ProxySimulationOptions& aOptions,
                   double aPerSecond = 2,
                   double aBurst = 6)
    : simulation(aOptions)
  {
    for (size_t host = 0; host < this->simulation.Hosts(); ++host) {
      this->simulation.Send(host, Config(aPerSecond, aBurst));
    }
    this->simulation.RunFor(kSettled);
  }

  CallerId Open(size_t aHost = 0)
  {
    return this->simulation.OpenSession(aHost, "db", Key());
  }

  /** How many of so many single writes at the host run. */
  size_t CountOf(size_t aWrites, size_t aHost = 0)
  {
    size_t run = 0;
    for (size_t i = 0; i < aWrites; ++i) {
      run += IsOk(this->simulation.SubmitAndWait(
               aHost, this->Open(aHost), WriteStatement("a", "1")))
               ? 1
               : 0;
    }
    return run;
  }

  ProxySimulation simulation;

private:
};

ProxySimulationOptions
Options(size_t aHosts)
{
  ProxySimulationOptions options;
  options.hosts = aHosts;
  options.zones = aHosts == 1 ? 0 : 2;
  return options;
}

} // namespace

Test(proxy_limits, what_is_over_the_limit_does_not_run)
{
  Fixture fixture(Options(1));
  cr_assert_eq(fixture.CountOf(6), 6);
  auto refused = fixture.simulation.SubmitAndWait(
    0, fixture.Open(), WriteStatement("a", "2"));
  cr_assert(refused->reply && refused->reply->failure);
  cr_assert_eq(refused->reply->failure->code, FailureCode::TooMany);
  cr_assert_neq(refused->reply->failure->text.find("retry after"),
                std::string::npos);
  cr_assert_eq(refused->runs, 0);
  fixture.simulation.RunFor(Seconds(1));
  cr_assert(IsOk(fixture.simulation.SubmitAndWait(
    0, fixture.Open(), WriteStatement("a", "3"))));
}

Test(proxy_limits, a_transaction_counts_once)
{
  Fixture fixture(Options(1));
  CallerId caller = fixture.Open();
  auto run = [&](const SessionStatement& aStatement) {
    return fixture.simulation.SubmitAndWait(0, caller, aStatement);
  };
  for (int i = 0; i < 6; ++i) {
    cr_assert(IsOk(run(StatementOf(StatementKind::Begin))));
    cr_assert(IsOk(run(WriteStatement("a", "1"))));
    cr_assert(IsOk(run(ReadStatement("a"))));
    cr_assert(IsOk(run(StatementOf(StatementKind::Commit))));
  }
  // Without a statement, a transaction takes no permit.
  cr_assert(IsOk(run(StatementOf(StatementKind::Begin))));
  auto refused = run(WriteStatement("a", "2"));
  cr_assert(refused->reply && refused->reply->failure);
  cr_assert_eq(refused->reply->failure->code, FailureCode::TooMany);
  cr_assert_eq(refused->reply->state, SessionState::Failed);
  cr_assert(IsOk(run(StatementOf(StatementKind::RollBack))));
}

Test(proxy_limits, a_statement_that_is_tried_again_counts_once)
{
  Fixture fixture(Options(1));
  int refusals = 0;
  fixture.simulation.refusal = [&](const SessionStatement& aStatement) {
    bool isRefused =
      aStatement.kind == StatementKind::Write && ++refusals % 3 != 0;
    return isRefused ? std::optional(FailureCode::Busy) : std::nullopt;
  };
  cr_assert_eq(fixture.CountOf(6), 6);
  cr_assert_geq(refusals, 12);
}

// A relayed statement takes its permit where the caller's session lives.
Test(proxy_limits, one_host_may_use_all_and_relays_count_once)
{
  for (size_t host : { 0, 1, 2, 3 }) {
    Fixture fixture(Options(12));
    cr_expect_eq(fixture.CountOf(6, host), 6);
    cr_expect_lt(fixture.CountOf(6, host), 4);
    cr_expect_str_eq(fixture.simulation.Violations().c_str(), "");
  }
}

Test(proxy_limits, callers_of_other_customers_are_not_limited)
{
  Fixture fixture(Options(1));
  fixture.CountOf(8);
  CallerId other = fixture.simulation.OpenSession(0, "db", UnlimitedKey());
  for (int i = 0; i < 20; ++i) {
    cr_assert(IsOk(
      fixture.simulation.SubmitAndWait(0, other, WriteStatement("b", "1"))));
  }
}

// Without a host that counts, operations are refused as not checked, and no
// caller waits for long.
Test(proxy_limits, without_a_counter_callers_are_told_so)
{
  Fixture fixture(Options(12));
  for (size_t host = 1; host < 12; ++host) {
    fixture.simulation.paused.insert(host);
  }
  fixture.simulation.RunFor(Seconds(1));
  CallerId caller = fixture.Open();
  auto request =
    fixture.simulation.SubmitStatement(0, caller, WriteStatement("a", "1"));
  fixture.simulation.RunFor(Millis(250));
  cr_assert(request->reply && request->reply->failure);
  cr_assert_eq(request->reply->failure->code, FailureCode::Busy);
  cr_assert_eq(request->runs, 0);
}
