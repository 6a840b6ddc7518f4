#ifndef MARIGOLDPITCH_STATE_BURN_H
#define MARIGOLDPITCH_STATE_BURN_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/time.h"

#include <string>
#include <vector>

/** Burn rates of the error budget that the objectives leave. */
namespace marigoldpitch {

/** Counters summed over all daemons; they fall only when a daemon ends. */
struct BurnSample
{
  Time at;                  // wall clock
  double answered = 0;      // all but invalid requests, the caller's fault
  double good = 0;          // run at most once and answered correctly in time
  double stale = 0;         // refused: no upstream was fresh enough
  double replicaReads = 0;  // reads that accept stale data, run on replicas
  double tolerantReads = 0; // reads that accept stale data, run anywhere
  double failovers = 0;
  double slowFailovers = 0; // gap longer than the objective
};

struct BurnRow
{
  Duration window;
  double requests = 0;
  double availability = 1;
  double burnRate = 0; // 1 spends exactly the error budget
  double freshness = 1;
  double replicaShare = 0;
  double failovers = 0;
  double slowFailovers = 0;
};

/**
 * Computes one row per window, each ending at the last and newest sample.
 * Counters restart from zero with their daemon, so a sum that falls counts as
 * an increase from zero.
 *
 * Example: `ComputeBurn(samples, { Seconds(300) }, objectives)`.
 */
std::vector<BurnRow>
ComputeBurn(const std::vector<BurnSample>& aSamples,
            const std::vector<Duration>& aWindows,
            const Objectives& aObjectives);

} // namespace marigoldpitch

#endif
