#ifndef MARIGOLDPITCH_STATE_BURN_H
#define MARIGOLDPITCH_STATE_BURN_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/time.h"

#include <string>
#include <vector>

/** How fast the service uses up what its objectives allow. */
namespace marigoldpitch {

/** Sums over all daemons at one moment, rising while daemons live. */
struct BurnSample
{
  Time at;             // milliseconds of the wall clock
  double answered = 0; // requests whose fault, if any, was ours to avoid
  double good = 0;     // answered correctly, once, while still needed
  double stale = 0;    // refused because no copy was fresh enough
  double replicaReads = 0;
  double tolerantReads = 0;
  double failovers = 0;
  double slowFailovers = 0; // with a gap over the objective
};

struct BurnRow
{
  Duration window;
  double requests = 0;
  double availability = 1;
  double burnRate = 0; // 1 uses up exactly what the objective allows
  double freshness = 1;
  double replicaShare = 0;
  double failovers = 0;
  double slowFailovers = 0;
};

/**
 * One row a window, newest sample last. A daemon that restarted counts from
 * zero again, so a falling sum starts a new stretch.
 *
 * Example: `ComputeBurn(samples, { Seconds(300) }, objectives)`.
 */
std::vector<BurnRow>
ComputeBurn(const std::vector<BurnSample>& aSamples,
            const std::vector<Duration>& aWindows,
            const Objectives& aObjectives);

} // namespace marigoldpitch

#endif
