#ifndef MARIGOLDPITCH_COORDINATION_PROXY_LIMIT_EXCHANGE_H
#define MARIGOLDPITCH_COORDINATION_PROXY_LIMIT_EXCHANGE_H

#include "marigoldpitch/coordination/proxy/customer-permits.h"
#include "marigoldpitch/coordination/proxy/limit-counter.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/** The requests of this host to others, over a network that may lose them. */
namespace marigoldpitch {

/** A request without a reply counts as lost after this time. */
constexpr Duration kLimitReplyTimeout = Millis(80);

struct SentLimitRequest
{
  std::string host;
  Time sent;
  LimitRequest request;
  size_t rank = 0; // of the host, for the wish that it carries
};

/**
 * Numbers requests and matches replies. Charges are sent again, with the next
 * request to the host, until one has been replied to; a charge whose reply was
 * lost is thus counted twice, which errs on the safe side.
 */
class LimitExchange
{
public:
  explicit LimitExchange(Duration aWindow)
    : window(aWindow)
  {
  }

  void Add(Time aNow, const ChargeFor& aCharge);

  /** Sends the wish, and what is to be charged, to the host. */
  void Send(Time aNow, const std::string& aHost, const RankedWish& aWish);

  /**
   * Sends what is to be charged, and empty requests to witnesses to which
   * nothing was sent within their interval.
   */
  void Check(Time aNow,
             const std::map<std::string, Duration>& aWitnesses,
             const std::vector<std::string>& aStandsInFor);

  /** The request that the reply belongs to; unset: none, or it is late. */
  std::optional<SentLimitRequest> Match(const std::string& aHost,
                                        const LimitReply& aReply);

  /** Requests that count as lost now. */
  std::vector<SentLimitRequest> TakeLost(Time aNow);

  /** Requests to be sent now, with the hosts that get them. */
  std::vector<SentLimitRequest> TakeOutgoing()
  {
    return std::exchange(this->outgoing, {});
  }

private:
  struct Unpaid
  {
    uint32_t operations = 0;
    Time since;
  };

  void Emit(Time aNow, SentLimitRequest aSent);

  Duration window;
  uint64_t lastNumber = 0;
  std::map<std::string, std::map<std::string, Unpaid>> unpaid; // by host
  std::map<uint64_t, SentLimitRequest> open;                   // by number
  std::map<std::string, Time> lastSent;                        // by host
  std::vector<SentLimitRequest> outgoing;
};

} // namespace marigoldpitch

#endif
