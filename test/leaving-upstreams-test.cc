#include "fakes/proxy-simulation.h"

#include <criterion/criterion.h>

// Proxies while upstreams leave: they announce it in the registry, go on for
// the drain time and then end. `ProxySimulation` reports each single statement,
// or first one of a transaction, that arrives later than that.
//
// Upstream u0 is the primary. Without a host that holds the promoter lease, it
// gets no successor.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr Duration kStep = Millis(50);
// Before the store has been back for this long, an entry may be missing though
// its upstream serves, and no host can tell that from one that has left.
constexpr Duration kContactTime = Millis(4000);
// Statements that cannot be served before the drain time ends are refused
// within this time.
constexpr Duration kRefusalTime = Millis(100);

using Requests = std::vector<std::shared_ptr<FakeRequest>>;

ProxySimulationOptions
Options(Freshness aFreshness)
{
  ProxySimulationOptions options;
  options.freshness = aFreshness;
  options.hosts = 2;
  options.jitter = Millis(4);
  options.registryInterval = Millis(1000);
  return options;
}

/** Sends each host a read and a write, each in its own session, for `aSpan`. */
Requests
UseFor(ProxySimulation& aSimulation, Duration aSpan)
{
  Requests requests;
  Time end = aSimulation.Now() + aSpan;
  while (aSimulation.Now() < end) {
    for (size_t host = 0; host < aSimulation.Hosts(); ++host) {
      requests.push_back(aSimulation.SubmitStatement(
        host, aSimulation.OpenSession(host), ReadStatement("a")));
      requests.push_back(aSimulation.SubmitStatement(
        host,
        aSimulation.OpenSession(host),
        WriteStatement("a", std::to_string(aSimulation.Requests().size()))));
    }
    aSimulation.RunFor(kStep);
  }
  return requests;
}

/** The share of the served ones among the statements of a kind since a time. */
double
ServedShare(const Requests& aRequests, StatementKind aKind, Time aFrom)
{
  double sent = 0;
  double served = 0;
  for (const auto& request : aRequests) {
    bool counts = request->statement.kind == aKind && request->sent >= aFrom;
    sent += counts ? 1 : 0;
    served += counts && IsOk(request) ? 1 : 0;
  }
  return sent == 0 ? 0 : served / sent;
}

std::string
FirstViolation(const ProxySimulation& aSimulation)
{
  std::string violations = aSimulation.Violations();
  return violations.substr(0, violations.find('\n'));
}

/** All hosts lose the registry, and the entries expire. */
void
LoseRegistry(ProxySimulation& aSimulation)
{
  for (size_t host = 0; host < aSimulation.Hosts(); ++host) {
    aSimulation.withoutRegistry.insert(host);
  }
  for (size_t i = 0; i < aSimulation.Upstreams(); ++i) {
    aSimulation.Upstream(i).isListed = false;
  }
}

/** The registry is back, with entries of the upstreams from `aFirst` on. */
void
RestoreRegistry(ProxySimulation& aSimulation, size_t aFirst)
{
  aSimulation.withoutRegistry.clear();
  for (size_t i = aFirst; i < aSimulation.Upstreams(); ++i) {
    aSimulation.Upstream(i).isListed = true;
  }
}

} // namespace

Test(leaving_upstreams, primary_without_a_successor_gets_nothing_after_drain)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  UseFor(simulation, Seconds(2));
  simulation.AnnounceDeparture(0);
  UseFor(simulation, Seconds(12));
  cr_assert_eq(FirstViolation(simulation), "");
}

Test(leaving_upstreams, reads_go_to_replicas_once_the_primary_may_not_be_used)
{
  ProxySimulation simulation(Options(Freshness::Bounded));
  UseFor(simulation, Seconds(2));
  simulation.AnnounceDeparture(0);
  Time end = simulation.Now() + kDrainTime;
  Requests requests = UseFor(simulation, Seconds(12));
  simulation.RunFor(Seconds(1));
  cr_assert_eq(FirstViolation(simulation), "");
  cr_assert_gt(ServedShare(requests, StatementKind::Read, end), 0.95);
}

