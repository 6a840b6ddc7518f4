#ifndef MARIGOLDPITCH_COORDINATION_DUTY_LEASE_H
#define MARIGOLDPITCH_COORDINATION_DUTY_LEASE_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * The promoter lease: at most one host, the promoter, may order promotions at a
 * time.
 */
namespace marigoldpitch {

enum class DutyState
{
  Waiting,  // another host holds the lease, or its holder is not known
  Taking,   // the write that acquires the lease is open
  Settling, // acquired, but a former holder's last call may be in flight
  Holding,  // acquired, and no former holder can act any more
};

constexpr NameTable<DutyState, 4> kDutyStateNames{ {
  { DutyState::Waiting, "waiting" },
  { DutyState::Taking, "taking" },
  { DutyState::Settling, "settling" },
  { DutyState::Holding, "holding" },
} };

/** The state of the lease's key as read from the store. */
struct DutySeen
{
  bool isTaken = false;
  // How long to leave a free lease to the hosts that rank before this one.
  Duration patience = Millis(0);
};

/** This host's write acquired the lease, at this revision. */
struct DutyTaken
{
  uint64_t revision = 0;
  bool isFormerGone = false; // the process that held it before has ended
};

/** This host's write failed, or its answer was lost. */
struct DutyNotTaken
{};

/** A read, sent at `asked`, of the key that this host created. */
struct DutyChecked
{
  uint64_t revision = 0; // 0 when the key is gone
  Time asked;
};

using DutyEvent = std::variant<DutySeen, DutyTaken, DutyNotTaken, DutyChecked>;

enum class DutyAction
{
  None,
  Take,  // create the key if it does not exist
  Check, // read the key from the store, bypassing any cache
};

/**
 * The lease is a key in the store that expires unless its holder renews it. The
 * fencing token is the revision at which the key was created. The platform may
 * delete the key without the holder's notice, so the holder may act only for a
 * limited time after it sent a read that returned its own key. A new holder
 * waits for the same time, unless the former holder's process is known to have
 * ended.
 *
 * The clock also advances while the host is paused.
 */
class DutyLease
{
public:
  void Handle(const DutyEvent& aEvent, Time aNow);

  /** The store access to start now; call it periodically. */
  DutyAction Next(Time aNow);

  /**
   * Whether a promotion may be ordered now: this host holds the lease, the
   * wait for former holders is over, and the last read that returned the key
   * was sent recently enough.
   */
  bool MayAct(Time aNow) const;
  uint64_t Token() const { return this->token; }
  DutyState State() const { return this->state; }

private:
  void On(const DutySeen& aEvent, Time aNow);
  void On(const DutyTaken& aEvent, Time aNow);
  void On(const DutyNotTaken& aEvent, Time aNow);
  void On(const DutyChecked& aEvent, Time aNow);
  void Lose();

  DutyState state = DutyState::Waiting;
  uint64_t token = 0;
  Time actsFrom = kInfiniteFuture;
  Time provedAsked = kInfinitePast;
  Time lastCheck = kInfinitePast;
  Time nextTake = kInfinitePast;
  bool isFree = false;
};

} // namespace marigoldpitch

#endif
