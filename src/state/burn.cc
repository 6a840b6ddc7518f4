#include "marigoldpitch/state/burn.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

double
Increase(double aBefore, double aAfter)
{
  return aAfter >= aBefore ? aAfter - aBefore : aAfter;
}

BurnSample
SumIncreases(const std::vector<BurnSample>& aSamples, Time aFrom)
{
  BurnSample sum;
  for (size_t i = 1; i < aSamples.size(); ++i) {
    const BurnSample& before = aSamples[i - 1];
    const BurnSample& after = aSamples[i];
    if (before.at < aFrom) {
      continue;
    }
    sum.answered += Increase(before.answered, after.answered);
    sum.good += Increase(before.good, after.good);
    sum.stale += Increase(before.stale, after.stale);
    sum.replicaReads += Increase(before.replicaReads, after.replicaReads);
    sum.tolerantReads += Increase(before.tolerantReads, after.tolerantReads);
    sum.failovers += Increase(before.failovers, after.failovers);
    sum.slowFailovers += Increase(before.slowFailovers, after.slowFailovers);
  }
  return sum;
}

double
Ratio(double aPart, double aWhole, double aDefault)
{
  return aWhole > 0 ? std::min(aPart / aWhole, 1.0) : aDefault;
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
    BurnSample sum =
      detail::SumIncreases(aSamples, aSamples.back().at - window);
    BurnRow row;
    row.window = window;
    row.requests = sum.answered;
    row.availability = detail::Ratio(sum.good, sum.answered, 1);
    row.burnRate = (1 - row.availability) / allowed;
    row.freshness = 1 - detail::Ratio(sum.stale, sum.answered, 0);
    row.replicaShare = detail::Ratio(sum.replicaReads, sum.tolerantReads, 0);
    row.failovers = sum.failovers;
    row.slowFailovers = sum.slowFailovers;
    rows.push_back(row);
  }
  return rows;
}

} // namespace marigoldpitch
