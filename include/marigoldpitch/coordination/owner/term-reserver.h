#ifndef MARIGOLDPITCH_COORDINATION_OWNER_TERM_RESERVER_H
#define MARIGOLDPITCH_COORDINATION_OWNER_TERM_RESERVER_H

#include "marigoldpitch/state/position.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** Reserves unique terms with the store's compare-and-swap. */
namespace marigoldpitch {

/** The store's value for a group. */
struct TermRecord
{
  Term last = 0; // highest reserved term
  /** The owner's name and a number; unique for each reservation. */
  std::string reservationId;
};

struct TermRecordRead
{
  bool reached = false;  // whether the store answered
  uint64_t revision = 0; // 0: no value yet
  TermRecord record;
};

enum class SwapOutcome
{
  Done,
  Conflict,
  Lost, // no answer: the swap may have taken effect
};

struct ReadTermRecord
{};

struct SwapTermRecord
{
  uint64_t revision = 0;
  TermRecord record;
};

struct GrantTerms
{
  Term first = 0;
  Term last = 0;
};

struct AbortReservation
{};

using ReserverAction =
  std::variant<ReadTermRecord, SwapTermRecord, GrantTerms, AbortReservation>;

/**
 * Reserves a range of terms above both the requested term and the last reserved
 * one: reads the record, then swaps in a record with a higher last term. After
 * a conflict or a lost answer it reads the record again. If `reservationId` in
 * the record is that of its own swap, the swap took effect and the terms are
 * granted. It gives up when the store does not answer a read, or after a fixed
 * number of rounds.
 */
class TermReserver
{
public:
  explicit TermReserver(std::string aOwner)
    : owner(std::move(aOwner))
  {
  }

  /** Starts a reservation of terms above `aAbove`. */
  ReserverAction Start(Term aAbove);
  ReserverAction On(const TermRecordRead& aRead);
  ReserverAction On(SwapOutcome aOutcome);
  bool IsRunning() const { return this->running; }

private:
  GrantTerms Granted();

  std::string owner;
  uint64_t attempts = 0;
  bool running = false;
  Term above = 0;
  std::optional<TermRecord> pendingSwap; // what the last swap writes
  Term first = 0;
  uint32_t rounds = 0;
};

} // namespace marigoldpitch

#endif
