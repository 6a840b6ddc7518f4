#include "plan.h"

namespace marigoldpitch::fakes {

namespace {

void
CutPrimary(World& aWorld, size_t aPrimary, bool aFromOwners, bool aCut)
{
  for (size_t i = 0; i < aWorld.config.upstreams.size(); ++i) {
    if (i != aPrimary) {
      aWorld.CutUpstreams(aPrimary, i, aCut);
    }
  }
  for (size_t owner = 0; aFromOwners && owner < aWorld.Owners(); ++owner) {
    if (owner != aWorld.FirstOwner()) {
      aWorld.CutOwnerUpstream(owner, aPrimary, aCut);
    }
  }
}

void
Inject(World& aWorld, const Fault& aFault)
{
  auto primary = aWorld.TruePrimary();
  size_t upstreams = aWorld.config.upstreams.size();
  size_t replica = primary ? (*primary + 1 + aFault.party) % upstreams : 0;
  Duration span = Millis(aFault.spanMs);
  World* world = &aWorld;
  switch (aFault.kind) {
    case FaultKind::KillPrimary:
      // The killed upstream restarts empty. Skipped while a replica is down or
      // still catches up: a second loss of data could leave no majority that
      // holds a write, which no protocol survives.
      if (primary && aWorld.IsWhole()) {
        size_t killed = *primary;
        aWorld.KillUpstream(killed);
        aWorld.After(span + Millis(200),
                     [=] { world->RestartUpstream(killed); });
      }
      return;
    case FaultKind::FreezePrimary:
      if (primary) {
        aWorld.FreezeUpstream(*primary, span);
      }
      return;
    case FaultKind::CutPrimaryFromReplicas:
    case FaultKind::CutPrimaryFromAll: {
      if (!primary) {
        return;
      }
      bool fromOwners = aFault.kind == FaultKind::CutPrimaryFromAll;
      size_t cut = *primary;
      CutPrimary(aWorld, cut, fromOwners, true);
      aWorld.After(span, [=] { CutPrimary(*world, cut, fromOwners, false); });
      return;
    }
    case FaultKind::CutOwnerFromPrimary: {
      if (!primary) {
        return;
      }
      size_t cut = *primary;
      size_t owner = aWorld.FirstOwner();
      aWorld.CutOwnerUpstream(owner, cut, true);
      aWorld.After(span, [=] { world->CutOwnerUpstream(owner, cut, false); });
      return;
    }
    case FaultKind::StallReplica:
      aWorld.StallReplica(replica, Seconds(5));
      aWorld.After(span, [=] { world->StallReplica(replica, Millis(20)); });
      return;
    case FaultKind::KillOwner:
      aWorld.KillOwner(aWorld.FirstOwner());
      return;
    case FaultKind::FreezeOwner:
      aWorld.FreezeOwner(aWorld.FirstOwner(), span);
      return;
    case FaultKind::CutEntryFromOwner: {
      size_t entry = aFault.party % 2;
      size_t owner = aWorld.FirstOwner();
      aWorld.CutEntryOwner(entry, owner, true);
      aWorld.After(span, [=] { world->CutEntryOwner(entry, owner, false); });
      return;
    }
    case FaultKind::SilenceUpstream:
      aWorld.SilenceConnections(aWorld.FirstOwner(), aFault.party % upstreams);
      return;
    case FaultKind::SilenceLink:
      aWorld.SilenceLink(aFault.party % 2, aWorld.FirstOwner());
      return;
    case FaultKind::StoreDown:
      aWorld.SetStoreDown(true);
      aWorld.After(span, [=] { world->SetStoreDown(false); });
      return;
    case FaultKind::ListLeaving:
      if (primary) {
        aWorld.ListLeaving(*primary);
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
         << " ms for " << fault.spanMs << " ms, target " << fault.party;
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
  options.world.oneWay = aDeployment.oneWay;
  options.world.slots = aDeployment.slots;
  options.world.connections = aDeployment.connections;
  options.world.owners = 5;
  return options;
}

PlanResult
RunPlan(const Plan& aPlan, PlanOptions aOptions)
{
  aOptions.world.seed = aPlan.seed;
  World world(aOptions.world);
  aOptions.prepare(world);
  History history(world, aOptions.history);
  history.Start();
  for (const Fault& fault : aPlan.faults) {
    world.After(Millis(fault.atMs), [&world, fault] { Inject(world, fault); });
  }
  world.RunFor(aOptions.length);
  history.Settle(Seconds(8));
  return { history, world.promotions, world.termLedTwice };
}

} // namespace marigoldpitch::fakes
