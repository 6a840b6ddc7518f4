#include "marigoldpitch/coordination/proxy/customer-limits.h"

#include <algorithm>
#include <iterator>

namespace marigoldpitch {

namespace detail {

// How many hosts are asked before nobody counts.
constexpr size_t kMaxAskedHosts = 3;

} // namespace detail

CustomerLimits::CustomerLimits(const std::string& aOwnHost,
                               const LimitTolerance& aTolerance,
                               std::unique_ptr<LimitPolicy> aPolicy)
  : ownHost(aOwnHost)
  , policy(std::move(aPolicy))
  , permits(this->policy->PermitLifetime())
  , counter(aOwnHost, aTolerance, *this->policy)
  , exchange(aTolerance.window)
{
}

void
CustomerLimits::SetCustomers(Time aNow,
                             const std::map<std::string, Customer>& aAll)
{
  std::map<std::string, Customer> before = std::exchange(this->customers, {});
  for (const auto& [name, customer] : aAll) {
    if (customer.IsLimited()) {
      this->customers[name] = customer;
    }
  }
  for (const auto& [name, customer] : before) {
    if (!this->IsLimited(name)) {
      this->permits.Release(aNow, name);
    }
  }
  this->counter.Update(aNow, this->customers, this->ranks);
}

void
CustomerLimits::SetHosts(Time aNow, const std::vector<std::string>& aHosts)
{
  for (auto it = this->hosts.begin(); it != this->hosts.end();) {
    it->second = std::min(it->second, aNow + kUnlistedHostTime);
    it = it->second <= aNow ? this->hosts.erase(it) : std::next(it);
  }
  for (const std::string& host : aHosts) {
    this->hosts[host] = kInfiniteFuture;
  }
  if (this->ranks.SetHosts(aHosts)) {
    this->counter.Update(aNow, this->customers, this->ranks);
  }
}

bool
CustomerLimits::Take(Time aNow,
                     const std::string& aCustomer,
                     CallerId aCaller,
                     Duration aPatience)
{
  if (this->permits.Take(aNow, aCustomer, aCaller, aPatience)) {
    return true;
  }
  this->AskForPermits(aNow);
  return false;
}

void
CustomerLimits::Cancel(const std::string& aCustomer, CallerId aCaller)
{
  this->permits.Cancel(aCustomer, aCaller);
}

void
CustomerLimits::AskForPermits(Time aNow)
{
  // This host may count itself, and pass the next host by rank to the next
  // round.
  for (size_t i = 0; i < detail::kMaxAskedHosts && this->AskOnce(aNow); ++i) {
  }
  for (const ChargeFor& charge : this->counter.TakeCharges()) {
    this->exchange.Add(aNow, charge);
  }
}

/** Returns whether this host has replied to itself. */
bool
CustomerLimits::AskOnce(Time aNow)
{
  bool hasReplied = false;
  size_t count = std::min(this->hosts.size(), detail::kMaxAskedHosts);
  for (const RankedWish& wish : this->permits.NextWishes(aNow, count)) {
    const std::string& host = this->ranks.Of(wish.wish.customer).at(wish.rank);
    if (host == this->ownHost) {
      PermitGrant grant = this->counter.Grant(aNow, wish.wish);
      this->permits.OnGrant(aNow, wish.rank, aNow, grant);
      hasReplied = true;
    } else {
      this->exchange.Send(aNow, host, wish);
    }
  }
  return hasReplied;
}

/**
 * Only hosts of the list are witnesses of each other: a host that the others do
 * not know yet, or no more, reaches no majority. One that is listed no more
 * still gets permits.
 */
void
CustomerLimits::OnRequest(Time aNow,
                          const std::string& aHost,
                          const LimitRequest& aRequest)
{
  auto known = this->hosts.find(aHost);
  if (known == this->hosts.end()) {
    return;
  }
  LimitReply reply;
  reply.number = aRequest.number;
  reply.isUnlisted = known->second != kInfiniteFuture;
  if (!reply.isUnlisted) {
    this->counter.NoteHeard(aNow, aHost);
  }
  reply.heard = this->counter.HeardOf(aNow, aRequest.standsInFor);
  for (const PermitCharge& charge : aRequest.charges) {
    this->counter.Accept(aNow, charge);
  }
  for (const PermitWish& wish : aRequest.wishes) {
    reply.grants.push_back(this->counter.Grant(aNow, wish));
  }
  this->replies.push_back({ aHost, std::move(reply) });
  for (const ChargeFor& charge : this->counter.TakeCharges()) {
    this->exchange.Add(aNow, charge);
  }
  if (this->counter.TakeHasBegun()) {
    // It must reach its witnesses before it can grant more.
    this->CheckWitnesses(aNow);
  }
}

void
CustomerLimits::CheckWitnesses(Time aNow)
{
  auto witnesses = this->counter.Witnesses(aNow);
  this->exchange.Check(aNow, witnesses, this->counter.StandsInFor());
}

void
CustomerLimits::OnReply(Time aNow,
                        const std::string& aHost,
                        const LimitReply& aReply)
{
  auto sent = this->exchange.Match(aHost, aReply);
  if (!sent) {
    return;
  }
  if (!aReply.isUnlisted) {
    this->counter.NoteReached(aHost, sent->sent, sent->request, aReply);
  }
  for (const PermitWish& wish : sent->request.wishes) {
    auto found = std::find_if(aReply.grants.begin(),
                              aReply.grants.end(),
                              [&](const PermitGrant& aGrant) {
                                return aGrant.customer == wish.customer;
                              });
    bool isAnswered = found != aReply.grants.end();
    this->permits.OnGrant(aNow,
                          sent->rank,
                          sent->sent,
                          isAnswered ? *found : PermitGrant{ wish.customer });
  }
  this->AskForPermits(aNow);
}

void
CustomerLimits::OnTick(Time aNow)
{
  if (this->customers.empty()) {
    return;
  }
  this->counter.OnTick(aNow);
  for (const SentLimitRequest& lost : this->exchange.TakeLost(aNow)) {
    for (const PermitWish& wish : lost.request.wishes) {
      this->permits.OnNoReply(aNow, lost.rank, wish.customer);
    }
  }
  this->permits.Expire(aNow);
  this->AskForPermits(aNow);
  this->CheckWitnesses(aNow);
}

void
CustomerLimits::MoveActions(LimitActions& aActions)
{
  auto append = [](auto& aTo, auto aFrom) {
    aTo.insert(aTo.end(),
               std::make_move_iterator(aFrom.begin()),
               std::make_move_iterator(aFrom.end()));
  };
  append(aActions.outcomes, this->permits.TakeOutcomes());
  append(aActions.requests, this->exchange.TakeOutgoing());
  append(aActions.replies, std::exchange(this->replies, {}));
  append(aActions.changes, this->counter.TakeChanges());
}

std::string
CustomerLimits::CounterOf(const std::string& aCustomer)
{
  const std::vector<std::string>& ranked = this->ranks.Of(aCustomer);
  return ranked.empty() ? std::string() : ranked.front();
}

} // namespace marigoldpitch
