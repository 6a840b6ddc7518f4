#ifndef MARIGOLDPITCH_STATE_CONFIG_H
#define MARIGOLDPITCH_STATE_CONFIG_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/request.h"
#include "marigoldpitch/state/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/** The operators' configuration and the platform's host list, as values. */
namespace marigoldpitch {

struct Endpoint
{
  std::string address; // an IP number
  uint16_t port = 0;

  bool operator==(const Endpoint& aOther) const
  {
    return this->address == aOther.address && this->port == aOther.port;
  }
};

/** Which copies must hold a write before it is acknowledged. */
enum class Acknowledge
{
  AfterReplica, // a majority of the group holds it in its own term
  AfterPrimary, // a majority of the group still states the write's term
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

/** One kind of request that callers name, with its defaults. */
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
  uint32_t slots = 2;        // statements running at once per upstream
  uint32_t connections = 16; // open connections per upstream
  Acknowledge acknowledge = Acknowledge::AfterReplica;
  Duration transactionIdle = Seconds(5);
  std::vector<ServiceConfig> services;

  const ServiceConfig* FindService(const std::string& aName) const;

  /** Upstreams that make a majority of this group. */
  size_t Majority() const { return this->upstreams.size() / 2 + 1; }
};

/** What the burn report holds the service against. */
struct Objectives
{
  double availability = 0.999; // share answered correctly and in time
  double replicaShare = 0.9;   // share of age-accepting reads on replicas
  Duration failoverGap = Seconds(1);
};

struct Config
{
  uint64_t revision = 0; // the store's; 0 means none yet
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

/** One of the system's own hosts, or an upstream named by the platform. */
struct HostEntry
{
  std::string name;
  std::string zone;
  HostState state = HostState::Live;
  Endpoint owner;    // frames between the system's processes
  Endpoint entry;    // the same, of the host's entry
  Endpoint ownerOps; // operators' HTTP port of the owner
  Endpoint entryOps; // operators' HTTP port of the entry
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
