#include "marigoldpitch/state/freshness.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {
// About 100 s at one sample per 50 ms.
constexpr size_t kMaxSamples = 2048;
} // namespace detail

void
FreshnessTracker::Sample(Time aAsked,
                         const CopyPoint& aPrimary,
                         const SampleOrigin& aOrigin)
{
  if (aPrimary.term < this->term) {
    return;
  }
  if (aPrimary.term > this->term) {
    this->StartTerm(aPrimary.term, aPrimary.termStart, 0);
  }
  if (!this->samples.empty()) {
    Entry& last = this->samples.back();
    if (aAsked <= last.asked || aPrimary.position < last.position) {
      return;
    }
    // A newer sample of the same position replaces the older one.
    if (aPrimary.position == last.position) {
      last.asked = aAsked;
      last.term = aPrimary.term;
      last.origin = aOrigin;
      return;
    }
  }
  this->samples.push_back(
    { aAsked, aPrimary.position, aPrimary.term, aOrigin });
  if (this->samples.size() > detail::kMaxSamples) {
    this->samples.pop_front();
  }
}

void
FreshnessTracker::StartTerm(Term aTerm, Position aStart, Term aLineage)
{
  // Positions past the start of the new term are not on its log.
  while (!this->samples.empty() && this->samples.back().position > aStart) {
    this->samples.pop_back();
  }
  this->lineage = aLineage == this->term ? aLineage : 0;
  this->term = aTerm;
  this->termStart = aStart;
}

bool
FreshnessTracker::IsOfThisLog(const CopyPoint& aCopy) const
{
  bool isBeginning = this->lineage != 0 && aCopy.term == this->lineage &&
                     aCopy.position <= this->termStart;
  return aCopy.term == this->term || isBeginning;
}

std::optional<Duration>
FreshnessTracker::AgeOf(const CopyPoint& aCopy, Time aNow) const
{
  if (!this->IsOfThisLog(aCopy)) {
    return std::nullopt;
  }
  for (auto it = this->samples.rbegin(); it != this->samples.rend(); ++it) {
    if (it->position <= aCopy.position) {
      return aNow - it->asked;
    }
  }
  return std::nullopt;
}

std::optional<FreshPoint>
FreshnessTracker::OldestSince(Time aTime) const
{
  auto isOlder = [](const Entry& aEntry, Time aLimit) {
    return aEntry.asked < aLimit;
  };
  auto found = std::lower_bound(
    this->samples.begin(), this->samples.end(), aTime, isOlder);
  if (found == this->samples.end()) {
    return std::nullopt;
  }
  return FreshPoint{ { found->term, found->position },
                     found->asked,
                     found->origin };
}

} // namespace marigoldpitch
