#include "fakes/group-faults.h"

#include <criterion/criterion.h>

// What a process decides that has never seen some members of a group listed.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kSeeds = 30;
constexpr uint32_t kFewSeeds = 10;
// From when on a host serves all reads, after its start and a promotion.
constexpr Duration kServedAfter = Millis(1000);
constexpr Duration kReturnsIn = Seconds(10);

using Requests = std::vector<std::shared_ptr<FakeRequest>>;

/** Jittered, with one host that is there from the beginning. */
ProxyWorldOptions
Options(Freshness aFreshness, uint32_t aSeed)
{
  ProxyWorldOptions options;
  options.freshness = aFreshness;
  options.seed = aSeed;
  options.hosts = 1;
  options.jitter = Millis(4);
  options.stepsDownAfter = kStepsDownAfter;
  return options;
}

/** Commits on the host, one after the other. */
void
Write(ProxyWorld& aWorld, size_t aHost, int aCount)
{
  CallerId caller = aWorld.OpenSession(aHost);
  for (int i = 0; i < aCount; ++i) {
    size_t number = aWorld.Acknowledged().size();
    cr_assert(IsOk(
      aWorld.Do(aHost, caller, WriteOf("a", "v" + std::to_string(number)))));
  }
}

/** Reads on the host every 10 ms, each in a session of its own. */
Requests
ReadFor(ProxyWorld& aWorld, size_t aHost, Duration aSpan)
{
  Requests reads;
  Time end = aWorld.Now() + aSpan;
  while (aWorld.Now() < end) {
    reads.push_back(aWorld.Ask(aHost, aWorld.OpenSession(aHost), ReadOf("a")));
    aWorld.RunFor(Millis(10));
  }
  aWorld.RunFor(Seconds(1));
  return reads;
}

size_t
RefusedSince(const Requests& aReads, Time aFrom)
{
  size_t refused = 0;
  for (const auto& read : aReads) {
    refused += read->sent >= aFrom && !IsOk(read) ? 1 : 0;
  }
  return refused;
}

/** The findings of all seeds, a line each. */
class Findings
{
public:
  void Note(uint32_t aSeed, const std::string& aWhat)
  {
    if (!aWhat.empty()) {
      this->text += "seed " + std::to_string(aSeed) + ": " + aWhat + "\n";
    }
  }

  /** The first old read and the first lost commit. */
  void NoteWrongs(uint32_t aSeed, const ProxyWorld& aWorld)
  {
    std::string wrongs = aWorld.Wrongs();
    std::string first = wrongs.substr(0, wrongs.find('\n'));
    size_t lost = wrongs.find("an acknowledged commit is lost");
    bool isOther = lost != std::string::npos && lost != 0;
    this->Note(aSeed,
               isOther ? first + "; " +
                           wrongs.substr(lost, wrongs.find('\n', lost) - lost)
                       : first);
  }
  const char* Text() const { return this->text.c_str(); }

private:
  std::string text;
};

/** Commits, of which u0 and u1 alone hold the newer half. */
void
WriteBesideDeafReplicas(ProxyWorld& aWorld)
{
  aWorld.SetDuty(0, true);
  aWorld.RunFor(Millis(1500));
  Write(aWorld, 0, 10);
  for (size_t i = 2; i < aWorld.Upstreams(); ++i) {
    aWorld.SetDeaf(i, true);
  }
  Write(aWorld, 0, 10);
  aWorld.RunFor(Millis(500)); // all are older than the accepted age
}

/** A process that has just started takes the duty from host 0. */
size_t
AddPromoter(ProxyWorld& aWorld)
{
  aWorld.SetDuty(0, false);
  size_t young = aWorld.AddHost();
  aWorld.SetDuty(young, true);
  return young;
}

/**
 * u2 is deaf, u0 dies and lapses, u1 is promoted by an old host; a new one
 * starts before or after that. By the seed u1 or u2 answers it first.
 */
void
CheckReadsOfAYoungHost(Freshness aFreshness, bool aKnowsGroup)
{
  Findings findings;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxyWorldOptions options = Options(aFreshness, seed);
    options.withholdsGroups = !aKnowsGroup;
    ProxyWorld world(options);
    WriteBesideDeafReplicas(world);
    world.Kill(0);
    world.RunFor(Millis(300));
    world.ReadRegistry();
    world.RunFor(Millis(700) * (seed % 3));
    world.Upstream(1 + seed % 2).distance = Millis(20);
    size_t young = world.AddHost();
    bool isPromoted = world.Promotions() != 0;
    Requests reads = ReadFor(world, young, Seconds(4));
    cr_assert_eq(world.Promotions(), 1, "seed %u", seed);
    // Without a promotion before, it is made within 1.5 s of the crash.
    Time from = reads[0]->sent + (isPromoted ? Millis(0) : Millis(1500));
    size_t refused = RefusedSince(reads, from + kServedAfter);
    findings.NoteWrongs(seed, world);
    findings.Note(
      seed, refused == 0 ? "" : std::to_string(refused) + " reads refused");
  }
  cr_assert_str_eq(findings.Text(), "");
}

} // namespace

