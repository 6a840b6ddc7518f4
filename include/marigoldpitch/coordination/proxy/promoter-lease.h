#ifndef MARIGOLDPITCH_COORDINATION_PROXY_PROMOTER_LEASE_H
#define MARIGOLDPITCH_COORDINATION_PROXY_PROMOTER_LEASE_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/store-position.h"
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

enum class PromoterLeaseState
{
  Waiting,  // another host holds the lease, or its holder is not known
  Taking,   // the write that acquires the lease is open
  Settling, // acquired, but a former holder's last call may be in flight
  Holding,  // acquired, and no former holder can act any more
};

constexpr NameTable<PromoterLeaseState, 4> kPromoterLeaseStateNames{ {
  { PromoterLeaseState::Waiting, "waiting" },
  { PromoterLeaseState::Taking, "taking" },
  { PromoterLeaseState::Settling, "settling" },
  { PromoterLeaseState::Holding, "holding" },
} };

/** The state of the lease's key as read from the store. */
struct LeaseObserved
{
  bool isTaken = false;
  StorePosition lastHolderPosition; // of the record of who held it last
  // How long to leave a free lease to the hosts that rank before this one.
  Duration takeDelay = Millis(0);
  // Whether no process that held the lease in an earlier era of the store can
  // act any more.
  bool haveEarlierErasEnded = false;
};

/** This host's write acquired the lease, at this position. */
struct LeaseTaken
{
  StorePosition position;
  // Whether no process that held the lease before can act any more.
  bool haveFormerHoldersEnded = false;
};

/** This host has learned of a new era of the store. */
struct StoreEraBegan
{};

/**
 * A registered run of the former holder's host shows that the process which
 * held the lease before has ended.
 */
struct FormerHolderEnded
{};

/** This host's write failed, or its answer was lost. */
struct LeaseNotTaken
{};

/** A read, sent at `asked`, of the key that this host created. */
struct LeaseChecked
{
  StorePosition position; // unset when the key is gone
  Time asked;
};

using PromoterLeaseEvent = std::variant<LeaseObserved,
                                        LeaseTaken,
                                        FormerHolderEnded,
                                        LeaseNotTaken,
                                        LeaseChecked,
                                        StoreEraBegan>;

enum class PromoterLeaseAction
{
  None,
  Take,  // create the key if it does not exist
  Check, // read the key from the store, bypassing any cache
};

/**
 * The lease is a key in the store that expires unless its holder renews it. The
 * fencing token follows from the position at which the key was created. The
 * platform may delete the key without the holder's notice, so the holder may
 * act only for a limited time after it sent a read that returned its own key. A
 * new holder waits for the same time, counted from when it first knew that the
 * key was gone, unless the former holder's process is known to have ended.
 *
 * When the store comes back from an old copy, the lease is free, whatever the
 * copy shows: its holder stops at once, and nobody takes it until no holder of
 * the earlier era can act any more, wherever that one is. So a host that is
 * lost while it waits holds up nobody.
 *
 * The clock also advances while the host is paused.
 */
class PromoterLease
{
public:
  void Handle(const PromoterLeaseEvent& aEvent, Time aNow);

  /** The store access to start now; call it periodically. */
  PromoterLeaseAction Next(Time aNow);

  /**
   * Whether a promotion may be ordered now: this host holds the lease, the
   * wait for former holders is over, and the last read that returned the key
   * was sent recently enough.
   */
  bool MayPromote(Time aNow) const;

  /** Until when a promotion may be ordered unless a later check succeeds. */
  Time MayPromoteUntil() const;
  const StorePosition& Token() const { return this->token; }
  bool IsTaken() const { return !this->token.IsUnset(); }
  PromoterLeaseState State() const { return this->state; }

private:
  void On(const LeaseObserved& aEvent, Time aNow);
  void On(const LeaseTaken& aEvent, Time aNow);
  void On(const FormerHolderEnded& aEvent, Time aNow);
  void On(const LeaseNotTaken& aEvent, Time aNow);
  void On(const LeaseChecked& aEvent, Time aNow);
  void On(const StoreEraBegan& aEvent, Time aNow);
  void Lose();

  PromoterLeaseState state = PromoterLeaseState::Waiting;
  StorePosition token; // unset: this host does not hold the lease
  Time mayPromoteFrom = kInfiniteFuture;
  // From then on no holder of an earlier era of the store can act.
  Time earlierErasEnd = kInfinitePast;
  Time provedAsked = kInfinitePast;
  Time lastCheck = kInfinitePast;
  Time nextTake = kInfinitePast;
  bool isFree = false;
  StorePosition lastHolderPosition;
  // Since when the key has been gone with no other holder in between.
  Time freeSince = kInfiniteFuture;
  Time takenAfter = kInfiniteFuture; // `freeSince` when the write was sent
};

} // namespace marigoldpitch

#endif
