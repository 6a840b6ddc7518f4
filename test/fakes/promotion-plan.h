#ifndef MARIGOLDPITCH_TEST_FAKES_PROMOTION_PLAN_H
#define MARIGOLDPITCH_TEST_FAKES_PROMOTION_PLAN_H

#include "fakes/promotion-run.h"

#include <ostream>

/** Sequences of faults around the promotions of `PromotionRun`. */
namespace marigoldpitch::fakes {

enum class PromotionFault
{
  StartUnlisted,  // an upstream at the address of one that has ended, or a new
                  // address; it is registered later
  CutPrimary,     // no replica gets log entries
  BlockReplica,   // one replica gets none
  RestartReplica, // it ends and is back, not held
  PauseHost,      // a host stands still
  ReplaceHost,    // its process is replaced
  SeverHost,      // the other hosts' messages are lost, and so is the store
  LosePromoter,   // its process is replaced, and another host gets the lease
};

constexpr NameTable<PromotionFault, 8> kPromotionFaultNames{ {
  { PromotionFault::StartUnlisted, "start-unlisted" },
  { PromotionFault::CutPrimary, "cut-primary" },
  { PromotionFault::BlockReplica, "block-replica" },
  { PromotionFault::RestartReplica, "restart-replica" },
  { PromotionFault::PauseHost, "pause-host" },
  { PromotionFault::ReplaceHost, "replace-host" },
  { PromotionFault::SeverHost, "sever-host" },
  { PromotionFault::LosePromoter, "lose-promoter" },
} };

struct PromotionStep
{
  PromotionFault fault = PromotionFault::CutPrimary;
  size_t target = 0;   // of an upstream or a host, modulo their number
  int64_t afterMs = 0; // after the step before
  int64_t spanMs = 0;  // how long the fault lasts
};

struct PromotionPlan
{
  uint32_t seed = 1;
  int64_t promotionMs = 300; // until an order takes effect
  std::vector<PromotionStep> steps;
};

std::ostream&
operator<<(std::ostream& aOut, const PromotionPlan& aPlan);

/**
 * Runs the plan, ends all faults, and returns a line for each violation; empty
 * if there is none and each host completes a write and a read within 12 s.
 */
std::string
RunPromotionPlan(const PromotionPlan& aPlan);

} // namespace marigoldpitch::fakes

#endif
