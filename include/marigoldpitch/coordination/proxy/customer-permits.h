#ifndef MARIGOLDPITCH_COORDINATION_PROXY_CUSTOMER_PERMITS_H
#define MARIGOLDPITCH_COORDINATION_PROXY_CUSTOMER_PERMITS_H

#include "marigoldpitch/coordination/proxy/limit-io.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

/** Permits for the operations of this host's own callers. */
namespace marigoldpitch {

using CallerId = uint64_t;

/** How long an operation waits for its permit. */
constexpr Duration kMaxPermitWait = Millis(150);

enum class PermitResult
{
  Granted,
  OverLimit,
  NoCounter, // no host that counts the customer's operations was reached
};

struct PermitOutcome
{
  std::string customer;
  CallerId caller = 0;
  PermitResult result = PermitResult::Granted;
  Duration retryAfter = {};
  Duration waited = {};
};

/** A wish for the host that ranks so among those that may count. */
struct RankedWish
{
  size_t rank = 0;
  PermitWish wish;
};

/**
 * Keeps operations in the order in which they arrived until they have a permit.
 * There is at most one open wish a customer, for all that wait.
 */
class CustomerPermits
{
public:
  explicit CustomerPermits(Duration aPermitLifetime)
    : lifetime(aPermitLifetime)
  {
  }

  /** Takes a permit if there is one; otherwise the caller waits for it. */
  bool Take(Time aNow,
            const std::string& aCustomer,
            CallerId aCaller,
            Duration aPatience);

  /** The caller does not wait any more. */
  void Cancel(const std::string& aCustomer, CallerId aCaller);

  /** The customer has no limit any more: all that wait are permitted. */
  void Release(Time aNow, const std::string& aCustomer);

  /** What to ask for now, and of which host. */
  std::vector<RankedWish> NextWishes(Time aNow, size_t aHosts);

  /** The host of that rank has replied to the wish, which was sent then. */
  void OnGrant(Time aNow, size_t aRank, Time aSent, const PermitGrant& aGrant);

  /** The host of that rank has not replied to the wish. */
  void OnNoReply(Time aNow, size_t aRank, const std::string& aCustomer);

  /** Gives up operations that have waited for too long. */
  void Expire(Time aNow);

  std::vector<PermitOutcome> TakeOutcomes()
  {
    return std::exchange(this->outcomes, {});
  }

private:
  struct Waiting
  {
    CallerId caller = 0;
    Time since;
    Time until;
  };

  struct Permits
  {
    Time expires;
    uint32_t count = 0;
  };

  struct Line
  {
    std::deque<Waiting> waiting;
    std::deque<Permits> permits;
    bool isAsking = false;
    size_t rank = 0; // of the host to ask next
    Time firstAvoidedUntil = kInfinitePast;
    Time askAt = kInfinitePast;
    // Whether the last reply granted less than was needed.
    bool isShort = false;
    Duration spacing;
    // Operations since then, for the estimate of those to come.
    Time countedSince = kInfinitePast;
    uint32_t counted = 0;
  };

  static bool TakeStored(Time aNow, Line& aLine);
  uint32_t Expected(Time aNow, const Line& aLine) const;
  void RefuseLate(Time aNow, const PermitGrant& aGrant, Line& aLine);
  void Finish(Time aNow,
              const std::string& aCustomer,
              const Waiting& aWaiting,
              PermitResult aResult,
              Duration aRetryAfter);
  void AskNextHost(Time aNow, Line& aLine, size_t aRank);

  Duration lifetime;
  size_t hosts = 0;                  // how many may be asked
  std::map<std::string, Line> lines; // by customer
  std::set<std::string> hungry;      // customers whose operations wait
  std::vector<PermitOutcome> outcomes;
};

} // namespace marigoldpitch

#endif
