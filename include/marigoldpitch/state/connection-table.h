#ifndef MARIGOLDPITCH_STATE_CONNECTION_TABLE_H
#define MARIGOLDPITCH_STATE_CONNECTION_TABLE_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/request.h"
#include "marigoldpitch/state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * Connections and slots of a group's upstreams. A batch is one or more
 * statements that are sent together; a running batch takes one slot.
 */
namespace marigoldpitch {

using ConnectionId = uint64_t;
using UpstreamIndex = size_t;

enum class ConnectionState
{
  Opening,
  Idle,
  Busy,              // runs a batch and takes a slot, also in a transaction
  IdleInTransaction, // in a transaction, without a running batch
};

constexpr NameTable<ConnectionState, 4> kConnectionStateNames{ {
  { ConnectionState::Opening, "opening" },
  { ConnectionState::Idle, "idle" },
  { ConnectionState::Busy, "busy" },
  { ConnectionState::IdleInTransaction, "pinned" },
} };

struct Connection
{
  ConnectionId id = 0;
  UpstreamIndex upstream = 0;
  ConnectionState state = ConnectionState::Opening;
  uint64_t sequence = 0;      // of the running or the last batch
  std::string transaction;    // set from `Pin` to `Unpin`
  Time since = kInfinitePast; // of the last change of state
};

struct UpstreamUsage
{
  uint32_t open = 0; // in any state
  uint32_t opening = 0;
  uint32_t busy = 0;
  uint32_t idleInTransaction = 0;
};

/**
 * Tracks the connections of each upstream, and how many of them run a batch.
 * Call `FindIdle` or `HasFreeSlot` before `StartBatch`, and `CanOpen` before
 * `Open`: then running batches never exceed the slots and connections never
 * exceed their limit. A connection serves one transaction at a time.
 */
class ConnectionTable
{
public:
  /** Connection ids start at `aFirstId` + 1. */
  ConnectionTable(size_t aUpstreams,
                  uint32_t aSlots,
                  uint32_t aMaxConnections,
                  ConnectionId aFirstId = 0)
    : slots(aSlots)
    , maxConnections(aMaxConnections)
    , lastId(aFirstId)
    , usages(aUpstreams)
  {
  }

  /** Adds `aMore` upstreams without connections. */
  void AddUpstreams(size_t aMore)
  {
    this->usages.resize(this->usages.size() + aMore);
  }

  bool CanOpen(UpstreamIndex aUpstream) const;
  ConnectionId Open(UpstreamIndex aUpstream, Time aNow);
  void MarkOpened(ConnectionId aId, Time aNow);

  bool HasFreeSlot(UpstreamIndex aUpstream) const;

  /**
   * An idle connection of the upstream; unset if there is none, or no free
   * slot.
   */
  std::optional<ConnectionId> FindIdle(UpstreamIndex aUpstream) const;

  /** Takes a slot and returns the sequence number for `FinishBatch`. */
  uint64_t StartBatch(ConnectionId aId, Time aNow);

  /**
   * Frees the slot. Returns false if `aSequence` is not of the batch that runs
   * on the connection.
   */
  bool FinishBatch(ConnectionId aId, uint64_t aSequence, Time aNow);

  void SetLimits(uint32_t aSlots, uint32_t aMaxConnections)
  {
    this->slots = aSlots;
    this->maxConnections = aMaxConnections;
  }

  /** Reserves the connection for a transaction until `Unpin` or `Remove`. */
  void Pin(ConnectionId aId, const std::string& aTransaction);
  void Unpin(ConnectionId aId);

  void Remove(ConnectionId aId);
  const Connection* Find(ConnectionId aId) const;
  const UpstreamUsage& UsageOf(UpstreamIndex aUpstream) const
  {
    return this->usages[aUpstream];
  }
  std::vector<ConnectionId> ConnectionsOf(UpstreamIndex aUpstream) const;

private:
  void SetState(Connection& aConnection, ConnectionState aState, Time aNow);
  uint32_t* CounterOf(UpstreamUsage& aUsage, ConnectionState aState);

  uint32_t slots;
  uint32_t maxConnections;
  ConnectionId lastId = 0;
  uint64_t lastSequence = 0;
  std::map<ConnectionId, Connection> connections;
  std::vector<UpstreamUsage> usages;
};

} // namespace marigoldpitch

#endif
