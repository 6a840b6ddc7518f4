#ifndef MARIGOLDPITCH_COORDINATION_PROXY_UNSETTLED_SAMPLES_H
#define MARIGOLDPITCH_COORDINATION_PROXY_UNSETTLED_SAMPLES_H

#include "marigoldpitch/state/freshness.h"
#include "marigoldpitch/state/time.h"

#include <deque>
#include <vector>

/** Samples whose members may not have been all members. */
namespace marigoldpitch {

/**
 * How long an upstream that confirms commits may be missing from the registry
 * while the store is in use.
 */
constexpr Duration kListingTime = Millis(1000);

/**
 * Reads of the registry that are further apart show that the store was out of
 * reach. Entries may then be late by `kRegistryRewriteTime`.
 */
constexpr Duration kMaxRegistryGap = Millis(2000);

/**
 * Quorum samples that are not settled yet. Such a sample counts over the known
 * members; an upstream that was not known may have confirmed a commit that the
 * others lack. A sample is settled once the registry has been read at least
 * `kListingTime` after the sample was requested, without showing a new member.
 */
class UnsettledSamples
{
public:
  /** Ignores samples that were requested no later than the last one. */
  void Add(const FreshnessSample& aSample);

  /** A new member is known, so the samples did not count all members. */
  void Clear() { this->samples.clear(); }

  /**
   * The registry was read at `aAsOf`, and all that it shows has been applied.
   * Returns and removes the samples that are settled by it, in order.
   */
  std::vector<FreshnessSample> Settle(Time aAsOf);

  /** Whether any was requested at `aTime` or later. */
  bool HasSince(Time aTime) const
  {
    return !this->samples.empty() && this->samples.back().asked >= aTime;
  }

  /** Whoever had confirmed commits by then is listed, if it runs. */
  Time ListedUntil() const { return this->listedUntil; }

private:
  std::deque<FreshnessSample> samples; // ascending by `asked`
  Time lastRead = kInfinitePast;       // of the registry
  Time trustedFrom = kInfinitePast;    // reads before then settle nothing
  Time listedUntil = kInfinitePast;
};

} // namespace marigoldpitch

#endif
