#include "fakes/event-queue.h"
#include "marigoldpitch/coordination/gossip.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <utility>

// Distribution of the store's documents by `Gossip`, also while the store is
// down or some daemons cannot reach it.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr Duration kSpreadTarget = Seconds(4);
constexpr Duration kTick = Millis(200);

/** Daemons that gossip on a fake clock, with one store. */
class Fleet
{
public:
  explicit Fleet(size_t aHosts, size_t aZones, GossipOptions aOptions = {})
    : model(std::move(aOptions))
  {
    this->hosts.revision = 1;
    for (size_t i = 0; i < aHosts; ++i) {
      HostEntry host;
      host.name = "host-" + std::to_string(i);
      host.zone = "zone-" + std::to_string(i % aZones);
      this->hosts.hosts.push_back(host);
    }
    for (const HostEntry& host : this->hosts.hosts) {
      for (const std::string& role : this->model.roles) {
        this->Add(host.name + "/" + role, host);
      }
    }
    for (auto& [name, daemon] : this->daemons) {
      this->Start(name);
    }
  }

  struct Daemon
  {
    std::unique_ptr<Gossip> spread;
    GossipOptions options;
    Time frozenUntil = kInfinitePast;
    bool cutFromStore = false;
    uint64_t highest = 0;
    uint64_t inForce = 0;
    std::string upstreams; // the active text
    uint64_t groups = 0;   // their active revision
    bool reverted = false;
    uint64_t incarnation = 0;
  };

  Time Now() const { return this->clock.Now(); }
  void RunFor(Duration aSpan) { this->clock.RunUntil(this->Now() + aSpan); }

  void Put(uint64_t aRevision)
  {
    this->revision = aRevision;
    for (auto& call : std::exchange(this->watches, {})) {
      call();
    }
  }

  bool AllHave(uint64_t aRevision) const
  {
    return std::all_of(
      this->daemons.begin(), this->daemons.end(), [&](const auto& aDaemon) {
        return aDaemon.second.inForce >= aRevision;
      });
  }

  bool AnyReverted() const
  {
    return std::any_of(
      this->daemons.begin(), this->daemons.end(), [](const auto& aDaemon) {
        return aDaemon.second.reverted;
      });
  }

  /**
   * Runs until all daemons have the configuration, for `aLimit` at most;
   * returns the elapsed milliseconds.
   */
  int64_t TimeUntilAllHave(uint64_t aRevision, Duration aLimit)
  {
    Time start = this->Now();
    while (!this->AllHave(aRevision) && this->Now() - start < aLimit) {
      this->RunFor(Millis(1));
    }
    return (this->Now() - start).ms;
  }

  void Restart(const std::string& aName)
  {
    Daemon& daemon = this->daemons[aName];
    daemon.spread = std::make_unique<Gossip>(daemon.options);
    daemon.inForce = 0;
    daemon.highest = 0;
    daemon.groups = 0;
    ++daemon.incarnation;
    for (auto& [name, other] : this->daemons) {
      this->Step(name, NeighbourLost{ aName });
    }
    this->Start(aName);
  }

  std::map<std::string, Daemon> daemons;
  HostList hosts;
  bool storeDown = false;
  bool takesAnyRevision = false; // a mutant: activates every document
  uint64_t storeCalls = 0;
  uint64_t documents = 0; // sent to neighbours
  uint64_t messages = 0;
  std::string registry = "three upstreams";
  uint64_t groups = 0; // revision of the group records; 0: they are not read
  uint64_t groupsBefore = 0; // an older revision of the group records
  std::string behind;        // the daemon that reads `groupsBefore`
  bool groupsAsked = false;
  Duration watchWait = Seconds(20);

private:
  void Add(const std::string& aName, const HostEntry& aHost)
  {
    Daemon daemon;
    daemon.options = this->model;
    daemon.options.peer = aName;
    daemon.options.host = aHost.name;
    daemon.options.zone = aHost.zone;
    daemon.options.mayWatch = aName.find("/entry") == std::string::npos;
    daemon.spread = std::make_unique<Gossip>(daemon.options);
    this->daemons[aName] = std::move(daemon);
  }

