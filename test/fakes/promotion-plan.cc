#include "fakes/promotion-plan.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

// As on the platform: another host gets the lease only once the lease of its
// holder has expired.
constexpr Duration kLeaseMoveDelay = Millis(6500);
// A holder that does not reach the store may promote for this long.
constexpr Duration kLeaseProof = Millis(2500);
constexpr Duration kStep = Millis(10);
constexpr Duration kAfterwards = Seconds(2);
constexpr Duration kRecoveryLimit = Seconds(12);

/** Runs one plan. Each fault ends by itself after its span. */
class PromotionPlanRunner
{
public:
  explicit PromotionPlanRunner(const PromotionPlan& aPlan)
    : run(OptionsOf(aPlan))
  {
  }

  std::string Run(const PromotionPlan& aPlan)
  {
    for (const PromotionStep& step : aPlan.steps) {
      this->RunFor(Duration{ step.afterMs });
      this->Apply(step);
    }
    while (!this->ends.empty()) {
      this->RunFor(kStep);
    }
    this->RunFor(kAfterwards);
    return this->Recover() + this->run.simulation.Violations();
  }

private:
  struct FaultEnd
  {
    Time due;
    std::function<void()> call;
  };

  static ProxySimulationOptions OptionsOf(const PromotionPlan& aPlan)
  {
    ProxySimulationOptions options = PromotionRun::Options(aPlan.seed);
    options.promotionTime = Duration{ aPlan.promotionMs };
    return options;
  }

  void RunFor(Duration aSpan)
  {
    Time end = this->run.simulation.Now() + aSpan;
    while (this->run.simulation.Now() < end) {
      this->run.WriteFor(std::min(kStep, end - this->run.simulation.Now()));
      this->EndDueFaults();
    }
  }

  void EndDueFaults()
  {
    for (size_t i = 0; i < this->ends.size();) {
      if (this->run.simulation.Now() < this->ends[i].due) {
        ++i;
        continue;
      }
      auto call = this->ends[i].call;
      this->ends.erase(this->ends.begin() + static_cast<std::ptrdiff_t>(i));
      call();
    }
  }

  void EndAfter(Duration aSpan, const std::function<void()>& aCall)
  {
    this->ends.push_back({ this->run.simulation.Now() + aSpan, aCall });
  }

  void Apply(const PromotionStep& aStep)
  {
    ProxySimulation& simulation = this->run.simulation;
    size_t upstream = aStep.target % simulation.Upstreams();
    size_t host = aStep.target % simulation.Hosts();
    Duration span{ aStep.spanMs };
    switch (aStep.fault) {
      case PromotionFault::StartUnlisted: {
        bool hasEnded = !simulation.Upstream(upstream).isAlive;
        size_t started = hasEnded ? this->run.StartUnlistedAt(upstream)
                                  : this->run.StartUnlisted();
        if (hasEnded) {
          this->replaced.insert(upstream);
        }
        this->EndAfter(span, [this, started] {
          this->run.simulation.Upstream(started).isListed = true;
        });
        return;
      }
      case PromotionFault::CutPrimary:
        this->run.StopReplication();
        this->EndAfter(span, [this] {
          for (size_t i = 0; i < this->run.simulation.Upstreams(); ++i) {
            this->run.simulation.SetReplicationBlocked(i, false);
          }
        });
        return;
      case PromotionFault::BlockReplica:
        simulation.SetReplicationBlocked(upstream, true);
        this->EndAfter(span, [this, upstream] {
          this->run.simulation.SetReplicationBlocked(upstream, false);
        });
        return;
      case PromotionFault::RestartReplica:
        this->RestartReplica(upstream, span);
        return;
      case PromotionFault::PauseHost:
        simulation.paused.insert(host);
        this->EndAfter(
          span, [this, host] { this->run.simulation.paused.erase(host); });
        return;
      case PromotionFault::ReplaceHost:
        simulation.ReplaceHost(host);
        this->RenewLease(host);
        return;
      case PromotionFault::SeverHost:
        this->Sever(host, span);
        return;
      case PromotionFault::LosePromoter:
        this->LosePromoter(host);
        return;
    }
  }

