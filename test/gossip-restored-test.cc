#include "marigoldpitch/coordination/common/gossip.h"
#include "marigoldpitch/coordination/common/store-era.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <vector>

// What `Gossip` and `StoreEra` make of a store that comes back from an old
// copy, and of peers of a build that names no eras.

using namespace marigoldpitch;

namespace {

constexpr char kPeer[] = "host-2/proxy";

Gossip
MakeGossip()
{
  GossipOptions options;
  options.peer = "host-1/proxy";
  options.host = "host-1";
  options.roles = { "proxy" };
  options.kinds = { DocumentKind::Configuration,
                    DocumentKind::Hosts,
                    DocumentKind::Upstreams };
  options.polled = { DocumentKind::Hosts, DocumentKind::Upstreams };
  return Gossip(options);
}

Document
ConfigAt(uint64_t aVersion, const StorePosition& aPosition)
{
  return { DocumentKind::Configuration, aPosition, "text", aVersion };
}

/** The document that the actions put in force. */
std::optional<Document>
ActivatedIn(const GossipActions& aActions)
{
  for (const GossipAction& action : aActions) {
    if (const auto* activate = std::get_if<ActivateDocument>(&action)) {
      return activate->document;
    }
  }
  return std::nullopt;
}

size_t
CountSent(const GossipActions& aActions)
{
  return static_cast<size_t>(
    std::count_if(aActions.begin(), aActions.end(), [](const auto& aAction) {
      return std::holds_alternative<SendDocument>(aAction);
    }));
}

} // namespace

Test(gossip_restored, versions_never_fall_whatever_the_store_and_peers_show)
{
  cr_assert(rc::check("documents of several eras in any order", [] {
    Gossip gossip = MakeGossip();
    uint64_t inForce = 0;
    uint64_t highest = 0;
    auto documents = *rc::gen::container<std::vector<std::vector<uint64_t>>>(
      rc::gen::container<std::vector<uint64_t>>(
        4, rc::gen::inRange<uint64_t>(1, 6)));
    for (const auto& drawn : documents) {
      Document document = ConfigAt(drawn[0], { drawn[1], drawn[2] });
      std::string peer = drawn[3] % 2 == 0 ? kPeer : "";
      auto active =
        ActivatedIn(gossip.Handle(Time{ 1 }, DocumentSeen{ document, peer }));
      if (active) {
        RC_ASSERT(active->version >= inForce);
        inForce = active->version;
      }
      highest = std::max(highest, document.version);
      RC_ASSERT(inForce == highest);
    }
  }));
}

Test(gossip_restored, list_of_a_new_era_replaces_one_of_a_higher_revision)
{
  for (DocumentKind kind :
       { DocumentKind::Hosts, DocumentKind::Upstreams, DocumentKind::Groups }) {
    Gossip gossip = MakeGossip();
    gossip.Handle(Time{ 1 }, DocumentSeen{ { kind, { 1, 90 }, "old" }, {} });
    // Also if it reads the same: only then is the new era known.
    for (const char* text : { "old", "new" }) {
      uint64_t revision = text[0] == 'o' ? 40 : 41;
      Document restored{ kind, { 2, revision }, text };
      auto active =
        ActivatedIn(gossip.Handle(Time{ 2 }, DocumentSeen{ restored, {} }));
      cr_assert(active && active->position == restored.position);
    }
    Document late{ kind, { 1, 95 }, "late" };
    cr_assert_not(
      ActivatedIn(gossip.Handle(Time{ 3 }, DocumentSeen{ late, kPeer })));
  }
}

Test(gossip_restored, digest_of_an_earlier_era_confirms_nothing)
{
  Gossip gossip = MakeGossip();
  Document list{ DocumentKind::Upstreams, { 2, 40 }, "text" };
  gossip.Handle(Time{ 1 }, DocumentSeen{ list, {} });
  DigestSeen seen{ kPeer, {} };
  auto index = static_cast<size_t>(DocumentKind::Upstreams);
  seen.digest.documents[index].position = { 1, 40 };
  seen.digest.ages[index] = Millis(0);
  for (const GossipAction& action : gossip.Handle(Time{ 2 }, seen)) {
    cr_assert_not(std::holds_alternative<ConfirmDocument>(action));
  }
  cr_assert_eq(gossip.OwnDigest(Time{ 2 }).Era(), 2);
}

Test(upgrade, peer_without_eras_is_sent_only_what_it_takes)
{
  Gossip gossip = MakeGossip();
  gossip.Handle(Time{ 1 }, DocumentSeen{ ConfigAt(7, { 2, 45 }), {} });
  auto digestAt = [](uint64_t aRevision) {
    DigestSeen seen{ kPeer, {} };
    seen.digest.documents[0].position = { 0, aRevision };
    return seen;
  };
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(CountSent(gossip.Handle(Time{ 2 }, digestAt(60))), 0);
    cr_assert_eq(CountSent(gossip.Handle(Time{ 2 }, digestAt(45))), 0);
  }
  cr_assert_eq(CountSent(gossip.Handle(Time{ 3 }, digestAt(44))), 1);
}

Test(upgrade, document_without_era_serves_a_host_that_has_none)
{
  Gossip gossip = MakeGossip();
  Document old = ConfigAt(0, { 0, 60 });
  cr_assert(ActivatedIn(gossip.Handle(Time{ 1 }, DocumentSeen{ old, kPeer })));
  Document read = ConfigAt(7, { 2, 45 });
  cr_assert(ActivatedIn(gossip.Handle(Time{ 2 }, DocumentSeen{ read, {} })));
  old.position.revision = 70;
  cr_assert_not(
    ActivatedIn(gossip.Handle(Time{ 3 }, DocumentSeen{ old, kPeer })));
}

Test(store_era, late_answers_count_for_nothing)
{
  StoreEra era;
  cr_assert(era.Learn(1));
  cr_assert(era.Judge(StoreCallKind::Change, 0, 1) == StoreAnswerUse::Valid);
  cr_assert(era.Learn(2));
  cr_assert_not(era.Learn(1));
  cr_assert_not(era.Learn(2));
  cr_assert(era.Judge(StoreCallKind::Read, 1, 1) == StoreAnswerUse::Outdated);
  cr_assert(era.Judge(StoreCallKind::Read, 1, 2) == StoreAnswerUse::Valid);
  cr_assert(era.Judge(StoreCallKind::Change, 1, 2) ==
            StoreAnswerUse::Uncertain);
  cr_assert(era.Judge(StoreCallKind::Change, 2, 2) == StoreAnswerUse::Valid);
}
