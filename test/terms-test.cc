#include "marigoldpitch/coordination/owner/term-reserver.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <set>
#include <utility>
#include <vector>

// Reservation of terms in a store that loses requests, or loses answers after
// the request has taken effect.

using namespace marigoldpitch;

namespace {

/** The store's side of a reservation; the test loses requests and answers. */
struct TermStore
{
  StorePosition position;
  TermRecord record;

  TermRecordRead Read() const { return { true, this->position, this->record }; }

  bool Swap(const SwapTermRecord& aSwap)
  {
    if (aSwap.position.revision != this->position.revision) {
      return false;
    }
    ++this->position.revision;
    this->record = aSwap.record;
    return true;
  }
};

} // namespace

Test(terms, are_never_granted_twice_over_a_restore)
{
  cr_assert(
    rc::check("reserved terms are unique if the store forgets some", [] {
      TermStore store;
      store.position.era = 1;
      TermStore copy = store;
      std::vector<TermReserver> reservers;
      for (int i = 0; i < 3; ++i) {
        reservers.emplace_back("owner-" + std::to_string(i));
      }
      std::vector<std::optional<ReserverAction>> pending(3);
      std::set<Term> granted;
      auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 12)));
      for (const auto& [reserverIndex, choice] : steps) {
        auto index = static_cast<size_t>(reserverIndex);
        auto& action = pending[index];
        TermReserver& reserver = reservers[index];
        if (choice == 10) {
          copy = store;
          continue;
        }
        if (choice == 11) {
          uint64_t era = store.position.era + 1;
          store = copy;
          store.position.era = era;
          continue;
        }
        if (!action) {
          action = reserver.Start(static_cast<Term>(choice));
          continue;
        }
        ReserverAction current = *action;
        action.reset();
        if (std::holds_alternative<ReadTermRecord>(current)) {
          action = reserver.On(store.Read());
        } else if (const auto* swap = std::get_if<SwapTermRecord>(&current)) {
          // A swap is applied whatever the era in which its record was read.
          bool isDone = store.Swap(*swap);
          SwapOutcome outcome = choice <= 2 ? SwapOutcome::Lost
                                : isDone    ? SwapOutcome::Done
                                            : SwapOutcome::Conflict;
          action =
            reserver.On(TermRecordSwapped{ outcome, store.position.era });
        } else if (const auto* grant = std::get_if<GrantTerms>(&current)) {
          for (Term term = grant->first; term <= grant->last; ++term) {
            RC_ASSERT(granted.insert(term).second);
          }
        }
      }
    }));
}

Test(terms, are_never_granted_twice)
{
  cr_assert(
    rc::check("reserved terms are unique if requests or answers are lost", [] {
      TermStore store;
      std::vector<TermReserver> reservers;
      for (int i = 0; i < 3; ++i) {
        reservers.emplace_back("owner-" + std::to_string(i));
      }
      std::vector<std::optional<ReserverAction>> pending(3);
      std::set<Term> granted;
      auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 10)));
      for (const auto& [reserverIndex, choice] : steps) {
        auto index = static_cast<size_t>(reserverIndex);
        auto& action = pending[index];
        TermReserver& reserver = reservers[index];
        if (!action) {
          action = reserver.Start(static_cast<Term>(choice));
          continue;
        }
        ReserverAction current = *action;
        action.reset();
        if (std::holds_alternative<ReadTermRecord>(current)) {
          action = reserver.On(choice == 0 ? TermRecordRead{} : store.Read());
        } else if (const auto* swap = std::get_if<SwapTermRecord>(&current)) {
          // The request is lost, the answer is lost, or neither.
          bool isDone = choice != 1 && store.Swap(*swap);
          SwapOutcome outcome = choice <= 2 ? SwapOutcome::Lost
                                : isDone    ? SwapOutcome::Done
                                            : SwapOutcome::Conflict;
          action =
            reserver.On(TermRecordSwapped{ outcome, store.position.era });
        } else if (const auto* grant = std::get_if<GrantTerms>(&current)) {
          for (Term term = grant->first; term <= grant->last; ++term) {
            RC_ASSERT(granted.insert(term).second);
          }
        }
      }
    }));
}