Test(group_members, a_young_host_takes_no_deaf_replicas_word_for_a_bounded_read)
{
  CheckReadsOfAYoungHost(Freshness::Bounded, true);
}

Test(group_members, a_young_host_takes_no_deaf_replicas_word_for_a_session)
{
  CheckReadsOfAYoungHost(Freshness::Session, true);
}

Test(group_members, a_host_that_knows_no_group_reads_nothing_old)
{
  CheckReadsOfAYoungHost(Freshness::Bounded, false);
}

namespace {

/** Lets u0 crash and lapse while u1 is not listed, and a promoter starts. */
void
CheckPromoter(ProxyWorldOptions aOptions, bool aIsAlive)
{
  Findings findings;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    aOptions.seed = seed;
    ProxyWorld world(aOptions);
    WriteBesideDeafReplicas(world);
    world.Upstream(1).isListed = false;
    if (!aIsAlive) {
      world.Kill(1);
    }
    world.Kill(0);
    world.ReadRegistry();
    size_t young = AddPromoter(world);
    ReadFor(world, young, Seconds(4));
    findings.NoteWrongs(seed, world);
    findings.Note(seed, Returns(world, young, { 0 }) ? "" : "out of service");
    findings.NoteWrongs(seed, world);
  }
  cr_assert_str_eq(findings.Text(), "");
}

} // namespace

Test(group_members, no_commit_is_lost_with_a_crashed_confirmer_and_primary)
{
  CheckPromoter(Options(Freshness::Newest, 1), false);
}

Test(group_members, no_commit_is_lost_with_a_confirmer_cut_from_the_store)
{
  CheckPromoter(Options(Freshness::Newest, 1), true);
}

Test(group_members, a_promoter_that_knows_no_group_loses_nothing)
{
  ProxyWorldOptions options = Options(Freshness::Newest, 1);
  options.withholdsGroups = true;
  CheckPromoter(options, true);
}

Test(group_members, no_commit_is_lost_in_a_group_of_five)
{
  ProxyWorldOptions options = Options(Freshness::Newest, 1);
  options.upstreams = 5;
  CheckPromoter(options, true);
}

Test(group_members, no_old_read_is_served_in_a_group_of_five)
{
  ProxyWorldOptions options = Options(Freshness::Bounded, 1);
  options.upstreams = 5;
  CheckPromoter(options, true);
}

Test(group_members, no_commit_is_lost_when_the_primary_leaves)
{
  Findings findings;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxyWorld world(Options(Freshness::Newest, seed));
    WriteBesideDeafReplicas(world);
    world.Upstream(1).isListed = false;
    world.Upstream(0).entry.leaving = true;
    world.ReadRegistry();
    size_t young = AddPromoter(world);
    ReadFor(world, young, Seconds(4));
    findings.NoteWrongs(seed, world);
    findings.Note(seed, Returns(world, young) ? "" : "out of service");
    findings.NoteWrongs(seed, world);
  }
  cr_assert_str_eq(findings.Text(), "");
}

namespace {

/** u0 lapses, and crashes in even seeds, while a promoter starts. */
void
CheckGroupOfTwo(std::optional<Duration> aStepsDownAfter)
{
  Findings findings;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxyWorldOptions options = Options(Freshness::Bounded, seed);
    options.upstreams = 2;
    options.stepsDownAfter = aStepsDownAfter;
    ProxyWorld world(options);
    WriteBesideDeafReplicas(world);
    if (seed % 2 == 0) {
      world.Kill(0);
    }
    world.Upstream(0).isListed = false;
    world.ReadRegistry();
    size_t young = AddPromoter(world);
    ReadFor(world, young, Seconds(4));
    findings.NoteWrongs(seed, world);
    findings.Note(seed, Returns(world, young) ? "" : "out of service");
    findings.NoteWrongs(seed, world);
  }
  cr_assert_str_eq(findings.Text(), "");
}

} // namespace

Test(group_members, a_group_of_two_loses_nothing_and_returns)
{
  CheckGroupOfTwo(kStepsDownAfter);
}

// The old primary goes on until it is told.
Test(group_members, questions_for_a_proof_do_not_keep_an_old_primary)
{
  CheckGroupOfTwo({});
}

