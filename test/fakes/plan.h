#ifndef MARIGOLDPITCH_TEST_FAKES_PLAN_H
#define MARIGOLDPITCH_TEST_FAKES_PLAN_H

#include "history.h"
#include "marigoldpitch/state/names.h"

#include <ostream>
#include <string>
#include <vector>

/** Plans of faults at given times, and runs of a `GroupSimulation` under them.
 */
namespace marigoldpitch::fakes {

enum class FaultKind
{
  KillPrimary,
  FreezePrimary,
  CutPrimaryFromReplicas, // it still acts as primary
  CutPrimaryFromAll,      // only `PreferredOwner` still reaches it
  CutOwnerFromPrimary,    // all but `PreferredOwner` still reach it
  StallReplica,
  KillOwner,
  FreezeOwner,
  CutEntryFromOwner,
  SilenceUpstream, // its open connections go silent, new ones work
  SilenceLink,
  StoreDown,
  ListLeaving,
};

constexpr NameTable<FaultKind, 13> kFaultKindNames{ {
  { FaultKind::KillPrimary, "kill-primary" },
  { FaultKind::FreezePrimary, "freeze-primary" },
  { FaultKind::CutPrimaryFromReplicas, "cut-primary-from-replicas" },
  { FaultKind::CutPrimaryFromAll, "cut-primary-from-all" },
  { FaultKind::CutOwnerFromPrimary, "cut-owner-from-primary" },
  { FaultKind::StallReplica, "stall-replica" },
  { FaultKind::KillOwner, "kill-owner" },
  { FaultKind::FreezeOwner, "freeze-owner" },
  { FaultKind::CutEntryFromOwner, "cut-entry-from-owner" },
  { FaultKind::SilenceUpstream, "silence-upstream" },
  { FaultKind::SilenceLink, "silence-link" },
  { FaultKind::StoreDown, "store-down" },
  { FaultKind::ListLeaving, "list-leaving" },
} };

struct Fault
{
  FaultKind kind = FaultKind::KillPrimary;
  int64_t atMs = 0;
  int64_t spanMs = 500;   // duration, for faults that end
  size_t targetIndex = 0; // index of the entry, upstream or replica, if needed
};

struct Plan
{
  uint32_t seed = 1;
  std::vector<Fault> faults;
};

std::ostream&
operator<<(std::ostream& aOut, const Plan& aPlan);

struct PlanResult : public HistoryCounts
{
  size_t promotions = 0;
  bool hasDuplicateTerm = false;

  /** Adds the violations and the read counts of another run. */
  void Add(const PlanResult& aOther);
  std::string ToString() const;
};

/** Options of a run besides its faults; mutation tests change them. */
struct PlanOptions
{
  GroupSimulationOptions simulation;
  HistoryOptions history;
  Duration length = Seconds(4);
  std::function<void(GroupSimulation&)> prepare = [](GroupSimulation&) {};
};

/** Parameters of a site where the system is deployed. */
struct Deployment
{
  const char* name;
  Duration oneWay; // between zones; 0.5 and 1.5 ms, rounded up to whole ms
  uint32_t slots;
  uint32_t connections;
};

constexpr Deployment kAddisAbaba{ "addis-ababa", Millis(1), 2, 16 };
constexpr Deployment kBrittany{ "brittany", Millis(2), 3, 40 };

PlanOptions
OptionsOf(const Deployment& aDeployment);

PlanResult
RunPlan(const Plan& aPlan, PlanOptions aOptions = {});

} // namespace marigoldpitch::fakes

#endif
