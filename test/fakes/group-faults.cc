#include "fakes/group-faults.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

constexpr Duration kReturnsIn = Seconds(10);
constexpr Duration kCallInterval = Millis(20);
// As on the platform: another host gets the promoter lease only after the lease
// of the previous holder has expired.
constexpr Duration kDutyMoves = Millis(6500);
// A replacement process takes over the lease of its predecessor on the host.
constexpr Duration kDutyRegained = Millis(1000);
constexpr Duration kRestartSpan = Millis(1000);
constexpr Duration kStoreRead = Millis(1000);

/** Runs one plan. */
class GroupPlayer
{
public:
  explicit GroupPlayer(const GroupPlan& aPlan)
    : world(OptionsOf(aPlan))
    , crashedAt(world.Upstreams(), kInfinitePast)
  {
  }

  std::string Play(const GroupPlan& aPlan)
  {
    this->world.SetDuty(0, true);
    this->RunFor(Millis(1500));
    for (const GroupStep& step : aPlan.steps) {
      this->Do(step);
      Time read = this->world.Now() + Duration{ step.readMs };
      this->registryDue = std::min(this->registryDue, read);
      this->RunFor(Duration{ step.spanMs });
    }
    this->world.isStoreDown = false;
    this->world.ReadGroups();
    this->world.ReadRegistry();
    while (this->dutyDue != kInfiniteFuture) {
      this->RunFor(kCallInterval);
    }
    std::string wrongs;
    for (size_t host = 0; host < this->world.Hosts(); ++host) {
      bool returns = Returns(this->world, host);
      wrongs +=
        returns ? "" : "h" + std::to_string(host) + " is out of service\n";
    }
    return wrongs + this->world.Wrongs();
  }

private:
  static ProxyWorldOptions OptionsOf(const GroupPlan& aPlan)
  {
    ProxyWorldOptions options;
    options.freshness = aPlan.freshness;
    options.seed = aPlan.seed;
    options.jitter = Millis(4);
    options.stepsDownAfter = kStepsDownAfter;
    return options;
  }

  void Do(const GroupStep& aStep)
  {
    size_t upstream = aStep.party % this->world.Upstreams();
    size_t host = aStep.party % this->world.Hosts();
    FakeUpstream& target = this->world.Upstream(upstream);
    switch (aStep.fault) {
      case GroupFault::Lapse:
      case GroupFault::Relist:
        target.isListed = aStep.fault == GroupFault::Relist;
        return;
      case GroupFault::Crash:
        if (target.isAlive) {
          this->world.Kill(upstream);
          this->crashedAt[upstream] = this->world.Now();
        }
        return;
      case GroupFault::Return:
        if (!target.isAlive) {
          Duration down = this->world.Now() - this->crashedAt[upstream];
          this->RunFor(std::max(kRestartSpan - down, Millis(0)));
          this->world.Restart(upstream);
        }
        return;
      case GroupFault::Deafen:
      case GroupFault::Hear:
        this->world.SetDeaf(upstream, aStep.fault == GroupFault::Deafen);
        return;
      case GroupFault::Replace:
        this->world.ReplaceHost(host);
        if (host == this->holder) {
          this->GiveDuty(host, kDutyRegained);
        }
        return;
      case GroupFault::MoveDuty:
        if (host != this->holder) {
          this->world.SetDuty(this->holder, false);
          this->GiveDuty(host, kDutyMoves);
        }
        return;
      case GroupFault::StoreDown:
      case GroupFault::StoreUp:
        this->world.isStoreDown = aStep.fault == GroupFault::StoreDown;
        return;
    }
  }

  void GiveDuty(size_t aHost, Duration aSpan)
  {
    bool isWaiting = this->dutyDue != kInfiniteFuture;
    Time due = this->world.Now() + aSpan;
    this->dutyDue = isWaiting ? std::max(this->dutyDue, due) : due;
    this->holder = aHost;
  }

  void RunFor(Duration aSpan)
  {
    Time end = this->world.Now() + aSpan;
    while (this->world.Now() < end) {
      this->Call();
      this->world.RunFor(std::min(kCallInterval, end - this->world.Now()));
      if (this->world.Now() >= this->dutyDue) {
        this->world.SetDuty(this->holder, true);
        this->dutyDue = kInfiniteFuture;
      }
      if (this->world.Now() >= this->registryDue) {
        this->world.ReadRegistry();
        this->registryDue = this->world.Now() + kStoreRead;
        this->world.ReadGroups();
      }
    }
  }

  /** Sends a read to one host and, half of the time, a write to the next. */
  void Call()
  {
    size_t host = ++this->calls % this->world.Hosts();
    this->world.Ask(host, this->world.OpenSession(host), ReadOf("a"));
    if (this->calls % 4 < 2) {
      size_t other = (host + 1) % this->world.Hosts();
      this->world.Ask(other,
                      this->world.OpenSession(other),
                      WriteOf("a", "v" + std::to_string(this->calls)));
    }
  }

  ProxyWorld world;
  std::vector<Time> crashedAt;
  size_t holder = 0;
  Time dutyDue = kInfiniteFuture;
  Time registryDue = kInfiniteFuture;
  size_t calls = 0;
};

} // namespace

std::ostream&
operator<<(std::ostream& aOut, const GroupPlan& aPlan)
{
  aOut << "seed " << aPlan.seed << " "
       << kFreshnessNames.NameOf(aPlan.freshness);
  for (const GroupStep& step : aPlan.steps) {
    aOut << "; " << kGroupFaultNames.NameOf(step.fault) << " " << step.party
         << " for " << step.spanMs << " ms, registry read after "
         << step.readMs;
  }
  return aOut;
}

std::string
PlayGroupPlan(const GroupPlan& aPlan)
{
  return GroupPlayer(aPlan).Play(aPlan);
}

bool
IsOk(const std::shared_ptr<FakeRequest>& aRequest)
{
  return aRequest->reply && !aRequest->reply->refusal;
}

bool
Returns(ProxyWorld& aWorld, size_t aHost, const std::set<size_t>& aLost)
{
  for (size_t i = 0; i < aWorld.Upstreams(); ++i) {
    aWorld.Upstream(i).isListed = true;
    aWorld.Upstream(i).cutFrom.clear();
    if (!aWorld.Upstream(i).isAlive && aLost.count(i) == 0) {
      aWorld.Restart(i);
    }
  }
  for (size_t i = 0; i < aWorld.Upstreams(); ++i) {
    aWorld.SetDeaf(i, false);
  }
  aWorld.ReadRegistry();
  aWorld.isStoreDown = false;
  aWorld.ReadGroups();
  Time end = aWorld.Now() + kReturnsIn;
  while (aWorld.Now() < end) {
    auto write =
      aWorld.Ask(aHost, aWorld.OpenSession(aHost), WriteOf("a", "w"));
    auto read = aWorld.Ask(aHost, aWorld.OpenSession(aHost), ReadOf("a"));
    aWorld.RunFor(Millis(200));
    if (IsOk(write) && IsOk(read)) {
      return true;
    }
  }
  return false;
}

} // namespace marigoldpitch::fakes
