#include "marigoldpitch/coordination/proxy/connection-choice.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

// Whose idle connection makes room for a waiting customer's statement.

using namespace marigoldpitch;

namespace {

constexpr Time kNow{ 100000 };

CustomerConnection
Idle(ConnectionId aId, const std::string& aCustomer, Duration aUnused)
{
  return { aId, aCustomer, true, kNow - aUnused };
}

CustomerConnection
Busy(ConnectionId aId, const std::string& aCustomer)
{
  return { aId, aCustomer, false, kNow };
}

std::optional<ConnectionId>
Choose(const std::vector<CustomerConnection>& aOpen,
       const std::string& aCustomer,
       Duration aWaited = Seconds(1))
{
  return ChooseReplaced(aOpen, aCustomer, aWaited, kNow);
}

std::vector<CustomerConnection>
DrawConnections()
{
  std::vector<CustomerConnection> open;
  size_t count = *rc::gen::inRange<size_t>(1, 12);
  for (size_t i = 0; i < count; ++i) {
    int customer = *rc::gen::inRange(0, 5);
    std::string name = customer == 0 ? "" : "c" + std::to_string(customer);
    Duration unused{ *rc::gen::inRange<int64_t>(0, 500) };
    bool isIdle = *rc::gen::inRange(0, 2) == 0;
    open.push_back(isIdle ? Idle(i + 1, name, unused) : Busy(i + 1, name));
  }
  return open;
}

} // namespace

Test(connection_choice, longest_unused_makes_room)
{
  auto chosen = Choose({ Idle(1, "a", Millis(10)),
                         Idle(2, "b", Millis(30)),
                         Idle(3, "c", Millis(20)) },
                       "d");
  cr_assert(chosen == ConnectionId{ 2 });
}

Test(connection_choice, only_idle_connections_of_others_make_room)
{
  cr_assert(!Choose({ Busy(1, "a"), Busy(2, "b") }, "d"));
  cr_assert(!Choose({ Idle(1, "d", Seconds(9)), Busy(2, "b") }, "d"));
}

Test(connection_choice, nobodys_connection_goes_first)
{
  auto chosen =
    Choose({ Idle(1, "a", Seconds(9)), Idle(2, "", Millis(0)) }, "d");
  cr_assert(chosen == ConnectionId{ 2 });
}

Test(connection_choice, customer_with_more_than_its_part_gives_up_first)
{
  auto chosen = Choose({ Idle(1, "a", Millis(1)),
                         Idle(2, "a", Millis(2)),
                         Busy(3, "a"),
                         Idle(4, "b", Seconds(9)) },
                       "d");
  cr_assert(chosen == ConnectionId{ 2 });
}

// A customer with a burst does not take what others use again and again.
Test(connection_choice, large_customer_leaves_others_connections_in_use)
{
  std::vector<CustomerConnection> open{ Busy(1, "large"),
                                        Busy(2, "large"),
                                        Idle(3, "a", Millis(60)) };
  cr_assert(!Choose(open, "large"));
  open[2] = Idle(3, "a", kRecentUse);
  cr_assert(Choose(open, "large") == ConnectionId{ 3 });
}

Test(connection_choice, customer_waits_for_its_own_connection_first)
{
  std::vector<CustomerConnection> open{ Busy(1, "a"),
                                        Idle(2, "b", Seconds(9)) };
  cr_assert(!Choose(open, "a", kOwnConnectionWait - Millis(1)));
  cr_assert(Choose(open, "a", kOwnConnectionWait) == ConnectionId{ 2 });
  cr_assert(Choose(open, "c", Millis(0)) == ConnectionId{ 2 });
}

// No connection is kept idle from a customer that waits.
Test(connection_choice, any_customer_gets_what_nobody_uses)
{
  cr_assert(rc::check([] {
    auto open = DrawConnections();
    std::string customer = "c" + std::to_string(*rc::gen::inRange(1, 7));
    auto chosen = Choose(open, customer);
    bool isAnyUnused = false;
    size_t own = 0;
    for (const CustomerConnection& one : open) {
      own += one.customer == customer ? 1 : 0;
      bool isOther = one.isIdle && one.customer != customer;
      isAnyUnused =
        isAnyUnused || (isOther && kNow - one.lastUse >= kRecentUse);
      RC_ASSERT(!(chosen == one.id) || isOther);
    }
    RC_ASSERT(!isAnyUnused || chosen);
    bool isAnyIdle =
      std::any_of(open.begin(), open.end(), [&](const auto& aOne) {
        return aOne.isIdle && aOne.customer != customer;
      });
    RC_ASSERT(own != 0 || !isAnyIdle || chosen);
  }));
}
