#include "marigoldpitch/coordination/proxy/limit-counter.h"

#include <algorithm>
#include <cmath>

namespace marigoldpitch {

namespace detail {

// A host that stands in stops when nobody has asked it for this long; so do
// the more frequent requests to witnesses.
constexpr Duration kStandInIdleTime = Millis(500);
// Witnesses that were reached further apart leave a gap in which this host may
// have been cut off or paused, and others may have counted.
constexpr Duration kMaxReachGap = Millis(250);
// How often to reach witnesses, and how often while operations wait for tokens.
constexpr Duration kReachInterval = Millis(100);
constexpr Duration kUrgentReachInterval = Millis(20);
// The most that charges may take from the time to come.
constexpr Duration kMaxDebt = Seconds(1);

double
TokensIn(const Customer& aCustomer, Duration aSpan)
{
  return aCustomer.operationsPerSecond * static_cast<double>(aSpan.ms) /
         static_cast<double>(Seconds(1).ms);
}

/** How long it takes until so many tokens come in: 1 ms to the longest time. */
Duration
TimeFor(const Customer& aCustomer, double aTokens)
{
  double ms = aTokens * static_cast<double>(Seconds(1).ms) /
              aCustomer.operationsPerSecond;
  double most = static_cast<double>(kMaxPermitDelay.ms);
  return Millis(static_cast<int64_t>(std::clamp(std::ceil(ms), 1.0, most)));
}

} // namespace detail

void
LimitCounter::Update(Time aNow,
                     const std::map<std::string, Customer>& aCustomers,
                     CounterRanks& aRanks)
{
  std::map<std::string, Bucket> before = std::exchange(this->buckets, {});
  for (const auto& [name, customer] : aCustomers) {
    const std::vector<std::string>& ranked = aRanks.Of(name);
    if (std::find(ranked.begin(), ranked.end(), this->ownHost) ==
        ranked.end()) {
      continue;
    }
    auto known = before.find(name);
    Bucket& bucket = this->buckets[name];
    if (known != before.end()) {
      bucket = std::move(known->second);
      this->Refill(aNow, bucket);
      bucket.customer = customer;
    } else {
      bucket.customer = customer;
      bucket.tokens = this->policy.InitialTokens(customer);
      bucket.refilledUntil = aNow;
      bucket.rank = ranked.size();
    }
    this->Rank(aNow, bucket, ranked);
  }
  this->UpdateWitnesses();
}

void
LimitCounter::UpdateWitnesses()
{
  std::set<std::string> ranked;
  this->firstWitnesses.clear();
  for (const auto& [name, bucket] : this->buckets) {
    ranked.insert(bucket.ranked.begin(), bucket.ranked.end());
    if (bucket.IsFirst()) {
      this->firstWitnesses.insert(bucket.ranked.begin(), bucket.ranked.end());
    }
  }
  this->firstWitnesses.erase(this->ownHost);
  this->unheardAt.clear(); // known again with the next replies
  std::map<std::string, Time> reached = std::exchange(this->reachedAt, {});
  for (const auto& [host, time] : reached) {
    if (ranked.count(host) != 0) {
      this->reachedAt[host] = time;
    }
  }
}

/** A lower limit and a lower rank both cut what the bucket holds. */
void
LimitCounter::Rank(Time aNow,
                   Bucket& aBucket,
                   const std::vector<std::string>& aRanked)
{
  bool wasFirst = aBucket.IsFirst();
  auto own = std::find(aRanked.begin(), aRanked.end(), this->ownHost);
  aBucket.ranked = aRanked;
  aBucket.rank = static_cast<size_t>(own - aRanked.begin());
  if (aBucket.IsFirst() && !wasFirst) {
    Duration delay = this->policy.TakeoverDelay();
    aBucket.countsFrom = aNow + delay;
    aBucket.refilledUntil = aBucket.countsFrom;
    this->Forgo(aBucket, aBucket.countsFrom, delay);
  }
  aBucket.steadyTokens =
    std::min(aBucket.steadyTokens, this->policy.Steady(aBucket.customer).burst);
  aBucket.tokens =
    std::min(aBucket.tokens,
             this->policy.MaxTokens(aBucket.customer, aBucket.IsFirst()));
}

Time
LimitCounter::ReachedAt(const std::string& aHost) const
{
  auto found = this->reachedAt.find(aHost);
  return found == this->reachedAt.end() ? kInfinitePast : found->second;
}

Time
LimitCounter::UnheardAt(const std::string& aWitness,
                        const std::string& aHost) const
{
  auto found = this->unheardAt.find({ aWitness, aHost });
  return found == this->unheardAt.end() ? kInfinitePast : found->second;
}

/**
 * When the witness was last known to count for this host alone. For a host that
 * stands in, it counts only if each host before it either accepts charges from
 * this one, or has not been heard by the witness.
 */
Time
LimitCounter::ReachedAlone(Time aNow,
                           const Bucket& aBucket,
                           const std::string& aWitness) const
{
  bool isSelf = aWitness == this->ownHost;
  Time reached = isSelf ? aNow : this->ReachedAt(aWitness);
  for (size_t i = 0; i < aBucket.rank && i < aBucket.ranked.size(); ++i) {
    const std::string& before = aBucket.ranked[i];
    Time unheard = this->UnheardAt(aWitness, before);
    if (isSelf) {
      auto heard = this->heardAt.find(before);
      bool isHeard = heard != this->heardAt.end() &&
                     aNow - heard->second <= detail::kMaxReachGap;
      unheard = isHeard ? kInfinitePast : aNow;
    }
    reached = std::min(reached, std::max(unheard, this->ReachedAt(before)));
  }
  return reached;
}

/**
 * When the newest request was sent that so many witnesses have replied to that
 * they are a majority together with this host. A witness that hears a host
 * counts for no other, so no two hosts have a majority at once unless one is
 * charged for what the other grants.
 */
Time
LimitCounter::ReachedMajorityAt(Time aNow, const Bucket& aBucket) const
{
  if (!this->policy.NeedsMajority()) {
    return aNow;
  }
  std::vector<int64_t> reached;
  for (const std::string& host : aBucket.ranked) {
    reached.push_back(this->ReachedAlone(aNow, aBucket, host).ms);
  }
  std::sort(reached.rbegin(), reached.rend());
  return { reached[aBucket.ranked.size() / 2] };
}

void
LimitCounter::Forgo(Bucket& aBucket, Time aUntil, Duration aSpan) const
{
  aBucket.forgone =
    detail::TokensIn(aBucket.customer, std::min(aSpan, this->window));
  aBucket.forgoneUntil = aUntil;
}

void
LimitCounter::Refill(Time aNow, Bucket& aBucket)
{
  Time until = std::min(this->ReachedMajorityAt(aNow, aBucket), aNow);
  if (until <= aBucket.refilledUntil) {
    return;
  }
  Duration span = until - std::exchange(aBucket.refilledUntil, until);
  if (span > detail::kMaxReachGap && this->policy.NeedsMajority()) {
    this->Forgo(aBucket, until, span);
    return;
  }
  aBucket.tokens =
    std::min(aBucket.tokens + detail::TokensIn(aBucket.customer, span),
             this->policy.MaxTokens(aBucket.customer, aBucket.IsFirst()));
  if (aBucket.IsFirst()) {
    Customer steady = this->policy.Steady(aBucket.customer);
    aBucket.steadyTokens = std::min(
      aBucket.steadyTokens + detail::TokensIn(steady, span), steady.burst);
  }
}

void
LimitCounter::OnTick(Time aNow)
{
  for (auto& [name, bucket] : this->buckets) {
    if (bucket.IsFirst()) {
      this->Refill(aNow, bucket);
    }
  }
}

PermitGrant
LimitCounter::Grant(Time aNow, const PermitWish& aWish)
{
  PermitGrant grant{ aWish.customer };
  auto found = this->buckets.find(aWish.customer);
  if (found == this->buckets.end()) {
    return grant;
  }
  Bucket& bucket = found->second;
  if (aNow < bucket.countsFrom) {
    this->SetState(bucket, CounterState::Waits);
    return grant;
  }
  if (!bucket.IsFirst() && aNow - bucket.askedAt > detail::kStandInIdleTime) {
    bucket.refilledUntil = aNow;
    bucket.activeSince = aNow;
    bucket.state = CounterState::Idle;
    this->urgent.insert(aWish.customer);
    this->hasBegun = true;
  }
  bucket.askedAt = aNow;
  this->Refill(aNow, bucket);
  if (bucket.Available() < 1 && !this->MayRefillSoon(aNow, bucket)) {
    this->SetState(bucket, CounterState::CutOff);
    return grant; // the next host by rank may reach a majority
  }
  this->SetState(
    bucket, bucket.IsFirst() ? CounterState::Counts : CounterState::StandsIn);
  grant.counts = true;
  grant.granted = this->TakeTokens(bucket, aWish);
  if (grant.granted != 0 && this->policy.ChargesHostsBefore()) {
    for (size_t i = 0; i < bucket.rank; ++i) {
      this->charges.push_back(
        { bucket.ranked[i], { aWish.customer, grant.granted } });
    }
  }
  if (grant.granted < aWish.needed) {
    this->Refuse(aNow, bucket, aWish.needed - grant.granted, grant);
  }
  return grant;
}

void
LimitCounter::SetState(Bucket& aBucket, CounterState aState)
{
  if (aBucket.state != aState) {
    aBucket.state = aState;
    this->changes.push_back({ aBucket.customer.name, aState, aBucket.tokens });
  }
}

/** Whether this host has reached a majority lately, or has only begun to ask.
 */
bool
LimitCounter::MayRefillSoon(Time aNow, const Bucket& aBucket) const
{
  Time lately = aNow - detail::kMaxReachGap;
  return this->ReachedMajorityAt(aNow, aBucket) >= lately ||
         aBucket.activeSince >= lately;
}

uint32_t
LimitCounter::TakeTokens(Bucket& aBucket, const PermitWish& aWish) const
{
  double whole = std::floor(std::max(aBucket.Available(), 0.0));
  double granted = std::min<double>(aWish.needed, whole);
  double half = this->policy.MaxTokens(aBucket.customer, aBucket.IsFirst()) / 2;
  double left = std::floor(aBucket.tokens - granted - half);
  if (left > 0) {
    granted += std::min<double>(aWish.spare, left);
  }
  this->Deduct(aBucket, granted);
  return static_cast<uint32_t>(granted);
}

/** What a whole window allows is the most that a bucket owes. */
void
LimitCounter::Deduct(Bucket& aBucket, double aOperations) const
{
  const Customer& customer = aBucket.customer;
  double lowest = -detail::TokensIn(customer, this->window) - customer.burst;
  aBucket.tokens = std::max(aBucket.tokens - aOperations, lowest);
  aBucket.steadyTokens = std::max(aBucket.steadyTokens - aOperations, lowest);
}

/**
 * Tells refused operations when to come back, one after the other at the
 * customer's rate, whichever hosts they are on.
 */
void
LimitCounter::Refuse(Time aNow,
                     Bucket& aBucket,
                     uint32_t aCount,
                     PermitGrant& aGrant)
{
  Customer customer = aBucket.IsFirst() ? this->policy.Steady(aBucket.customer)
                                        : aBucket.customer;
  aBucket.refusedAt = aNow;
  this->urgent.insert(customer.name);
  Time first =
    std::max(aNow + detail::TimeFor(customer, 1 - aBucket.Available()),
             std::min(aBucket.promisedUntil, aNow + this->window));
  aGrant.retryAfter = std::min(first - aNow, kMaxPermitDelay);
  aGrant.spacing = detail::TimeFor(customer, 1);
  aBucket.promisedUntil = first + detail::TimeFor(customer, aCount);
}

void
LimitCounter::Accept(Time aNow, const PermitCharge& aCharge)
{
  auto found = this->buckets.find(aCharge.customer);
  if (found == this->buckets.end()) {
    return;
  }
  Bucket& bucket = found->second;
  this->Refill(aNow, bucket);
  double operations = aCharge.operations;
  if (aNow - aCharge.age <= bucket.forgoneUntil) {
    double paid = std::min(bucket.forgone, operations);
    bucket.forgone -= paid;
    operations -= paid;
  }
  double lowest = -detail::TokensIn(bucket.customer, detail::kMaxDebt);
  bucket.tokens = std::max(bucket.tokens - operations, lowest);
  bucket.steadyTokens = std::max(bucket.steadyTokens - operations, lowest);
}

void
LimitCounter::NoteReached(const std::string& aHost,
                          Time aSent,
                          const LimitRequest& aRequest,
                          const LimitReply& aReply)
{
  Time& reached = this->reachedAt.emplace(aHost, kInfinitePast).first->second;
  reached = std::max(reached, aSent);
  for (const std::string& before : aRequest.standsInFor) {
    bool isHeard =
      std::find(aReply.heard.begin(), aReply.heard.end(), before) !=
      aReply.heard.end();
    if (!isHeard) {
      Time& unheard =
        this->unheardAt.emplace(std::pair(aHost, before), kInfinitePast)
          .first->second;
      unheard = std::max(unheard, aSent);
    }
  }
}

void
LimitCounter::NoteHeard(Time aNow, const std::string& aHost)
{
  this->heardAt[aHost] = aNow;
}

std::vector<std::string>
LimitCounter::HeardOf(Time aNow, const std::vector<std::string>& aHosts) const
{
  std::vector<std::string> heard;
  for (const std::string& host : aHosts) {
    auto found = this->heardAt.find(host);
    if (found != this->heardAt.end() &&
        aNow - found->second <= detail::kMaxReachGap) {
      heard.push_back(host);
    }
  }
  return heard;
}

std::map<std::string, Duration>
LimitCounter::Witnesses(Time aNow)
{
  std::map<std::string, Duration> witnesses;
  this->standsInFor.clear();
  for (const std::string& host : this->firstWitnesses) {
    witnesses[host] = detail::kReachInterval;
  }
  for (auto it = this->urgent.begin(); it != this->urgent.end();) {
    auto found = this->buckets.find(*it);
    if (found == this->buckets.end() || !IsUrgent(aNow, found->second)) {
      it = this->urgent.erase(it);
      continue;
    }
    for (const std::string& host : found->second.ranked) {
      witnesses[host] = detail::kUrgentReachInterval;
    }
    const Bucket& bucket = found->second;
    this->standsInFor.insert(bucket.ranked.begin(),
                             bucket.ranked.begin() +
                               static_cast<std::ptrdiff_t>(bucket.rank));
    ++it;
  }
  witnesses.erase(this->ownHost);
  return witnesses;
}

/** Whether operations wait for each token that comes in. */
bool
LimitCounter::IsUrgent(Time aNow, const Bucket& aBucket)
{
  Time since = aBucket.IsFirst() ? aBucket.refusedAt : aBucket.askedAt;
  return aNow - since <= detail::kStandInIdleTime;
}

} // namespace marigoldpitch
