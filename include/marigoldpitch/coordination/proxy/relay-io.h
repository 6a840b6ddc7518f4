#ifndef MARIGOLDPITCH_COORDINATION_PROXY_RELAY_IO_H
#define MARIGOLDPITCH_COORDINATION_PROXY_RELAY_IO_H

#include "marigoldpitch/coordination/proxy/statement.h"
#include "marigoldpitch/state/proxy-config.h"
#include "marigoldpitch/state/time.h"

#include <cstdint>
#include <map>
#include <string>

/**
 * What two proxies of an availability zone send each other: the host that holds
 * a caller's session relays its statements to a host that serves the service.
 */
namespace marigoldpitch {

/** A link that another proxy opened to this one. */
using RelayLinkId = uint64_t;

/** A statement with all that the serving host needs of its session. */
struct RelayedStatement
{
  uint64_t session = 0; // of the sender, unique on its link
  uint64_t number = 0;  // of the statement in the session, rising
  std::string requestId;
  SessionStatement statement;
  DatabaseRoute route;
  std::string customer; // whose statement it is; empty: nobody's
  std::map<std::string, std::string> values; // the session's settings
  LogPoint lastCommit;
  SessionState state = SessionState::Idle;
  bool readOnly = false;    // whether the open transaction is
  bool isContinued = false; // the serving host has the transaction open
  Duration spent;           // since the statement arrived
  Duration transactionSpent;
};

/** The serving host's reply. */
struct RelayedReply
{
  uint64_t session = 0;
  uint64_t number = 0;
  StatementReply reply;
  // The statement did not run, and another host should be tried.
  bool isDeclined = false;
};

/** The sender has given up the session's statement, or its transaction. */
struct RelayedEnd
{
  uint64_t session = 0;
};

} // namespace marigoldpitch

#endif