  void Start(const std::string& aName)
  {
    Daemon& daemon = this->daemons[aName];
    daemon.spread->SetHosts(this->hosts);
    for (const std::string& neighbour : daemon.spread->Neighbours()) {
      Digest none;
      this->Deliver(aName, neighbour, DigestSeen{ aName, none });
    }
    this->Tick(aName, daemon.incarnation);
  }

  void Tick(const std::string& aName, uint64_t aIncarnation)
  {
    if (this->daemons[aName].incarnation != aIncarnation) {
      return;
    }
    this->Step(aName, GossipTick{});
    this->clock.After(kTick, [=] { this->Tick(aName, aIncarnation); });
  }

  void Deliver(const std::string&,
               const std::string& aTo,
               const GossipEvent& aEvent)
  {
    ++this->messages;
    this->clock.After(Millis(2), [=] { this->Step(aTo, aEvent); });
  }

  void Step(const std::string& aName, const GossipEvent& aEvent)
  {
    Daemon& daemon = this->daemons[aName];
    if (this->Now() < daemon.frozenUntil) {
      this->clock.After(daemon.frozenUntil - this->Now(),
                        [=] { this->Step(aName, aEvent); });
      return;
    }
    const auto* seen = std::get_if<DocumentSeen>(&aEvent);
    if (this->takesAnyRevision && seen != nullptr) {
      this->Perform(aName, daemon, ActivateDocument{ seen->document });
    }
    for (const GossipAction& action :
         daemon.spread->Handle(this->Now(), aEvent)) {
      this->Perform(aName, daemon, action);
    }
  }

  void Perform(const std::string& aName,
               Daemon& aDaemon,
               const GossipAction& aAction)
  {
    if (const auto* put = std::get_if<ActivateDocument>(&aAction)) {
      if (put->document.kind == DocumentKind::Groups) {
        aDaemon.reverted =
          aDaemon.reverted || put->document.revision < aDaemon.groups;
        aDaemon.groups = put->document.revision;
      }
      if (put->document.kind == DocumentKind::Upstreams) {
        aDaemon.upstreams = put->document.text;
      }
      if (put->document.kind == DocumentKind::Configuration) {
        aDaemon.reverted =
          aDaemon.reverted || put->document.revision < aDaemon.highest;
        aDaemon.inForce = put->document.revision;
        aDaemon.highest = std::max(aDaemon.highest, aDaemon.inForce);
      }
    } else if (const auto* send = std::get_if<SendDocument>(&aAction)) {
      ++this->documents;
      this->Deliver(aName, send->peer, DocumentSeen{ send->document, aName });
    } else if (const auto* digest = std::get_if<SendDigest>(&aAction)) {
      this->Deliver(aName, digest->peer, DigestSeen{ aName, digest->digest });
    } else if (const auto* watch = std::get_if<WatchStore>(&aAction)) {
      this->Watch(aName, *watch);
    }
  }

  void Watch(const std::string& aName, const WatchStore& aWatch)
  {
    ++this->storeCalls;
    bool isCut = this->storeDown || this->daemons[aName].cutFromStore;
    if (isCut) {
      this->clock.After(Millis(5), [=] {
        this->Step(aName, StoreAnswered{ aWatch.kind, false });
      });
      return;
    }
    if (aWatch.kind == DocumentKind::Upstreams) {
      // Upstreams rewrite their entries all the time, mostly unchanged, so each
      // read has a new revision.
      Document read{ aWatch.kind, ++this->registryRevision, this->registry };
      this->clock.After(Millis(5), [=] {
        this->Step(aName, DocumentSeen{ read, {} });
        this->Step(aName, StoreAnswered{ aWatch.kind, true });
      });
      return;
    }
    this->groupsAsked =
      this->groupsAsked || aWatch.kind == DocumentKind::Groups;
    if (aWatch.kind == DocumentKind::Hosts && this->groups != 0) {
      Document read{ DocumentKind::Groups, this->groups, "groups" };
      if (aName == this->behind) {
        read.revision = this->groupsBefore; // by a lagging replica
      }
      this->clock.After(Millis(5), [=] {
        this->Step(aName, DocumentSeen{ read, {} });
        this->Step(aName, StoreAnswered{ aWatch.kind, true });
      });
      return;
    }
    if (aWatch.kind == DocumentKind::Hosts) {
      this->clock.After(Seconds(20), [=] {
        this->Step(aName, StoreAnswered{ aWatch.kind, true });
      });
      return;
    }
    auto answer = [=] {
      if (this->storeDown || this->daemons[aName].cutFromStore) {
        this->Step(aName, StoreAnswered{ aWatch.kind, false });
        return;
      }
      Document document{ aWatch.kind, this->revision, "text" };
      this->clock.After(Millis(5), [=] {
        if (document.revision > aWatch.after) {
          this->Step(aName, DocumentSeen{ document, {} });
        }
        this->Step(aName, StoreAnswered{ aWatch.kind, true });
      });
    };
    bool isWatcher = this->daemons[aName].spread->IsWatcher();
    if (this->revision > aWatch.after || !isWatcher) {
      answer();
      return;
    }
    auto waiting = std::make_shared<bool>(true);
    auto once = [=] {
      if (std::exchange(*waiting, false)) {
        answer();
      }
    };
    this->watches.push_back(once);
    this->clock.After(this->watchWait, once);
  }