// Guards against callers that wait for a primary that will not come in time.
Test(leaving_upstreams, writes_are_refused_at_once_after_the_drain_time)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  UseFor(simulation, Seconds(2));
  simulation.AnnounceDeparture(0);
  Time end = simulation.Now() + kDrainTime;
  Requests requests = UseFor(simulation, Seconds(10));
  for (const auto& request : requests) {
    if (request->sent >= end) {
      cr_assert(request->reply && request->reply->failure);
      cr_assert_eq(request->reply->failure->code, FailureCode::Busy);
      cr_assert_leq((request->answered - request->sent).ms, kRefusalTime.ms);
    }
  }
}

Test(leaving_upstreams, primary_gets_nothing_if_its_entry_expires_with_the_mark)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  UseFor(simulation, Seconds(2));
  LoseRegistry(simulation);
  simulation.AnnounceDeparture(0); // the last write that the store accepted
  UseFor(simulation, Seconds(5));
  RestoreRegistry(simulation, 1);
  UseFor(simulation, kContactTime);
  for (const auto& request : UseFor(simulation, Seconds(8))) {
    cr_assert_eq(request->violation, "");
  }
}

Test(leaving_upstreams, announcement_holds_when_the_entry_shows_it_no_more)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  UseFor(simulation, Seconds(2));
  simulation.AnnounceDeparture(0);
  UseFor(simulation, Seconds(2));
  simulation.Upstream(0).entry.leaving = false;
  UseFor(simulation, Seconds(10));
  cr_assert_eq(FirstViolation(simulation), "");
}

Test(leaving_upstreams, announcement_holds_when_the_entry_expires)
{
  ProxySimulation simulation(Options(Freshness::Bounded));
  UseFor(simulation, Seconds(2));
  simulation.AnnounceDeparture(0);
  simulation.AnnounceDeparture(1);
  UseFor(simulation, Seconds(2));
  simulation.Upstream(0).isListed = false;
  simulation.Upstream(1).isListed = false;
  UseFor(simulation, Seconds(10));
  cr_assert_eq(FirstViolation(simulation), "");
}

namespace {

/** A host is replaced while u0 leaves, with or without its entry. */
void
CheckNewHost(bool aIsListed)
{
  for (Duration age : { Seconds(4), Seconds(6) }) {
    ProxySimulation simulation(Options(Freshness::Newest));
    UseFor(simulation, Seconds(2));
    simulation.AnnounceDeparture(0);
    simulation.Upstream(0).isListed = aIsListed;
    UseFor(simulation, age);
    simulation.ReplaceHost(1);
    UseFor(simulation, Seconds(8));
    cr_assert_eq(FirstViolation(simulation), "");
  }
}

} // namespace

Test(leaving_upstreams, new_host_does_not_use_a_primary_that_is_leaving)
{
  CheckNewHost(true);
}

// Guards against the group's record as the only word on an upstream: it names
// the members, not whether they leave.
Test(leaving_upstreams, new_host_does_not_use_a_primary_known_by_record_alone)
{
  CheckNewHost(false);
}

// Guards against an announcement that is dated to when it was read: the reader
// of the registry was lost for most of the drain time.
Test(leaving_upstreams, primary_gets_nothing_late_if_its_mark_is_read_late)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  UseFor(simulation, Seconds(2));
  simulation.withoutRegistry = { 0, 1 };
  simulation.AnnounceDeparture(0);
  UseFor(simulation, Seconds(6));
  simulation.withoutRegistry.clear();
  UseFor(simulation, Seconds(6));
  cr_assert_eq(FirstViolation(simulation), "");
}

