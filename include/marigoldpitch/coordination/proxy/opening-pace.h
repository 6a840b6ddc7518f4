#ifndef MARIGOLDPITCH_COORDINATION_PROXY_OPENING_PACE_H
#define MARIGOLDPITCH_COORDINATION_PROXY_OPENING_PACE_H

#include "marigoldpitch/coordination/proxy/connection-budget.h"

#include <cstdint>

namespace marigoldpitch {

/**
 * How long an upstream keeps connections of a process whose host has lost
 * power.
 */
constexpr Duration kLingerTime = Seconds(3);

/**
 * When one host may open connections to one upstream that has reached its
 * limit: one at a time, after a pause that grows with each refusal and differs
 * from host to host. How many statements wait makes no difference.
 */
class OpeningPace
{
public:
  /**
   * Whether a connection may be opened while `aOpening` others are. Not if a
   * recent report shows that the upstream has `aConnectionLimit` of them;
   * `aOpenedSince` is what this host has opened since.
   */
  bool MayOpen(uint32_t aOpening,
               uint32_t aConnectionLimit,
               const ConnectionCensus& aCensus,
               uint32_t aOpenedSince,
               Time aNow) const;

  /**
   * The same for a connection that takes the place of one that this host has
   * just closed, so that the upstream has no more than before.
   */
  bool MayReplace(uint32_t aOpening, Time aNow) const;

  /**
   * The upstream refused a connection because of its limit. Refusals of
   * attempts that were made together count once. `aSpread`, from 0 to 1,
   * differs from host to host. Returns the pause, or 0 if one has begun
   * already.
   */
  Duration NoteRefused(double aSpread, Time aNow);

  void NoteAccepted() { this->refusals /= 2; }

  uint32_t Refusals() const { return this->refusals; }

private:
  uint32_t refusals = 0; // halved with each connection that was accepted
  Time pausedUntil = kInfinitePast;
};

} // namespace marigoldpitch

#endif
