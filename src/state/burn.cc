#include "marigoldpitch/state/burn.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

double
Rise(double aBefore, double aAfter)
{
  return aAfter >= aBefore ? aAfter - aBefore : aAfter;
}

BurnSample
Sum(const std::vector<BurnSample>& aSamples, Time aFrom)
{
  BurnSample sum;
  for (size_t i = 1; i < aSamples.size(); ++i) {
    const BurnSample& before = aSamples[i - 1];
    const BurnSample& after = aSamples[i];
    if (before.at < aFrom) {
      continue;
    }
    sum.answered += Rise(before.answered, after.answered);
    sum.good += Rise(before.good, after.good);
    sum.stale += Rise(before.stale, after.stale);
    sum.replicaReads += Rise(before.replicaReads, after.replicaReads);
    sum.tolerantReads += Rise(before.tolerantReads, after.tolerantReads);
    sum.failovers += Rise(before.failovers, after.failovers);
    sum.slowFailovers += Rise(before.slowFailovers, after.slowFailovers);
  }
  return sum;
}

double
Share(double aPart, double aWhole, double aIfNone)
{
  return aWhole > 0 ? std::min(aPart / aWhole, 1.0) : aIfNone;
}

} // namespace detail

std::vector<BurnRow>
ComputeBurn(const std::vector<BurnSample>& aSamples,
            const std::vector<Duration>& aWindows,
            const Objectives& aObjectives)
{
  std::vector<BurnRow> rows;
  if (aSamples.empty()) {
    return rows;
  }
  double allowed = std::max(1 - aObjectives.availability, 1e-9);
  for (Duration window : aWindows) {
    BurnSample sum = detail::Sum(aSamples, aSamples.back().at - window);
    BurnRow row;
    row.window = window;
    row.requests = sum.answered;
    row.availability = detail::Share(sum.good, sum.answered, 1);
    row.burnRate = (1 - row.availability) / allowed;
    row.freshness = 1 - detail::Share(sum.stale, sum.answered, 0);
    row.replicaShare = detail::Share(sum.replicaReads, sum.tolerantReads, 0);
    row.failovers = sum.failovers;
    row.slowFailovers = sum.slowFailovers;
    rows.push_back(row);
  }
  return rows;
}

} // namespace marigoldpitch
