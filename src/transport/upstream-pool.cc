#include "marigoldpitch/transport/upstream-pool.h"

namespace marigoldpitch {

namespace detail {

// The owner ends an idle transaction first; the upstream's own timeout is later
// by this margin and takes effect if the owner cannot.
constexpr Duration kIdleTimeoutMargin = Seconds(1);

// The SQLSTATE with which an upstream refuses a term; the message starts with
// the upstream's current term.
constexpr char kTermRefusedSqlState[] = "MP001";

Term
ParseTerm(const std::string& aMessage)
{
  return std::strtoull(aMessage.c_str(), nullptr, 10);
}

} // namespace detail

void
AdminChannel::Call(Statement aStatement, Callback aCallback)
{
  this->calls.push_back({ std::move(aStatement), std::move(aCallback) });
  if (!this->connection) {
    auto opened = PgConnection::Open(this->loop, this->target, *this);
    if (!opened) {
      // Deferred, because `Call` may run while an event is handled, and
      // `aCallback` may emit another event, which must not be nested.
      this->loop.Defer([this] { this->FailAll(); });
      return;
    }
    this->connection = opened.value();
    return;
  }
  this->RunNext();
}

void
AdminChannel::Reset()
{
  if (this->connection) {
    this->connection->Close();
    this->connection.reset();
  }
  this->running = false;
  this->FailAll();
}

void
AdminChannel::RunNext()
{
  if (this->running || this->calls.empty() || !this->connection->IsOpen()) {
    return;
  }
  this->running = true;
  this->connection->Run({ this->calls.front().statement });
}

void
AdminChannel::FailAll()
{
  std::deque<Pending> failed = std::move(this->calls);
  this->calls.clear();
  for (const Pending& call : failed) {
    call.done(nullptr);
  }
}

void
AdminChannel::OnPgOpen(PgConnection&)
{
  this->RunNext();
}

void
AdminChannel::OnPgResults(PgConnection&, std::vector<SqlResult> aResults)
{
  this->running = false;
  if (this->calls.empty()) {
    return;
  }
  Callback done = std::move(this->calls.front().done);
  this->calls.pop_front();
  done(aResults.empty() ? nullptr : &aResults[0]);
  if (this->connection) {
    this->RunNext();
  }
}

void
AdminChannel::OnPgClosed(PgConnection& aConnection,
                         const std::string&,
                         const std::string&)
{
  if (this->connection.get() != &aConnection) {
    return;
  }
  this->connection.reset();
  this->running = false;
  this->FailAll();
}

UpstreamPool::UpstreamPool(Loop& aLoop,
                           const GroupConfig& aConfig,
                           GroupEventSink& aSink)
  : loop(aLoop)
  , config(aConfig)
  , sink(aSink)
{
  for (UpstreamIndex i = 0; i < aConfig.upstreams.size(); ++i) {
    this->adminChannels.push_back(
      std::make_unique<AdminChannel>(aLoop, this->TargetOf(i)));
  }
}

UpstreamPool::~UpstreamPool()
{
  *this->alive = false;
  for (auto& [id, pooled] : this->pooledConnections) {
    pooled.connection->Close();
  }
}

PgTarget
UpstreamPool::TargetOf(UpstreamIndex aUpstream) const
{
  return { this->config.upstreams[aUpstream].endpoint,
           this->config.database,
           this->config.user,
           this->config.transactionIdleTimeout + detail::kIdleTimeoutMargin };
}

void
UpstreamPool::EmitEvent(const GroupEvent& aEvent)
{
  if (*this->alive) {
    this->sink.OnGroupEvent(aEvent);
  }
}

void
UpstreamPool::Perform(const OpenConnection& aAction)
{
  auto opened =
    PgConnection::Open(this->loop, this->TargetOf(aAction.upstream), *this);
  if (!opened) {
    ConnectionLost lost{ aAction.connection,
                         SqlErrorClass::Other,
                         opened.error().ToString() };
    this->loop.Defer([this, lost, alive = this->alive] {
      if (*alive) {
        this->EmitEvent(lost);
      }
    });
    return;
  }
  PooledConnection pooled;
  pooled.id = aAction.connection;
  pooled.upstream = aAction.upstream;
  pooled.connection = opened.value();
  this->idByConnection[pooled.connection.get()] = pooled.id;
  this->pooledConnections[pooled.id] = std::move(pooled);
}

void
UpstreamPool::Perform(const CloseConnection& aAction)
{
  auto found = this->pooledConnections.find(aAction.connection);
  if (found == this->pooledConnections.end()) {
    return;
  }
  PooledConnection pooled = std::move(found->second);
  this->pooledConnections.erase(found);
  this->idByConnection.erase(pooled.connection.get());
  int backendPid = pooled.connection->BackendPid();
  pooled.connection->Close();
  if (backendPid != 0) {
    this->adminChannels[pooled.upstream]->Call(TerminateSql(backendPid),
                                               [](const SqlResult*) {});
  }
}

void
UpstreamPool::Perform(const RunBatch& aAction)
{
  auto found = this->pooledConnections.find(aAction.connection);
  if (found == this->pooledConnections.end()) {
    return;
  }
  PooledConnection& pooled = found->second;
  pooled.sequence = aAction.sequence;
  pooled.batch = aAction.batch;
  pooled.connection->Run(ToSql(aAction.batch));
}

void
UpstreamPool::OnPgOpen(PgConnection& aConnection)
{
  auto found = this->idByConnection.find(&aConnection);
  if (found != this->idByConnection.end()) {
    this->EmitEvent(ConnectionOpened{ found->second });
  }
}

void
UpstreamPool::OnPgResults(PgConnection& aConnection,
                          std::vector<SqlResult> aResults)
{
  auto found = this->idByConnection.find(&aConnection);
  if (found == this->idByConnection.end()) {
    return;
  }
  const PooledConnection& pooled = this->pooledConnections[found->second];
  BatchResult result = FromSql(pooled.batch, aResults);
  this->EmitEvent(
    BatchFinished{ pooled.id, pooled.sequence, std::move(result) });
}

void
UpstreamPool::OnPgClosed(PgConnection& aConnection,
                         const std::string& aSqlState,
                         const std::string& aReason)
{
  auto found = this->idByConnection.find(&aConnection);
  if (found == this->idByConnection.end()) {
    return;
  }
  ConnectionId id = found->second;
  this->idByConnection.erase(found);
  this->pooledConnections.erase(id);
  SqlErrorClass failure =
    aSqlState.empty() ? SqlErrorClass::Other : ClassifySqlState(aSqlState);
  this->EmitEvent(ConnectionLost{ id, failure, aReason });
}

void
UpstreamPool::Perform(const ProbeUpstream& aAction)
{
  AdminChannel& channel = *this->adminChannels[aAction.upstream];
  if (aAction.useNewConnection) {
    channel.Reset();
  }
  auto done = [this, aAction, alive = this->alive](const SqlResult* aResult) {
    if (!*alive) {
      return;
    }
    bool hasSucceeded = aResult != nullptr && aResult->done;
    auto status = hasSucceeded ? ParseStatus(aResult->rows)
                               : Result<UpstreamStatus>(Error{});
    if (status) {
      this->EmitEvent(
        StatusAnswered{ aAction.upstream, aAction.probe, status.value() });
    } else {
      this->EmitEvent(StatusFailed{ aAction.upstream, aAction.probe });
    }
  };
  channel.Call(StatusSql(), done);
}

void
UpstreamPool::Perform(const AdoptTerm& aAction)
{
  auto done = [this, aAction, alive = this->alive](const SqlResult* aResult) {
    if (!*alive || aResult == nullptr) {
      return;
    }
    if (aResult->sqlState == detail::kTermRefusedSqlState) {
      this->EmitEvent(TermRefused{
        aAction.upstream, aAction.term, detail::ParseTerm(aResult->message) });
      return;
    }
    // Any other failure emits no event: the failover continues with the other
    // upstreams, or times out.
    auto log = ParseAdoptedLog(aResult->rows);
    if (aResult->done && log) {
      this->EmitEvent(
        TermAdopted{ aAction.upstream, aAction.term, log.value() });
    }
  };
  this->adminChannels[aAction.upstream]->Call(AdoptTermSql(aAction.term), done);
}

void
UpstreamPool::Perform(const Promote& aAction)
{
  auto done = [this, aAction, alive = this->alive](const SqlResult* aResult) {
    if (!*alive) {
      return;
    }
    bool hasSucceeded = aResult != nullptr && aResult->done;
    auto start = hasSucceeded ? ParsePromotionStart(aResult->rows)
                              : Result<Position>(Error{});
    if (start) {
      this->EmitEvent(
        Promoted{ aAction.upstream, aAction.term, start.value() });
    } else {
      this->EmitEvent(PromotionFailed{ aAction.upstream, aAction.term });
    }
  };
  this->adminChannels[aAction.upstream]->Call(PromoteSql(aAction.term), done);
}

void
UpstreamPool::Perform(const Follow& aAction)
{
  const Endpoint& primary = this->config.upstreams[aAction.primary].endpoint;
  this->adminChannels[aAction.upstream]->Call(FollowSql(aAction.term, primary),
                                              [](const SqlResult*) {});
}

} // namespace marigoldpitch
