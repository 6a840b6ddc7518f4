#include "fakes/proxy-world.h"

#include <criterion/criterion.h>

// What hosts decide while living upstreams are missing from the registry.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

bool
IsOk(const std::shared_ptr<FakeRequest>& aRequest)
{
  return aRequest->reply && !aRequest->reply->refusal;
}

/** Host 0 holds the duty; a few commits are on all. */
void
Settle(ProxyWorld& aWorld)
{
  aWorld.SetDuty(0, true);
  aWorld.RunFor(Millis(1500));
  for (int i = 0; i < 3; ++i) {
    aWorld.Do(0, aWorld.OpenSession(0), WriteOf("a", std::to_string(i)));
  }
}

ProxyWorldOptions
Options(Freshness aFreshness, size_t aHosts)
{
  ProxyWorldOptions options;
  options.freshness = aFreshness;
  options.hosts = aHosts;
  return options;
}

/** Writes at the host, a session each, whatever becomes of them. */
void
PressWrites(ProxyWorld& aWorld, size_t aHost, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    std::string value = "p" + std::to_string(aWorld.Requests().size());
    aWorld.Ask(aHost, aWorld.OpenSession(aHost), WriteOf("a", value));
    aWorld.RunFor(Millis(10));
  }
}

} // namespace

// It held one of two replicas, and the other went on confirming.
Test(registry_lapse, an_old_promoter_holds_a_replica_that_lost_the_store_alone)
{
  ProxyWorld world(Options(Freshness::Newest, 2));
  Settle(world);
  world.ListOnly(0, { 0, 1 });
  world.RunFor(Millis(2000));
  PressWrites(world, 0, 3);
  world.Upstream(0).cutFrom.insert(0); // the holder alone loses the primary
  PressWrites(world, 1, 300);
  world.RunFor(Seconds(3));
  cr_assert_eq(world.Promotions(), 1);
  cr_assert_eq(world.Wrongs(), "");
}

Test(registry_lapse, a_young_promoter_replaces_no_primary_that_lives_unlisted)
{
  ProxyWorld world(Options(Freshness::Newest, 2));
  Settle(world);
  world.SetDuty(0, false);
  world.Upstream(0).isListed = false;
  world.Upstream(2).isListed = false;
  world.ReplaceHost(1); // it never sees them listed
  world.SetDuty(1, true);
  PressWrites(world, 0, 300);
  world.RunFor(Seconds(3));
  cr_assert_eq(world.Promotions(), 0);
  cr_assert_eq(world.Wrongs(), "");
}

Test(registry_lapse, a_primary_missing_for_half_a_minute_still_counts)
{
  ProxyWorld world(Options(Freshness::Bounded, 2));
  Settle(world);
  world.SetDuty(0, false);
  CallerId reader = world.OpenSession(1);
  world.Do(1, reader, ReadOf("a"));
  world.RunFor(Millis(500));
  world.SetDeaf(1, true);
  world.Upstream(0).cutFrom.insert(1);
  world.ListOnly(0, { 1, 2 });
  world.ListOnly(1, { 1, 2 });
  PressWrites(world, 0, 5);
  world.RunFor(Seconds(31));
  size_t served = 0;
  for (int i = 0; i < 20; ++i) {
    served += IsOk(world.Do(1, reader, ReadOf("a"))) ? 1 : 0;
    world.RunFor(Millis(20));
  }
  cr_assert_eq(world.Wrongs(), "");
  cr_assert_geq(served, 19);
}

// A host that knew two of three took both for held, and the new one for free.
Test(registry_lapse, a_young_host_waits_for_the_proofs_of_others)
{
  ProxyWorld world(Options(Freshness::Newest, 3));
  Settle(world);
  world.ReplaceHost(1);
  world.ListOnly(1, { 0, 1 });
  world.RunFor(Millis(1000));
  world.Upstream(1).cutFrom.insert(2); // host 2 hears of the old group only
  world.Reset(2, 1);
  world.Upstream(0).cutFrom.insert(0); // the promoter loses the primary
  world.Upstream(2).cutFrom.insert(0); // and reaches 2 later than 1
  world.Silence(0, 2);
  int sinceHeld = 0;
  for (int i = 0; i < 400; ++i) {
    SessionStatement statement = ReadOf("a");
    if (world.Promotions() != 0) {
      statement = WriteOf("a", "n" + std::to_string(i));
    }
    world.Ask(1, world.OpenSession(1), statement);
    world.Ask(2, world.OpenSession(2), ReadOf("a"));
    world.RunFor(Millis(10));
    bool isHeld = world.Upstream(1).held != 0 || sinceHeld != 0;
    sinceHeld += isHeld ? 1 : 0;
    if (sinceHeld == 40) {
      world.Upstream(2).cutFrom.erase(0);
    }
  }
  cr_assert_eq(world.Promotions(), 1);
  cr_assert_eq(world.Wrongs(), "");
}
