#ifndef MARIGOLDPITCH_COORDINATION_RETRY_BUDGET_H
#define MARIGOLDPITCH_COORDINATION_RETRY_BUDGET_H

/** A bound on repeated work. */
namespace marigoldpitch {

/**
 * Each first try earns a tenth of a retry, so a failing upstream never sees
 * more than 1.1 times the offered work, plus a small allowance at the start.
 */
class RetryBudget
{
public:
  void Earn();
  bool Spend();

private:
  double credit = 3;
};

} // namespace marigoldpitch

#endif
