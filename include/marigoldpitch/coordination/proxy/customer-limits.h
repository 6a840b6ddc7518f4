#ifndef MARIGOLDPITCH_COORDINATION_PROXY_CUSTOMER_LIMITS_H
#define MARIGOLDPITCH_COORDINATION_PROXY_CUSTOMER_LIMITS_H

#include "marigoldpitch/coordination/proxy/limit-exchange.h"

#include <memory>
#include <set>

/** The rate limits of customers over all hosts, as one host keeps them. */
namespace marigoldpitch {

/** How long a host that is listed no more still gets permits. */
constexpr Duration kUnlistedHostTime = Seconds(30);

struct AddressedReply
{
  std::string host;
  LimitReply reply;
};

/** What is to be done after an event. */
struct LimitActions
{
  std::vector<PermitOutcome> outcomes;
  std::vector<SentLimitRequest> requests;
  std::vector<AddressedReply> replies;
  std::vector<CounterChange> changes; // to be logged
};

/**
 * One host's part: it asks for permits for its own callers, and counts for the
 * customers for which it ranks first. It reads no clock and does no I/O; all
 * times are of a clock that also advances while the host is paused.
 */
class CustomerLimits
{
public:
  CustomerLimits(const std::string& aOwnHost,
                 const LimitTolerance& aTolerance,
                 std::unique_ptr<LimitPolicy> aPolicy);

  void SetCustomers(Time aNow, const std::map<std::string, Customer>& aAll);

  /**
   * The hosts that are listed now. One that is listed no more still gets
   * permits for a while: its entry may be missing although it runs.
   */
  void SetHosts(Time aNow, const std::vector<std::string>& aHosts);

  bool IsLimited(const std::string& aCustomer) const
  {
    return this->customers.count(aCustomer) != 0;
  }

  /** Takes a permit if there is one; otherwise an outcome follows. */
  bool Take(Time aNow,
            const std::string& aCustomer,
            CallerId aCaller,
            Duration aPatience);
  void Cancel(const std::string& aCustomer, CallerId aCaller);
  void OnRequest(Time aNow,
                 const std::string& aHost,
                 const LimitRequest& aRequest);
  void OnReply(Time aNow, const std::string& aHost, const LimitReply& aReply);
  void OnTick(Time aNow);

  /** Appends what is to be done since the last call. */
  void MoveActions(LimitActions& aActions);

  /** The host that counts the customer's operations while all are there. */
  std::string CounterOf(const std::string& aCustomer);

private:
  void AskForPermits(Time aNow);
  void CheckWitnesses(Time aNow);
  bool AskOnce(Time aNow);

  std::string ownHost;
  std::unique_ptr<LimitPolicy> policy;
  std::map<std::string, Customer> customers; // those with a limit
  CounterRanks ranks;
  std::map<std::string, Time> hosts; // until when each gets permits
  CustomerPermits permits;
  LimitCounter counter;
  LimitExchange exchange;
  std::vector<AddressedReply> replies;
};

} // namespace marigoldpitch

#endif