Test(group_members, hosts_that_are_all_young_take_no_deaf_replicas_word)
{
  Findings findings;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxyWorldOptions options = Options(Freshness::Bounded, seed);
    options.hosts = 3;
    ProxyWorld world(options);
    WriteBesideDeafReplicas(world);
    world.Kill(0);
    world.ReadRegistry();
    world.Upstream(1 + seed % 2).distance = Millis(20);
    for (size_t host = 0; host < 3; ++host) {
      world.ReplaceHost(host);
    }
    world.SetDuty(0, true);
    Time started = world.Now();
    Requests reads;
    for (int i = 0; i < 600; ++i) {
      size_t host = i % 3;
      reads.push_back(world.Ask(host, world.OpenSession(host), ReadOf("a")));
      world.RunFor(Millis(10));
    }
    world.RunFor(Seconds(1));
    // Nobody knew the primary, so a promotion begins after 2 s.
    size_t refused = RefusedSince(reads, started + Millis(3000) + kServedAfter);
    findings.NoteWrongs(seed, world);
    findings.Note(
      seed, refused == 0 ? "" : std::to_string(refused) + " reads refused");
    findings.Note(seed, Returns(world, 0, { 0 }) ? "" : "out of service");
    findings.NoteWrongs(seed, world);
  }
  cr_assert_str_eq(findings.Text(), "");
}

Test(group_members, a_promoter_waits_for_one_that_returns_with_its_log)
{
  Findings findings;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxyWorld world(Options(Freshness::Newest, seed));
    WriteBesideDeafReplicas(world);
    world.Kill(1);
    world.Kill(0);
    world.ReadRegistry();
    size_t young = AddPromoter(world);
    world.RunFor(Millis(150) * seed);
    world.Restart(1);
    world.ReadRegistry();
    world.RunFor(Seconds(4));
    findings.NoteWrongs(seed, world);
    findings.Note(seed, Returns(world, young, { 0 }) ? "" : "out of service");
    findings.NoteWrongs(seed, world);
  }
  cr_assert_str_eq(findings.Text(), "");
}

namespace {

/** u1 comes back without its log beside the deaf u2; then u0 crashes. */
void
CheckEmptyReturn(Freshness aFreshness, bool aIsYoung)
{
  Findings findings;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxyWorld world(Options(aFreshness, seed));
    WriteBesideDeafReplicas(world);
    world.Kill(1);
    world.ReadRegistry();
    world.RunFor(Millis(500));
    world.SetDeaf(1, true); // it has not caught up yet
    world.RestartEmpty(1);
    world.ReadRegistry();
    size_t reader = aIsYoung ? AddPromoter(world) : 0;
    ReadFor(world, reader, Seconds(2));
    findings.NoteWrongs(seed, world);
    world.Kill(0);
    ReadFor(world, reader, Seconds(3));
    findings.NoteWrongs(seed, world);
    findings.Note(seed, Returns(world, reader) ? "" : "out of service");
    findings.NoteWrongs(seed, world);
  }
  cr_assert_str_eq(findings.Text(), "");
}

} // namespace

Test(group_members, one_that_returns_without_its_log_vouches_for_no_read)
{
  CheckEmptyReturn(Freshness::Bounded, false);
}

Test(group_members, one_without_its_log_vouches_for_nothing_to_a_young_host)
{
  CheckEmptyReturn(Freshness::Bounded, true);
}

// Nothing is sent to an upstream that lapsed, so nobody finds it silent.
Test(group_members, a_primary_that_lapses_and_then_crashes_is_replaced)
{
  Findings findings;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxyWorld world(Options(Freshness::Newest, seed));
    world.SetDuty(0, true);
    world.RunFor(Millis(1500));
    Write(world, 0, 10);
    world.Upstream(0).isListed = false;
    world.ReadRegistry();
    world.RunFor(Millis(50) * seed);
    world.Kill(0);
    world.RunFor(kReturnsIn);
    findings.Note(seed, world.Promotions() == 1 ? "" : "no promotion");
    findings.NoteWrongs(seed, world);
  }
  cr_assert_str_eq(findings.Text(), "");
}

namespace {

/** u3 joins and u1 goes for good; long after, u0 does as well. */
void
CheckSuccession(bool aIsOrderly)
{
  Findings findings;
  for (uint32_t seed = 1; seed <= kFewSeeds; ++seed) {
    ProxyWorld world(Options(Freshness::Bounded, seed));
    world.SetDuty(0, true);
    world.RunFor(Millis(1500));
    Write(world, 0, 10);
    world.AddUpstream();
    world.Upstream(1).entry.leaving = aIsOrderly;
    world.ReadRegistry();
    world.RunFor(Seconds(1));
    world.Kill(1);
    world.ReadRegistry();
    for (int i = 0; i < 40; ++i) {
      Write(world, 0, 1);
      world.RunFor(Seconds(1));
    }
    world.Kill(0);
    world.RunFor(Millis(300));
    world.ReadRegistry();
    size_t young = AddPromoter(world);
    ReadFor(world, young, Seconds(4));
    findings.Note(seed,
                  Returns(world, young, { 0, 1 }) ? "" : "out of service");
    findings.NoteWrongs(seed, world);
  }
  cr_assert_str_eq(findings.Text(), "");
}

} // namespace

Test(group_members, one_that_left_is_not_waited_for)
{
  CheckSuccession(true);
}

Test(group_members, one_that_crashed_for_good_is_not_waited_for)
{
  CheckSuccession(false);
}
