#include "marigoldpitch/state/connection-table.h"

namespace marigoldpitch {

bool
ConnectionTable::CanOpen(UpstreamIndex aUpstream) const
{
  return this->usages[aUpstream].open < this->maxConnections;
}

ConnectionId
ConnectionTable::Open(UpstreamIndex aUpstream, Time aNow)
{
  Connection connection;
  connection.id = ++this->lastId;
  connection.upstream = aUpstream;
  connection.since = aNow;
  this->connections[connection.id] = connection;
  ++this->usages[aUpstream].open;
  ++this->usages[aUpstream].opening;
  return connection.id;
}

void
ConnectionTable::MarkOpened(ConnectionId aId, Time aNow)
{
  auto found = this->connections.find(aId);
  if (found != this->connections.end()) {
    this->SetState(found->second, ConnectionState::Idle, aNow);
  }
}

bool
ConnectionTable::HasFreeSlot(UpstreamIndex aUpstream) const
{
  return this->usages[aUpstream].busy < this->slots;
}

std::optional<ConnectionId>
ConnectionTable::FindIdle(UpstreamIndex aUpstream) const
{
  if (!this->HasFreeSlot(aUpstream)) {
    return std::nullopt;
  }
  for (const auto& [id, connection] : this->connections) {
    if (connection.upstream == aUpstream &&
        connection.state == ConnectionState::Idle) {
      return id;
    }
  }
  return std::nullopt;
}

uint64_t
ConnectionTable::StartBatch(ConnectionId aId, Time aNow)
{
  Connection& connection = this->connections.at(aId);
  this->SetState(connection, ConnectionState::Busy, aNow);
  connection.sequence = ++this->lastSequence;
  return connection.sequence;
}

bool
ConnectionTable::FinishBatch(ConnectionId aId, uint64_t aSequence, Time aNow)
{
  auto found = this->connections.find(aId);
  if (found == this->connections.end()) {
    return false;
  }
  Connection& connection = found->second;
  if (connection.state != ConnectionState::Busy ||
      connection.sequence != aSequence) {
    return false;
  }
  bool idleInTransaction = !connection.transaction.empty();
  this->SetState(connection,
                 idleInTransaction ? ConnectionState::IdleInTransaction
                                   : ConnectionState::Idle,
                 aNow);
  return true;
}

void
ConnectionTable::Pin(ConnectionId aId, const std::string& aTransaction)
{
  Connection& connection = this->connections.at(aId);
  connection.transaction = aTransaction;
  if (connection.state == ConnectionState::Idle) {
    this->SetState(
      connection, ConnectionState::IdleInTransaction, connection.since);
  }
}

void
ConnectionTable::Unpin(ConnectionId aId)
{
  auto found = this->connections.find(aId);
  if (found == this->connections.end()) {
    return;
  }
  Connection& connection = found->second;
  connection.transaction.clear();
  if (connection.state == ConnectionState::IdleInTransaction) {
    this->SetState(connection, ConnectionState::Idle, connection.since);
  }
}

void
ConnectionTable::Remove(ConnectionId aId)
{
  auto found = this->connections.find(aId);
  if (found == this->connections.end()) {
    return;
  }
  UpstreamUsage& usage = this->usages[found->second.upstream];
  --usage.open;
  if (uint32_t* counter = this->CounterOf(usage, found->second.state)) {
    --*counter;
  }
  this->connections.erase(found);
}

const Connection*
ConnectionTable::Find(ConnectionId aId) const
{
  auto found = this->connections.find(aId);
  return found == this->connections.end() ? nullptr : &found->second;
}

std::vector<ConnectionId>
ConnectionTable::ConnectionsOf(UpstreamIndex aUpstream) const
{
  std::vector<ConnectionId> all;
  for (const auto& [id, connection] : this->connections) {
    if (connection.upstream == aUpstream) {
      all.push_back(id);
    }
  }
  return all;
}

void
ConnectionTable::SetState(Connection& aConnection,
                          ConnectionState aState,
                          Time aNow)
{
  UpstreamUsage& usage = this->usages[aConnection.upstream];
  if (uint32_t* counter = this->CounterOf(usage, aConnection.state)) {
    --*counter;
  }
  if (uint32_t* counter = this->CounterOf(usage, aState)) {
    ++*counter;
  }
  aConnection.state = aState;
  aConnection.since = aNow;
}

uint32_t*
ConnectionTable::CounterOf(UpstreamUsage& aUsage, ConnectionState aState)
{
  switch (aState) {
    case ConnectionState::Opening:
      return &aUsage.opening;
    case ConnectionState::Busy:
      return &aUsage.busy;
    case ConnectionState::IdleInTransaction:
      return &aUsage.idleInTransaction;
    case ConnectionState::Idle:
      return nullptr;
  }
  return nullptr;
}

} // namespace marigoldpitch
