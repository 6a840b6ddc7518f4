#ifndef MARIGOLDPITCH_STATE_FRESHNESS_H
#define MARIGOLDPITCH_STATE_FRESHNESS_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/position.h"
#include "marigoldpitch/state/time.h"

#include <deque>
#include <optional>

/** Upper bound on the age of a replica's data. */
namespace marigoldpitch {

enum class SampleSource
{
  Primary,   // log end of a primary that was proved to lead
  Quorum,    // highest log end among all members but one
  OwnCommit, // the session's own last commit
};

constexpr NameTable<SampleSource, 3> kSampleSourceNames{ {
  { SampleSource::Primary, "primary" },
  { SampleSource::Quorum, "quorum" },
  { SampleSource::OwnCommit, "own-commit" },
} };

/** The members whose reports a sample is based on. */
struct SampleOrigin
{
  SampleSource source = SampleSource::Primary;
  size_t reportingMembers = 1; // members that reported
  size_t members = 1;          // members of the group
};

/** A log point that covers every commit acknowledged before `asked`. */
struct FreshnessSample
{
  LogPoint point;
  Time asked = kInfinitePast;
  SampleOrigin origin;
};

/**
 * Bounds the age of a replica's data by samples of (time, primary position). A
 * replica that has replayed a sampled position holds everything that was
 * committed before the sample was requested, so its age is at most the time
 * since that request. The age keeps growing while the primary cannot be
 * sampled.
 *
 * Example:
 *
 *     tracker.Sample(now, { 3, 0, 120 });
 *     tracker.AgeOf({ 3, 0, 120 }, now + Millis(40)); // 40 ms
 */
class FreshnessTracker
{
public:
  /**
   * `aRequestedAt` is the time at which the primary's position was requested,
   * not the time of its answer.
   */
  void Sample(Time aRequestedAt,
              const LogProgress& aPrimary,
              const SampleOrigin& aOrigin = {});

  /**
   * Starts a term that continues the log of term `aParentTerm`. A log of that
   * term that ends at or before the new term's start is a prefix of the new
   * log.
   */
  void StartTerm(Term aTerm, Position aStart, Term aParentTerm);

  /** Forgets the samples of that source, which may have been wrong. */
  void TakeBack(SampleSource aSource);

  /** Whether `aReplica` is on the current term's log or a prefix of it. */
  bool IsOnCurrentLog(const LogProgress& aReplica) const;

  /** Unset if `aReplica` covers no sample or is not on the current log. */
  std::optional<Duration> AgeOf(const LogProgress& aReplica, Time aNow) const;

  /** The oldest sample that was requested at `aTime` or later. */
  std::optional<FreshnessSample> OldestSince(Time aTime) const;

  size_t Size() const { return this->samples.size(); }

private:
  struct Entry
  {
    Time asked;
    Position position;
    Term term; // of the sampled primary
    SampleOrigin origin;
  };

  Term term = 0;
  Term parentTerm = 0; // previous term, if `term` continues its log
  Position termStart = 0;
  std::deque<Entry> samples; // ascending by `asked` and by `position`
};

} // namespace marigoldpitch

#endif
