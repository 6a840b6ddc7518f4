#include "marigoldpitch/coordination/proxy/statement-queue.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace marigoldpitch;

namespace {

/** What a customer sends: so many statements each step, in a range of steps. */
struct Demand
{
  std::string customer;
  int perTenSteps = 0;
  int from = 0;
  int until = 0;
  int customerPriority = 0;
  int routePriority = 0;
};

struct Served
{
  int count = 0;
  int late = 0;
  int longestWait = 0; // in steps
};

/**
 * Upstreams that place so many statements a step, and none while they are lost.
 * A statement that has waited for `kPatience` steps is given up.
 */
class Load
{
public:
  static constexpr int kPatience = 40;

  /** `aShares`: whether the queue is told whose the statements are. */
  explicit Load(bool aShares)
    : shares(aShares)
  {
  }

  std::map<std::string, Served> Run(const std::vector<Demand>& aDemands,
                                    int aSteps,
                                    int aPlacedPerStep,
                                    int aLostFrom = 0,
                                    int aLostUntil = 0)
  {
    for (int step = 0; step < aSteps; ++step) {
      for (const Demand& demand : aDemands) {
        this->Arrive(demand, step);
      }
      this->GiveUp(step);
      bool isLost = step >= aLostFrom && step < aLostUntil;
      for (int i = 0; i < aPlacedPerStep && !isLost; ++i) {
        this->PlaceOne(step);
      }
    }
    return this->served;
  }

private:
  struct Waiting
  {
    QueuedStatement queued;
    std::string customer;
    int arrived = 0;
  };

  void Arrive(const Demand& aDemand, int aStep)
  {
    if (aStep < aDemand.from || aStep >= aDemand.until) {
      return;
    }
    int before = aDemand.perTenSteps * aStep / 10;
    int after = aDemand.perTenSteps * (aStep + 1) / 10;
    for (int i = before; i < after; ++i) {
      QueuedStatement queued{ aDemand.routePriority,
                              this->shares ? aDemand.customer : "",
                              WeightOf(aDemand.customerPriority),
                              aStep + kPatience,
                              ++this->lastCaller };
      this->queue.Insert(queued);
      this->waiting[queued.caller] = { queued, aDemand.customer, aStep };
    }
  }

  void GiveUp(int aStep)
  {
    for (auto it = this->waiting.begin(); it != this->waiting.end();) {
      if (aStep - it->second.arrived < kPatience) {
        ++it;
        continue;
      }
      ++this->served[it->second.customer].late;
      this->queue.Erase(it->second.queued);
      it = this->waiting.erase(it);
    }
  }

  void PlaceOne(int aStep)
  {
    std::vector<uint64_t> head = this->queue.Head(1);
    if (head.empty()) {
      return;
    }
    Waiting placed = this->waiting.at(head[0]);
    this->waiting.erase(head[0]);
    this->queue.TakePlaced(placed.queued);
    Served& served = this->served[placed.customer];
    ++served.count;
    served.longestWait = std::max(served.longestWait, aStep - placed.arrived);
  }

  bool shares;
  StatementQueue queue;
  std::map<uint64_t, Waiting> waiting;
  std::map<std::string, Served> served;
  uint64_t lastCaller = 0;
};

const std::vector<Demand> kLargeBesideSmall{ { "large", 75, 0, 400 },
                                             { "small", 2, 0, 400 },
                                             { "middle", 10, 0, 400 } };

} // namespace

Test(statement_queue, a_large_customer_does_not_delay_small_ones)
{
  auto served = Load(true).Run(kLargeBesideSmall, 400, 4);
  cr_assert_eq(served["small"].late, 0);
  cr_assert_eq(served["middle"].late, 0);
  cr_assert_leq(served["small"].longestWait, 1);
  cr_assert_leq(served["middle"].longestWait, 1);
  // The large one gets what the others leave.
  cr_assert_geq(served["large"].count, 400 * 4 - 80 - 400 - 2 * 4);
}

Test(statement_queue, without_shares_small_customers_wait_behind_a_large_one)
{
  auto served = Load(false).Run(kLargeBesideSmall, 400, 4);
  cr_assert_gt(served["small"].late, 0);
}

Test(statement_queue, a_priority_has_half_of_the_share_of_the_one_above)
{
  std::vector<Demand> demands{ { "first", 60, 0, 400, 0 },
                               { "second", 60, 0, 400, 1 } };
  auto served = Load(true).Run(demands, 400, 3);
  cr_assert_float_eq(served["first"].count, 800, 60);
  cr_assert_float_eq(served["second"].count, 400, 60);
}

Test(statement_queue, an_idle_customer_saves_up_no_turns)
{
  std::vector<Demand> demands{ { "steady", 30, 0, 400 },
                               { "returning", 60, 200, 400 } };
  auto served = Load(true).Run(demands, 240, 2);
  // 200 steps alone, then half of 40 steps.
  cr_assert_float_eq(served["steady"].count, 440, 20);
  cr_assert_float_eq(served["returning"].count, 40, 20);
}

Test(statement_queue, shares_hold_after_the_upstreams_were_lost)
{
  auto served = Load(true).Run(kLargeBesideSmall, 400, 4, 100, 130);
  cr_assert_eq(served["small"].late, 0);
  cr_assert_eq(served["middle"].late, 0);
}

Test(statement_queue, the_priority_of_the_route_goes_before_turns)
{
  std::vector<Demand> demands{ { "one", 50, 0, 400, 0, 1 },
                               { "other", 20, 0, 400, 3, 0 } };
  auto served = Load(true).Run(demands, 400, 3);
  cr_assert_eq(served["other"].late, 0);
  cr_assert_eq(served["other"].longestWait, 0);
}

Test(statement_queue, what_was_given_up_uses_no_turn)
{
  std::vector<Demand> demands{ { "first", 120, 0, 400 },
                               { "second", 60, 0, 400 } };
  auto served = Load(true).Run(demands, 400, 2);
  cr_assert_float_eq(served["first"].count, 400, 20);
  cr_assert_float_eq(served["second"].count, 400, 20);
}

Test(statement_queue, counts_what_is_ahead_in_placing_order)
{
  StatementQueue queue;
  for (uint64_t i = 1; i <= 5; ++i) {
    queue.Insert({ 1, "large", 1, 10, i });
  }
  queue.Insert({ 1, "small", 1, 50, 6 });
  queue.Insert({ 0, "urgent", 1, 90, 7 });
  cr_assert_eq(queue.Head(4), (std::vector<uint64_t>{ 7, 1, 6, 2 }));
  cr_assert_eq(queue.CountAhead({ 1, "large", 1, 10, 4 }), 5);
  cr_assert_eq(queue.CountAhead({ 1, "small", 1, 60, 8 }), 3);
  cr_assert_eq(queue.CountAhead({ 0, "large", 1, 60, 8 }), 0);
  cr_assert_eq(queue.Size(), 7);
}

Test(statement_queue, statements_of_nobody_are_ordered_by_their_deadlines)
{
  StatementQueue queue;
  queue.Insert({ 0, "", 1, 30, 1 });
  queue.Insert({ 0, "", 1, 10, 2 });
  queue.Insert({ 0, "", 1, 20, 3 });
  queue.TakePlaced({ 0, "", 1, 10, 2 });
  queue.Insert({ 0, "", 1, 5, 4 });
  cr_assert_eq(queue.Head(3), (std::vector<uint64_t>{ 4, 3, 1 }));
}