  void RestartReplica(size_t aUpstream, Duration aSpan)
  {
    ProxySimulation& simulation = this->run.simulation;
    const FakeUpstream& replica = simulation.Upstream(aUpstream);
    if (!replica.isAlive || replica.role == Role::Primary) {
      return;
    }
    simulation.Kill(aUpstream);
    this->EndAfter(aSpan, [this, aUpstream] {
      if (this->replaced.count(aUpstream) == 0) {
        this->run.simulation.Restart(aUpstream);
      }
    });
  }

  void Sever(size_t aHost, Duration aSpan)
  {
    ProxySimulation& simulation = this->run.simulation;
    for (size_t other = 0; other < simulation.Hosts(); ++other) {
      simulation.severedHosts.insert({ aHost, other });
      simulation.severedHosts.insert({ other, aHost });
    }
    simulation.withoutRegistry.insert(aHost);
    if (this->HasLease(aHost)) {
      simulation.SetPromoterLease(aHost, true, simulation.Now() + kLeaseProof);
    }
    this->EndAfter(aSpan, [this] {
      this->run.simulation.severedHosts.clear();
      this->run.simulation.withoutRegistry.clear();
      this->RenewLease(this->holder);
    });
  }

  void LosePromoter(size_t aSuccessor)
  {
    if (aSuccessor == this->holder) {
      return;
    }
    this->run.simulation.ReplaceHost(this->holder);
    this->run.simulation.SetPromoterLease(this->holder, false);
    this->holder = aSuccessor;
    this->leaseFrom = this->run.simulation.Now() + kLeaseMoveDelay;
    this->EndAfter(kLeaseMoveDelay,
                   [this, aSuccessor] { this->RenewLease(aSuccessor); });
  }

  bool HasLease(size_t aHost)
  {
    return this->holder == aHost &&
           this->run.simulation.Now() >= this->leaseFrom;
  }

  void RenewLease(size_t aHost)
  {
    bool mayRenew = this->run.simulation.withoutRegistry.count(aHost) == 0;
    if (mayRenew && this->HasLease(aHost)) {
      this->run.simulation.SetPromoterLease(aHost, true);
    }
  }

  /** Says which hosts complete no write and read within `kRecoveryLimit`. */
  std::string Recover()
  {
    ProxySimulation& simulation = this->run.simulation;
    Time end = simulation.Now() + kRecoveryLimit;
    std::string failures;
    for (size_t host = 0; host < simulation.Hosts(); ++host) {
      bool recovers = ServiceRecovers(simulation, host, this->replaced);
      bool isLate = simulation.Now() > end;
      failures += recovers && !isLate
                    ? ""
                    : "h" + std::to_string(host) + " does not serve in time\n";
    }
    return failures;
  }

  PromotionRun run;
  std::vector<FaultEnd> ends;
  size_t holder = 0;
  Time leaseFrom = kInfinitePast; // when the holder gets the lease
  std::set<size_t> replaced;      // upstreams whose address another one has
};

} // namespace

std::ostream&
operator<<(std::ostream& aOut, const PromotionPlan& aPlan)
{
  aOut << "seed " << aPlan.seed << ", orders take " << aPlan.promotionMs
       << " ms";
  for (const PromotionStep& step : aPlan.steps) {
    aOut << "; after " << step.afterMs << " ms "
         << kPromotionFaultNames.NameOf(step.fault) << " " << step.target
         << " for " << step.spanMs << " ms";
  }
  return aOut;
}

std::string
RunPromotionPlan(const PromotionPlan& aPlan)
{
  return PromotionPlanRunner(aPlan).Run(aPlan);
}

} // namespace marigoldpitch::fakes
