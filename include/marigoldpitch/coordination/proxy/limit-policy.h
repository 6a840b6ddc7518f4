#ifndef MARIGOLDPITCH_COORDINATION_PROXY_LIMIT_POLICY_H
#define MARIGOLDPITCH_COORDINATION_PROXY_LIMIT_POLICY_H

#include "marigoldpitch/state/customer.h"

#include <memory>

/** The bounds that keep counters of one customer together inside its limit. */
namespace marigoldpitch {

class LimitPolicy
{
public:
  virtual ~LimitPolicy() = default;

  /** How long a permit is valid after it was asked for. */
  virtual Duration PermitLifetime() const = 0;

  /** What a bucket holds when its host starts to count. */
  virtual double InitialTokens(const Customer& aCustomer) const = 0;

  /** The most that a bucket holds. */
  virtual double MaxTokens(const Customer& aCustomer, bool aIsFirst) const = 0;

  /**
   * The limit as a customer uses it that sends steadily: the burst comes in
   * over each window, and little of it at once. It allows no more in a window
   * than the limit itself, but the same in the next one.
   */
  virtual Customer Steady(const Customer& aCustomer) const = 0;

  /** Whether a host that stands in reports to the ones before it. */
  virtual bool ChargesHostsBefore() const = 0;

  /** Whether a bucket is refilled only while its host reaches a majority. */
  virtual bool NeedsMajority() const = 0;

  /** How long a host that has become the first waits before it counts. */
  virtual Duration TakeoverDelay() const = 0;
};

std::unique_ptr<LimitPolicy>
MakeLimitPolicy(const LimitTolerance& aTolerance);

} // namespace marigoldpitch

#endif
