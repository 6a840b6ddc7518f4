#include "fakes/proxy-simulation.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

// Whose statement it is, and what each customer's callers get over connections
// that belong to one customer each.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr size_t kCustomers = 20;
constexpr size_t kHosts = 12;
constexpr size_t kZones = 2;
constexpr Duration kObjective = Millis(300);
constexpr Duration kStep = Millis(10);

using Requests = std::vector<std::shared_ptr<FakeRequest>>;

ProxySimulationOptions
Options(size_t aHosts = 1, uint32_t aSeed = 1)
{
  ProxySimulationOptions options;
  options.seed = aSeed;
  options.hosts = aHosts;
  options.customers = kCustomers;
  options.freshness = Freshness::Bounded;
  return options;
}

/** Hosts of which one in each zone serves, with two connections an upstream. */
ProxySimulationOptions
DividedOptions(uint32_t aSeed = 1)
{
  ProxySimulationOptions options = Options(kHosts, aSeed);
  options.zones = kZones;
  options.connections = 12;
  options.jitter = Millis(2);
  options.registryInterval = Millis(1000);
  options.lingerTime = Seconds(3);
  return options;
}

void
WarmUp(ProxySimulation& aSimulation)
{
  aSimulation.SetPromoterLease(0, true);
  aSimulation.RunFor(Millis(1500));
}

CallerId
OpenFor(ProxySimulation& aSimulation, size_t aCustomer, size_t aHost = 0)
{
  return aSimulation.OpenSession(
    aHost, "db", ProxySimulation::KeyOf(aCustomer));
}

FailureCode
CodeOf(const std::shared_ptr<FakeRequest>& aRequest)
{
  cr_assert(aRequest->reply && aRequest->reply->failure,
            "the statement was not refused");
  return aRequest->reply->failure->code;
}

double
ServedShare(const Requests& aRequests)
{
  double served = 0;
  for (const auto& request : aRequests) {
    bool isInTime =
      IsOk(request) && request->answered - request->sent <= kObjective;
    served += isInTime ? 1 : 0;
  }
  return aRequests.empty() ? 1 : served / static_cast<double>(aRequests.size());
}

/** One read of a session of its own. */
std::shared_ptr<FakeRequest>
Read(ProxySimulation& aSimulation, size_t aCustomer, size_t aHost)
{
  return aSimulation.SubmitStatement(
    aHost, OpenFor(aSimulation, aCustomer, aHost), ReadStatement("a"));
}

} // namespace

Test(customers, unknown_key_opens_no_session)
{
  ProxySimulation simulation(Options());
  WarmUp(simulation);
  CallerId unknown = OpenFor(simulation, kCustomers);
  cr_assert(simulation.endedSessions[unknown]->code ==
            FailureCode::Unauthorized);
  CallerId lost =
    simulation.OpenSession(0, "nothing", ProxySimulation::KeyOf(kCustomers));
  cr_assert(simulation.endedSessions[lost]->code == FailureCode::NoDatabase);
}

Test(customers, statements_run_for_the_customer_of_the_key)
{
  ProxySimulation simulation(Options());
  WarmUp(simulation);
  for (size_t i = 0; i < 3; ++i) {
    CallerId caller = OpenFor(simulation, i);
    for (size_t n = 0; n < 2; ++n) {
      cr_assert(
        IsOk(simulation.SubmitAndWait(0, caller, WriteStatement("a", "v"))));
    }
    cr_assert_geq(simulation.LinksOf(0, "c" + std::to_string(i)), 1);
  }
  cr_assert_eq(simulation.Violations(), "");
}

Test(customers, withdrawn_key_is_refused_until_it_is_back)
{
  ProxySimulation simulation(Options());
  WarmUp(simulation);
  CallerId caller = OpenFor(simulation, 0);
  CallerId other = OpenFor(simulation, 1);
  simulation.WithdrawKeys(2, { 0 });
  auto refused = simulation.SubmitAndWait(0, caller, ReadStatement("a"));
  cr_assert(CodeOf(refused) == FailureCode::Unauthorized);
  cr_assert(CodeOf(simulation.SubmitAndWait(
              0, caller, StatementOf(StatementKind::Begin))) ==
            FailureCode::Unauthorized);
  cr_assert(IsOk(simulation.SubmitAndWait(0, other, ReadStatement("a"))));
  simulation.WithdrawKeys(3, {});
  cr_assert(IsOk(simulation.SubmitAndWait(0, caller, ReadStatement("a"))));
  // An older version does not take it away again.
  simulation.WithdrawKeys(1, { 0 });
  cr_assert(IsOk(simulation.SubmitAndWait(0, caller, ReadStatement("a"))));
  cr_assert_eq(refused->runs, 0);
}

