#include "fakes/proxy-world.h"

#include <criterion/criterion.h>

// What a process decides that has never seen some members of a group listed.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kSeeds = 30;
// From when on a host serves all reads, after its start and a promotion.
constexpr Duration kServedAfter = Millis(1000);

using Requests = std::vector<std::shared_ptr<FakeRequest>>;

bool
IsOk(const std::shared_ptr<FakeRequest>& aRequest)
{
  return aRequest->reply && !aRequest->reply->refusal;
}

/** Jittered, with one host that is there from the beginning. */
ProxyWorldOptions
Options(Freshness aFreshness, uint32_t aSeed)
{
  ProxyWorldOptions options;
  options.freshness = aFreshness;
  options.seed = aSeed;
  options.hosts = 1;
  options.jitter = Millis(4);
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

std::string
FirstLine(const std::string& aText)
{
  return aText.substr(0, aText.find('\n'));
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
  const char* Text() const { return this->text.c_str(); }

private:
  std::string text;
};

/**
 * u2 is deaf, u0 dies and lapses, u1 is promoted by an old host; a new one
 * starts before or after that. By the seed u1 or u2 answers it first.
 */
void
CheckReadsOfAYoungHost(Freshness aFreshness)
{
  Findings findings;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ProxyWorld world(Options(aFreshness, seed));
    world.SetDuty(0, true);
    world.RunFor(Millis(1500));
    Write(world, 0, 10);
    world.Upstream(2).isDeaf = true;
    Write(world, 0, 10);
    world.RunFor(Millis(500)); // all are older than the accepted age
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
    findings.Note(seed, FirstLine(world.Wrongs()));
    findings.Note(
      seed, refused == 0 ? "" : std::to_string(refused) + " reads refused");
  }
  cr_assert_str_eq(findings.Text(), "");
}

} // namespace

Test(group_members, a_young_host_takes_no_deaf_replicas_word_for_a_bounded_read)
{
  CheckReadsOfAYoungHost(Freshness::Bounded);
}

Test(group_members, a_young_host_takes_no_deaf_replicas_word_for_a_session)
{
  CheckReadsOfAYoungHost(Freshness::Session);
}
