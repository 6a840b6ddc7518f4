#include "marigoldpitch/coordination/proxy/promoter-lease.h"
#include "marigoldpitch/coordination/proxy/promoter-records.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

// Hosts that take the promoter lease from each other on a fake clock, with a
// store that comes back from old copies beside other faults.

using namespace marigoldpitch;

namespace {

constexpr Duration kStep = Millis(100);
constexpr Duration kKeyLifetime = Seconds(2);
// An order may be in flight for this long.
constexpr Duration kMaxCallTime = Millis(500);
constexpr size_t kHosts = 3;
// After the last fault one host must act within this time.
constexpr Duration kReturnTime = Seconds(12);

struct StoredValue
{
  std::string text;
  uint64_t revision = 0; // 0: the key does not exist
};

struct LeaseStore
{
  uint64_t era = 1;
  uint64_t revision = 10;
  StoredValue key;
  StoredValue lastHolder;
  Time keyEnd = kInfinitePast;

  void Put(StoredValue& aKey, const std::string& aText)
  {
    aKey = { aText, ++this->revision };
  }
};

/** What a host has read of the store. */
struct LeaseView
{
  uint64_t era = 0;
  ProxyHosts hosts;
};

struct LeaseHost
{
  std::string name;
  size_t runs = 1;
  PromoterLease lease;
  LeaseView view;
  uint64_t era = 0;          // that it knows
  bool isRegistered = false; // in that era
  bool isCut = false;        // from the store
  Time pausedUntil = kInfinitePast;
  Time lastRead = kInfinitePast;
  Time lastActed = kInfinitePast;

  std::string Run() const
  {
    return this->name + "/" + std::to_string(this->runs);
  }
};

enum class LeaseFault
{
  Copy,
  Restore,
  Pause,
  Cut,
  Heal,
  Replace, // its process ends, another one starts
};

class LeaseSite
{
public:
  LeaseSite()
  {
    for (size_t i = 0; i < kHosts; ++i) {
      this->hosts.emplace_back();
      this->hosts.back().name = "host-" + std::to_string(i);
    }
  }

  void RunFor(Duration aSpan)
  {
    Time end = this->now + aSpan;
    while (this->now < end) {
      this->now = this->now + kStep;
      if (this->store.key.revision != 0 && this->store.keyEnd <= this->now) {
        this->store.key = {};
        ++this->store.revision;
      }
      for (LeaseHost& host : this->hosts) {
        if (host.pausedUntil <= this->now) {
          this->Step(host);
        }
      }
      this->Check();
    }
  }

  void Inject(LeaseFault aFault, size_t aHost)
  {
    LeaseHost& host = this->hosts[aHost];
    switch (aFault) {
      case LeaseFault::Copy:
        this->copy = this->store;
        return;
      case LeaseFault::Restore: {
        uint64_t era = this->store.era + 1;
        this->store = this->copy;
        this->store.era = era;
        this->store.keyEnd = this->now + kKeyLifetime;
        return;
      }
      case LeaseFault::Pause:
        host.pausedUntil = this->now + Millis(1700);
        return;
      case LeaseFault::Cut:
        host.isCut = true;
        return;
      case LeaseFault::Heal:
        host.isCut = false;
        return;
      case LeaseFault::Replace: {
        LeaseHost next;
        next.name = host.name;
        next.runs = host.runs + 1;
        host = next;
        return;
      }
    }
  }

  void HealAll()
  {
    for (LeaseHost& host : this->hosts) {
      host.isCut = false;
      host.pausedUntil = kInfinitePast;
    }
  }

  bool HasPromoter() const
  {
    for (const LeaseHost& host : this->hosts) {
      if (host.lease.MayPromote(this->now)) {
        return true;
      }
    }
    return false;
  }

  const std::string& Violation() const { return this->violation; }

private:
  void Step(LeaseHost& aHost)
  {
    if (!aHost.isCut) {
      this->Reach(aHost);
    }
    if (aHost.view.era == aHost.era && aHost.era != 0) {
      const ProxyHosts& hosts = aHost.view.hosts;
      aHost.lease.Handle(
        LeaseObserved{ hosts.isPromoterLeaseHeld,
                       { aHost.view.era, hosts.lastHolderRevision },
                       Millis(0),
                       HaveEarlierErasEnded(hosts.lastHolder, aHost.view.era) },
        this->now);
    }
    bool mayTake = aHost.isRegistered && aHost.view.era == aHost.era;
    if (!mayTake && !aHost.lease.IsTaken()) {
      return;
    }
    PromoterLeaseAction action = aHost.lease.Next(this->now);
    if (action == PromoterLeaseAction::Take) {
      this->Take(aHost);
    } else if (action == PromoterLeaseAction::Check && !aHost.isCut) {
      std::string own = FormatPromoterKey({ aHost.era, aHost.Run() });
      bool isOurs = this->store.key.text == own;
      StorePosition found{ this->store.era, this->store.key.revision };
      aHost.lease.Handle(
        LeaseChecked{ isOurs ? found : StorePosition{}, this->now }, this->now);
    }
    if (aHost.lease.MayPromote(this->now)) {
      this->Act(aHost);
    }
  }

