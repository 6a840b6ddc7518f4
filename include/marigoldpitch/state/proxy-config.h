#ifndef MARIGOLDPITCH_STATE_PROXY_CONFIG_H
#define MARIGOLDPITCH_STATE_PROXY_CONFIG_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/store-position.h"
#include "marigoldpitch/state/upstream-status.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * Configuration and registrations that a proxy reads from the platform. Here a
 * service is a replicated database and owns a group of upstreams; the services
 * in config.h are callers instead.
 */
namespace marigoldpitch {

/** Which commits the reads of a route must see. */
enum class Freshness
{
  Newest,  // every acknowledged one; only the primary serves the read
  Bounded, // those older than the accepted age
  Session, // those older than the accepted age, and the session's own
};

constexpr NameTable<Freshness, 3> kFreshnessNames{ {
  { Freshness::Newest, "newest" },
  { Freshness::Bounded, "bounded" },
  { Freshness::Session, "session" },
} };

/** Maps a database name to a service, with the defaults of its requests. */
struct DatabaseRoute
{
  std::string database;
  std::string service;
  Freshness freshness = Freshness::Newest;
  Duration maxAge;                       // of the data that reads accept
  Duration timeout = Millis(1000);       // of one statement
  Duration latencyObjective = Millis(0); // of a whole operation
  int priority = 0;                      // 0 is the highest
};

struct ServiceLimits
{
  uint32_t connections = 1;        // per upstream, for all hosts together
  bool confirmedByReplica = false; // commits wait until a replica holds them
};

struct ProxyConfig
{
  uint64_t version = 0;
  std::map<std::string, DatabaseRoute> routes; // by database
  std::map<std::string, ServiceLimits> services;
  Duration transactionIdleTimeout = Seconds(3);
};

/** An upstream's own registration. */
struct RegisteredUpstream
{
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  bool leaving = false;
  std::optional<Role> role; // as reported by the upstream
  // Differs after each start under the same id; 0: not known.
  uint64_t incarnation = 0;
  uint32_t slots = 0; // statements that it runs at once; 0: not known
};

/** A proxy host's own registration. */
struct ProxyHost
{
  std::string name;
  std::string zone;
  std::string run; // id of this process run, never reused
  Endpoint peers;  // for connections from other proxies
  // For statements that other proxies relay; port 0: it takes none.
  Endpoint relays = {};
};

/** The proxies' own keys in the store: hosts and the promoter's lease. */
struct ProxyHosts
{
  std::vector<ProxyHost> hosts;
  bool isPromoterLeaseHeld = false; // a proxy holds the promoter's lease
  uint64_t promoterKeyRevision = 0; // of the lease's key; 0: it does not exist
  std::string lastHolder;           // as `FormatLastHolder` writes it, or empty
  uint64_t lastHolderRevision = 0;  // of that key; 0: it has no value
};

/** An upstream that may hold or confirm commits of its group. */
struct GroupMember
{
  std::string id;
  Endpoint endpoint;
  std::string zone;
  // The newest incarnation whose log is known to contain every commit that the
  // upstream has confirmed; 0: not known.
  uint64_t incarnation = 0;
};

/**
 * The order of a group's records, which their writers keep in the records
 * themselves. Unlike the store's positions, it tells which of two records of
 * different eras knows more.
 */
struct RecordOrder
{
  uint64_t era = 0;    // of the store when the record was written
  uint64_t number = 0; // one above the replaced record's; 0: not known

  bool IsUnset() const { return this->number == 0; }
  bool operator<(const RecordOrder& aOther) const
  {
    return std::tie(this->era, this->number) <
           std::tie(aOther.era, aOther.number);
  }
};

/** The members of a service's group, as recorded in the store. */
struct GroupRecord
{
  std::string service;
  std::vector<GroupMember> members;
  StorePosition position; // of the record's key; not part of its text
  RecordOrder order = {};
};

} // namespace marigoldpitch

#endif
