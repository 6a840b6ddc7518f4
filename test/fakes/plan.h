#ifndef MARIGOLDPITCH_TEST_FAKES_PLAN_H
#define MARIGOLDPITCH_TEST_FAKES_PLAN_H

#include "history.h"
#include "marigoldpitch/state/names.h"

#include <ostream>
#include <string>
#include <vector>

/** Faults at given moments, and a run of a world under them. */
namespace marigoldpitch::fakes {

enum class FaultKind
{
  KillPrimary,
  FreezePrimary,
  CutPrimaryFromReplicas, // it believes that it leads
  CutPrimaryFromAll,      // only the first owner still reaches it
  CutOwnerFromPrimary,    // the others still reach it
  StallReplica,
  KillOwner,
  FreezeOwner,
  CutEntryFromOwner,
  SilenceUpstream, // open connections go silent, new ones work
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
  int64_t spanMs = 500; // until a fault that heals is over
  size_t party = 0;     // which owner, entry or replica, where there are many
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
  bool termLedTwice = false;

  /** Adds the counts and the violations of another run. */
  void Add(const PlanResult& aOther);
  std::string ToString() const;
};

/** What a run changes besides its faults; tests put mutants in here. */
struct PlanOptions
{
  WorldOptions world;
  HistoryOptions history;
  Duration length = Seconds(4);
  std::function<void(World&)> prepare = [](World&) {};
};

/** One of the users' sites. */
struct Deployment
{
  const char* name;
  Duration oneWay; // between zones; 0.5 and 1.5 ms, in the clock's unit
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
