#include "marigoldpitch/coordination/common/gossip.h"

#include <criterion/criterion.h>

#include <optional>

// How `Gossip` dates the confirmation that a document is the newest. A host
// relies on that date when it decides how long a leaving upstream may be used.

using namespace marigoldpitch;

namespace {

constexpr Duration kTick = Millis(200);
constexpr char kPeer[] = "host-2/proxy";

Gossip
MakeGossip()
{
  GossipOptions options;
  options.peer = "host-1/proxy";
  options.host = "host-1";
  options.zone = "zone-1";
  options.kinds = { DocumentKind::Upstreams };
  options.polled = { DocumentKind::Upstreams };
  return Gossip(options);
}

std::optional<Time>
ConfirmedIn(const GossipActions& aActions)
{
  for (const GossipAction& action : aActions) {
    if (const auto* confirm = std::get_if<ConfirmDocument>(&action)) {
      return confirm->asOf;
    }
  }
  return std::nullopt;
}

/** Sends ticks from `aFrom` until `aUntil`. */
void
Tick(Gossip& aGossip, Time aFrom, Time aUntil)
{
  for (Time now = aFrom; now <= aUntil; now = now + kTick) {
    aGossip.Handle(now, GossipTick{});
  }
}

DigestSeen
DigestOfAge(Duration aAge)
{
  DigestSeen seen{ kPeer, {} };
  size_t index = static_cast<size_t>(DocumentKind::Upstreams);
  seen.digest.documents[index].position = { 1, 7 };
  seen.digest.ages[index] = aAge;
  return seen;
}

} // namespace

Test(gossip_dates, slow_answer_is_dated_to_its_question)
{
  Gossip gossip = MakeGossip();
  Time asked{ 5000 };
  gossip.Handle(asked, GossipTick{});
  Time answered = asked + Millis(900);
  gossip.Handle(
    answered,
    DocumentSeen{ { DocumentKind::Upstreams, { 1, 7 }, "text" }, {} });
  auto confirmed = ConfirmedIn(
    gossip.Handle(answered, WatchStoreEnded{ DocumentKind::Upstreams, true }));
  cr_assert(confirmed);
  cr_assert_eq(confirmed->ms, asked.ms);
}

Test(gossip_dates, digest_is_dated_by_the_age_that_it_names)
{
  Gossip gossip = MakeGossip();
  gossip.Handle(
    Time{ 0 },
    DocumentSeen{ { DocumentKind::Upstreams, { 1, 7 }, "text" }, kPeer });
  Tick(gossip, Time{ 0 }, Time{ 1000 });
  auto confirmed =
    ConfirmedIn(gossip.Handle(Time{ 1100 }, DigestOfAge(Millis(300))));
  cr_assert(confirmed);
  cr_assert_eq(confirmed->ms, 800);
}

Test(gossip_dates, digest_that_waited_out_a_pause_is_dated_before_the_pause)
{
  Time resumed{ 6000 };
  for (bool ticksFirst : { false, true }) {
    Gossip gossip = MakeGossip();
    gossip.Handle(
      Time{ 0 },
      DocumentSeen{ { DocumentKind::Upstreams, { 1, 7 }, "text" }, kPeer });
    Tick(gossip, Time{ 0 }, Time{ 1000 });
    if (ticksFirst) {
      gossip.Handle(resumed, GossipTick{});
    }
    auto confirmed = ConfirmedIn(
      gossip.Handle(resumed + Millis(10), DigestOfAge(Millis(300))));
    cr_assert(!confirmed || *confirmed <= Time{ 1000 });
    Tick(gossip, resumed + kTick, resumed + Seconds(1));
    cr_assert(ConfirmedIn(
      gossip.Handle(resumed + Seconds(1), DigestOfAge(Millis(300)))));
  }
}
