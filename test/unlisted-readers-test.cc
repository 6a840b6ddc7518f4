#include "fakes/group-faults.h"

#include "marigoldpitch/coordination/proxy/unsettled-samples.h"

#include <criterion/criterion.h>

#include <algorithm>

// Reads that accept age while an upstream that no host has listed yet confirms
// commits.
//
// Host 0 and the primary u0 are partitioned from host 1 and the replicas u1 and
// u2, so that the commits of u0 stall. Then u3 starts on the side of u0 and
// confirms them. Its entry appears in the registry some time later.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kSeeds = 30;
constexpr size_t kReader = 1; // the host on the side of the replicas

struct Route
{
  Freshness freshness = Freshness::Bounded;
  Duration maxAge = Millis(1500);
};

const std::vector<Route> kRoutes{ { Freshness::Bounded, Millis(1500) },
                                  { Freshness::Bounded, Millis(2500) },
                                  { Freshness::Session, Millis(1500) },
                                  { Freshness::Session, Millis(2500) } };

ProxySimulationOptions
Options(uint32_t aSeed, const Route& aRoute)
{
  ProxySimulationOptions options;
  options.hosts = 2;
  options.seed = aSeed;
  options.jitter = Millis(4);
  options.freshness = aRoute.freshness;
  options.maxAge = aRoute.maxAge;
  options.stepsDownAfter = kStepsDownAfter;
  options.registryInterval = Millis(1000);
  return options;
}

using Requests = std::vector<std::shared_ptr<FakeRequest>>;

/** Sends writes to host 0 and reads to host 1; returns the reads. */
Requests
WriteAndReadFor(ProxySimulation& aSimulation, Duration aSpan)
{
  Requests reads;
  Time end = aSimulation.Now() + aSpan;
  for (int turn = 0; aSimulation.Now() < end; ++turn) {
    // Commits that stall keep their connections, so there are few of them.
    if (turn % 5 == 0) {
      std::string value = std::to_string(aSimulation.Requests().size());
      aSimulation.SubmitStatement(
        0, aSimulation.OpenSession(0), WriteStatement("a", value));
    }
    reads.push_back(aSimulation.SubmitStatement(
      kReader, aSimulation.OpenSession(kReader), ReadStatement("a")));
    aSimulation.RunFor(std::min(Millis(40), end - aSimulation.Now()));
  }
  return reads;
}

void
Partition(ProxySimulation& aSimulation)
{
  aSimulation.Upstream(0).unreachableFrom.insert(kReader);
  for (size_t replica : { 1, 2 }) {
    aSimulation.SetReplicationBlocked(replica, true);
    aSimulation.Upstream(replica).unreachableFrom.insert(0);
  }
}

/** Starts u3, whose entry does not appear yet. */
size_t
StartUnlisted(ProxySimulation& aSimulation)
{
  size_t added = aSimulation.AddUpstream();
  aSimulation.Upstream(added).isListed = false;
  aSimulation.Upstream(added).unreachableFrom.insert(kReader);
  return added;
}

void
CheckNoViolation(const ProxySimulation& aSimulation, uint32_t aSeed)
{
  std::string violations = aSimulation.Violations();
  std::string first = violations.substr(0, violations.find('\n'));
  cr_assert(first.empty(), "seed %u: %s", aSeed, first.c_str());
}

size_t
CountServed(const Requests& aReads)
{
  return std::count_if(aReads.begin(), aReads.end(), [](const auto& aRead) {
    return IsOk(aRead);
  });
}

} // namespace

Test(unlisted_readers, replicas_that_miss_confirmed_commits_serve_no_stale_read)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    for (const Route& route : kRoutes) {
      ProxySimulation simulation(Options(seed, route));
      simulation.SetPromoterLease(0, true);
      simulation.RunFor(Millis(1500));
      simulation.SetPromoterLease(0, false);
      WriteAndReadFor(simulation, Seconds(1));
      Partition(simulation);
      WriteAndReadFor(simulation, Millis(300) + Millis(30) * seed);
      size_t added = StartUnlisted(simulation);
      WriteAndReadFor(simulation, Millis(400) + Millis(17) * seed);
      simulation.Upstream(added).isListed = true;
      WriteAndReadFor(simulation, Seconds(4));
      CheckNoViolation(simulation, seed);
    }
  }
}

// The host cannot read the registry when u3 starts, and later reads are missing
// u3 for as long as entries may be late after the store was out of reach.
Test(unlisted_readers, entry_that_is_late_after_an_outage_causes_no_stale_read)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    for (const Route& route : kRoutes) {
      ProxySimulation simulation(Options(seed, route));
      simulation.SetPromoterLease(0, true);
      simulation.RunFor(Millis(1500));
      simulation.SetPromoterLease(0, false);
      WriteAndReadFor(simulation, Seconds(1));
      Partition(simulation);
      simulation.withoutRegistry.insert(kReader);
      WriteAndReadFor(simulation, Millis(2500) + Millis(30) * seed);
      size_t added = StartUnlisted(simulation);
      WriteAndReadFor(simulation, Millis(40) * seed);
      simulation.withoutRegistry.erase(kReader);
      WriteAndReadFor(simulation, Millis(1000) + Millis(30) * seed);
      simulation.Upstream(added).isListed = true;
      WriteAndReadFor(simulation, Seconds(4));
      CheckNoViolation(simulation, seed);
    }
  }
}

