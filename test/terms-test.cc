#include "marigoldpitch/coordination/owner/term-reserver.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <array>
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

/** What happens beside the reservations. */
enum class StoreFaults
{
  RequestsLost,
  Restores, // and answers lost
};

/** The store and the owners that reserve terms in it, with drawn steps. */
class Reservations
{
public:
  explicit Reservations(StoreFaults aFaults)
    : faults(aFaults)
  {
    this->store.position.era = aFaults == StoreFaults::Restores ? 1 : 0;
    this->copy = this->store;
    for (int i = 0; i < 3; ++i) {
      this->reservers.emplace_back("owner-" + std::to_string(i));
    }
  }

  void Step(size_t aReserver, int aChoice)
  {
    if (this->faults == StoreFaults::Restores && aChoice >= 10) {
      this->CopyOrRestore(aChoice);
      return;
    }
    auto& action = this->pending[aReserver];
    TermReserver& reserver = this->reservers[aReserver];
    if (!action) {
      action = reserver.Start(static_cast<Term>(aChoice));
      return;
    }
    ReserverAction current = *action;
    action.reset();
    bool losesRequests = this->faults == StoreFaults::RequestsLost;
    if (std::holds_alternative<ReadTermRecord>(current)) {
      bool isLost = losesRequests && aChoice == 0;
      action = reserver.On(isLost ? TermRecordRead{} : this->store.Read());
    } else if (const auto* swap = std::get_if<SwapTermRecord>(&current)) {
      // The request is lost, the answer is lost, or neither. The store applies
      // a swap whatever the era in which its record was read.
      bool isRequestLost = losesRequests && aChoice == 1;
      bool isDone = !isRequestLost && this->store.Swap(*swap);
      SwapOutcome outcome = aChoice <= 2 ? SwapOutcome::Lost
                            : isDone     ? SwapOutcome::Done
                                         : SwapOutcome::Conflict;
      action =
        reserver.On(TermRecordSwapped{ outcome, this->store.position.era });
    } else if (const auto* grant = std::get_if<GrantTerms>(&current)) {
      for (Term term = grant->first; term <= grant->last; ++term) {
        RC_ASSERT(this->granted.insert(term).second);
      }
    }
  }

private:
  void CopyOrRestore(int aChoice)
  {
    if (aChoice == 10) {
      this->copy = this->store;
      return;
    }
    uint64_t era = this->store.position.era + 1;
    this->store = this->copy;
    this->store.position.era = era;
  }

  StoreFaults faults;
  TermStore store;
  TermStore copy;
  std::vector<TermReserver> reservers;
  std::array<std::optional<ReserverAction>, 3> pending;
  std::set<Term> granted;
};

/** `aChoices`: how many choices a step has. */
void
RunSteps(StoreFaults aFaults, int aChoices)
{
  Reservations reservations(aFaults);
  auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, aChoices)));
  for (const auto& [reserver, choice] : steps) {
    reservations.Step(static_cast<size_t>(reserver), choice);
  }
}

} // namespace

Test(terms, are_never_granted_twice_over_a_restore)
{
  cr_assert(rc::check("reserved terms are unique if the store forgets some",
                      [] { RunSteps(StoreFaults::Restores, 12); }));
}

Test(terms, are_never_granted_twice)
{
  cr_assert(
    rc::check("reserved terms are unique if requests or answers are lost",
              [] { RunSteps(StoreFaults::RequestsLost, 10); }));
}
