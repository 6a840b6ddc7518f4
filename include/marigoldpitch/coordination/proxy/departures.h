#ifndef MARIGOLDPITCH_COORDINATION_PROXY_DEPARTURES_H
#define MARIGOLDPITCH_COORDINATION_PROXY_DEPARTURES_H

#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/proxy-config.h"
#include "marigoldpitch/state/time.h"

#include <cstddef>
#include <vector>

/** Which upstreams of a service leave, since when, and what they still get. */
namespace marigoldpitch {

enum class DepartureState
{
  Serving,
  Announced, // the upstream has registered that it is leaving
  Unlisted,  // the registry has no entry of it
};

constexpr NameTable<DepartureState, 3> kDepartureStateNames{ {
  { DepartureState::Serving, "serving" },
  { DepartureState::Announced, "announced" },
  { DepartureState::Unlisted, "unlisted" },
} };

/** What a host knows about one upstream's departure. */
struct Departure
{
  DepartureState state = DepartureState::Unlisted;
  // When a registry first showed this state; `kInfinitePast`: none has yet.
  Time learned = kInfinitePast;
  // The upstream was still serving at this time, so it left after it;
  // `kInfinitePast` if it is not known to have been serving. Not kept up to
  // date while it serves.
  Time lastServing = kInfinitePast;
  // When the last statement since `learned` was sent; `kInfinitePast`: none.
  Time lastStatement = kInfinitePast;

  bool IsServing() const { return this->state == DepartureState::Serving; }
  bool WasSeenServing() const { return this->lastServing != kInfinitePast; }
};

/**
 * The departures of one service's upstreams, and the one answer to whether an
 * upstream may still get a new statement or transaction.
 *
 * A registry is only known to be current as of the last time at which the store
 * had nothing newer, so a departure is dated to that time and not to when it
 * was learned. An announcement holds for the upstream's incarnation, whatever
 * the registry shows later.
 */
class Departures
{
public:
  /** Leaving upstreams serve for `aDrainTime` after their announcement. */
  explicit Departures(Duration aDrainTime)
    : drainTime(aDrainTime)
  {
  }

  /** Adds an upstream that no registry has listed yet. */
  void Add() { this->entries.emplace_back(); }

  /** The store had no newer registry than the last one applied at `aAsOf`. */
  void Confirm(Time aAsOf);

  /**
   * Applies the upstream's registration; null if the registry has none. Returns
   * whether this shows that the upstream leaves or has left.
   */
  bool Apply(UpstreamIndex aUpstream,
             const RegisteredUpstream* aRegistration,
             Time aNow);

  const Departure& Of(UpstreamIndex aUpstream) const
  {
    return this->entries[aUpstream].departure;
  }

  /**
   * Whether a new statement or transaction may go to the upstream:
   *
   * - A serving upstream may.
   * - An unlisted one may have lost only its entry. It may for a while, if this
   *   process has seen it serving.
   * - A primary that is leaving or unlisted may as long as it is sure to be
   *   within its drain time, because nothing else can do its work. This is
   *   never sure for a process that has not seen it serving.
   */
  bool MayTakeNewWork(UpstreamIndex aUpstream, Role aRole, Time aNow) const;

  /**
   * Whether the upstream is gone as far as the registry tells: its entry was
   * still missing when it should have been back after any outage.
   */
  bool IsGone(UpstreamIndex aUpstream) const;

  /** A statement is being sent to an upstream that is not serving. */
  void NoteStatement(UpstreamIndex aUpstream, Time aNow)
  {
    this->entries[aUpstream].departure.lastStatement = aNow;
  }

  /** The upstream's last statement has been reported. */
  void ForgetStatement(UpstreamIndex aUpstream)
  {
    this->entries[aUpstream].departure.lastStatement = kInfinitePast;
  }

private:
  struct Entry
  {
    Departure departure;
    uint64_t incarnation = 0;
  };

  Duration drainTime;
  std::vector<Entry> entries;
  Time confirmed = kInfinitePast;
};

} // namespace marigoldpitch

#endif
