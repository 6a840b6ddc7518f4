#include "marigoldpitch/coordination/common/caller-progress.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace marigoldpitch;

namespace {

constexpr size_t kBudget = 8 * kMebibyte;
constexpr Time kNow{ 1000000 };

void
Receive(MemoryAccount& aAccount, MemoryHolder aHolder, size_t aBytes)
{
  aAccount.Set(aHolder, MemoryUse::Received, aBytes);
}

} // namespace

Test(memory_account, stages_follow_from_the_sum)
{
  MemoryAccount account(kBudget);
  for (size_t i = 0; i < kMemoryStageNames.Size(); ++i) {
    account.Set(SharedMemory::Upstreams, kStageEighths[i] * kBudget / 8);
    cr_assert(account.Stage() == static_cast<MemoryStage>(i));
  }
  cr_assert(!account.MayOpenSession());
  account.Set(SharedMemory::Upstreams, 0);
  cr_assert(account.Stage() == MemoryStage::Calm);
  cr_assert(account.MayOpenSession());
}

Test(memory_account, without_a_budget_nobody_yields)
{
  MemoryAccount account(0);
  Receive(account, 1, 1000 * kBudget);
  cr_assert(account.Stage() == MemoryStage::Calm);
  cr_assert(account.MayRead(1) && account.MayTakeStatement(1));
  cr_assert(!account.ChooseToClose());
}

Test(memory_account, only_callers_that_hold_much_yield)
{
  MemoryAccount account(kBudget);
  Receive(account, 1, kMuchHeldBytes - 1);
  Receive(account, 2, kMuchHeldBytes);
  account.Set(3, MemoryUse::Session, kMuchHeldBytes);
  account.Set(SharedMemory::Upstreams, kBudget);
  cr_assert(account.MayRead(1) && account.MayTakeStatement(1));
  cr_assert(!account.MayRead(2) && !account.MayTakeStatement(2));
  // What a session keeps would keep it paused for good.
  cr_assert(account.MayRead(3) && !account.MayTakeStatement(3));
  cr_assert(account.ChooseToClose() == MemoryHolder{ 3 });
  account.Remove(3);
  cr_assert(account.ChooseToClose() == MemoryHolder{ 2 });
  account.Remove(2);
  cr_assert(!account.ChooseToClose());
}

Test(memory_account, a_crowd_never_fills_the_budget)
{
  cr_assert(rc::check("a crowd in random order", [] {
    MemoryAccount account(kBudget);
    std::unordered_map<MemoryHolder, size_t> held;
    auto ordinary = MemoryHolder{ 0 };
    Receive(account, ordinary, kMuchHeldBytes - 1);
    held[ordinary] = kMuchHeldBytes - 1;
    size_t steps = *rc::gen::inRange<size_t>(1, 200);
    for (size_t i = 0; i < steps; ++i) {
      auto holder = *rc::gen::inRange<MemoryHolder>(1, 60);
      auto bytes = *rc::gen::inRange<size_t>(0, kMebibyte);
      Receive(account, holder, bytes);
      held[holder] = bytes;
      while (auto largest = account.ChooseToClose()) {
        for (const auto& [other, size] : held) {
          RC_ASSERT(size <= held[*largest]);
        }
        RC_ASSERT(*largest != ordinary);
        held.erase(*largest);
        account.Remove(*largest);
      }
      size_t sum = 0;
      for (const auto& [other, size] : held) {
        sum += size;
      }
      RC_ASSERT(account.Total() == sum);
      RC_ASSERT(account.Stage() < MemoryStage::CloseLargest);
    }
  }));
}

Test(memory_account, progress_has_limits_on_the_fake_clock)
{
  CallerProgress silent{ kNow };
  cr_assert(
    !FindFault(silent, MemoryStage::Calm, kNow + kStartTimeout - Millis(1)));
  cr_assert(FindFault(silent, MemoryStage::Calm, kNow + kStartTimeout) ==
            CallerFault::Silent);
  CallerProgress idle{ kNow, true };
  cr_assert(
    !FindFault(idle, MemoryStage::RefuseSessions, kNow + Seconds(86400)));
  CallerProgress half{ kNow, true, kNow };
  cr_assert(!FindFault(half, MemoryStage::Calm, kNow + kShortMessageTimeout));
  cr_assert(FindFault(half,
                      MemoryStage::PauseReads,
                      kNow + kShortMessageTimeout) == CallerFault::HalfSent);
  cr_assert(FindFault(half, MemoryStage::Calm, kNow + kMessageTimeout) ==
            CallerFault::HalfSent);
  CallerProgress unread{ kNow, true, kInfiniteFuture, kNow };
  cr_assert(FindFault(unread, MemoryStage::Calm, kNow + kUnreadTimeout) ==
            CallerFault::Unread);
}

Test(memory_account, callers_leave_descriptors_to_the_process)
{
  cr_assert(MaxCallers(0) == SIZE_MAX);
  cr_assert(MaxCallers(256) == 128);
  cr_assert(MaxCallers(4300) == 4300 - kOwnDescriptors);
}