// Nothing new starts. The replicas serve again once a sample is settled, and
// for longer than the last word of the primary would allow.
Test(unlisted_readers, replicas_serve_while_the_primary_is_cut_off)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxySimulation simulation(Options(seed, kRoutes[1]));
    simulation.SetPromoterLease(0, true);
    simulation.RunFor(Millis(1500));
    simulation.SetPromoterLease(0, false);
    WriteAndReadFor(simulation, Seconds(1));
    Partition(simulation);
    WriteAndReadFor(simulation, Seconds(4));
    Requests reads = WriteAndReadFor(simulation, Seconds(2));
    simulation.RunFor(Seconds(1));
    cr_assert_eq(CountServed(reads),
                 reads.size(),
                 "seed %u: %zu of %zu",
                 seed,
                 CountServed(reads),
                 reads.size());
    CheckNoViolation(simulation, seed);
  }
}

// u3 appears later than any entry should. From then on no read uses what the
// others reported before.
Test(unlisted_readers, sample_that_missed_a_member_is_taken_back)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxySimulation simulation(Options(seed, kRoutes[1]));
    simulation.SetPromoterLease(0, true);
    simulation.RunFor(Millis(1500));
    simulation.SetPromoterLease(0, false);
    WriteAndReadFor(simulation, Seconds(1));
    Partition(simulation);
    WriteAndReadFor(simulation, Seconds(4));
    size_t added = StartUnlisted(simulation);
    // Commits that the reads must show are still missing from none of them.
    WriteAndReadFor(simulation, Millis(2400));
    CheckNoViolation(simulation, seed);
    simulation.Upstream(added).isListed = true;
    simulation.SendRegistryToAll();
    WriteAndReadFor(simulation, Seconds(3));
    CheckNoViolation(simulation, seed);
  }
}

Test(unlisted_readers, points_of_a_proved_primary_are_not_taken_back)
{
  FreshnessTracker tracker;
  tracker.Sample(Time{ 10 }, { 1, 0, 5 }, { SampleSource::Primary, 1, 1 });
  tracker.Sample(Time{ 20 }, { 1, 0, 5 }, { SampleSource::Quorum, 2, 3 });
  tracker.TakeBack(SampleSource::Quorum);
  auto point = tracker.OldestSince(Time{ 5 });
  cr_assert(point);
  cr_assert_eq(point->asked.ms, 10);
  cr_assert_not(tracker.OldestSince(Time{ 11 }));
}

Test(unlisted_readers, sample_waits_no_longer_because_newer_ones_follow)
{
  UnsettledSamples samples;
  for (int64_t ms = 0; ms < kListingTime.ms; ++ms) {
    samples.Add({ { 1, 5 }, Time{ ms }, {} });
  }
  auto settled = samples.Settle(Time{ 0 } + kListingTime);
  cr_assert_eq(settled.size(), 1);
  cr_assert_eq(settled.front().asked.ms, 0);
}

Test(unlisted_readers, samples_settle_again_some_time_after_an_outage)
{
  UnsettledSamples samples;
  samples.Settle(Time{ 0 });
  Time back = Time{ 1 } + kMaxRegistryGap;
  samples.Add({ { 1, 5 }, Time{ 0 }, {} });
  cr_assert(samples.Settle(back).empty());
  cr_assert(samples.Settle(back + Millis(1000)).empty());
  cr_assert(samples.Settle(back + Millis(2499)).empty());
  cr_assert_eq(samples.Settle(back + Millis(2500)).size(), 1);
}

// u3 is listed to host 1 alone, which is then cut off from all but u0 and u3.
// The promoter does not know u3, so it cannot hold it.
Test(unlisted_readers, replica_unknown_to_the_promoter_proves_no_primary)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxySimulation simulation(Options(seed, { Freshness::Newest, {} }));
    simulation.SetPromoterLease(0, true);
    simulation.RunFor(Millis(1500));
    WriteAndReadFor(simulation, Millis(500));
    simulation.isGroupStoreDown = true; // the record goes on without u3
    size_t added = simulation.AddUpstream();
    simulation.RunFor(Millis(50));
    simulation.SendPartialRegistry(kReader, { 0, 1, 2, added });
    simulation.Upstream(added).isListed = false;
    simulation.withoutRegistry.insert(kReader);
    simulation.severedHosts = { { 0, kReader }, { kReader, 0 } };
    for (size_t upstream : { size_t{ 0 }, added }) {
      simulation.SetReplicationBlocked(upstream, true);
      simulation.Upstream(upstream).unreachableFrom.insert(0);
    }
    for (size_t replica : { 1, 2 }) {
      simulation.Upstream(replica).unreachableFrom.insert(kReader);
    }
    WriteAndReadFor(simulation, Seconds(8));
    cr_assert_eq(simulation.Promotions(), 1, "seed %u", seed);
    CheckNoViolation(simulation, seed);
  }
}
