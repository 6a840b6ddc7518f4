#include "fakes/proxy-simulation.h"

#include "marigoldpitch/coordination/proxy/opening-pace.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

// How hosts open connections to upstreams that have reached their limit.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr size_t kHosts = 45;
constexpr size_t kZones = 3;
constexpr uint32_t kConnections = 46;
constexpr size_t kUpstreams = 3;
constexpr Duration kStep = Millis(10);

/** Sends a statement to some hosts each step, so that all want connections. */
size_t
UseFor(ProxySimulation& aSimulation, Duration aSpan)
{
  std::vector<std::shared_ptr<FakeRequest>> requests;
  Time end = aSimulation.Now() + aSpan;
  for (size_t n = 0; aSimulation.Now() < end; n += 7) {
    for (size_t i = 0; i < 7; ++i) {
      size_t host = (n + i) % kHosts;
      requests.push_back(aSimulation.SubmitStatement(
        host, aSimulation.OpenSession(host), ReadStatement("a")));
    }
    aSimulation.RunFor(kStep);
  }
  aSimulation.RunFor(Millis(300));
  return static_cast<size_t>(
           std::count_if(requests.begin(),
                         requests.end(),
                         [](const auto& aRequest) { return IsOk(aRequest); })) *
         100 / requests.size();
}

} // namespace

// As many statements wait as like: a full upstream gets one attempt a pause,
// and is found within the longest pause once it has room.
Test(opening_pace, a_full_upstream_is_asked_rarely_and_room_is_found_soon)
{
  cr_assert(rc::check([] {
    auto spread = *rc::gen::inRange(0, 100) / 100.0;
    auto full = *rc::gen::inRange<int64_t>(0, 6000);
    auto waiting = *rc::gen::inRange<uint32_t>(1, 200);
    OpeningPace pace;
    size_t attempts = 0;
    Time now{ 100000 };
    Time end = now + Millis(full);
    for (; now < end; now = now + Millis(5)) {
      for (uint32_t i = 0; i < waiting; ++i) {
        if (pace.MayOpen(0, kConnections, {}, 0, now)) {
          ++attempts;
          pace.NoteRefused(spread, now);
        }
      }
    }
    RC_ASSERT(attempts <= 4 + static_cast<size_t>(full) / 800);
    while (!pace.MayOpen(0, kConnections, {}, 0, now)) {
      now = now + Millis(5);
    }
    RC_ASSERT(now - end <= Millis(1600));
  }));
}

Test(opening_pace, refusals_open_one_at_a_time_until_some_are_accepted)
{
  Time now{ 100000 };
  OpeningPace pace;
  cr_assert(pace.MayOpen(5, kConnections, {}, 0, now));
  cr_assert_eq(pace.NoteRefused(0.5, now).ms, 150);
  cr_assert_eq(pace.NoteRefused(0.5, now).ms, 0); // of the same attempts
  now = now + Millis(150);
  cr_assert(pace.MayOpen(0, kConnections, {}, 0, now));
  cr_assert_not(pace.MayOpen(1, kConnections, {}, 0, now));
  pace.NoteAccepted();
  cr_assert(pace.MayOpen(5, kConnections, {}, 0, now));
}

Test(opening_pace, a_recent_report_of_a_full_upstream_is_believed)
{
  Time now{ 100000 };
  OpeningPace pace;
  cr_assert_not(pace.MayOpen(0, 46, { 46, now - Millis(200) }, 0, now));
  cr_assert_not(pace.MayOpen(0, 46, { 44, now - Millis(200) }, 2, now));
  cr_assert(pace.MayOpen(0, 46, { 44, now - Millis(200) }, 1, now));
  cr_assert(pace.MayOpen(0, 46, { 46, now - Millis(900) }, 0, now));
}

// All hosts lose power. Those that serve start late, so that no host finds one
// to relay to; the connections of the lost processes linger for 3 s.
Test(opening_pace, a_fleet_that_comes_back_does_not_storm_full_upstreams)
{
  ProxySimulationOptions options;
  options.freshness = Freshness::Bounded;
  options.hosts = kHosts;
  options.zones = kZones;
  options.upstreams = kUpstreams;
  options.connections = kConnections;
  options.registryInterval = Millis(1000);
  options.lingerTime = kLingerTime;
  ProxySimulation simulation(options);
  simulation.RunFor(Millis(500));
  cr_assert_gt(UseFor(simulation, Seconds(2)), 98);
  cr_assert_eq(simulation.ExcessLinks(), 0);
  for (size_t host = 0; host < kHosts; ++host) {
    const ProxyService& service =
      simulation.Host(host).Services().at("service");
    if (service.isSpareHere) {
      simulation.paused.insert(host);
    }
  }
  for (size_t host = 0; host < kHosts; ++host) {
    simulation.ReplaceHost(host);
  }
  UseFor(simulation, Seconds(2));
  simulation.paused.clear();
  size_t served = UseFor(simulation, Seconds(2));
  size_t excess = simulation.ExcessLinks();
  cr_assert_leq(excess, kUpstreams * kZones, "%zu", excess);
  cr_assert_gt(served, 60, "%zu", served);
  cr_assert_gt(UseFor(simulation, Seconds(1)), 98);
  cr_assert_eq(simulation.Violations(), "");
}
