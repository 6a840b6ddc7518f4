#ifndef MARIGOLDPITCH_STATE_PROXY_CONFIG_H
#define MARIGOLDPITCH_STATE_PROXY_CONFIG_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/upstream-status.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/** What a proxy is told of databases, services and upstreams. */
namespace marigoldpitch {

/** How fresh the reads of a route must be. */
enum class Freshness
{
  Newest,  // all that was acknowledged: the primary's
  Bounded, // all that is older than the accepted age
  Session, // the same, and all that the session itself committed
};

constexpr NameTable<Freshness, 3> kFreshnessNames{ {
  { Freshness::Newest, "newest" },
  { Freshness::Bounded, "bounded" },
  { Freshness::Session, "session" },
} };

/** The way from a database's name to a service. */
struct DatabaseRoute
{
  std::string database;
  std::string service;
  Freshness freshness = Freshness::Newest;
  Duration maxAge;                       // accepted by reads
  Duration timeout = Millis(1000);       // of one statement
  Duration latencyObjective = Millis(0); // of a whole operation
  int priority = 0;                      // 0 goes first
};

struct ServiceLimits
{
  uint32_t connections = 1; // at one upstream, from all hosts together
  bool confirmedByReplica = false;
};

struct ProxyConfig
{
  uint64_t version = 0;
  std::map<std::string, DatabaseRoute> routes; // by database
  std::map<std::string, ServiceLimits> services;
  Duration idleTransaction = Seconds(3);
};

/** An upstream as it registered itself. */
struct RegisteredUpstream
{
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  bool leaving = false;
  std::optional<Role> role; // as it sees itself
};

/** A proxy's host as it registered itself. */
struct ProxyHost
{
  std::string name;
  std::string zone;
  std::string run; // names this run of its process among all that ever were
  Endpoint peers;  // where it talks to other proxies
};

/** The proxies' own keys in the store, as of one read. */
struct ProxyHosts
{
  std::vector<ProxyHost> hosts;
  bool isDutyTaken = false;
  std::string lastHolder;          // the run that held the duty last, or empty
  uint64_t lastHolderRevision = 0; // of that word; 0: there was none
};

/** An upstream that may hold or confirm commits of its group. */
struct GroupMember
{
  std::string id;
  Endpoint endpoint;
  std::string zone;
};

/** Who belongs to a service's group, as the store has it. */
struct GroupRecord
{
  std::string service;
  std::vector<GroupMember> members;
  uint64_t revision = 0;
};

} // namespace marigoldpitch

#endif
