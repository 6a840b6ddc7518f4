#include "marigoldpitch/coordination/proxy/limit-policy.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

// Parts of the excess, in time at the customer's rate. Permits and what hosts
// that stand in hold add up to less than all of it.
constexpr double kPermitShare = 0.3;
constexpr double kStandInShare = 0.2;
// Part of the slack that one counter may start with.
constexpr double kInitialShare = 0.1;
// Part of the burst that comes in over each window. The rest is left for what
// several counters may grant together while hosts are lost.
constexpr double kSteadyBurst = 0.6;
// Part of excess and slack that a steady customer may have at once.
constexpr double kSteadyShare = 0.1;
// A changed list of hosts reaches all of them within this time, unless calls of
// the store fail.
constexpr Duration kListSpreadTime = Millis(2500);

class BoundedLimitPolicy : public LimitPolicy
{
public:
  explicit BoundedLimitPolicy(const LimitTolerance& aTolerance)
    : tolerance(aTolerance)
    , excessMs(aTolerance.excess * static_cast<double>(aTolerance.window.ms))
  {
  }

  Duration PermitLifetime() const override
  {
    return Millis(static_cast<int64_t>(this->excessMs * kPermitShare));
  }

  double InitialTokens(const Customer&) const override
  {
    return this->tolerance.slack * kInitialShare;
  }

  double MaxTokens(const Customer& aCustomer, bool aIsFirst) const override
  {
    if (aIsFirst) {
      return std::max(aCustomer.burst, 1.0);
    }
    return this->InitialTokens(aCustomer) +
           aCustomer.operationsPerSecond * this->excessMs * kStandInShare /
             static_cast<double>(Seconds(1).ms);
  }

  Customer Steady(const Customer& aCustomer) const override
  {
    double seconds = static_cast<double>(this->tolerance.window.ms) /
                     static_cast<double>(Seconds(1).ms);
    double inWindow =
      aCustomer.operationsPerSecond * seconds + aCustomer.burst * kSteadyBurst;
    double tolerated =
      inWindow * this->tolerance.excess + this->tolerance.slack;
    Customer steady = aCustomer;
    steady.operationsPerSecond = inWindow / seconds;
    steady.burst = std::min(aCustomer.burst, tolerated * kSteadyShare);
    return steady;
  }

  bool ChargesHostsBefore() const override { return true; }
  bool NeedsMajority() const override { return true; }
  Duration TakeoverDelay() const override { return kListSpreadTime; }

private:
  LimitTolerance tolerance;
  double excessMs;
};

} // namespace detail

std::unique_ptr<LimitPolicy>
MakeLimitPolicy(const LimitTolerance& aTolerance)
{
  return std::make_unique<detail::BoundedLimitPolicy>(aTolerance);
}

} // namespace marigoldpitch
