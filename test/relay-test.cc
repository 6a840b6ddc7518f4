#include "fakes/proxy-simulation.h"

#include "marigoldpitch/coordination/proxy/connection-budget.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

// Hosts that divide the services among them: which hosts serve one, and what
// callers of the others get while serving hosts are lost, paused or drained.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr size_t kHosts = 12;
constexpr size_t kZones = 2;
constexpr Duration kStep = Millis(10);
// An answer is due this long after the limit of a statement.
constexpr Duration kAnswerMargin = Millis(100);
constexpr Duration kTimeout = Millis(1000); // as the simulation's routes
constexpr Duration kObjective = Millis(300);

using Requests = std::vector<std::shared_ptr<FakeRequest>>;

ProxySimulationOptions
Options(Freshness aFreshness, uint32_t aSeed = 1)
{
  ProxySimulationOptions options;
  options.seed = aSeed;
  options.freshness = aFreshness;
  options.hosts = kHosts;
  options.zones = kZones;
  options.connections = 12; // less than two a host
  options.jitter = Millis(2);
  options.registryInterval = Millis(1000);
  options.lingerTime = Seconds(3);
  return options;
}

/** The hosts that serve the service, one in each zone. */
std::vector<size_t>
HostsThatServe(ProxySimulation& aSimulation)
{
  std::vector<size_t> serving;
  for (size_t host = 0; host < aSimulation.Hosts(); ++host) {
    const auto& services = aSimulation.Host(host).Services();
    if (services.at("service").isServedHere) {
      serving.push_back(host);
    }
  }
  return serving;
}

size_t
CountConnectedHosts(const ProxySimulation& aSimulation)
{
  size_t count = 0;
  for (size_t host = 0; host < aSimulation.Hosts(); ++host) {
    count += aSimulation.HasLinks(host, 0) ? 1 : 0;
  }
  return count;
}

/** A host of the zone of `aServing` that serves nothing. */
size_t
NeighbourOf(const ProxySimulation& aSimulation, size_t aServing)
{
  for (size_t host = aServing % kZones; host < aSimulation.Hosts();
       host += kZones) {
    if (host != aServing && !aSimulation.HasLinks(host, 0)) {
      return host;
    }
  }
  return aServing;
}

std::shared_ptr<FakeRequest>
Write(ProxySimulation& aSimulation, size_t aHost, CallerId aCaller)
{
  std::string value = std::to_string(aSimulation.Requests().size());
  return aSimulation.SubmitStatement(
    aHost, aCaller, WriteStatement("a", value));
}

/** Sends two reads and a write each step, to all hosts in turn. */
Requests
UseFor(ProxySimulation& aSimulation, Duration aSpan)
{
  Requests requests;
  Time end = aSimulation.Now() + aSpan;
  for (size_t n = 0; aSimulation.Now() < end; ++n) {
    size_t host = n % aSimulation.Hosts();
    requests.push_back(Write(aSimulation, host, aSimulation.OpenSession(host)));
    for (size_t i = 1; i <= 2; ++i) {
      size_t other = (host + i * 5) % aSimulation.Hosts();
      requests.push_back(aSimulation.SubmitStatement(
        other, aSimulation.OpenSession(other), ReadStatement("a")));
    }
    aSimulation.RunFor(kStep);
  }
  return requests;
}

double
ServedShare(const Requests& aRequests, Time aFrom = kInfinitePast)
{
  double sent = 0;
  double served = 0;
  for (const auto& request : aRequests) {
    bool isInTime =
      IsOk(request) && request->answered - request->sent <= kObjective;
    sent += request->sent >= aFrom ? 1 : 0;
    served += request->sent >= aFrom && isInTime ? 1 : 0;
  }
  return sent == 0 ? 0 : served / sent;
}

/** A line for each request that has no answer although it is due. */
std::string
Overdue(const ProxySimulation& aSimulation)
{
  std::string overdue;
  for (const auto& request : aSimulation.Requests()) {
    Time due = request->sent + kTimeout + kAnswerMargin;
    bool isLate =
      request->reply ? request->answered > due : aSimulation.Now() > due;
    if (isLate) {
      overdue += "sent at " + std::to_string(request->sent.ms) + "\n";
    }
  }
  return overdue;
}

std::vector<HostPlace>
Places(size_t aHosts, size_t aZones)
{
  std::vector<HostPlace> places;
  for (size_t i = 0; i < aHosts; ++i) {
    places.push_back(
      { "h" + std::to_string(i), "z" + std::to_string(i % aZones) });
  }
  return places;
}

} // namespace

