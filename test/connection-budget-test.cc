#include "fakes/proxy-simulation.h"

#include "marigoldpitch/coordination/proxy/connection-budget.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

// How the hosts divide the connections that an upstream accepts, and what
// callers get when they all move to the hosts of another availability zone.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr size_t kHosts = 4;
constexpr Duration kStep = Millis(5);
// Within this time the connections have followed the load.
constexpr Duration kAdaptationTime = Millis(1000);
constexpr Duration kObjective = Millis(300); // as the routes of the simulation

ProxySimulationOptions
Options(Freshness aFreshness)
{
  ProxySimulationOptions options;
  options.freshness = aFreshness;
  options.hosts = kHosts;
  options.connections = 16;
  options.jitter = Millis(2);
  options.registryInterval = Millis(1000);
  return options;
}

/** What a run's callers got. */
struct Service
{
  size_t sent = 0;
  size_t inTime = 0;

  double Share() const
  {
    return static_cast<double>(this->inTime) / static_cast<double>(this->sent);
  }
};

/**
 * Each step, `aCallers` sessions send a statement to hosts from `aFirst` to
 * `aLast`; transactions run one write and a read before they commit.
 */
Service
Load(ProxySimulation& aSimulation,
     size_t aFirst,
     size_t aLast,
     size_t aCallers,
     Duration aSpan)
{
  std::vector<std::shared_ptr<FakeRequest>> requests;
  Time end = aSimulation.Now() + aSpan;
  size_t number = 0;
  while (aSimulation.Now() < end) {
    for (size_t i = 0; i < aCallers; ++i) {
      size_t host = aFirst + number++ % (aLast - aFirst + 1);
      CallerId caller = aSimulation.OpenSession(host);
      bool writes = number % 4 == 0;
      requests.push_back(aSimulation.SubmitStatement(
        host,
        caller,
        writes ? WriteStatement("a", std::to_string(requests.size()))
               : ReadStatement("a")));
    }
    aSimulation.RunFor(kStep);
  }
  aSimulation.RunFor(kObjective);
  Service service;
  for (const auto& request : requests) {
    bool isInTime =
      IsOk(request) && request->answered - request->sent <= kObjective;
    ++service.sent;
    service.inTime += isInTime ? 1 : 0;
  }
  return service;
}

} // namespace

Test(connection_budget, shares_never_exceed_the_limit_together)
{
  cr_assert(rc::check([] {
    auto limit = *rc::gen::inRange<uint32_t>(1, 1000);
    auto hosts = *rc::gen::inRange<size_t>(1, 400);
    uint32_t share = EvenShare(limit, hosts);
    RC_ASSERT(share >= 1u);
    RC_ASSERT(share == 1u || share * hosts <= limit);
  }));
}

Test(connection_budget, nothing_is_borrowed_without_a_recent_census)
{
  Time now{ 100000 };
  cr_assert_eq(BorrowableConnections(12, 2, {}, 0, now), 0);
  cr_assert_eq(BorrowableConnections(12, 2, { 2, now - Seconds(2) }, 0, now),
               0);
  cr_assert_gt(BorrowableConnections(12, 2, { 2, now - Millis(900) }, 0, now),
               0);
}

Test(connection_budget, borrowing_leaves_connections_to_other_hosts)
{
  Time now{ 100000 };
  cr_assert_eq(BorrowableConnections(12, 2, { 12, now }, 0, now), 0);
  cr_assert_eq(BorrowableConnections(12, 2, { 8, now }, 4, now), 0);
  cr_assert_eq(BorrowableConnections(12, 2, { 8, now }, 0, now), 2);
}

// All callers of four availability zones arrive at the host of one: reads and
// writes that only the primary may serve, at 1.2 times what the host's even
// share of three connections can carry.
Test(connection_budget, callers_that_move_to_one_zone_are_served_in_time)
{
  ProxySimulation simulation(Options(Freshness::Newest));
  simulation.RunFor(Millis(500));
  Service before = Load(simulation, 0, kHosts - 1, 3, Seconds(3));
  cr_assert_gt(before.Share(), 0.99, "%.3f", before.Share());
  size_t excess = simulation.ExcessLinks();
  Load(simulation, 0, 0, 3, kAdaptationTime);
  Service moved = Load(simulation, 0, 0, 3, Seconds(3));
  cr_assert_gt(moved.Share(), 0.97, "%.3f", moved.Share());
  cr_assert_eq(simulation.ExcessLinks(), excess);
  cr_assert_eq(simulation.Violations(), "");
}

// A session's own commits stay visible while its zone's load moves.
Test(connection_budget, sessions_see_their_commits_while_callers_move)
{
  ProxySimulation simulation(Options(Freshness::Session));
  Load(simulation, 0, kHosts - 1, 3, Seconds(1));
  CallerId caller = simulation.OpenSession(0);
  for (int i = 0; i < 20; ++i) {
    Load(simulation, 0, 0, 4, Millis(100));
    auto write = simulation.SubmitAndWait(0, caller, WriteStatement("b", "s"));
    size_t committed = simulation.Acknowledged().size();
    auto read = simulation.SubmitAndWait(0, caller, ReadStatement("b"));
    cr_assert(IsOk(write) && IsOk(read));
    cr_assert_geq(std::stoul(read->reply->rows[0]), committed);
  }
  cr_assert_eq(simulation.Violations(), "");
}
