#ifndef MARIGOLDPITCH_COORDINATION_PROXY_LIMIT_IO_H
#define MARIGOLDPITCH_COORDINATION_PROXY_LIMIT_IO_H

#include "marigoldpitch/state/time.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * What hosts send each other to keep customers' rate limits. A request without
 * content only asks whether the other host is there.
 */
namespace marigoldpitch {

/** The longest time that a grant names. */
constexpr Duration kMaxPermitDelay = Seconds(3600);

/** Asks the counting host for permits to run operations of the customer. */
struct PermitWish
{
  std::string customer;
  uint32_t needed = 0; // for operations that wait now
  uint32_t spare = 0;  // for those expected soon; granted from a full bucket
};

/** Operations that the sender has permitted in place of the receiver. */
struct PermitCharge
{
  std::string customer;
  uint32_t operations = 0;
  Duration age = {}; // since the first of them was permitted
};

struct LimitRequest
{
  uint64_t number = 0; // of the sender, rising
  std::vector<PermitWish> wishes;
  std::vector<PermitCharge> charges;
  // Hosts that the sender stands in for.
  std::vector<std::string> standsInFor = {};
};

/** The reply to one wish. */
struct PermitGrant
{
  std::string customer;
  bool counts = false; // this host counts the customer's operations now
  uint32_t granted = 0;
  // For what was needed and not granted: when to ask again, and the time
  // between two operations at the customer's rate.
  Duration retryAfter = {};
  Duration spacing = {};
};

/** Replies to the request of the same number; its charges are accepted. */
struct LimitReply
{
  uint64_t number = 0;
  std::vector<PermitGrant> grants;
  // Of the hosts that the sender stands in for, those that were heard lately.
  std::vector<std::string> heard = {};
  // The sender is not in the list of the host that replies, so the reply does
  // not make that host a witness.
  bool isUnlisted = false;
};

} // namespace marigoldpitch

#endif