  GossipOptions model;
  EventQueue clock;
  uint64_t revision = 0;
  uint64_t registryRevision = 100;
  std::vector<std::function<void()>> watches;
};

} // namespace

Test(spread, reaches_everyone_within_the_target)
{
  for (size_t hosts : { 5, 20, 80, 320 }) {
    Fleet fleet(hosts, 11);
    fleet.RunFor(Seconds(30));
    uint64_t callsBefore = fleet.storeCalls;
    uint64_t messagesBefore = fleet.messages;
    fleet.Put(7);
    int64_t took = fleet.TimeUntilAllHave(7, Seconds(30));
    printf("config_spread_ms_%zu_daemons %ld ms\n", 2 * hosts, took);
    printf("config_spread_messages_%zu_daemons %lu count\n",
           2 * hosts,
           fleet.messages - messagesBefore);
    fleet.RunFor(Seconds(1));
    printf("store_calls_per_change_%zu_daemons %lu count\n",
           2 * hosts,
           fleet.storeCalls - callsBefore);
    cr_assert_leq(took, kSpreadTarget.ms);
  }
}

Test(spread, a_change_during_an_outage_arrives_after_it)
{
  Fleet fleet(10, 3);
  fleet.Put(1);
  fleet.RunFor(Seconds(5));
  fleet.storeDown = true;
  fleet.RunFor(Seconds(60));
  fleet.Restart("host-3/owner");
  cr_assert(fleet.TimeUntilAllHave(1, kSpreadTarget) < kSpreadTarget.ms,
            "a host that restarts during the outage gets it from its peers");
  fleet.storeDown = false;
  fleet.Put(2);
  cr_assert_lt(fleet.TimeUntilAllHave(2, kSpreadTarget), kSpreadTarget.ms);
}

Test(spread, never_reverts)
{
  cr_assert(rc::check("a daemon activates only higher revisions", [] {
    Fleet fleet(*rc::gen::inRange<size_t>(2, 12),
                *rc::gen::inRange<size_t>(1, 4));
    auto names = rc::gen::map(
      rc::gen::inRange<size_t>(0, fleet.daemons.size()), [&](size_t aIndex) {
        return std::next(fleet.daemons.begin(), static_cast<long>(aIndex))
          ->first;
      });
    uint64_t revision = 0;
    auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
    for (int step : steps) {
      if (step == 0) {
        fleet.Put(++revision);
      } else if (step == 1) {
        fleet.storeDown = !fleet.storeDown;
      } else if (step == 2) {
        fleet.daemons[*names].frozenUntil = fleet.Now() + Seconds(30);
      } else if (step == 3) {
        fleet.daemons[*names].cutFromStore = true;
      } else {
        fleet.Restart(*names);
      }
      fleet.RunFor(Millis(*rc::gen::inRange<int64_t>(1, 3000)));
    }
    fleet.storeDown = false;
    for (auto& [name, daemon] : fleet.daemons) {
      daemon.cutFromStore = false;
    }
    fleet.Put(++revision);
    fleet.RunFor(Seconds(40));
    RC_ASSERT(fleet.AllHave(revision));
    RC_ASSERT(!fleet.AnyReverted());
  }));
}

