#ifndef MARIGOLDPITCH_STATE_CONFIG_H
#define MARIGOLDPITCH_STATE_CONFIG_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/request.h"
#include "marigoldpitch/state/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/** Parsed operators' configuration and platform host list. */
namespace marigoldpitch {

struct Endpoint
{
  std::string address; // an IP address
  uint16_t port = 0;

  bool operator==(const Endpoint& aOther) const
  {
    return this->address == aOther.address && this->port == aOther.port;
  }
};

/** What must be confirmed before a write is acknowledged. */
enum class Acknowledge
{
  AfterReplica, // a majority holds the write and is still in the write's term
  AfterPrimary, // a majority is still in the write's term
};

constexpr NameTable<Acknowledge, 2> kAcknowledgeNames{ {
  { Acknowledge::AfterReplica, "after-replica" },
  { Acknowledge::AfterPrimary, "after-primary" },
} };

struct UpstreamConfig
{
  std::string name;
  std::string zone;
  Endpoint endpoint;
  bool leaving = false;
};

/**
 * A service that calls this group: its name stands in its requests. Sets their
 * priority, limits their maximum age, and gives the timeout of those without
 * one.
 */
struct ServiceConfig
{
  std::string name;
  Priority priority = Priority::Normal;
  std::optional<Duration> maxAge; // unset: reads go to the primary
  Duration timeout = Seconds(2);
};

struct GroupConfig
{
  std::string name;
  std::string database;
  std::string user;
  std::vector<UpstreamConfig> upstreams;
  uint32_t slots = 2;        // concurrent statements per upstream
  uint32_t connections = 16; // open connections per upstream
  Acknowledge acknowledge = Acknowledge::AfterReplica;
  Duration transactionIdleTimeout = Seconds(5);
  std::vector<ServiceConfig> services;

  const ServiceConfig* FindService(const std::string& aName) const;

  /** The number of upstreams that form a majority of this group. */
  size_t Majority() const { return this->upstreams.size() / 2 + 1; }
};

/** Service-level objectives of the burn report. */
struct Objectives
{
  double availability = 0.999; // share answered correctly and in time
  double replicaShare = 0.9; // replicas' share of reads that accept stale data
  Duration failoverGap = Seconds(1);
};

struct Config
{
  uint64_t revision = 0; // of the store's key; 0: not read yet
  std::vector<GroupConfig> groups;
  Objectives objectives;

  const GroupConfig* FindGroup(const std::string& aName) const;
};

enum class HostState
{
  Live,
  Leaving,
};

constexpr NameTable<HostState, 2> kHostStateNames{ {
  { HostState::Live, "live" },
  { HostState::Leaving, "leaving" },
} };

/**
 * A host of the system. For a proxy's host only `name`, `zone` and `owner` are
 * set.
 */
struct HostEntry
{
  std::string name;
  std::string zone;
  HostState state = HostState::Live;
  Endpoint owner;          // owner daemon, frames from other daemons
  Endpoint entry;          // entry daemon, frames from other daemons
  Endpoint ownerOperators; // owner daemon, operators' HTTP requests
  Endpoint entryOperators; // entry daemon, operators' HTTP requests
};

struct HostList
{
  uint64_t revision = 0;
  std::vector<HostEntry> hosts;
  std::vector<std::string> leavingUpstreams; // `group/upstream`

  const HostEntry* FindHost(const std::string& aName) const;
};

} // namespace marigoldpitch

#endif
