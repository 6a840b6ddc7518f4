#ifndef MARIGOLDPITCH_STATE_OUTCOME_H
#define MARIGOLDPITCH_STATE_OUTCOME_H

#include "marigoldpitch/state/names.h"

#include <array>

/** Outcomes of requests, with HTTP status, error code and retry advice. */
namespace marigoldpitch {

enum class Outcome
{
  Ok,
  NotRun,   // proved: it did not run and never will under this id
  Unknown,  // it may have run: retry with the same id
  Stale,    // no upstream was fresh enough before the deadline
  Conflict, // rolled back: concurrent work or a lost owner
  Invalid,  // the request itself is wrong
};

constexpr NameTable<Outcome, 6> kOutcomeNames{ {
  { Outcome::Ok, "ok" },
  { Outcome::NotRun, "not-run" },
  { Outcome::Unknown, "unknown" },
  { Outcome::Stale, "stale" },
  { Outcome::Conflict, "conflict" },
  { Outcome::Invalid, "invalid" },
} };

enum class RetryAdvice
{
  None,
  SameId,
  NewId,
};

constexpr NameTable<RetryAdvice, 3> kRetryAdviceNames{ {
  { RetryAdvice::None, "none" },
  { RetryAdvice::SameId, "same-id" },
  { RetryAdvice::NewId, "new-id" },
} };

struct OutcomeRow
{
  Outcome outcome;
  int httpStatus;
  std::string_view connectCode;
  RetryAdvice advice;
};

constexpr std::array<OutcomeRow, 6> kOutcomeRows{ {
  { Outcome::Ok, 200, "ok", RetryAdvice::None },
  { Outcome::NotRun, 503, "unavailable", RetryAdvice::NewId },
  { Outcome::Unknown, 504, "deadline_exceeded", RetryAdvice::SameId },
  { Outcome::Stale, 503, "unavailable", RetryAdvice::NewId },
  { Outcome::Conflict, 409, "aborted", RetryAdvice::NewId },
  { Outcome::Invalid, 400, "invalid_argument", RetryAdvice::None },
} };

/** The HTTP status, error code and retry advice that go with an outcome. */
constexpr const OutcomeRow&
RowOf(Outcome aOutcome)
{
  return kOutcomeRows[static_cast<size_t>(aOutcome)];
}

} // namespace marigoldpitch

#endif
