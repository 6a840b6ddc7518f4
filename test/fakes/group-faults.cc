#include "fakes/group-faults.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

constexpr Duration kRecoveryLimit = Seconds(10);
constexpr Duration kCallInterval = Millis(20);
// As on the platform: another host gets the promoter lease only after the lease
// of the previous holder has expired.
constexpr Duration kLeaseMoveDelay = Millis(6500);
// A replacement process takes over the lease of its predecessor on the host.
constexpr Duration kLeaseRegainDelay = Millis(1000);
constexpr Duration kMinRestartTime = Millis(1000);
constexpr Duration kRegistryReadInterval = Millis(1000);

/** Runs one plan. */
class GroupPlanRunner
{
public:
  explicit GroupPlanRunner(const GroupPlan& aPlan)
    : simulation(OptionsOf(aPlan))
    , crashedAt(simulation.Upstreams(), kInfinitePast)
  {
  }

  std::string Run(const GroupPlan& aPlan)
  {
    this->simulation.SetPromoterLease(0, true);
    this->RunFor(Millis(1500));
    for (const GroupStep& step : aPlan.steps) {
      this->Apply(step);
      Time read = this->simulation.Now() + Duration{ step.registryReadMs };
      this->registryDue = std::min(this->registryDue, read);
      this->RunFor(Duration{ step.spanMs });
    }
    this->simulation.isGroupStoreDown = false;
    this->simulation.SendGroupsToAll();
    this->simulation.SendRegistryToAll();
    while (this->leaseDue != kInfiniteFuture) {
      this->RunFor(kCallInterval);
    }
    std::string violations;
    for (size_t host = 0; host < this->simulation.Hosts(); ++host) {
      bool recovers = ServiceRecovers(this->simulation, host);
      violations += recovers ? ""
                             : "h" + std::to_string(host) +
                                 " completes no write and read\n";
    }
    return violations + this->simulation.Violations();
  }

private:
  static ProxySimulationOptions OptionsOf(const GroupPlan& aPlan)
  {
    ProxySimulationOptions options;
    options.freshness = aPlan.freshness;
    options.seed = aPlan.seed;
    options.jitter = Millis(4);
    options.stepsDownAfter = kStepsDownAfter;
    return options;
  }

  void Apply(const GroupStep& aStep)
  {
    size_t upstream = aStep.targetIndex % this->simulation.Upstreams();
    size_t host = aStep.targetIndex % this->simulation.Hosts();
    FakeUpstream& target = this->simulation.Upstream(upstream);
    switch (aStep.fault) {
      case GroupFault::ExpireRegistration:
      case GroupFault::RenewRegistration:
        target.isListed = aStep.fault == GroupFault::RenewRegistration;
        return;
      case GroupFault::Crash:
        if (target.isAlive) {
          this->simulation.Kill(upstream);
          this->crashedAt[upstream] = this->simulation.Now();
        }
        return;
      case GroupFault::RestartWithLog:
        if (!target.isAlive) {
          Duration down = this->simulation.Now() - this->crashedAt[upstream];
          this->RunFor(std::max(kMinRestartTime - down, Millis(0)));
          this->simulation.Restart(upstream);
        }
        return;
      case GroupFault::StopReplication:
      case GroupFault::ResumeReplication:
        this->simulation.SetReplicationBlocked(
          upstream, aStep.fault == GroupFault::StopReplication);
        return;
      case GroupFault::ReplaceProcess:
        this->simulation.ReplaceHost(host);
        if (host == this->holder) {
          this->ScheduleLease(host, kLeaseRegainDelay);
        }
        return;
      case GroupFault::MoveLease:
        if (host != this->holder) {
          this->simulation.SetPromoterLease(this->holder, false);
          this->ScheduleLease(host, kLeaseMoveDelay);
        }
        return;
      case GroupFault::StoreDown:
      case GroupFault::StoreUp:
        this->simulation.isGroupStoreDown =
          aStep.fault == GroupFault::StoreDown;
        return;
    }
  }

  void ScheduleLease(size_t aHost, Duration aSpan)
  {
    bool isWaiting = this->leaseDue != kInfiniteFuture;
    Time due = this->simulation.Now() + aSpan;
    this->leaseDue = isWaiting ? std::max(this->leaseDue, due) : due;
    this->holder = aHost;
  }

  void RunFor(Duration aSpan)
  {
    Time end = this->simulation.Now() + aSpan;
    while (this->simulation.Now() < end) {
      this->SendCalls();
      this->simulation.RunFor(
        std::min(kCallInterval, end - this->simulation.Now()));
      if (this->simulation.Now() >= this->leaseDue) {
        this->simulation.SetPromoterLease(this->holder, true);
        this->leaseDue = kInfiniteFuture;
      }
      if (this->simulation.Now() >= this->registryDue) {
        this->simulation.SendRegistryToAll();
        this->registryDue = this->simulation.Now() + kRegistryReadInterval;
        this->simulation.SendGroupsToAll();
      }
    }
  }

  /** Sends a read to one host and, half of the time, a write to the next. */
  void SendCalls()
  {
    size_t host = ++this->calls % this->simulation.Hosts();
    this->simulation.SubmitStatement(
      host, this->simulation.OpenSession(host), ReadStatement("a"));
    if (this->calls % 4 < 2) {
      size_t other = (host + 1) % this->simulation.Hosts();
      this->simulation.SubmitStatement(
        other,
        this->simulation.OpenSession(other),
        WriteStatement("a", "v" + std::to_string(this->calls)));
    }
  }

  ProxySimulation simulation;
  std::vector<Time> crashedAt;
  size_t holder = 0;
  Time leaseDue = kInfiniteFuture;
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
    aOut << "; " << kGroupFaultNames.NameOf(step.fault) << " "
         << step.targetIndex << " for " << step.spanMs
         << " ms, registry read after " << step.registryReadMs;
  }
  return aOut;
}

std::string
RunGroupPlan(const GroupPlan& aPlan)
{
  return GroupPlanRunner(aPlan).Run(aPlan);
}

bool
ServiceRecovers(ProxySimulation& aSimulation,
                size_t aHost,
                const std::set<size_t>& aLost)
{
  aSimulation.paused.clear();
  aSimulation.severedHosts.clear();
  aSimulation.withoutRegistry.clear();
  aSimulation.EndSevering();
  for (size_t i = 0; i < aSimulation.Upstreams(); ++i) {
    aSimulation.Upstream(i).isListed = true;
    aSimulation.Upstream(i).unreachableFrom.clear();
    if (!aSimulation.Upstream(i).isAlive && aLost.count(i) == 0) {
      aSimulation.Restart(i);
    }
  }
  for (size_t i = 0; i < aSimulation.Upstreams(); ++i) {
    aSimulation.SetReplicationBlocked(i, false);
  }
  aSimulation.SendRegistryToAll();
  aSimulation.isGroupStoreDown = false;
  aSimulation.SendGroupsToAll();
  Time end = aSimulation.Now() + kRecoveryLimit;
  while (aSimulation.Now() < end) {
    auto write = aSimulation.SubmitStatement(
      aHost, aSimulation.OpenSession(aHost), WriteStatement("a", "w"));
    auto read = aSimulation.SubmitStatement(
      aHost, aSimulation.OpenSession(aHost), ReadStatement("a"));
    aSimulation.RunFor(Millis(200));
    if (IsOk(write) && IsOk(read)) {
      return true;
    }
  }
  return false;
}

} // namespace marigoldpitch::fakes
