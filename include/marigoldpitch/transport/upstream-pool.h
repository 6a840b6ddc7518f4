#ifndef MARIGOLDPITCH_TRANSPORT_UPSTREAM_POOL_H
#define MARIGOLDPITCH_TRANSPORT_UPSTREAM_POOL_H

#include "marigoldpitch/coordination/owner/group-io.h"
#include "marigoldpitch/state/config.h"
#include "marigoldpitch/transport/pg-connection.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

/** The connections from an owner to the upstreams of a group. */
namespace marigoldpitch {

/** Receives the events of the upstreams. */
class GroupEventSink
{
public:
  virtual ~GroupEventSink() = default;
  virtual void OnGroupEvent(const GroupEvent& aEvent) = 0;
};

/**
 * A connection for administrative statements on one upstream, such as status
 * queries and promotion. Runs one statement at a time; opened on demand.
 */
class AdminChannel : public PgListener
{
public:
  // Receives null if no result arrived.
  using Callback = std::function<void(const SqlResult*)>;

  AdminChannel(Loop& aLoop, PgTarget aTarget)
    : loop(aLoop)
    , target(std::move(aTarget))
  {
  }

  void Call(Statement aStatement, Callback aCallback);

  /**
   * Closes the connection, which may no longer respond, and fails all pending
   * calls. The next call opens a new connection.
   */
  void Reset();

  void OnPgOpen(PgConnection& aConnection) override;
  void OnPgResults(PgConnection& aConnection,
                   std::vector<SqlResult> aResults) override;
  void OnPgClosed(PgConnection& aConnection,
                  const std::string& aSqlState,
                  const std::string& aReason) override;

private:
  struct Pending
  {
    Statement statement;
    Callback done;
  };

  void RunNext();
  void FailAll();

  Loop& loop;
  PgTarget target;
  std::shared_ptr<PgConnection> connection;
  bool running = false;
  std::deque<Pending> calls;
};

/** Performs the actions of `GroupEngine` that concern upstreams. */
class UpstreamPool : public PgListener
{
public:
  UpstreamPool(Loop& aLoop, const GroupConfig& aConfig, GroupEventSink& aSink);
  ~UpstreamPool() override;
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  void Perform(const OpenConnection& aAction);
  void Perform(const CloseConnection& aAction);
  void Perform(const RunBatch& aAction);
  void Perform(const ProbeUpstream& aAction);
  void Perform(const AdoptTerm& aAction);
  void Perform(const Promote& aAction);
  void Perform(const Follow& aAction);

  void OnPgOpen(PgConnection& aConnection) override;
  void OnPgResults(PgConnection& aConnection,
                   std::vector<SqlResult> aResults) override;
  void OnPgClosed(PgConnection& aConnection,
                  const std::string& aSqlState,
                  const std::string& aReason) override;

private:
  struct PooledConnection
  {
    ConnectionId id = 0;
    UpstreamIndex upstream = 0;
    std::shared_ptr<PgConnection> connection;
    uint64_t sequence = 0;
    Batch batch;
  };

  PgTarget TargetOf(UpstreamIndex aUpstream) const;
  void EmitEvent(const GroupEvent& aEvent);

  Loop& loop;
  GroupConfig config;
  GroupEventSink& sink;
  // Shared with callbacks, which check that the pool still exists.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  std::vector<std::unique_ptr<AdminChannel>> adminChannels;
  std::map<ConnectionId, PooledConnection> pooledConnections;
  std::map<const PgConnection*, ConnectionId> idByConnection;
};

} // namespace marigoldpitch

#endif