Test(customers, transaction_of_a_withdrawn_key_is_rolled_back)
{
  ProxySimulation simulation(Options());
  WarmUp(simulation);
  CallerId idle = OpenFor(simulation, 0);
  CallerId running = OpenFor(simulation, 0);
  for (CallerId caller : { idle, running }) {
    cr_assert(IsOk(
      simulation.SubmitAndWait(0, caller, StatementOf(StatementKind::Begin))));
    cr_assert(
      IsOk(simulation.SubmitAndWait(0, caller, WriteStatement("a", "v"))));
  }
  auto open = simulation.SubmitStatement(0, running, ReadStatement("a"));
  simulation.WithdrawKeys(2, { 0 });
  simulation.RunFor(Millis(100));
  cr_assert(IsOk(open), "what runs is answered");
  auto commit =
    simulation.SubmitAndWait(0, running, StatementOf(StatementKind::Commit));
  cr_assert(CodeOf(commit) == FailureCode::Unauthorized);
  cr_assert(CodeOf(simulation.SubmitAndWait(0, idle, ReadStatement("a"))) ==
            FailureCode::Aborted);
  simulation.RunFor(Seconds(1));
  cr_assert(simulation.Acknowledged().empty());
  cr_assert_eq(commit->effects, 0);
  cr_assert_eq(simulation.Violations(), "");
}

Test(customers, waiting_statement_of_a_withdrawn_key_does_not_run)
{
  ProxySimulation simulation(Options());
  WarmUp(simulation);
  Requests requests;
  for (size_t i = 0; i < 60; ++i) {
    requests.push_back(simulation.SubmitStatement(
      0, OpenFor(simulation, i % 2), WriteStatement("a", "v")));
  }
  simulation.RunFor(Millis(5));
  simulation.WithdrawKeys(2, { 0 });
  simulation.RunFor(Seconds(2));
  size_t refused = 0;
  for (const auto& request : requests) {
    bool isRefused =
      !IsOk(request) && CodeOf(request) == FailureCode::Unauthorized;
    refused += isRefused ? 1 : 0;
    cr_assert(!isRefused || request->runs == 0);
  }
  cr_assert_gt(refused, 10);
  cr_assert_eq(simulation.Violations(), "");
}

// Statements that wait run for the new holder, and leave nothing in the queue.
Test(customers, key_that_moves_takes_waiting_statements_along)
{
  ProxySimulationOptions options = Options();
  options.freshness = Freshness::Newest;
  options.connections = 2;
  ProxySimulation simulation(options);
  WarmUp(simulation);
  simulation.Upstream(0).executionTime = Millis(20);
  CallerId open = OpenFor(simulation, 0);
  cr_assert(
    IsOk(simulation.SubmitAndWait(0, open, StatementOf(StatementKind::Begin))));
  cr_assert(IsOk(simulation.SubmitAndWait(0, open, WriteStatement("a", "v"))));
  Requests requests;
  for (size_t i = 0; i < 6; ++i) {
    requests.push_back(simulation.SubmitStatement(
      0, OpenFor(simulation, 0), WriteStatement("a", "v")));
  }
  simulation.RunFor(Millis(10));
  simulation.MoveKey(2, 0, 7);
  simulation.RunFor(Seconds(1));
  for (const auto& request : requests) {
    cr_assert(IsOk(request));
  }
  cr_assert(CodeOf(simulation.SubmitAndWait(0, open, ReadStatement("a"))) ==
            FailureCode::Aborted);
  cr_assert_geq(simulation.LinksOf(0, "c7"), 1);
  cr_assert_eq(simulation.Host(0).Services().at("service").queue.Size(), 0);
  cr_assert_eq(simulation.Violations(), "");
}

