#include "marigoldpitch/coordination/proxy/limit-exchange.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr Duration kChargeInterval = Millis(20);
// So that a request fits a datagram of an ordinary network.
constexpr size_t kMaxCharges = 16;
// Numbers of this run lie above those of the host's earlier ones.
constexpr int kNumberBitsPerMs = 20;

} // namespace detail

void
LimitExchange::Add(Time aNow, const ChargeFor& aCharge)
{
  Unpaid& unpaid = this->unpaid[aCharge.host]
                     .emplace(aCharge.charge.customer, Unpaid{ 0, aNow })
                     .first->second;
  unpaid.operations += aCharge.charge.operations;
}

void
LimitExchange::Send(Time aNow,
                    const std::string& aHost,
                    const RankedWish& aWish)
{
  SentLimitRequest sent;
  sent.host = aHost;
  sent.rank = aWish.rank;
  sent.request.wishes.push_back(aWish.wish);
  this->Emit(aNow, std::move(sent));
}

void
LimitExchange::Emit(Time aNow, SentLimitRequest aSent)
{
  if (this->lastNumber == 0) {
    this->lastNumber = static_cast<uint64_t>(std::max<int64_t>(aNow.ms, 0))
                       << detail::kNumberBitsPerMs;
  }
  aSent.sent = aNow;
  aSent.request.number = ++this->lastNumber;
  auto& unpaid = this->unpaid[aSent.host];
  while (!unpaid.empty() &&
         aSent.request.charges.size() < detail::kMaxCharges) {
    auto first = unpaid.begin();
    if (aNow - first->second.since <= this->window) {
      aSent.request.charges.push_back(
        { first->first, first->second.operations, aNow - first->second.since });
    }
    unpaid.erase(first);
  }
  if (unpaid.empty()) {
    this->unpaid.erase(aSent.host);
  }
  this->lastSent[aSent.host] = aNow;
  this->outgoing.push_back(aSent);
  this->open[aSent.request.number] = std::move(aSent);
}

void
LimitExchange::Check(Time aNow,
                     const std::map<std::string, Duration>& aWitnesses,
                     const std::vector<std::string>& aStandsInFor)
{
  std::set<std::string> due;
  auto isDue = [&](const std::string& aHost, Duration aInterval) {
    auto found = this->lastSent.find(aHost);
    return found == this->lastSent.end() || aNow - found->second >= aInterval;
  };
  for (const auto& [host, interval] : aWitnesses) {
    if (isDue(host, interval)) {
      due.insert(host);
    }
  }
  for (const auto& [host, charges] : this->unpaid) {
    if (isDue(host, detail::kChargeInterval)) {
      due.insert(host);
    }
  }
  for (const std::string& host : due) {
    SentLimitRequest sent;
    sent.host = host;
    sent.request.standsInFor = aStandsInFor;
    this->Emit(aNow, std::move(sent));
  }
}

std::optional<SentLimitRequest>
LimitExchange::Match(const std::string& aHost, const LimitReply& aReply)
{
  auto found = this->open.find(aReply.number);
  if (found == this->open.end() || found->second.host != aHost) {
    return std::nullopt;
  }
  SentLimitRequest sent = std::move(found->second);
  this->open.erase(found);
  return sent;
}

std::vector<SentLimitRequest>
LimitExchange::TakeLost(Time aNow)
{
  std::vector<SentLimitRequest> lost;
  // Numbers rise with time, so the oldest come first.
  while (!this->open.empty() &&
         aNow - this->open.begin()->second.sent >= kLimitReplyTimeout) {
    SentLimitRequest sent = std::move(this->open.begin()->second);
    this->open.erase(this->open.begin());
    for (const PermitCharge& charge : sent.request.charges) {
      Unpaid& unpaid = this->unpaid[sent.host]
                         .emplace(charge.customer, Unpaid{ 0, sent.sent })
                         .first->second;
      unpaid.operations += charge.operations;
      unpaid.since = std::min(unpaid.since, sent.sent - charge.age);
    }
    lost.push_back(std::move(sent));
  }
  return lost;
}

} // namespace marigoldpitch