Test(mutants, a_daemon_that_takes_any_revision_is_found)
{
  Fleet fleet(10, 3);
  fleet.takesAnyRevision = true;
  fleet.RunFor(Seconds(1));
  // Two changes are in flight at once, the first from frozen daemons.
  fleet.Put(1);
  for (auto& [name, daemon] : fleet.daemons) {
    if (name < "host-5") {
      daemon.frozenUntil = fleet.Now() + Seconds(2);
    }
  }
  fleet.RunFor(Millis(10));
  fleet.Put(2);
  fleet.RunFor(Seconds(10));
  cr_assert(fleet.AnyReverted());
}

namespace {

// The options of proxies, one on each host.
GossipOptions
ZoneOptions()
{
  GossipOptions options;
  options.roles = { "proxy" };
  options.kinds = { DocumentKind::Configuration, DocumentKind::Upstreams };
  options.polled = { DocumentKind::Upstreams };
  options.neighbourSelection = NeighbourSelection::ZoneWatchers;
  options.digestInterval = Millis(500);
  options.storeRetry = Millis(250);
  options.longestUnconfirmed = Millis(2400);
  return options;
}

// A change is active on every daemon within this, also if watchers are lost.
constexpr Duration kZoneTarget = Millis(3000);

Fleet
ZoneFleet(size_t aHosts)
{
  Fleet fleet(aHosts, 4, ZoneOptions());
  fleet.watchWait = Millis(1400);
  fleet.Put(1);
  fleet.RunFor(Seconds(10));
  return fleet;
}

bool
AllKnow(const Fleet& aFleet, const std::string& aRegistry)
{
  return std::all_of(
    aFleet.daemons.begin(), aFleet.daemons.end(), [&](const auto& aDaemon) {
      return aDaemon.second.upstreams == aRegistry;
    });
}

} // namespace

Test(zones, calls_of_the_store_do_not_grow_with_the_hosts)
{
  // Four availability zones, each with two watches of 1.4 s and one poll per
  // second.
  constexpr uint64_t kMostCallsASecond = 10;
  for (size_t hosts : { 5, 30, 100, 300 }) {
    Fleet fleet(hosts, 4, ZoneOptions());
    fleet.watchWait = Millis(1400);
    fleet.Put(1);
    fleet.RunFor(Seconds(10));
    uint64_t before = fleet.storeCalls;
    fleet.RunFor(Seconds(10));
    uint64_t calls = (fleet.storeCalls - before) / 10;
    printf("zone_store_calls_a_second_%zu_hosts %lu count\n", hosts, calls);
    cr_assert_leq(calls, kMostCallsASecond);
  }
}

Test(zones, what_has_not_changed_is_not_handed_on)
{
  Fleet fleet = ZoneFleet(30);
  uint64_t before = fleet.documents;
  fleet.RunFor(Seconds(20));
  cr_assert_eq(fleet.documents, before);
  fleet.registry = "two upstreams";
  fleet.RunFor(kZoneTarget);
  cr_assert(AllKnow(fleet, "two upstreams"));
}

Test(zones, a_zone_whose_watchers_are_cut_off_learns_in_time)
{
  Fleet fleet = ZoneFleet(30);
  size_t cut = 0;
  for (auto& [name, daemon] : fleet.daemons) {
    daemon.cutFromStore = daemon.spread->IsWatcher();
    cut += daemon.cutFromStore ? 1 : 0;
  }
  cr_assert_eq(cut, 8);
  fleet.registry = "two upstreams";
  fleet.Put(2);
  fleet.RunFor(kZoneTarget);
  for (auto& [name, daemon] : fleet.daemons) {
    bool knows = daemon.inForce == 2 && daemon.upstreams == "two upstreams";
    cr_assert(daemon.cutFromStore || knows, "%s", name.c_str());
  }
}