Test(placement, every_host_serves_while_each_has_two_connections)
{
  cr_assert_eq(CountServingHosts(16, Places(5, 4)).perZone, 0);
  cr_assert_eq(CountServingHosts(220, Places(29, 4)).perZone, 0);
  cr_assert_gt(CountServingHosts(43, Places(30, 4)).perZone, 0);
  cr_assert_gt(CountServingHosts(108, Places(118, 6)).perZone, 0);
}

// What is open and what a fleet that comes back opens beside it both fit.
Test(placement, shares_leave_room_for_a_restart_of_all_hosts)
{
  cr_assert(rc::check([] {
    auto limit = *rc::gen::inRange<uint32_t>(48, 1000);
    auto hosts = *rc::gen::inRange<size_t>(1, 5000);
    auto zones = *rc::gen::inRange<size_t>(1, 12);
    auto serving = CountServingHosts(limit, Places(hosts, zones));
    RC_ASSERT(serving.total >= 1u);
    RC_ASSERT(serving.total <= hosts);
    if (serving.perZone != 0) {
      uint32_t share = ServingShare(limit, serving.total, serving.zones);
      RC_ASSERT(2 * (share * serving.total + serving.zones) <= limit);
    }
  }));
}

Test(placement, connections_do_not_grow_with_the_hosts)
{
  for (size_t hosts : { 118, 300, 1000, 4848 }) {
    auto serving = CountServingHosts(108, Places(hosts, 11));
    cr_assert_leq(serving.total, 22);
    cr_assert_geq(ServingShare(108, serving.total, serving.zones), 2);
  }
}

Test(placement, a_lost_host_moves_only_its_own_services)
{
  auto places = Places(118, 6);
  for (int i = 0; i < 20; ++i) {
    std::string service = "s" + std::to_string(i);
    auto before = RankHosts(service, "z0", places);
    auto fewer = places;
    fewer.erase(
      std::find(fewer.begin(), fewer.end(), HostPlace{ before[2], "z0" }));
    auto after = RankHosts(service, "z0", fewer);
    cr_assert(after[0] == before[0] && after[1] == before[1]);
    cr_assert(after[2] == before[3]);
  }
}

Test(relay, callers_of_all_hosts_are_served_over_few_connections)
{
  for (Freshness freshness :
       { Freshness::Newest, Freshness::Bounded, Freshness::Session }) {
    ProxySimulation simulation(Options(freshness));
    simulation.RunFor(Millis(500));
    Requests requests = UseFor(simulation, Seconds(5));
    simulation.RunFor(Seconds(1));
    cr_assert_gt(ServedShare(requests), 0.999);
    // A serving host and a standby host of each zone.
    cr_assert_eq(HostsThatServe(simulation).size(), kZones);
    cr_assert_leq(CountConnectedHosts(simulation), 2 * kZones);
    cr_assert_eq(simulation.ExcessLinks(), 0);
    cr_assert_eq(simulation.Violations(), "");
  }
}

// Reports are requested by the hosts that serve, so they do not grow with the
// others.
Test(relay, status_requests_do_not_grow_with_the_hosts)
{
  auto countReports = [](size_t aHosts) {
    ProxySimulationOptions options = Options(Freshness::Bounded);
    options.hosts = aHosts;
    ProxySimulation simulation(options);
    simulation.RunFor(Millis(500));
    UseFor(simulation, Seconds(5));
    return simulation.ReportCount();
  };
  cr_assert_leq(countReports(4 * kHosts), 2 * countReports(kHosts));
}

