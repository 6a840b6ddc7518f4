#ifndef MARIGOLDPITCH_COORDINATION_FAILOVER_H
#define MARIGOLDPITCH_COORDINATION_FAILOVER_H

#include "marigoldpitch/coordination/group-io.h"
#include "marigoldpitch/coordination/group-view.h"

#include <map>
#include <optional>

/** Replacing a primary. */
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

/** Terms that this owner alone may use; reserved ahead through the store. */
class TermReserve
{
public:
  void Grant(Term aFirst, Term aLast);

  /** The lowest reserved term above `aAbove`. */
  std::optional<Term> Take(Term aAbove);

  /** Whether more terms should be reserved, so that a failover finds one. */
  bool IsLow(Term aAbove) const;

private:
  Term next = 1;
  Term last = 0;
};

/**
 * Adopts a higher term at a majority of the group, promotes the upstream whose
 * log end is highest among them, and lets the others follow it. All that a
 * majority confirmed in the old term is in that log, and the old primary can
 * have nothing confirmed any more.
 */
class Failover
{
public:
  FailoverPhase Phase() const { return this->phase; }
  bool IsRunning() const { return this->phase != FailoverPhase::Idle; }

  /** Starts with a reserved term; `aReplaced` is never chosen. */
  void Start(Term aTerm,
             std::optional<UpstreamIndex> aReplaced,
             size_t aUpstreams,
             size_t aMajority,
             Time aNow,
             GroupActions& aActions);

  void Adopted(const TermAdopted& aEvent, GroupActions& aActions);

  /** The promoted upstream; the others are told to follow it. */
  std::optional<Promoted> Finished(const Promoted& aEvent,
                                   Time aNow,
                                   GroupActions& aActions);

  /** The term that the promoted upstream's log was copied in. */
  Term Lineage() const { return this->lineage; }

  /** Gives up when a higher term shows or the time is over. */
  bool GivesUp(Term aHighestSeen, Time aNow) const;
  void Stop(Time aNow);

  /** Not before this time may another attempt start. */
  Time NextAttempt() const { return this->nextAttempt; }
  Term CurrentTerm() const { return this->term; }

private:
  FailoverPhase phase = FailoverPhase::Idle;
  Term term = 0;
  std::optional<UpstreamIndex> replaced;
  size_t upstreams = 0;
  size_t majority = 0;
  Time limit = kNever;
  Time nextAttempt = kLongAgo;
  std::map<UpstreamIndex, AdoptedLog> adopted;
  Term lineage = 0;
};

} // namespace marigoldpitch

#endif
