#include "group-simulation.h"

#include "marigoldpitch/coordination/common/ownership.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

constexpr char kHostPrefix[] = "host-";

GroupConfig
MakeConfig(const GroupSimulationOptions& aOptions)
{
  GroupConfig config;
  config.name = "orders";
  config.slots = aOptions.slots;
  config.connections = aOptions.connections;
  config.transactionIdleTimeout = Seconds(2);
  for (size_t i = 0; i < aOptions.upstreams; ++i) {
    UpstreamConfig upstream;
    upstream.name = "upstream-" + std::to_string(i);
    upstream.zone = "zone-" + std::to_string(i);
    upstream.endpoint = { "127.0.0.1", static_cast<uint16_t>(i + 1) };
    config.upstreams.push_back(upstream);
  }
  return config;
}

} // namespace

GroupSimulation::GroupSimulation(const GroupSimulationOptions& aOptions)
  : config(MakeConfig(aOptions))
  , options(aOptions)
  , random(aOptions.seed)
{
  for (size_t i = 0; i < aOptions.upstreams; ++i) {
    Upstream upstream;
    Role role = i == 0 ? Role::Primary : Role::Detached;
    upstream.database = std::make_unique<standin::Database>(role, 1);
    if (i != 0) {
      upstream.following = 0;
    }
    this->upstreams.push_back(std::move(upstream));
  }
  this->lastReserved = 1;
  HostList hosts = MakeHosts(aOptions.owners);
  for (size_t i = 0; i < aOptions.owners; ++i) {
    Owner owner;
    GroupOptions groupOptions;
    groupOptions.answerBytes = aOptions.answerBytes;
    std::string host = HostName(i);
    groupOptions.owner = host + "~a";
    groupOptions.standby = RankOf(host, this->config.name, hosts.hosts) != 0;
    owner.engine =
      std::move(GroupEngine::Create(
                  this->config, aOptions.policies(this->config), groupOptions)
                  .value());
    this->owners.push_back(std::move(owner));
  }
  Config whole;
  whole.revision = 1;
  whole.groups.push_back(this->config);
  for (size_t i = 0; i < aOptions.entries; ++i) {
    Entry entry;
    entry.engine = std::make_unique<EntryEngine>();
    this->entries.push_back(std::move(entry));
    this->HandleEntryEvent(i, HostsChanged{ hosts });
    this->HandleEntryEvent(i, ConfigurationChanged{ whole });
    this->TickEntry(i);
  }
  for (size_t i = 0; i < aOptions.owners; ++i) {
    this->TickOwner(i, 0);
  }
  this->Replicate();
  this->RunFor(Millis(500));
}

Duration
GroupSimulation::Latency()
{
  // One way, with up to 1 ms of jitter, and up to 29 ms for one message in 200.
  bool isSlow = this->Random(200) == 0;
  int64_t jitter = this->Random(isSlow ? 30 : 2);
  return this->options.oneWay + Millis(jitter);
}

std::string
GroupSimulation::HostName(size_t aOwner)
{
  return kHostPrefix + std::to_string(aOwner);
}

size_t
GroupSimulation::IndexOf(const std::string& aHost)
{
  return std::stoul(aHost.substr(sizeof(kHostPrefix) - 1));
}

HostList
GroupSimulation::MakeHosts(size_t aOwners)
{
  HostList hosts;
  hosts.revision = 1;
  for (size_t i = 0; i < aOwners; ++i) {
    HostEntry host;
    host.name = HostName(i);
    host.zone = "zone-" + std::to_string(i);
    hosts.hosts.push_back(host);
  }
  return hosts;
}

size_t
GroupSimulation::PreferredOwner() const
{
  HostList hosts = MakeHosts(this->owners.size());
  return IndexOf(RankCandidates(this->config.name, hosts.hosts).front());
}

std::optional<Duration>
GroupSimulation::ActualAge(size_t aUpstream) const
{
  auto primary = this->ActualPrimary();
  const Upstream& replica = this->upstreams[aUpstream];
  bool isReplica = replica.alive && replica.isReplicating &&
                   replica.database->CurrentRole() == Role::Replica;
  if (!primary || !isReplica) {
    return std::nullopt;
  }
  Position shown = replica.database->Status(this->Now()).replayed;
  const auto& committed = this->upstreams[*primary].committedAt;
  return shown < committed.size() ? this->Now() - committed[shown] : Duration{};
}

bool
GroupSimulation::IsFullyReplicated() const
{
  auto primary = this->ActualPrimary();
  if (!primary) {
    return false;
  }
  size_t size = this->upstreams[*primary].database->Log().size();
  return std::all_of(
    this->upstreams.begin(), this->upstreams.end(), [&](const Upstream& aOne) {
      bool isReplica = aOne.database->CurrentRole() == Role::Replica;
      bool isPrimary = &aOne == &this->upstreams[*primary];
      return aOne.alive && (isPrimary || isReplica) &&
             aOne.database->Log().size() + 5 >= size;
    });
}

std::optional<size_t>
GroupSimulation::ActualPrimary() const
{
  std::optional<size_t> best;
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    const Upstream& upstream = this->upstreams[i];
    if (!upstream.alive || upstream.database->CurrentRole() != Role::Primary) {
      continue;
    }
    bool isHigher = !best || upstream.database->CurrentTerm() >
                               this->upstreams[*best].database->CurrentTerm();
    if (isHigher) {
      best = i;
    }
  }
  return best;
}

std::string
GroupSimulation::Value(size_t aUpstream,
                       const std::string& aTable,
                       const std::string& aKey)
{
  standin::Transaction transaction;
  Statement statement{ "SELECT value FROM " + aTable + " WHERE key = $1",
                       { aKey } };
  auto outcome = this->upstreams[aUpstream].database->Execute(
    transaction, statement, this->Now());
  return outcome.rows.rows.empty() ? std::string()
                                   : outcome.rows.rows[0][0].value_or("");
}

} // namespace marigoldpitch::fakes
