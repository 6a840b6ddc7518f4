#ifndef MARIGOLDPITCH_TEST_FAKES_GOSSIP_SIMULATION_H
#define MARIGOLDPITCH_TEST_FAKES_GOSSIP_SIMULATION_H

#include "fakes/event-queue.h"

#include "marigoldpitch/coordination/common/gossip.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/** Daemons that gossip, and the store that they read. */
namespace marigoldpitch::fakes {

/** Daemons that gossip on a fake clock, with one store. */
class GossipSimulation
{
public:
  static constexpr Duration kTick = Millis(200);

  explicit GossipSimulation(size_t aHosts,
                            size_t aZones,
                            GossipOptions aOptions = {})
    : baseOptions(std::move(aOptions))
  {
    this->hosts.revision = 1;
    for (size_t i = 0; i < aHosts; ++i) {
      HostEntry host;
      host.name = "host-" + std::to_string(i);
      host.zone = "zone-" + std::to_string(i % aZones);
      this->hosts.hosts.push_back(host);
    }
    for (const HostEntry& host : this->hosts.hosts) {
      for (const std::string& role : this->baseOptions.roles) {
        this->Add(host.name + "/" + role, host);
      }
    }
    for (auto& [name, daemon] : this->daemons) {
      this->Start(name);
    }
  }

  struct Daemon
  {
    std::unique_ptr<Gossip> gossip;
    GossipOptions options;
    Time frozenUntil = kInfinitePast;
    bool cutFromStore = false;
    uint64_t highestRevision = 0;
    uint64_t activeRevision = 0;
    std::string upstreams; // the active text
    uint64_t groups = 0;   // their active revision
    bool reverted = false;
    uint64_t incarnation = 0;
  };

  Time Now() const { return this->clock.Now(); }
  void RunFor(Duration aSpan) { this->clock.RunUntil(this->Now() + aSpan); }

  void PutConfiguration(uint64_t aRevision)
  {
    this->revision = aRevision;
    for (auto& call : std::exchange(this->watches, {})) {
      call();
    }
  }

