#ifndef MARIGOLDPITCH_COORDINATION_TERM_RESERVER_H
#define MARIGOLDPITCH_COORDINATION_TERM_RESERVER_H

#include "marigoldpitch/state/position.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** Reserving unique terms through the store's compare-and-swap. */
namespace marigoldpitch {

/** The store's value for a group: the highest reserved term and by whom. */
struct TermRecord
{
  Term last = 0;
  std::string by; // the owner and a number that it never uses again
};

struct TermRecordRead
{
  bool reached = false;
  uint64_t revision = 0; // 0: no value yet
  TermRecord record;
};

enum class SwapOutcome
{
  Done,
  Conflict,
  Lost, // no answer: it may have taken effect
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

struct GiveUpReserving
{};

using ReserverAction =
  std::variant<ReadTermRecord, SwapTermRecord, GrantTerms, GiveUpReserving>;

/**
 * Reads the record, swaps in a higher one, and after a lost answer reads back
 * before it acts: the record's `by` tells whether the swap took effect.
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
  std::optional<TermRecord> swapped; // what the open swap writes
  Term first = 0;
  uint32_t rounds = 0;
};

} // namespace marigoldpitch

#endif
