#ifndef MARIGOLDPITCH_COORDINATION_PROXY_CONNECTION_CHOICE_H
#define MARIGOLDPITCH_COORDINATION_PROXY_CONNECTION_CHOICE_H

#include "marigoldpitch/state/connection-table.h"

#include <optional>
#include <string>
#include <vector>

/**
 * Which customers have this host's connections to one upstream. A connection
 * belongs to one customer, and there are fewer connections than customers.
 */
namespace marigoldpitch {

/**
 * A customer that uses its connection at least this often keeps it from one
 * that has as many.
 */
constexpr Duration kRecentUse = Millis(100);

/**
 * How long a customer that has connections to the upstream waits for one of
 * them before it takes another customer's place.
 */
constexpr Duration kOwnConnectionWait = Millis(30);

/** One of the host's connections to the upstream. */
struct CustomerConnection
{
  ConnectionId id = 0;
  std::string customer; // empty: nobody's
  bool isIdle = false;  // not opening, busy or in a transaction
  Time lastUse = kInfinitePast;
};

/**
 * The idle connection that is closed so that one can be opened for a statement
 * of the customer, which has waited for `aWaited`; unset if there is none that
 * may be closed. `aOpen` are all connections of this host to the upstream.
 */
std::optional<ConnectionId>
ChooseReplaced(const std::vector<CustomerConnection>& aOpen,
               const std::string& aCustomer,
               Duration aWaited,
               Time aNow);

} // namespace marigoldpitch

#endif