Test(leaving_upstreams, new_incarnation_of_a_leaving_upstream_is_used)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  UseFor(simulation, Seconds(2));
  simulation.AnnounceDeparture(0);
  UseFor(simulation, Seconds(3));
  simulation.Kill(0);
  simulation.RunFor(Seconds(2));
  simulation.Upstream(0).entry.leaving = false;
  simulation.Upstream(0).entry.incarnation = 2;
  simulation.Upstream(0).departed = kInfiniteFuture;
  simulation.Restart(0);
  simulation.RunFor(Seconds(2));
  Time from = simulation.Now();
  Requests requests = UseFor(simulation, Seconds(3));
  simulation.RunFor(Seconds(1));
  cr_assert_gt(ServedShare(requests, StatementKind::Write, from), 0.95);
}

Test(leaving_upstreams, unlisted_primary_gets_a_successor_in_time)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  simulation.SetPromoterLease(0, true);
  UseFor(simulation, Seconds(2));
  simulation.AnnounceDeparture(0);
  simulation.Upstream(0).isListed = false; // no host reads the announcement
  Time end = simulation.Now() + kDrainTime;
  Requests requests = UseFor(simulation, Seconds(12));
  simulation.RunFor(Seconds(1));
  cr_assert_eq(FirstViolation(simulation), "");
  cr_assert_eq(simulation.Promotions(), 1);
  cr_assert_gt(ServedShare(requests, StatementKind::Write, end), 0.95);
}

// Guards against a lost commit: a promoter that had stood still resumed
// replicas that its successor held, and one of them confirmed a commit to the
// old primary.
Test(leaving_upstreams, promoter_that_stood_still_resumes_no_replica)
{
  for (int64_t offsetMs = 80; offsetMs <= 400; offsetMs += 20) {
    ProxySimulationOptions options = Options(Freshness::Newest);
    options.upstreams = 4;
    ProxySimulation simulation(options);
    simulation.SetPromoterLease(0, true, simulation.Now() + Seconds(5));
    UseFor(simulation, Seconds(2));
    simulation.RunFor(Seconds(1));
    simulation.paused.insert(0);
    simulation.RunFor(Seconds(3));
    simulation.AnnounceDeparture(0);
    simulation.RunFor(Seconds(1));
    simulation.SetPromoterLease(1, true);
    simulation.RunFor(Duration{ offsetMs });
    simulation.paused.erase(0);
    simulation.SendRegistryToAll();
    // The host is still holding replicas when it notices, and the chosen one
    // receives nothing more before it leads.
    simulation.Upstream(3).unreachableFrom.insert(0);
    simulation.SetReplicationBlocked(1, true);
    for (int i = 0; i < 40; ++i) {
      bool isNoticed = i == 3; // that the lease is lost
      if (isNoticed) {
        simulation.SetPromoterLease(0, false);
      }
      simulation.SubmitStatement(1,
                                 simulation.OpenSession(1),
                                 WriteStatement("a", "n" + std::to_string(i)));
      simulation.RunFor(Millis(10));
    }
    simulation.SetReplicationBlocked(1, false);
    simulation.RunFor(Seconds(2));
    cr_assert_eq(simulation.Promotions(), 1, "resumed %ld ms after", offsetMs);
    cr_assert_eq(FirstViolation(simulation), "", "%ld ms after", offsetMs);
  }
}

// A first read of the registry after an outage lacks the entries that expired.
Test(leaving_upstreams,
     entries_that_come_back_after_an_outage_cost_no_promotion)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  simulation.SetPromoterLease(0, true);
  UseFor(simulation, Seconds(2));
  LoseRegistry(simulation);
  UseFor(simulation, Seconds(10));
  Time from = simulation.Now();
  RestoreRegistry(simulation, simulation.Upstreams());
  Requests requests = UseFor(simulation, Seconds(2));
  RestoreRegistry(simulation, 0);
  Requests later = UseFor(simulation, Seconds(5));
  requests.insert(requests.end(), later.begin(), later.end());
  simulation.RunFor(Seconds(1));
  cr_assert_eq(simulation.Promotions(), 0);
  cr_assert_eq(FirstViolation(simulation), "");
  cr_assert_gt(ServedShare(requests, StatementKind::Write, from), 0.95);
}