  /** Any answer of the store: the era, a renewal, and each second a list. */
  void Reach(LeaseHost& aHost)
  {
    if (aHost.era < this->store.era) {
      aHost.era = this->store.era;
      aHost.isRegistered = false;
      aHost.lease.Handle(StoreEraBegan{}, this->now);
    }
    if (this->store.key.text == FormatPromoterKey({ aHost.era, aHost.Run() })) {
      this->store.keyEnd = this->now + kKeyLifetime;
    }
    if (this->now - aHost.lastRead < Seconds(1)) {
      return;
    }
    aHost.lastRead = this->now;
    aHost.isRegistered = true;
    aHost.view.era = this->store.era;
    ProxyHosts& hosts = aHost.view.hosts;
    hosts = {};
    for (const LeaseHost& host : this->hosts) {
      hosts.hosts.push_back({ host.name, "zone", host.Run(), {} });
    }
    const StoredValue& key = this->store.key;
    hosts.promoterKeyRevision = key.revision;
    hosts.isPromoterLeaseHeld =
      key.revision != 0 && IsPromoterKeyHeld(key.text, this->store.era);
    hosts.lastHolder = this->store.lastHolder.text;
    hosts.lastHolderRevision = this->store.lastHolder.revision;
  }

  void Take(LeaseHost& aHost)
  {
    const ProxyHosts& hosts = aHost.view.hosts;
    bool isAccepted =
      !aHost.isCut && aHost.view.era == this->store.era &&
      hosts.promoterKeyRevision == this->store.key.revision &&
      hosts.lastHolderRevision == this->store.lastHolder.revision;
    if (!isAccepted) {
      aHost.lease.Handle(LeaseNotTaken{}, this->now);
      return;
    }
    bool haveEnded = HaveFormerHoldersEnded(hosts, aHost.Run());
    auto former = haveEnded ? FormerHolders::Ended : FormerHolders::MayAct;
    uint64_t revision = this->store.revision + 1;
    this->store.Put(this->store.key,
                    FormatPromoterKey({ aHost.era, aHost.Run() }));
    this->store.Put(this->store.lastHolder,
                    FormatLastHolder({ aHost.era, former, aHost.Run() }));
    this->store.keyEnd = this->now + kKeyLifetime;
    aHost.lease.Handle(LeaseTaken{ { this->store.era, revision }, haveEnded },
                       this->now);
  }

  /** Orders a promotion, and records that earlier holders have ended. */
  void Act(LeaseHost& aHost)
  {
    aHost.lastActed = this->now;
    uint64_t token = *FencingTokenOf(aHost.lease.Token());
    if (token < this->highestToken) {
      this->violation = "a lower token was sent";
    }
    this->highestToken = std::max(this->highestToken, token);
    std::string settled =
      FormatLastHolder({ aHost.era, FormerHolders::Ended, aHost.Run() });
    bool isHeld =
      !aHost.isCut && aHost.era == this->store.era &&
      this->store.key.text == FormatPromoterKey({ aHost.era, aHost.Run() });
    if (isHeld && this->store.lastHolder.text != settled) {
      this->store.Put(this->store.lastHolder, settled);
    }
  }

  /** Two hosts must not act while an order of the other is in flight. */
  void Check()
  {
    size_t acting = 0;
    for (const LeaseHost& host : this->hosts) {
      acting += this->now - host.lastActed < kMaxCallTime ? 1 : 0;
    }
    if (acting > 1) {
      this->violation = "two hosts act at once";
    }
  }

  Time now{ 100000 };
  LeaseStore store;
  LeaseStore copy;
  std::vector<LeaseHost> hosts;
  uint64_t highestToken = 0;
  std::string violation;
};

} // namespace

Test(promoter_restored, one_holder_whatever_happens_and_one_after_it)
{
  cr_assert(rc::check("restores, pauses, cuts and lost hosts in any order", [] {
    LeaseSite site;
    site.RunFor(Seconds(6));
    RC_ASSERT(site.HasPromoter());
    auto faults = *rc::gen::container<std::vector<std::vector<int>>>(
      rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 60)));
    for (const auto& drawn : faults) {
      site.Inject(static_cast<LeaseFault>(drawn[0] % 6),
                  static_cast<size_t>(drawn[1]) % kHosts);
      site.RunFor(Millis(50) * drawn[2]);
      RC_ASSERT(site.Violation() == "");
    }
    site.HealAll();
    site.RunFor(kReturnTime);
    RC_ASSERT(site.Violation() == "");
    RC_ASSERT(site.HasPromoter());
  }));
}
