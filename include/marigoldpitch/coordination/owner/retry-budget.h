#ifndef MARIGOLDPITCH_COORDINATION_OWNER_RETRY_BUDGET_H
#define MARIGOLDPITCH_COORDINATION_OWNER_RETRY_BUDGET_H

/** Limits the rate of retries. */
namespace marigoldpitch {

/**
 * Each new request adds a tenth of a retry to the budget, so a failing upstream
 * gets at most 1.1 times the offered load, plus a small initial allowance.
 */
class RetryBudget
{
public:
  /** Adds the credit of one new request, up to a maximum. */
  void Deposit();

  /** Takes one retry from the budget; false if less than one is left. */
  bool TryWithdraw();

private:
  double credit = 3;
};

} // namespace marigoldpitch

#endif
