#ifndef MARIGOLDPITCH_COORDINATION_GROUP_VIEW_H
#define MARIGOLDPITCH_COORDINATION_GROUP_VIEW_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/freshness.h"
#include "marigoldpitch/state/upstream-status.h"

#include <optional>
#include <vector>

/** What an owner knows of a group's upstreams. */
namespace marigoldpitch {

/** An upstream that does not answer for this long counts as silent. */
constexpr Duration kUpstreamSilence = Millis(300);

struct UpstreamView
{
  std::optional<UpstreamStatus> status;
  Time lastAnswer = kLongAgo;
  Time lastAsked = kLongAgo;
  uint64_t ask = 0; // the question that is open; 0 for none
  Time questionSent = kLongAgo;
  Time followSent = kLongAgo; // when it was last told to follow
  Time openAfter = kLongAgo;  // no new connection before this time
  Time askLimit = kNever;     // when the open question counts as failed
  uint32_t failures = 0;      // questions failed since the last answer
  Time silentSince = kNever;  // when the first of them was asked
  bool leavingByConfig = false;
  bool leavingByList = false;
  bool leavingByItself = false;

  bool Leaving() const
  {
    return this->leavingByConfig || this->leavingByList ||
           this->leavingByItself;
  }
};

/** Terms, primary, freshness and leaving upstreams of one group. */
class GroupView
{
public:
  explicit GroupView(const GroupConfig& aConfig);

  /** Takes in a status asked for at `aAsked`. True when the primary changed. */
  bool Learn(UpstreamIndex aUpstream,
             const UpstreamStatus& aStatus,
             Time aAsked,
             Time aNow);

  /** The primary of the highest term known, unless it has been replaced. */
  std::optional<UpstreamIndex> Primary() const { return this->primary; }
  Term CurrentTerm() const { return this->term; }
  Term HighestTermSeen() const { return this->highestTerm; }

  /** A term that some upstream stated outside a status. */
  void NoteTerm(Term aTerm);

  /** `aUpstream` leads `aTerm` now; what was asked before counts no more. */
  void SetPrimary(UpstreamIndex aUpstream,
                  Term aTerm,
                  Position aStart,
                  Term aLineage,
                  Time aNow);

  /** Whether the copy is of the group's present log, or the beginning of it. */
  bool IsOfThisLog(const CopyPoint& aCopy) const
  {
    return this->freshness.IsOfThisLog(aCopy);
  }

  /** Whether a replica may serve reads at all. */
  bool IsServingReplica(UpstreamIndex aUpstream) const;

  /** Unset when nothing proves an age. */
  std::optional<Duration> AgeOf(UpstreamIndex aUpstream, Time aNow) const;
  std::optional<Duration> AgeOf(const CopyPoint& aCopy, Time aNow) const
  {
    return this->freshness.AgeOf(aCopy, aNow);
  }

  /** Two questions failed, the second one over a fresh connection. */
  bool IsSilent(UpstreamIndex aUpstream, Time aNow) const;

  size_t Size() const { return this->upstreams.size(); }
  UpstreamView& At(UpstreamIndex aUpstream)
  {
    return this->upstreams[aUpstream];
  }
  const UpstreamView& At(UpstreamIndex aUpstream) const
  {
    return this->upstreams[aUpstream];
  }

private:
  bool IsReplaced() const;

  size_t majority;
  std::vector<UpstreamView> upstreams;
  std::optional<UpstreamIndex> primary;
  Term term = 0;
  Term highestTerm = 0;
  FreshnessTracker freshness;
};

} // namespace marigoldpitch

#endif
