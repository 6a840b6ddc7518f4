#include "marigoldpitch/coordination/owner/retry-budget.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {
constexpr double kCreditPerRequest = 0.1;
constexpr double kMaxCredit = 20;
} // namespace detail

void
RetryBudget::Deposit()
{
  this->credit =
    std::min(this->credit + detail::kCreditPerRequest, detail::kMaxCredit);
}

bool
RetryBudget::TryWithdraw()
{
  if (this->credit < 1) {
    return false;
  }
  this->credit -= 1;
  return true;
}

} // namespace marigoldpitch
