#ifndef MARIGOLDPITCH_COORDINATION_OWNER_FAILOVER_H
#define MARIGOLDPITCH_COORDINATION_OWNER_FAILOVER_H

#include "marigoldpitch/coordination/owner/group-io.h"
#include "marigoldpitch/coordination/owner/group-view.h"

#include <map>
#include <optional>

/** Replacing the primary of a group. */
namespace marigoldpitch {

enum class FailoverPhase
{
  Idle,
  Adopting,  // collecting a majority for the new term
  Promoting, // the chosen upstream is being made primary
};

constexpr NameTable<FailoverPhase, 3> kFailoverPhaseNames{ {
  { FailoverPhase::Idle, "idle" },
  { FailoverPhase::Adopting, "adopting" },
  { FailoverPhase::Promoting, "promoting" },
} };

/**
 * Terms that only this owner may use. They are reserved in the store in
 * advance, so that a failover need not wait for the store.
 */
class ReservedTerms
{
public:
  void Grant(Term aFirst, Term aLast);

  /** Takes the lowest unused term above `aAbove`; unset when none is left. */
  std::optional<Term> Take(Term aAbove);

  /** Whether so few terms above `aAbove` are left that more are needed. */
  bool IsLow(Term aAbove) const;

private:
  Term next = 1;
  Term last = 0;
};

/**
 * Runs one failover attempt. It asks all upstreams but the old primary to adopt
 * a new, higher term; once a majority of the group has adopted it, it promotes
 * the upstream with the highest log end among them and tells all others to
 * follow. That log holds everything that a majority confirmed in the old term,
 * and the old primary can no longer get anything confirmed.
 */
class Failover
{
public:
  FailoverPhase Phase() const { return this->phase; }
  bool IsRunning() const { return this->phase != FailoverPhase::Idle; }

  /**
   * Starts an attempt with the reserved term `aTerm`. `aOldPrimary` is the old
   * primary, which is not asked to adopt the term and so is never promoted.
   */
  void Start(Term aTerm,
             std::optional<UpstreamIndex> aOldPrimary,
             size_t aUpstreams,
             size_t aMajority,
             Time aNow,
             GroupActions& aActions);

  /**
   * Counts an upstream that adopted the term. With the last one that a majority
   * needs, promotes the upstream whose log end is highest.
   */
  void OnTermAdopted(const TermAdopted& aEvent, GroupActions& aActions);

  /**
   * Ends the attempt when the promotion belongs to its term, and tells the
   * other upstreams to follow. Unset when the event is of another attempt.
   */
  std::optional<Promoted> OnPromoted(const Promoted& aEvent,
                                     Time aNow,
                                     GroupActions& aActions);

  /**
   * The term whose primary the promoted upstream had followed: the new term
   * continues the log of that term.
   */
  Term ParentTerm() const { return this->parentTerm; }

  /**
   * Whether the attempt must end without success: a higher term exists, or the
   * attempt has run out of time.
   */
  bool ShouldAbort(Term aHighestSeen, Time aNow) const;
  void Stop(Time aNow);

  /** Earliest time at which another attempt may start. */
  Time NextAttempt() const { return this->nextAttempt; }
  Term CurrentTerm() const { return this->term; }

private:
  FailoverPhase phase = FailoverPhase::Idle;
  Term term = 0;
  std::optional<UpstreamIndex> oldPrimary;
  size_t upstreams = 0;
  size_t majority = 0;
  Time deadline = kInfiniteFuture;
  Time nextAttempt = kInfinitePast;
  std::map<UpstreamIndex, AdoptedLog> adopted; // by upstreams in the new term
  Term parentTerm = 0;
};

} // namespace marigoldpitch

#endif