Test(relay, a_session_keeps_its_settings_statements_and_commits)
{
  ProxySimulation simulation(Options(Freshness::Session));
  simulation.Upstream(1).lag = Millis(150);
  simulation.Upstream(2).lag = Millis(150);
  simulation.RunFor(Millis(500));
  UseFor(simulation, Millis(200));
  size_t host = NeighbourOf(simulation, HostsThatServe(simulation)[0]);
  CallerId caller = simulation.OpenSession(host);
  auto submit = [&](const SessionStatement& aStatement) {
    auto request = simulation.SubmitAndWait(host, caller, aStatement);
    cr_assert(IsOk(request));
    return request;
  };
  SessionStatement set = StatementOf(StatementKind::SetValue);
  set.name = "tenant";
  set.arguments = "one";
  submit(set);
  SessionStatement prepare = StatementOf(StatementKind::Prepare);
  prepare.name = "s1";
  prepare.preparedText = "shape";
  prepare.writes = true;
  submit(prepare);
  SessionStatement execute = StatementOf(StatementKind::Execute);
  execute.name = "s1";
  execute.arguments = "a x";
  submit(execute);
  for (int i = 0; i < 10; ++i) {
    submit(StatementOf(StatementKind::Begin));
    submit(WriteStatement("a", "t" + std::to_string(i)));
    submit(ReadStatement("a"));
    submit(StatementOf(StatementKind::Commit));
    size_t committed = simulation.Acknowledged().size();
    auto read = submit(ReadStatement("a"));
    cr_assert_geq(std::stoul(read->reply->rows[0]), committed);
  }
  cr_assert_eq(simulation.Violations(), "");
}

Test(relay, a_lost_serving_host_is_replaced_at_once)
{
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    ProxySimulation simulation(Options(Freshness::Newest, seed));
    simulation.RunFor(Millis(500));
    UseFor(simulation, Seconds(1));
    size_t serving = HostsThatServe(simulation)[seed % kZones];
    simulation.ReplaceHost(serving);
    Time lost = simulation.Now();
    Requests requests = UseFor(simulation, Seconds(3));
    simulation.RunFor(Seconds(1));
    cr_assert_gt(ServedShare(requests, lost + Millis(300)), 0.99);
    cr_assert_eq(simulation.Violations(), "");
    cr_assert_eq(Overdue(simulation), "");
  }
}

// A write that was relayed is never sent again, and the caller is told that it
// may have run. A read is sent to another host.
Test(relay, a_lost_link_leaves_open_writes_unknown_and_repeats_reads)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  simulation.RunFor(Millis(500));
  UseFor(simulation, Millis(200));
  size_t serving = HostsThatServe(simulation)[0];
  size_t host = NeighbourOf(simulation, serving);
  auto write = Write(simulation, host, simulation.OpenSession(host));
  auto read = simulation.SubmitStatement(
    host, simulation.OpenSession(host), ReadStatement("a"));
  simulation.RunFor(Millis(5));
  simulation.LoseRelayLink(host, serving);
  simulation.RunFor(Seconds(1));
  cr_assert(write->reply && write->reply->failure);
  cr_assert_eq(write->reply->failure->code, FailureCode::OutcomeUnknown);
  cr_assert(IsOk(read));
  cr_assert_eq(simulation.Violations(), "");
}

Test(relay, a_transaction_over_a_lost_link_is_rolled_back)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  simulation.RunFor(Millis(500));
  UseFor(simulation, Millis(200));
  size_t serving = HostsThatServe(simulation)[0];
  size_t host = NeighbourOf(simulation, serving);
  CallerId caller = simulation.OpenSession(host);
  simulation.SubmitAndWait(host, caller, StatementOf(StatementKind::Begin));
  auto write =
    simulation.SubmitAndWait(host, caller, WriteStatement("a", "never"));
  cr_assert(IsOk(write));
  simulation.LoseRelayLink(host, serving);
  auto commit =
    simulation.SubmitAndWait(host, caller, StatementOf(StatementKind::Commit));
  cr_assert(commit->reply && commit->reply->failure);
  cr_assert_eq(commit->reply->failure->code, FailureCode::Aborted);
  simulation.RunFor(Seconds(1));
  for (const LogEntry& entry : simulation.Acknowledged()) {
    cr_assert_neq(entry.value, "never");
  }
  cr_assert(IsOk(simulation.SubmitAndWait(host, caller, ReadStatement("a"))));
  cr_assert_eq(simulation.Violations(), "");
}

// The commit reaches the primary, but its reply does not come back.
Test(relay, a_commit_over_a_lost_link_is_unknown)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  simulation.RunFor(Millis(500));
  UseFor(simulation, Millis(200));
  size_t serving = HostsThatServe(simulation)[0];
  size_t host = NeighbourOf(simulation, serving);
  CallerId caller = simulation.OpenSession(host);
  simulation.SubmitAndWait(host, caller, StatementOf(StatementKind::Begin));
  cr_assert(
    IsOk(simulation.SubmitAndWait(host, caller, WriteStatement("a", "once"))));
  auto commit = simulation.SubmitStatement(
    host, caller, StatementOf(StatementKind::Commit));
  simulation.RunFor(Millis(8));
  simulation.LoseRelayLink(host, serving);
  simulation.RunFor(Seconds(1));
  cr_assert(commit->reply && commit->reply->failure);
  cr_assert_eq(commit->reply->failure->code, FailureCode::OutcomeUnknown);
  cr_assert_eq(simulation.Violations(), "");
}

