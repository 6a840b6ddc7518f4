#include "marigoldpitch/coordination/proxy/customer-permits.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

// How long the first host is passed over after it has not replied, or does not
// count.
constexpr Duration kAvoidFirstTime = Millis(500);
// How long to wait once no host has counted.
constexpr Duration kNoCounterPause = Millis(20);
// How long to wait after a reply that granted too little.
constexpr Duration kShortPause = Millis(20);
// Over which operations are counted for the estimate of those to come.
constexpr Duration kEstimateSpan = Millis(500);

} // namespace detail

bool
CustomerPermits::TakeStored(Time aNow, Line& aLine)
{
  while (!aLine.permits.empty() && aLine.permits.front().expires <= aNow) {
    aLine.permits.pop_front();
  }
  if (aLine.permits.empty()) {
    return false;
  }
  if (--aLine.permits.front().count == 0) {
    aLine.permits.pop_front();
  }
  return true;
}

bool
CustomerPermits::Take(Time aNow,
                      const std::string& aCustomer,
                      CallerId aCaller,
                      Duration aPatience)
{
  Line& line = this->lines[aCustomer];
  if (aNow - line.countedSince > detail::kEstimateSpan) {
    line.countedSince = aNow;
    line.counted = 0;
  }
  ++line.counted;
  if (line.waiting.empty() && this->TakeStored(aNow, line)) {
    return true;
  }
  line.waiting.push_back(
    { aCaller, aNow, aNow + std::min(aPatience, kMaxPermitWait) });
  this->hungry.insert(aCustomer);
  return false;
}

void
CustomerPermits::Cancel(const std::string& aCustomer, CallerId aCaller)
{
  auto found = this->lines.find(aCustomer);
  if (found == this->lines.end()) {
    return;
  }
  auto& waiting = found->second.waiting;
  waiting.erase(
    std::remove_if(waiting.begin(),
                   waiting.end(),
                   [&](const Waiting& aOne) { return aOne.caller == aCaller; }),
    waiting.end());
}

void
CustomerPermits::Release(Time aNow, const std::string& aCustomer)
{
  auto found = this->lines.find(aCustomer);
  if (found == this->lines.end()) {
    return;
  }
  for (const Waiting& one : found->second.waiting) {
    this->Finish(aNow, aCustomer, one, PermitResult::Granted, Millis(0));
  }
  this->lines.erase(found);
  this->hungry.erase(aCustomer);
}

/** How many operations arrive within the lifetime of a permit. */
uint32_t
CustomerPermits::Expected(Time aNow, const Line& aLine) const
{
  Duration elapsed = std::max(aNow - aLine.countedSince, this->lifetime);
  int64_t expected =
    elapsed.ms == 0 ? 0 : aLine.counted * this->lifetime.ms / elapsed.ms;
  return static_cast<uint32_t>(expected);
}

std::vector<RankedWish>
CustomerPermits::NextWishes(Time aNow, size_t aHosts)
{
  this->hosts = aHosts;
  std::vector<RankedWish> wishes;
  for (auto it = this->hungry.begin(); it != this->hungry.end();) {
    Line& line = this->lines[*it];
    if (line.waiting.empty()) {
      it = this->hungry.erase(it);
      continue;
    }
    if (aHosts != 0 && !line.isAsking && line.askAt <= aNow) {
      bool avoidsFirst = line.rank == 0 && line.firstAvoidedUntil > aNow;
      size_t rank = avoidsFirst && aHosts > 1 ? 1 : line.rank;
      line.isAsking = true;
      wishes.push_back({ std::min(rank, aHosts - 1),
                         { *it,
                           static_cast<uint32_t>(line.waiting.size()),
                           this->Expected(aNow, line) } });
    }
    ++it;
  }
  return wishes;
}

void
CustomerPermits::OnGrant(Time aNow,
                         size_t aRank,
                         Time aSent,
                         const PermitGrant& aGrant)
{
  auto found = this->lines.find(aGrant.customer);
  if (found == this->lines.end()) {
    return;
  }
  Line& line = found->second;
  if (!aGrant.counts) {
    this->AskNextHost(aNow, line, aRank);
    return;
  }
  line.isAsking = false;
  line.rank = 0;
  line.isShort = aGrant.retryAfter > Millis(0);
  line.spacing = aGrant.spacing;
  Time expires = aSent + this->lifetime;
  uint32_t left = expires > aNow ? aGrant.granted : 0;
  for (; left > 0 && !line.waiting.empty(); --left) {
    this->Finish(aNow,
                 aGrant.customer,
                 line.waiting.front(),
                 PermitResult::Granted,
                 Millis(0));
    line.waiting.pop_front();
  }
  if (left > 0) {
    line.permits.push_back({ expires, left });
  }
  if (line.isShort) {
    line.askAt = aNow + detail::kShortPause;
    this->RefuseLate(aNow, aGrant, line);
  }
}

/** Refuses at once what could not get a permit while it waits. */
void
CustomerPermits::RefuseLate(Time aNow, const PermitGrant& aGrant, Line& aLine)
{
  std::deque<Waiting> kept;
  Duration back = aGrant.retryAfter;
  for (const Waiting& one : aLine.waiting) {
    if (aNow + back > one.until) {
      this->Finish(aNow, aGrant.customer, one, PermitResult::OverLimit, back);
    } else {
      kept.push_back(one);
    }
    back = back + aGrant.spacing;
  }
  aLine.waiting = std::move(kept);
}

void
CustomerPermits::OnNoReply(Time aNow,
                           size_t aRank,
                           const std::string& aCustomer)
{
  auto found = this->lines.find(aCustomer);
  if (found != this->lines.end()) {
    this->AskNextHost(aNow, found->second, aRank);
  }
}

void
CustomerPermits::AskNextHost(Time aNow, Line& aLine, size_t aRank)
{
  aLine.isAsking = false;
  aLine.isShort = false;
  aLine.askAt = aNow;
  aLine.rank = aRank + 1;
  if (aRank == 0) {
    aLine.firstAvoidedUntil = aNow + detail::kAvoidFirstTime;
  }
  if (aLine.rank >= this->hosts) {
    aLine.rank = 0;
    aLine.askAt = aNow + detail::kNoCounterPause;
  }
}

void
CustomerPermits::Expire(Time aNow)
{
  for (const std::string& customer : this->hungry) {
    Line& line = this->lines[customer];
    // Those that arrived later may have less time.
    std::deque<Waiting> kept;
    for (const Waiting& one : line.waiting) {
      if (one.until > aNow) {
        kept.push_back(one);
      } else {
        this->Finish(aNow,
                     customer,
                     one,
                     line.isShort ? PermitResult::OverLimit
                                  : PermitResult::NoCounter,
                     line.isShort ? line.spacing : kMaxPermitWait);
      }
    }
    line.waiting = std::move(kept);
  }
}

void
CustomerPermits::Finish(Time aNow,
                        const std::string& aCustomer,
                        const Waiting& aWaiting,
                        PermitResult aResult,
                        Duration aRetryAfter)
{
  this->outcomes.push_back({ aCustomer,
                             aWaiting.caller,
                             aResult,
                             aRetryAfter,
                             aNow - aWaiting.since });
}

} // namespace marigoldpitch
