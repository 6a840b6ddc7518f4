#include "plan.h"

namespace marigoldpitch::fakes {

namespace {

void
CutPrimary(GroupSimulation& aSimulation,
           size_t aPrimary,
           bool aFromOwners,
           bool aCut)
{
  for (size_t i = 0; i < aSimulation.config.upstreams.size(); ++i) {
    if (i != aPrimary) {
      aSimulation.CutUpstreams(aPrimary, i, aCut);
    }
  }
  for (size_t owner = 0; aFromOwners && owner < aSimulation.Owners(); ++owner) {
    if (owner != aSimulation.PreferredOwner()) {
      aSimulation.CutOwnerUpstream(owner, aPrimary, aCut);
    }
  }
}

void
Inject(GroupSimulation& aSimulation, const Fault& aFault)
{
  auto primary = aSimulation.ActualPrimary();
  size_t upstreams = aSimulation.config.upstreams.size();
  size_t replica =
    primary ? (*primary + 1 + aFault.targetIndex) % upstreams : 0;
  Duration span = Millis(aFault.spanMs);
  GroupSimulation* simulation = &aSimulation;
  switch (aFault.kind) {
    case FaultKind::KillPrimary:
      // The killed upstream restarts empty. Skipped while a replica is down or
      // still catches up: a second loss of data could leave no majority that
      // holds a write, which no protocol survives.
      if (primary && aSimulation.IsFullyReplicated()) {
        size_t killed = *primary;
        aSimulation.KillUpstream(killed);
        aSimulation.After(span + Millis(200),
                          [=] { simulation->RestartUpstream(killed); });
      }
      return;
    case FaultKind::FreezePrimary:
      if (primary) {
        aSimulation.FreezeUpstream(*primary, span);
      }
      return;
    case FaultKind::CutPrimaryFromReplicas:
    case FaultKind::CutPrimaryFromAll: {
      if (!primary) {
        return;
      }
      bool fromOwners = aFault.kind == FaultKind::CutPrimaryFromAll;
      size_t cut = *primary;
      CutPrimary(aSimulation, cut, fromOwners, true);
      aSimulation.After(
        span, [=] { CutPrimary(*simulation, cut, fromOwners, false); });
      return;
    }
    case FaultKind::CutOwnerFromPrimary: {
      if (!primary) {
        return;
      }
      size_t cut = *primary;
      size_t owner = aSimulation.PreferredOwner();
      aSimulation.CutOwnerUpstream(owner, cut, true);
      aSimulation.After(
        span, [=] { simulation->CutOwnerUpstream(owner, cut, false); });
      return;
    }
    case FaultKind::StallReplica:
      aSimulation.StallReplica(replica, Seconds(5));
      aSimulation.After(span,
                        [=] { simulation->StallReplica(replica, Millis(20)); });
      return;
    case FaultKind::KillOwner:
      aSimulation.KillOwner(aSimulation.PreferredOwner());
      return;
    case FaultKind::FreezeOwner:
      aSimulation.FreezeOwner(aSimulation.PreferredOwner(), span);
      return;
    case FaultKind::CutEntryFromOwner: {
      size_t entry = aFault.targetIndex % 2;
      size_t owner = aSimulation.PreferredOwner();
      aSimulation.CutEntryOwner(entry, owner, true);
      aSimulation.After(
        span, [=] { simulation->CutEntryOwner(entry, owner, false); });
      return;
    }
    case FaultKind::SilenceUpstream:
      aSimulation.SilenceConnections(aSimulation.PreferredOwner(),
                                     aFault.targetIndex % upstreams);
      return;
    case FaultKind::SilenceLink:
      aSimulation.SilenceLink(aFault.targetIndex % 2,
                              aSimulation.PreferredOwner());
      return;
    case FaultKind::StoreDown:
      aSimulation.SetStoreDown(true);
      aSimulation.After(span, [=] { simulation->SetStoreDown(false); });
      return;
    case FaultKind::ListLeaving:
      if (primary) {
        aSimulation.ListLeaving(*primary);
      }
      return;
  }
}

} // namespace

std::ostream&
operator<<(std::ostream& aOut, const Plan& aPlan)
{
  aOut << "seed " << aPlan.seed;
  for (const Fault& fault : aPlan.faults) {
    aOut << "; " << kFaultKindNames.NameOf(fault.kind) << " at " << fault.atMs
         << " ms for " << fault.spanMs << " ms, target " << fault.targetIndex;
  }
  return aOut;
}

std::string
PlanResult::ToString() const
{
  std::string text = std::to_string(this->writesOk) + " writes, " +
                     std::to_string(this->readsOk) + " reads, " +
                     std::to_string(this->promotions) +
                     " promotions, longest write gap " +
                     std::to_string(this->longestWriteGap.ms) + " ms";
  for (const std::string& violation : this->violations) {
    text += "\n  " + violation;
  }
  return text;
}

void
PlanResult::Add(const PlanResult& aOther)
{
  this->violations.insert(
    this->violations.end(), aOther.violations.begin(), aOther.violations.end());
  this->readsRefused += aOther.readsRefused;
  this->tolerantReads += aOther.tolerantReads;
  this->tolerantReplicaReads += aOther.tolerantReplicaReads;
  this->oracleReads += aOther.oracleReads;
}

PlanOptions
OptionsOf(const Deployment& aDeployment)
{
  PlanOptions options;
  options.simulation.oneWay = aDeployment.oneWay;
  options.simulation.slots = aDeployment.slots;
  options.simulation.connections = aDeployment.connections;
  options.simulation.owners = 5;
  return options;
}

PlanResult
RunPlan(const Plan& aPlan, PlanOptions aOptions)
{
  aOptions.simulation.seed = aPlan.seed;
  GroupSimulation simulation(aOptions.simulation);
  aOptions.prepare(simulation);
  History history(simulation, aOptions.history);
  history.Start();
  for (const Fault& fault : aPlan.faults) {
    simulation.After(Millis(fault.atMs),
                     [&simulation, fault] { Inject(simulation, fault); });
  }
  simulation.RunFor(aOptions.length);
  history.CheckFinalState(Seconds(8));
  return { history, simulation.promotions, simulation.hasDuplicateTerm };
}

} // namespace marigoldpitch::fakes
