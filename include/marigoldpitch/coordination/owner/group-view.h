#ifndef MARIGOLDPITCH_COORDINATION_OWNER_GROUP_VIEW_H
#define MARIGOLDPITCH_COORDINATION_OWNER_GROUP_VIEW_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/freshness.h"
#include "marigoldpitch/state/upstream-status.h"

#include <optional>
#include <vector>

/** What an owner knows about the upstreams of a group. */
namespace marigoldpitch {

/** An upstream without an answer for this long can count as silent. */
constexpr Duration kUpstreamSilence = Millis(300);

struct UpstreamView
{
  std::optional<UpstreamStatus> status;
  Time lastAnswer = kInfinitePast;
  Time lastRequested = kInfinitePast; // when the newest status was requested
  uint64_t probe = 0; // number of the outstanding probe; 0 for none
  Time probeSent = kInfinitePast;
  Time followSent = kInfinitePast; // when a `Follow` was last sent to it
  Time openAfter = kInfinitePast;  // no new connection before this time
  Time probeDeadline =
    kInfiniteFuture;     // when the outstanding probe counts as failed
  uint32_t failures = 0; // probes failed since the last answer
  Time failingSince = kInfiniteFuture; // when the first failed probe was sent
  bool leavingByConfig = false;
  bool leavingByList = false;
  bool leavingByItself = false;

  bool Leaving() const
  {
    return this->leavingByConfig || this->leavingByList ||
           this->leavingByItself;
  }
};

/** Tracks terms, primary, freshness and leaving upstreams of one group. */
class GroupView
{
public:
  explicit GroupView(const GroupConfig& aConfig);

  /**
   * Applies a status that was requested at `aRequestedAt`, unless a status that
   * was requested later is known. An upstream that reports the primary role in
   * the current or a higher term becomes the primary. Returns whether the
   * primary or its term changed.
   */
  bool ApplyStatus(UpstreamIndex aUpstream,
                   const UpstreamStatus& aStatus,
                   Time aRequestedAt,
                   Time aNow);

  /**
   * The last known primary. Unset if it reported another role or a majority of
   * the upstreams reported a higher term.
   */
  std::optional<UpstreamIndex> Primary() const { return this->primary; }
  Term CurrentTerm() const { return this->term; }
  Term HighestTermSeen() const { return this->highestTerm; }

  /** Records a term that an upstream reported outside a status. */
  void ObserveTerm(Term aTerm);

  /**
   * Makes `aUpstream` the primary of `aTerm`. Statuses requested from it before
   * `aNow` no longer count. `aParentTerm` is the term whose log `aTerm`
   * continues.
   */
  void SetPrimary(UpstreamIndex aUpstream,
                  Term aTerm,
                  Position aStart,
                  Term aParentTerm,
                  Time aNow);

  /** Whether `aCopy` lies on the current term's log or on a prefix of it. */
  bool IsOnCurrentLog(const LogProgress& aCopy) const
  {
    return this->freshness.IsOnCurrentLog(aCopy);
  }

  /**
   * Whether the upstream may serve reads as a replica: it is not leaving, no
   * probe failed since its last answer, and its log is the current term's log
   * or a prefix of it.
   */
  bool IsServingReplica(UpstreamIndex aUpstream) const;

  /** Upper bound of the data's age; unset when no sample gives one. */
  std::optional<Duration> AgeOf(UpstreamIndex aUpstream, Time aNow) const;
  std::optional<Duration> AgeOf(const LogProgress& aCopy, Time aNow) const
  {
    return this->freshness.AgeOf(aCopy, aNow);
  }

  /**
   * Whether at least two probes failed, the second over a new connection, and
   * the last answer is `kUpstreamSilence` or more ago.
   */
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
  /** Whether a majority of the upstreams reported a higher term. */
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
