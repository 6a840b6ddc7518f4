#include "marigoldpitch/state/freshness.h"

namespace marigoldpitch {

namespace detail {
// At one sample each 50 ms this reaches back about 100 s.
constexpr size_t kMaxSamples = 2048;
} // namespace detail

void
FreshnessTracker::Sample(Time aAsked, const CopyPoint& aPrimary)
{
  if (aPrimary.term < this->term) {
    return;
  }
  if (aPrimary.term > this->term) {
    this->StartTerm(aPrimary);
  }
  if (!this->samples.empty()) {
    Entry& last = this->samples.back();
    if (aAsked <= last.asked || aPrimary.position < last.position) {
      return;
    }
    // The newer of two samples of one position makes the older one useless.
    if (aPrimary.position == last.position) {
      last.asked = aAsked;
      return;
    }
  }
  this->samples.push_back({ aAsked, aPrimary.position });
  if (this->samples.size() > detail::kMaxSamples) {
    this->samples.pop_front();
  }
}

void
FreshnessTracker::StartTerm(const CopyPoint& aPrimary)
{
  // Positions past the start of the new term belong to a history that ended.
  while (!this->samples.empty() &&
         this->samples.back().position > aPrimary.termStart) {
    this->samples.pop_back();
  }
  this->term = aPrimary.term;
}

std::optional<Duration>
FreshnessTracker::AgeOf(const CopyPoint& aCopy, Time aNow) const
{
  if (aCopy.term != this->term) {
    return std::nullopt;
  }
  for (auto it = this->samples.rbegin(); it != this->samples.rend(); ++it) {
    if (it->position <= aCopy.position) {
      return aNow - it->asked;
    }
  }
  return std::nullopt;
}

} // namespace marigoldpitch