Test(customers, connections_of_a_removed_customer_are_closed)
{
  ProxySimulation simulation(Options());
  WarmUp(simulation);
  CallerId caller = OpenFor(simulation, 3);
  cr_assert(
    IsOk(simulation.SubmitAndWait(0, caller, WriteStatement("a", "v"))));
  simulation.RunFor(Seconds(3));
  cr_assert_eq(simulation.LinksOf(0, "c3"), 1);
  simulation.WithdrawKeys(2, {}, { 3 });
  simulation.RunFor(Millis(100));
  cr_assert_eq(simulation.LinksOf(0, "c3"), 0);
}

// A host that has an older configuration declines what it does not know; the
// caller is served all the same.
Test(customers, serving_host_judges_by_its_own_configuration)
{
  ProxySimulation simulation(DividedOptions());
  simulation.WithdrawKeys(2, {}, { 5 });
  WarmUp(simulation);
  simulation.RunFor(Seconds(2));
  for (size_t host = 0; host < kHosts; ++host) {
    const auto& services = simulation.Host(host).Services();
    if (services.at("service").isServedHere) {
      simulation.withoutConfig.insert(host);
    }
  }
  simulation.WithdrawKeys(3, {});
  for (size_t host = 0; host < kHosts; ++host) {
    if (simulation.withoutConfig.count(host) == 0) {
      auto request = Read(simulation, 5, host);
      simulation.RunFor(Millis(200));
      auto other = Read(simulation, 6, host);
      simulation.RunFor(Millis(200));
      cr_assert(IsOk(request));
      cr_assert(IsOk(other));
      for (size_t i = 0; i < simulation.Upstreams(); ++i) {
        // The refusal concerns this customer only.
        cr_assert_eq(simulation.LinksOf(i, "c6", host), 0);
      }
    }
  }
  for (size_t host : simulation.withoutConfig) {
    for (size_t i = 0; i < simulation.Upstreams(); ++i) {
      cr_assert_eq(simulation.LinksOf(i, "c5", host), 0);
    }
  }
  cr_assert_eq(simulation.Violations(), "");
}

// With its share of connections idle in the hands of others, a customer waits
// for no time limit of theirs.
Test(customers, no_customer_waits_while_others_hold_idle_connections)
{
  constexpr Duration kMostWaited = Millis(100);
  ProxySimulationOptions options = Options();
  options.freshness = Freshness::Newest;
  options.connections = 3;
  ProxySimulation simulation(options);
  WarmUp(simulation);
  for (size_t i = 0; i < 3; ++i) {
    cr_assert(IsOk(simulation.SubmitAndWait(
      0, OpenFor(simulation, i), WriteStatement("a", "v"))));
  }
  CallerId inTransaction = OpenFor(simulation, 3);
  cr_assert(IsOk(simulation.SubmitAndWait(
    0, inTransaction, StatementOf(StatementKind::Begin))));
  for (CallerId caller : { inTransaction, OpenFor(simulation, 3) }) {
    auto request =
      simulation.SubmitAndWait(0, caller, WriteStatement("a", "v"));
    cr_assert(IsOk(request));
    cr_assert_leq((request->answered - request->sent).ms, kMostWaited.ms);
  }
  cr_assert_eq(simulation.LinksOf(0, "c3"), 2);
  cr_assert_eq(simulation.OpenLinks(0), 3);
  cr_assert_eq(simulation.Violations(), "");
}

// A report over a customer's connection does not make it used.
Test(customers, connection_that_only_carries_reports_is_closed)
{
  ProxySimulationOptions options = Options();
  options.freshness = Freshness::Newest;
  ProxySimulation simulation(options);
  WarmUp(simulation);
  auto write = [&](size_t aCustomer) {
    cr_assert(IsOk(simulation.SubmitAndWait(
      0, OpenFor(simulation, aCustomer), WriteStatement("a", "v"))));
  };
  for (size_t customer : { 0, 1, 2 }) {
    write(customer);
  }
  simulation.RunFor(Seconds(3));
  for (size_t customer : { 0, 1 }) {
    write(customer);
  }
  size_t reports = simulation.ReportCount();
  simulation.RunFor(Seconds(8));
  cr_assert_gt(simulation.ReportCount(), reports);
  cr_assert_eq(simulation.LinksOf(0, "c2"), 0);
  cr_assert_eq(simulation.LinksOf(0, "c0") + simulation.LinksOf(0, "c1"), 2);
}

