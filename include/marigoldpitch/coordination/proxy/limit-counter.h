#ifndef MARIGOLDPITCH_COORDINATION_PROXY_LIMIT_COUNTER_H
#define MARIGOLDPITCH_COORDINATION_PROXY_LIMIT_COUNTER_H

#include "marigoldpitch/coordination/proxy/limit-io.h"
#include "marigoldpitch/coordination/proxy/limit-placement.h"
#include "marigoldpitch/coordination/proxy/limit-policy.h"
#include "marigoldpitch/state/names.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

/** Counts the operations of the customers that this host is asked about. */
namespace marigoldpitch {

/** A charge for a host that ranks before this one. */
struct ChargeFor
{
  std::string host;
  PermitCharge charge;
};

/** What this host does for a customer that it is asked about. */
enum class CounterState
{
  Idle,
  Waits, // it has become the first host, and the former one still counts
  Counts,
  StandsIn, // for a host that ranks before it
  CutOff,   // it reaches no majority of witnesses and has no tokens
};

constexpr NameTable<CounterState, 5> kCounterStateNames{ {
  { CounterState::Idle, "idle" },
  { CounterState::Waits, "waits" },
  { CounterState::Counts, "counts" },
  { CounterState::StandsIn, "stands-in" },
  { CounterState::CutOff, "cut-off" },
} };

/** What this host does for the customer has changed. */
struct CounterChange
{
  std::string customer;
  CounterState state = CounterState::Idle;
  double tokens = 0;
};

/**
 * Keeps a token bucket for each customer. A bucket is refilled at the
 * customer's rate, but only for the time in which this host is known to have
 * reached a majority of the customer's witnesses, itself among them. So of two
 * sides that are cut off from each other at most one refills a bucket, and what
 * all counters permit together stays inside what one bucket would permit.
 */
class LimitCounter
{
public:
  LimitCounter(std::string aOwnHost,
               const LimitTolerance& aTolerance,
               const LimitPolicy& aPolicy)
    : ownHost(std::move(aOwnHost))
    , window(aTolerance.window)
    , policy(aPolicy)
  {
  }

  /** To be called when the limited customers or the hosts have changed. */
  void Update(Time aNow,
              const std::map<std::string, Customer>& aCustomers,
              CounterRanks& aRanks);

  /** Refills buckets; to be called every few milliseconds. */
  void OnTick(Time aNow);

  /** Grants permits, as far as there are tokens. */
  PermitGrant Grant(Time aNow, const PermitWish& aWish);

  /** Another host has permitted operations in place of this one. */
  void Accept(Time aNow, const PermitCharge& aCharge);

  /** The host has replied to a request that was sent then. */
  void NoteReached(const std::string& aHost,
                   Time aSent,
                   const LimitRequest& aRequest,
                   const LimitReply& aReply);

  /** The host has sent a request. */
  void NoteHeard(Time aNow, const std::string& aHost);

  /** Those of the hosts that have sent a request lately. */
  std::vector<std::string> HeardOf(
    Time aNow,
    const std::vector<std::string>& aHosts) const;

  /** The hosts that this one stands in for, as of the last `Witnesses`. */
  std::vector<std::string> StandsInFor() const
  {
    return { this->standsInFor.begin(), this->standsInFor.end() };
  }

  /** Hosts that this one must reach to refill its buckets, and how often. */
  std::map<std::string, Duration> Witnesses(Time aNow);

  /** Whether this host has begun to stand in for another since the last call.
   */
  bool TakeHasBegun() { return std::exchange(this->hasBegun, false); }

  /** The charges since the last call. */
  std::vector<ChargeFor> TakeCharges()
  {
    return std::exchange(this->charges, {});
  }

  std::vector<CounterChange> TakeChanges()
  {
    return std::exchange(this->changes, {});
  }

private:
  struct Bucket
  {
    CounterState state = CounterState::Idle;
    Customer customer;
    std::vector<std::string> ranked; // the hosts that may count, and witnesses
    size_t rank = 0;                 // of this host; their number: not ranked
    Time countsFrom = kInfinitePast; // as the first host
    double tokens = 0;
    // Of a second bucket, as `LimitPolicy::Steady` gives it. An operation takes
    // a token of each and needs one in either, so that a customer may use its
    // burst at once or spread over the windows.
    double steadyTokens = 0;
    Time refilledUntil = kInfinitePast;
    // What was not refilled in the last time in which this host did not count;
    // charges for operations of that time are taken from here.
    double forgone = 0;
    Time forgoneUntil = kInfinitePast;
    Time askedAt = kInfinitePast;
    Time activeSince = kInfinitePast; // as a host that stands in
    Time refusedAt = kInfinitePast;
    Time promisedUntil = kInfinitePast; // until when refused ones come back

    double Available() const
    {
      return this->IsFirst() ? std::max(this->tokens, this->steadyTokens)
                             : this->tokens;
    }
    bool IsFirst() const { return this->rank == 0; }
  };

  void Rank(Time aNow,
            Bucket& aBucket,
            const std::vector<std::string>& aRanked);
  void UpdateWitnesses();
  Time ReachedAt(const std::string& aHost) const;
  Time UnheardAt(const std::string& aWitness, const std::string& aHost) const;
  Time ReachedAlone(Time aNow,
                    const Bucket& aBucket,
                    const std::string& aWitness) const;
  Time ReachedMajorityAt(Time aNow, const Bucket& aBucket) const;
  void Refill(Time aNow, Bucket& aBucket);
  void Forgo(Bucket& aBucket, Time aUntil, Duration aSpan) const;
  bool MayRefillSoon(Time aNow, const Bucket& aBucket) const;
  void Deduct(Bucket& aBucket, double aOperations) const;
  uint32_t TakeTokens(Bucket& aBucket, const PermitWish& aWish) const;
  void SetState(Bucket& aBucket, CounterState aState);
  static bool IsUrgent(Time aNow, const Bucket& aBucket);
  void Refuse(Time aNow, Bucket& aBucket, uint32_t aCount, PermitGrant& aGrant);

  std::string ownHost;
  Duration window;
  const LimitPolicy& policy;
  std::map<std::string, Bucket> buckets; // by customer
  std::map<std::string, Time> reachedAt; // by host
  std::map<std::string, Time> heardAt;   // by host
  // By witness and host: when it was asked and had not heard of the host.
  std::map<std::pair<std::string, std::string>, Time> unheardAt;
  std::set<std::string> standsInFor;
  std::set<std::string> firstWitnesses; // of the buckets that rank first
  // Customers whose buckets are nearly empty, or that it stands in for.
  std::set<std::string> urgent;
  bool hasBegun = false;
  std::vector<ChargeFor> charges;
  std::vector<CounterChange> changes;
};

} // namespace marigoldpitch

#endif
