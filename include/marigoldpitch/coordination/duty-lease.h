#ifndef MARIGOLDPITCH_COORDINATION_DUTY_LEASE_H
#define MARIGOLDPITCH_COORDINATION_DUTY_LEASE_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** Who may order promotions. */
namespace marigoldpitch {

enum class DutyState
{
  Waiting, // another host holds it, or nobody is known to
  Taking,
  Settling, // ours, while a former holder's last call may be on its way
  Holding,
};

constexpr NameTable<DutyState, 4> kDutyStateNames{ {
  { DutyState::Waiting, "waiting" },
  { DutyState::Taking, "taking" },
  { DutyState::Settling, "settling" },
  { DutyState::Holding, "holding" },
} };

/** The duty's key as read from the store. */
struct DutySeen
{
  bool isTaken = false;
  Duration patience = Millis(0); // how long others go first, once it is free
};

/** Our write took the duty, at this revision. */
struct DutyTaken
{
  uint64_t revision = 0;
  bool isFormerGone = false; // the process that held it before has ended
};

/** Our write failed, or its answer was lost. */
struct DutyNotTaken
{};

/** A read, sent at `asked`, of the key that we hold. */
struct DutyChecked
{
  uint64_t revision = 0; // 0 when the key is gone
  Time asked;
};

using DutyEvent = std::variant<DutySeen, DutyTaken, DutyNotTaken, DutyChecked>;

enum class DutyAction
{
  None,
  Take,  // write the key, if nobody holds it
  Check, // read the key, whatever a cache says
};

/**
 * The duty is a key under a lease; its token is the revision at which it was
 * taken. The platform may take the key away unseen, so the holder acts only for
 * a while after it has read its own key, and a new holder waits that long.
 *
 * Times count pauses of the host.
 */
class DutyLease
{
public:
  void Handle(const DutyEvent& aEvent, Time aNow);

  /** What to ask of the store now. */
  DutyAction Next(Time aNow);

  /** Whether a promotion may be ordered at this moment. */
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
  Time actsFrom = kNever;
  Time provedAsked = kLongAgo;
  Time lastCheck = kLongAgo;
  Time nextTake = kLongAgo;
  bool isFree = false;
};

} // namespace marigoldpitch

#endif