// What is being opened for a caller that has left serves the next one.
Test(customers, connection_of_a_caller_that_left_is_adopted)
{
  ProxySimulationOptions options = Options();
  options.freshness = Freshness::Newest;
  ProxySimulation simulation(options);
  WarmUp(simulation);
  simulation.Upstream(0).unreachableFrom.insert(0);
  size_t before = simulation.OpenedLinks();
  CallerId left = OpenFor(simulation, 0);
  simulation.SubmitStatement(0, left, WriteStatement("a", "v"));
  simulation.RunFor(Millis(10));
  simulation.CloseSession(0, left);
  auto next = simulation.SubmitStatement(
    0, OpenFor(simulation, 0), WriteStatement("a", "v"));
  simulation.RunFor(Millis(50));
  cr_assert_eq(simulation.OpenedLinks(), before + 1);
}

// Of several serving hosts, one in each zone serves a customer, also when the
// caller's host serves others.
Test(customers, customer_has_connections_on_one_host_in_each_zone)
{
  constexpr size_t kMoreHosts = 16;
  ProxySimulationOptions options = DividedOptions();
  options.hosts = kMoreHosts;
  options.connections = 28;
  ProxySimulation simulation(options);
  WarmUp(simulation);
  simulation.RunFor(Seconds(2));
  std::set<size_t> serving;
  for (size_t n = 0; n < 4 * kMoreHosts; ++n) {
    Read(simulation, n / kMoreHosts, n % kMoreHosts);
    simulation.RunFor(kStep);
    for (size_t i = 0; i < simulation.Upstreams() * kMoreHosts; ++i) {
      if (simulation.LinksOf(i / kMoreHosts, "c0", i % kMoreHosts) != 0) {
        serving.insert(i % kMoreHosts);
      }
    }
  }
  size_t perZone = 0;
  for (size_t host = 0; host < kMoreHosts; ++host) {
    const auto& service = simulation.Host(host).Services().at("service");
    perZone = service.serving.perZone;
  }
  cr_assert_eq(perZone, 2);
  cr_assert_eq(serving.size(), kZones);
  cr_assert_eq(simulation.Violations(), "");
}

// Under load: many customers, few connections.
Test(customers, all_customers_are_served_over_few_connections)
{
  for (uint32_t seed : { 1, 2, 3 }) {
    ProxySimulation simulation(DividedOptions(seed));
    WarmUp(simulation);
    simulation.RunFor(Seconds(2));
    Requests requests;
    for (size_t n = 0; n < 500; ++n) {
      requests.push_back(Read(simulation, n * 7 % kCustomers, n % kHosts));
      simulation.RunFor(kStep);
    }
    simulation.RunFor(Seconds(2));
    cr_assert_geq(ServedShare(requests), 0.99);
    cr_assert_eq(simulation.ExcessLinks(), 0);
    cr_assert_eq(simulation.Violations(), "");
  }
}

// One customer sends more than its connections carry; the others do not feel
// it.
Test(customers, large_customer_does_not_push_the_others_out)
{
  for (uint32_t seed : { 1, 2, 3 }) {
    ProxySimulation simulation(DividedOptions(seed));
    WarmUp(simulation);
    simulation.RunFor(Seconds(2));
    for (size_t i = 0; i < simulation.Upstreams(); ++i) {
      simulation.Upstream(i).executionTime = Millis(20);
    }
    Requests large;
    Requests others;
    for (size_t n = 0; n < 500; ++n) {
      for (size_t i = 0; i < 6; ++i) {
        large.push_back(Read(simulation, 0, (n + i) % kHosts));
      }
      if (n % 5 == 0) {
        others.push_back(
          Read(simulation, 1 + n / 5 % (kCustomers - 1), n % kHosts));
      }
      simulation.RunFor(kStep);
    }
    simulation.RunFor(Seconds(2));
    cr_assert_geq(ServedShare(others), 0.95);
    cr_assert_eq(simulation.Violations(), "");
  }
}

