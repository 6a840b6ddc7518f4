#ifndef MARIGOLDPITCH_COORDINATION_OWNER_TERM_RESERVER_H
#define MARIGOLDPITCH_COORDINATION_OWNER_TERM_RESERVER_H

#include "marigoldpitch/state/position.h"
#include "marigoldpitch/state/store-position.h"

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
  bool reached = false;   // whether the store answered
  StorePosition position; // unset: no value yet
  TermRecord record;
};

enum class SwapOutcome
{
  Done,
  Conflict,
  Lost, // no answer: the swap may have taken effect
};

/** The end of a swap. */
struct TermRecordSwapped
{
  SwapOutcome outcome = SwapOutcome::Lost;
  uint64_t era = 0; // of the store, by its answer
};

struct ReadTermRecord
{};

struct SwapTermRecord
{
  StorePosition position;
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
 *
 * Terms of a later era of the store are above all terms of earlier ones, and a
 * swap counts only in the era in which its record was read. So no term is
 * granted twice when the store comes back from an old copy and has forgotten
 * reservations.
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
  ReserverAction On(const TermRecordSwapped& aSwapped);
  bool IsRunning() const { return this->running; }

private:
  GrantTerms Granted();

  std::string owner;
  uint64_t attempts = 0;
  bool running = false;
  Term above = 0;
  std::optional<TermRecord> pendingSwap; // what the last swap writes
  uint64_t pendingEra = 0;               // in which its record was read
  Term first = 0;
  uint32_t rounds = 0;
};

} // namespace marigoldpitch

#endif