  bool AllHaveConfiguration(uint64_t aRevision) const
  {
    return std::all_of(
      this->daemons.begin(), this->daemons.end(), [&](const auto& aDaemon) {
        return aDaemon.second.activeRevision >= aRevision;
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
  int64_t MeasurePropagationMs(uint64_t aRevision, Duration aLimit)
  {
    Time start = this->Now();
    while (!this->AllHaveConfiguration(aRevision) &&
           this->Now() - start < aLimit) {
      this->RunFor(Millis(1));
    }
    return (this->Now() - start).ms;
  }

  void Restart(const std::string& aName)
  {
    Daemon& daemon = this->daemons[aName];
    daemon.gossip = std::make_unique<Gossip>(daemon.options);
    daemon.activeRevision = 0;
    daemon.highestRevision = 0;
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
  bool acceptAnyRevision = false; // a mutant: activates every document
  uint64_t storeCalls = 0;
  uint64_t documentsSent = 0; // sent to neighbours
  uint64_t messages = 0;
  std::string registry = "three upstreams";
  uint64_t groups = 0; // revision of the group records; 0: they are not read
  uint64_t previousGroups = 0; // an older revision of the group records
  std::string staleReader;     // the daemon that reads `previousGroups`
  bool groupsRequested = false;
  Duration watchTimeout = Seconds(20);

private:
  void Add(const std::string& aName, const HostEntry& aHost)
  {
    Daemon daemon;
    daemon.options = this->baseOptions;
    daemon.options.peer = aName;
    daemon.options.host = aHost.name;
    daemon.options.zone = aHost.zone;
    daemon.options.mayWatch = aName.find("/entry") == std::string::npos;
    daemon.gossip = std::make_unique<Gossip>(daemon.options);
    this->daemons[aName] = std::move(daemon);
  }

  void Start(const std::string& aName)
  {
    Daemon& daemon = this->daemons[aName];
    daemon.gossip->SetHosts(this->hosts);
    for (const std::string& neighbour : daemon.gossip->Neighbours()) {
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
    if (this->acceptAnyRevision && seen != nullptr) {
      this->Perform(aName, daemon, ActivateDocument{ seen->document, {} });
    }
    for (const GossipAction& action :
         daemon.gossip->Handle(this->Now(), aEvent)) {
      this->Perform(aName, daemon, action);
    }
  }

  void Perform(const std::string& aName,
               Daemon& aDaemon,
               const GossipAction& aAction)
  {
    if (const auto* activate = std::get_if<ActivateDocument>(&aAction)) {
      if (activate->document.kind == DocumentKind::Groups) {
        aDaemon.reverted =
          aDaemon.reverted ||
          activate->document.position.revision < aDaemon.groups;
        aDaemon.groups = activate->document.position.revision;
      }
      if (activate->document.kind == DocumentKind::Upstreams) {
        aDaemon.upstreams = activate->document.text;
      }
      if (activate->document.kind == DocumentKind::Configuration) {
        aDaemon.reverted =
          aDaemon.reverted ||
          activate->document.position.revision < aDaemon.highestRevision;
        aDaemon.activeRevision = activate->document.position.revision;
        aDaemon.highestRevision =
          std::max(aDaemon.highestRevision, aDaemon.activeRevision);
      }
    } else if (const auto* send = std::get_if<SendDocument>(&aAction)) {
      ++this->documentsSent;
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
        this->Step(aName, WatchStoreEnded{ aWatch.kind, false });
      });
      return;
    }
    if (aWatch.kind == DocumentKind::Upstreams) {
      // Upstreams rewrite their entries all the time, mostly unchanged, so each
      // read has a new revision.
      Document read{ aWatch.kind,
                     { 0, ++this->registryRevision },
                     this->registry };
      this->clock.After(Millis(5), [=] {
        this->Step(aName, DocumentSeen{ read, {} });
        this->Step(aName, WatchStoreEnded{ aWatch.kind, true });
      });
      return;
    }
    this->groupsRequested =
      this->groupsRequested || aWatch.kind == DocumentKind::Groups;
    if (aWatch.kind == DocumentKind::Hosts && this->groups != 0) {
      Document read{ DocumentKind::Groups, { 0, this->groups }, "groups" };
      if (aName == this->staleReader) {
        read.position.revision = this->previousGroups; // by a lagging replica
      }
      this->clock.After(Millis(5), [=] {
        this->Step(aName, DocumentSeen{ read, {} });
        this->Step(aName, WatchStoreEnded{ aWatch.kind, true });
      });
      return;
    }
    if (aWatch.kind == DocumentKind::Hosts) {
      this->clock.After(Seconds(20), [=] {
        this->Step(aName, WatchStoreEnded{ aWatch.kind, true });
      });
      return;
    }
    auto answer = [=] {
      if (this->storeDown || this->daemons[aName].cutFromStore) {
        this->Step(aName, WatchStoreEnded{ aWatch.kind, false });
        return;
      }
      Document document{ aWatch.kind, { 0, this->revision }, "text" };
      this->clock.After(Millis(5), [=] {
        if (document.position > aWatch.after) {
          this->Step(aName, DocumentSeen{ document, {} });
        }
        this->Step(aName, WatchStoreEnded{ aWatch.kind, true });
      });
    };
    bool isWatcher = this->daemons[aName].gossip->IsWatcher();
    if (this->revision > aWatch.after.revision || !isWatcher) {
      answer();
      return;
    }
    auto waiting = std::make_shared<bool>(true);
    auto answerOnce = [=] {
      if (std::exchange(*waiting, false)) {
        answer();
      }
    };
    this->watches.push_back(answerOnce);
    this->clock.After(this->watchTimeout, answerOnce);
  }

  GossipOptions baseOptions;
  EventQueue clock;
  uint64_t revision = 0;
  uint64_t registryRevision = 100;
  std::vector<std::function<void()>> watches;
};

} // namespace marigoldpitch::fakes

#endif
