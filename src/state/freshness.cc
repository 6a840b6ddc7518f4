#include "marigoldpitch/state/freshness.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {
// About 100 s at one sample per 50 ms.
constexpr size_t kMaxSamples = 2048;
} // namespace detail

void
FreshnessTracker::Sample(Time aRequestedAt,
                         const LogProgress& aPrimary,
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
    if (aRequestedAt <= last.asked || aPrimary.position < last.position) {
      return;
    }
    // A newer sample of the same position and source replaces the older one.
    if (aPrimary.position == last.position &&
        aOrigin.source == last.origin.source) {
      last.asked = aRequestedAt;
      last.term = aPrimary.term;
      last.origin = aOrigin;
      return;
    }
  }
  this->samples.push_back(
    { aRequestedAt, aPrimary.position, aPrimary.term, aOrigin });
  if (this->samples.size() > detail::kMaxSamples) {
    this->samples.pop_front();
  }
}

void
FreshnessTracker::StartTerm(Term aTerm, Position aStart, Term aParentTerm)
{
  // Positions past the start of the new term are not on its log.
  while (!this->samples.empty() && this->samples.back().position > aStart) {
    this->samples.pop_back();
  }
  this->parentTerm = aParentTerm == this->term ? aParentTerm : 0;
  this->term = aTerm;
  this->termStart = aStart;
}

void
FreshnessTracker::TakeBack(SampleSource aSource)
{
  auto isOfSource = [&](const Entry& aEntry) {
    return aEntry.origin.source == aSource;
  };
  this->samples.erase(
    std::remove_if(this->samples.begin(), this->samples.end(), isOfSource),
    this->samples.end());
}

bool
FreshnessTracker::IsOnCurrentLog(const LogProgress& aReplica) const
{
  bool isPrefix = this->parentTerm != 0 && aReplica.term == this->parentTerm &&
                  aReplica.position <= this->termStart;
  return aReplica.term == this->term || isPrefix;
}

std::optional<Duration>
FreshnessTracker::AgeOf(const LogProgress& aReplica, Time aNow) const
{
  if (!this->IsOnCurrentLog(aReplica)) {
    return std::nullopt;
  }
  for (auto it = this->samples.rbegin(); it != this->samples.rend(); ++it) {
    if (it->position <= aReplica.position) {
      return aNow - it->asked;
    }
  }
  return std::nullopt;
}

std::optional<FreshnessSample>
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
  return FreshnessSample{ { found->term, found->position },
                          found->asked,
                          found->origin };
}

} // namespace marigoldpitch
