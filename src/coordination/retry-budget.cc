#include "marigoldpitch/coordination/retry-budget.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {
constexpr double kEarnedPerRequest = 0.1;
constexpr double kMostCredit = 20;
} // namespace detail

void
RetryBudget::Earn()
{
  this->credit =
    std::min(this->credit + detail::kEarnedPerRequest, detail::kMostCredit);
}

bool
RetryBudget::Spend()
{
  if (this->credit < 1) {
    return false;
  }
  this->credit -= 1;
  return true;
}

} // namespace marigoldpitch