Test(relay, a_reply_to_an_earlier_statement_is_ignored)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  simulation.RunFor(Millis(500));
  UseFor(simulation, Millis(200));
  size_t serving = HostsThatServe(simulation)[0];
  size_t host = NeighbourOf(simulation, serving);
  CallerId caller = simulation.OpenSession(host);
  auto read = simulation.SubmitStatement(host, caller, ReadStatement("a"));
  RelayedReply early;
  early.session = caller;
  early.number = 7;
  early.reply.signature = "of another statement";
  simulation.Send(host,
                  RelayedReplyArrived{ "h" + std::to_string(serving), early });
  cr_assert_not(read->reply);
  simulation.RunFor(Millis(500));
  cr_assert(IsOk(read));
}

namespace {

/** Whether the serving host declines a relayed read of the database. */
bool
Declines(ProxySimulation& aSimulation,
         size_t aServing,
         const std::string& aDatabase)
{
  RelayedStatementArrived event;
  event.link = 1000;
  event.statement.session = 1;
  event.statement.number = 3;
  event.statement.statement = ReadStatement("a");
  event.statement.route.database = aDatabase;
  event.statement.route.service = "service";
  event.statement.route.timeout = kTimeout;
  event.statement.route.latencyObjective = kObjective;
  for (const ProxyAction& action :
       aSimulation.Host(aServing).Handle(aSimulation.Now(), event)) {
    const auto* answer = std::get_if<AnswerRelay>(&action);
    if (answer != nullptr && answer->link == 1000 &&
        answer->reply.number == 3) {
      return answer->reply.isDeclined;
    }
  }
  return false;
}

} // namespace

Test(relay, a_draining_host_declines_what_is_new)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  simulation.RunFor(Millis(500));
  size_t serving = HostsThatServe(simulation)[0];
  cr_assert_not(Declines(simulation, serving, "db"));
  simulation.Send(serving, ProxyDrainRequested{ Seconds(6) });
  cr_assert(Declines(simulation, serving, "db"));
}

Test(relay, a_database_of_another_configuration_is_declined)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  simulation.RunFor(Millis(500));
  size_t serving = HostsThatServe(simulation)[0];
  cr_assert(Declines(simulation, serving, "added"));
  simulation.SetConfig(2, { "db", "added" });
  cr_assert_not(Declines(simulation, serving, "added"));
  simulation.SetConfig(3, { "added" });
  cr_assert(Declines(simulation, serving, "db"));
}

// The paused host runs what it got before, when it is resumed: a promise that
// nothing ran would be false.
Test(relay, a_paused_serving_host_makes_no_promise_false)
{
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    ProxySimulation simulation(Options(Freshness::Newest, seed));
    simulation.RunFor(Millis(500));
    UseFor(simulation, Millis(500));
    size_t serving = HostsThatServe(simulation)[0];
    simulation.paused.insert(serving);
    UseFor(simulation, Millis(400));
    for (size_t host = 0; host < kHosts; ++host) {
      simulation.LoseRelayLink(host, serving); // its pings went unanswered
    }
    Time lost = simulation.Now();
    Requests requests = UseFor(simulation, Seconds(2));
    simulation.paused.clear();
    UseFor(simulation, Seconds(2));
    simulation.RunFor(Seconds(1));
    cr_assert_eq(simulation.Violations(), "");
    size_t own = 0; // requests of the paused host's own callers
    for (const auto& request : requests) {
      own += request->host == serving ? 1 : 0;
    }
    double others = 1 - static_cast<double>(own) / requests.size();
    cr_assert_gt(ServedShare(requests, lost + Millis(300)), others - 0.02);
  }
}