namespace {

/** Hosts, upstreams and keys that come and go while all customers send. */
class FaultPlan
{
public:
  explicit FaultPlan(uint32_t aSeed)
    : simulation(DividedOptions(aSeed))
  {
    WarmUp(this->simulation);
  }

  void Step()
  {
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
        this->simulation.ReplaceHost(this->DrawHost());
        break;
      case 1:
        this->simulation.LoseRelayLink(this->DrawHost(), this->DrawHost());
        break;
      case 2:
        this->simulation.Reset(this->DrawHost(), *rc::gen::inRange(0, 3));
        break;
      case 3:
        this->simulation.paused.insert(this->DrawHost());
        break;
      case 4:
        this->simulation.paused.clear();
        break;
      case 5:
        this->simulation.WithdrawKeys(++this->version,
                                      { this->DrawCustomer() });
        break;
      case 6:
        this->simulation.WithdrawKeys(
          ++this->version, {}, { this->DrawCustomer() });
        break;
      case 7: // one host misses configurations for a while
        this->simulation.withoutConfig = { this->DrawHost() };
        break;
      case 8:
        this->simulation.Silence(this->DrawHost(), *rc::gen::inRange(0, 3));
        break;
      default:
        break;
    }
    for (int i = 0; i < 20; ++i) {
      this->Send();
      this->simulation.RunFor(kStep);
    }
  }

  ProxySimulation simulation;

private:
  size_t DrawHost() { return *rc::gen::inRange<size_t>(0, kHosts); }
  size_t DrawCustomer() { return *rc::gen::inRange<size_t>(0, kCustomers); }

  /** A read, or the next statement of a transaction that stays open. */
  void Send()
  {
    size_t host = ++this->sent % kHosts;
    Read(this->simulation, this->sent * 7 % kCustomers, host);
    if (this->sent % 3 != 0) {
      return;
    }
    Session& session = this->open[this->sent / 3 % 8];
    bool isOver = this->simulation.Now() - session.since > Seconds(2);
    if (isOver) {
      session = { host,
                  OpenFor(this->simulation, this->DrawCustomer(), host),
                  this->simulation.Now(),
                  nullptr };
    }
    if (session.last && !session.last->reply) {
      return;
    }
    std::vector<SessionStatement> texts{ StatementOf(StatementKind::Begin),
                                         WriteStatement("a", this->Value()),
                                         ReadStatement("a"),
                                         StatementOf(StatementKind::Commit) };
    session.last = this->simulation.SubmitStatement(
      session.host,
      session.caller,
      texts[*rc::gen::inRange<size_t>(0, texts.size())]);
  }

  std::string Value() const { return "v" + std::to_string(this->sent); }

  struct Session
  {
    size_t host = 0;
    CallerId caller = 0;
    Time since = kInfinitePast;
    std::shared_ptr<FakeRequest> last;
  };

  uint64_t version = 1;
  size_t sent = 0;
  std::map<size_t, Session> open; // with transactions
};

} // namespace

// Under failures: no statement runs for another customer or with a key that its
// host knows to be withdrawn, and once all is well everybody is served again.
Test(customers, faults_mix_no_customers_and_starve_none)
{
  cr_assert(rc::check([] {
    FaultPlan plan(*rc::gen::inRange<uint32_t>(1, 1000));
    for (int step = 0; step < 10; ++step) {
      plan.Step();
    }
    ProxySimulation& simulation = plan.simulation;
    RC_ASSERT(simulation.Violations() == std::string());
    simulation.paused.clear();
    simulation.withoutConfig.clear();
    simulation.RunFor(Seconds(5));
    simulation.WithdrawKeys(1000, {});
    simulation.RunFor(Seconds(1));
    Requests requests;
    for (size_t n = 0; n < 100; ++n) {
      requests.push_back(Read(simulation, n % kCustomers, n * 5 % kHosts));
      simulation.RunFor(kStep);
    }
    simulation.RunFor(Seconds(1));
    RC_ASSERT(ServedShare(requests) >= 0.98);
    RC_ASSERT(simulation.Violations() == std::string());
  }));
}
