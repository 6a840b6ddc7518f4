#ifndef MARIGOLDPITCH_STATE_FRESHNESS_H
#define MARIGOLDPITCH_STATE_FRESHNESS_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/position.h"
#include "marigoldpitch/state/time.h"

#include <deque>
#include <optional>

/** Conservative age of a replica's data. */
namespace marigoldpitch {

enum class SampleSource
{
  Primary,   // the position of a primary that is proved to lead
  Quorum,    // the highest of all members but one
  OwnCommit, // the session's own last commit
};

constexpr NameTable<SampleSource, 3> kSampleSourceNames{ {
  { SampleSource::Primary, "primary" },
  { SampleSource::Quorum, "quorum" },
  { SampleSource::OwnCommit, "own-commit" },
} };

/** Whose word a sample rests on. */
struct SampleOrigin
{
  SampleSource source = SampleSource::Primary;
  size_t heard = 1;   // members whose word it is
  size_t members = 1; // of so many
};

/** A log point that covers all that was acknowledged before `asked`. */
struct FreshPoint
{
  LogPoint point;
  Time asked = kLongAgo;
  SampleOrigin origin;
};

/**
 * Samples of (time, primary position). A copy that has replayed a sampled
 * position holds all that was committed before the sample was asked for, so its
 * age is at most the time since then. The age keeps growing while the primary
 * cannot be sampled.
 *
 * Example:
 *
 *     tracker.Sample(now, { 3, 0, 120 });
 *     tracker.AgeOf({ 3, 0, 120 }, now + Millis(40)); // 40 ms
 */
class FreshnessTracker
{
public:
  /** `aAsked` is when the primary's position was asked for, not answered. */
  void Sample(Time aAsked,
              const CopyPoint& aPrimary,
              const SampleOrigin& aOrigin = {});

  /**
   * A new term that goes on with the log of `aLineage`. Copies of that log that
   * end before the new term's start are the beginning of its log.
   */
  void StartTerm(Term aTerm, Position aStart, Term aLineage);

  /** Whether the copy is of the present term's log, or the beginning of it. */
  bool IsOfThisLog(const CopyPoint& aCopy) const;

  /** Unset when no sample is covered by the copy. */
  std::optional<Duration> AgeOf(const CopyPoint& aCopy, Time aNow) const;

  /** The oldest sample that was asked for at `aTime` or later. */
  std::optional<FreshPoint> OldestSince(Time aTime) const;

  size_t Size() const { return this->samples.size(); }

private:
  struct Entry
  {
    Time asked;
    Position position;
    Term term; // of the primary that was asked
    SampleOrigin origin;
  };

  Term term = 0;
  Term lineage = 0; // the term before, if this one goes on with its log
  Position termStart = 0;
  std::deque<Entry> samples; // both members rise along the queue
};

} // namespace marigoldpitch

#endif