// What a draining host has accepted is finished; the rest goes elsewhere.
Test(relay, a_draining_serving_host_cuts_nothing)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  simulation.RunFor(Millis(500));
  UseFor(simulation, Millis(500));
  size_t serving = HostsThatServe(simulation)[0];
  size_t host = NeighbourOf(simulation, serving);
  CallerId caller = simulation.OpenSession(host);
  simulation.SubmitAndWait(host, caller, StatementOf(StatementKind::Begin));
  cr_assert(
    IsOk(simulation.SubmitAndWait(host, caller, WriteStatement("a", "open"))));
  auto accepted = Write(simulation, host, simulation.OpenSession(host));
  simulation.RunFor(Millis(3));
  simulation.Send(serving, ProxyDrainRequested{ Seconds(6) });
  cr_assert_not(simulation.Host(serving).IsDrained());
  Requests requests = UseFor(simulation, Seconds(1));
  cr_assert(IsOk(simulation.SubmitAndWait(
    host, caller, StatementOf(StatementKind::Commit))));
  simulation.RunFor(Seconds(1));
  cr_assert(IsOk(accepted));
  cr_assert_eq(ServedShare(requests), 1.0);
  cr_assert_eq(simulation.Violations(), "");
}

// Connections of the lost processes stay open for 3 s.
Test(relay, callers_are_served_soon_after_all_hosts_lost_power)
{
  ProxySimulation simulation(Options(Freshness::Bounded));
  simulation.RunFor(Millis(500));
  UseFor(simulation, Seconds(2));
  for (size_t host = 0; host < kHosts; ++host) {
    simulation.ReplaceHost(host);
  }
  Time lost = simulation.Now();
  Requests requests = UseFor(simulation, Seconds(3));
  simulation.RunFor(Seconds(1));
  cr_assert_gt(ServedShare(requests, lost + Millis(1000)), 0.99);
  cr_assert_eq(simulation.ExcessLinks(), 0);
  cr_assert_eq(simulation.Violations(), "");
}

namespace {

/** A host that serves nothing holds the promoter lease; returns it. */
size_t
MakeIdlePromoter(ProxySimulation& aSimulation)
{
  aSimulation.RunFor(Millis(500));
  size_t promoter = NeighbourOf(aSimulation, HostsThatServe(aSimulation)[0]);
  aSimulation.SetPromoterLease(promoter, true);
  UseFor(aSimulation, Seconds(3));
  return promoter;
}

} // namespace

Test(relay, a_promoter_that_serves_nothing_replaces_a_silent_primary)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  MakeIdlePromoter(simulation);
  simulation.Kill(0);
  UseFor(simulation, Seconds(3));
  cr_assert_eq(simulation.Promotions(), 1);
  cr_assert_eq(simulation.Violations(), "");
}

// It sends no commits of its own that could stall.
Test(relay, a_promoter_that_serves_nothing_replaces_a_stalled_primary)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  MakeIdlePromoter(simulation);
  UseFor(simulation, Seconds(3));
  cr_assert_eq(simulation.Promotions(), 0);
  simulation.SetReplicationBlocked(1, true);
  simulation.SetReplicationBlocked(2, true);
  UseFor(simulation, Seconds(4));
  cr_assert_eq(simulation.Promotions(), 1);
  cr_assert_eq(simulation.Violations(), "");
}

// Random losses of hosts, links and upstreams beside pauses.
Test(relay, no_fault_breaks_a_guarantee)
{
  cr_assert(rc::check([] {
    auto seed = *rc::gen::inRange<uint32_t>(1, 1000000);
    auto faults = *rc::gen::container<std::vector<uint32_t>>(
      rc::gen::inRange<uint32_t>(0, 6000));
    ProxySimulationOptions options =
      Options(seed % 2 == 0 ? Freshness::Newest : Freshness::Session, seed);
    options.stepsDownAfter = Millis(1000);
    ProxySimulation simulation(options);
    simulation.SetPromoterLease(0, true);
    simulation.RunFor(Millis(1500));
    for (uint32_t fault : faults) {
      UseFor(simulation, Millis(fault % 100));
      size_t host = fault % kHosts;
      size_t other = (fault / kHosts) % kHosts;
      switch (fault % 5) {
        case 0:
          if (host != 0) {
            simulation.paused.erase(host);
            simulation.ReplaceHost(host);
          }
          break;
        case 1:
          simulation.LoseRelayLink(host, other);
          break;
        case 2:
          simulation.Reset(host, fault % 3);
          break;
        case 3:
          if (host != 0) {
            simulation.paused.insert(host);
          }
          break;
        default:
          simulation.paused.clear();
          break;
      }
    }
    simulation.paused.clear();
    simulation.RunFor(Seconds(3));
    RC_ASSERT(simulation.Violations() == "");
    Requests requests = UseFor(simulation, Seconds(1));
    simulation.RunFor(Seconds(1));
    RC_ASSERT(ServedShare(requests) > 0.95);
  }));
}