Test(zones, a_zone_whose_watchers_stand_still_learns_in_time)
{
  Fleet fleet = ZoneFleet(30);
  for (auto& [name, daemon] : fleet.daemons) {
    if (daemon.spread->IsWatcher()) {
      daemon.frozenUntil = fleet.Now() + Seconds(60);
    }
  }
  fleet.Put(2);
  fleet.RunFor(kZoneTarget);
  for (auto& [name, daemon] : fleet.daemons) {
    cr_assert(daemon.spread->IsWatcher() || daemon.inForce == 2);
  }
}

namespace {

/** The options of proxies, which read the groups along with the hosts. */
Fleet
GroupFleet(size_t aHosts)
{
  GossipOptions options = ZoneOptions();
  options.kinds.push_back(DocumentKind::Hosts);
  options.polled.push_back(DocumentKind::Hosts);
  Fleet fleet(aHosts, 4, options);
  fleet.watchWait = Millis(1400);
  fleet.groups = 20;
  fleet.Put(1);
  fleet.RunFor(Seconds(30)); // the first reads of the hosts end after 20 s
  return fleet;
}

bool
AllHaveGroups(const Fleet& aFleet, uint64_t aRevision)
{
  return std::all_of(
    aFleet.daemons.begin(), aFleet.daemons.end(), [&](const auto& aDaemon) {
      return aDaemon.second.groups == aRevision;
    });
}

} // namespace

Test(groups, they_go_to_all_and_to_a_host_that_joins)
{
  Fleet fleet = GroupFleet(30);
  cr_assert(AllHaveGroups(fleet, 20));
  uint64_t before = fleet.documents;
  fleet.RunFor(Seconds(20));
  cr_assert_eq(fleet.documents, before, "sent only after a record has changed");
  fleet.groups = 25;
  fleet.RunFor(kZoneTarget);
  cr_assert(AllHaveGroups(fleet, 25));
  // A host that joins while the store is down gets them from its neighbours.
  fleet.storeDown = true;
  fleet.RunFor(Seconds(5));
  fleet.Restart("host-7/proxy");
  cr_assert_eq(fleet.daemons["host-7/proxy"].groups, 0);
  fleet.RunFor(kZoneTarget);
  cr_assert(AllHaveGroups(fleet, 25));
  cr_assert_not(fleet.groupsAsked, "groups are read along with the hosts");
}

Test(groups, they_never_go_back)
{
  cr_assert(rc::check("lagging store replicas cause no lower revision", [] {
    Fleet fleet = GroupFleet(8);
    auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    for (int step : steps) {
      auto index = *rc::gen::inRange<size_t>(0, fleet.daemons.size());
      std::string name =
        std::next(fleet.daemons.begin(), static_cast<long>(index))->first;
      if (step == 0) {
        fleet.groupsBefore = fleet.groups;
        fleet.groups += 3;
      } else if (step == 1) {
        fleet.behind = name;
      } else if (step == 2) {
        fleet.Restart(name);
      } else {
        fleet.daemons[name].frozenUntil = fleet.Now() + Seconds(4);
      }
      fleet.RunFor(Millis(*rc::gen::inRange<int64_t>(1, 2000)));
    }
    fleet.behind.clear();
    fleet.groupsBefore = fleet.groups;
    fleet.groups += 1;
    fleet.RunFor(Seconds(10));
    RC_ASSERT(AllHaveGroups(fleet, fleet.groups));
    RC_ASSERT(!fleet.AnyReverted());
  }));
}

Test(mutants, a_daemon_that_trusts_silent_watchers_is_found)
{
  GossipOptions options = ZoneOptions();
  options.longestUnconfirmed = Seconds(3600);
  Fleet fleet(30, 4, options);
  fleet.watchWait = Millis(1400);
  fleet.Put(1);
  fleet.RunFor(Seconds(10));
  for (auto& [name, daemon] : fleet.daemons) {
    daemon.cutFromStore = daemon.spread->IsWatcher();
  }
  fleet.Put(2);
  fleet.RunFor(kZoneTarget);
  cr_assert(!fleet.AllHave(2));
  bool anyoneElse = std::any_of(
    fleet.daemons.begin(), fleet.daemons.end(), [](const auto& aDaemon) {
      return !aDaemon.second.cutFromStore && aDaemon.second.inForce == 2;
    });
  cr_assert(!anyoneElse);
}
