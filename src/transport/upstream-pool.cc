#include "marigoldpitch/transport/upstream-pool.h"

namespace marigoldpitch {

namespace detail {

// The owner ends an idle transaction first; the upstream's own timeout is later
// by this margin and takes effect if the owner cannot.
constexpr Duration kIdleGrace = Seconds(1);

// The SQLSTATE with which an upstream refuses a term; the message starts with
// the upstream's current term.
constexpr char kTermRefused[] = "MP001";

Term
TermIn(const std::string& aMessage)
{
  return std::strtoull(aMessage.c_str(), nullptr, 10);
}

} // namespace detail

void
AdminChannel::Call(Statement aStatement, Done aDone)
{
  this->calls.push_back({ std::move(aStatement), std::move(aDone) });
  if (!this->connection) {
    auto opened = PgConnection::Open(this->loop, this->target, *this);
    if (!opened) {
      // Deferred, because the caller may be handling an event and `aDone` may
      // cause another one.
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
  Done done = std::move(this->calls.front().done);
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
    this->admin.push_back(
      std::make_unique<AdminChannel>(aLoop, this->TargetOf(i)));
  }
}

UpstreamPool::~UpstreamPool()
{
  *this->alive = false;
  for (auto& [id, worker] : this->workers) {
    worker.connection->Close();
  }
}

PgTarget
UpstreamPool::TargetOf(UpstreamIndex aUpstream) const
{
  return { this->config.upstreams[aUpstream].endpoint,
           this->config.database,
           this->config.user,
           this->config.transactionIdleTimeout + detail::kIdleGrace };
}

void
UpstreamPool::Send(const GroupEvent& aEvent)
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
        this->Send(lost);
      }
    });
    return;
  }
  Worker worker;
  worker.id = aAction.connection;
  worker.upstream = aAction.upstream;
  worker.connection = opened.value();
  this->byConnection[worker.connection.get()] = worker.id;
  this->workers[worker.id] = std::move(worker);
}

void
UpstreamPool::Perform(const CloseConnection& aAction)
{
  auto found = this->workers.find(aAction.connection);
  if (found == this->workers.end()) {
    return;
  }
  Worker worker = std::move(found->second);
  this->workers.erase(found);
  this->byConnection.erase(worker.connection.get());
  int backend = worker.connection->Backend();
  worker.connection->Close();
  if (backend != 0) {
    this->admin[worker.upstream]->Call(TerminateSql(backend),
                                       [](const SqlResult*) {});
  }
}

void
UpstreamPool::Perform(const RunBatch& aAction)
{
  auto found = this->workers.find(aAction.connection);
  if (found == this->workers.end()) {
    return;
  }
  Worker& worker = found->second;
  worker.sequence = aAction.sequence;
  worker.batch = aAction.batch;
  std::vector<Statement> statements;
  statements.reserve(aAction.batch.size());
  for (const Step& step : aAction.batch) {
    statements.push_back(ToSql(step));
  }
  worker.connection->Run(statements);
}

void
UpstreamPool::OnPgOpen(PgConnection& aConnection)
{
  auto found = this->byConnection.find(&aConnection);
  if (found != this->byConnection.end()) {
    this->Send(ConnectionOpened{ found->second });
  }
}

void
UpstreamPool::OnPgResults(PgConnection& aConnection,
                          std::vector<SqlResult> aResults)
{
  auto found = this->byConnection.find(&aConnection);
  if (found == this->byConnection.end()) {
    return;
  }
  const Worker& worker = this->workers[found->second];
  BatchResult result = FromSql(worker.batch, aResults);
  this->Send(BatchFinished{ worker.id, worker.sequence, std::move(result) });
}

void
UpstreamPool::OnPgClosed(PgConnection& aConnection,
                         const std::string& aSqlState,
                         const std::string& aReason)
{
  auto found = this->byConnection.find(&aConnection);
  if (found == this->byConnection.end()) {
    return;
  }
  ConnectionId id = found->second;
  this->byConnection.erase(found);
  this->workers.erase(id);
  SqlErrorClass failure =
    aSqlState.empty() ? SqlErrorClass::Other : ClassifySqlState(aSqlState);
  this->Send(ConnectionLost{ id, failure, aReason });
}

void
UpstreamPool::Perform(const ProbeUpstream& aAction)
{
  AdminChannel& channel = *this->admin[aAction.upstream];
  if (aAction.useNewConnection) {
    channel.Reset();
  }
  auto done = [this, aAction, alive = this->alive](const SqlResult* aResult) {
    if (!*alive) {
      return;
    }
    bool isAnswer = aResult != nullptr && aResult->done;
    auto status =
      isAnswer ? ParseStatus(aResult->rows) : Result<UpstreamStatus>(Error{});
    if (status) {
      this->Send(
        StatusAnswered{ aAction.upstream, aAction.probe, status.value() });
    } else {
      this->Send(StatusFailed{ aAction.upstream, aAction.probe });
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
    if (aResult->sqlState == detail::kTermRefused) {
      this->Send(TermRefused{
        aAction.upstream, aAction.term, detail::TermIn(aResult->message) });
      return;
    }
    auto log = ParseAdopted(aResult->rows);
    if (aResult->done && log) {
      this->Send(TermAdopted{ aAction.upstream, aAction.term, log.value() });
    }
  };
  this->admin[aAction.upstream]->Call(AdoptTermSql(aAction.term), done);
}

void
UpstreamPool::Perform(const Promote& aAction)
{
  auto done = [this, aAction, alive = this->alive](const SqlResult* aResult) {
    if (!*alive) {
      return;
    }
    bool isAnswer = aResult != nullptr && aResult->done;
    auto start =
      isAnswer ? ParsePromoted(aResult->rows) : Result<Position>(Error{});
    if (start) {
      this->Send(Promoted{ aAction.upstream, aAction.term, start.value() });
    } else {
      this->Send(PromotionFailed{ aAction.upstream, aAction.term });
    }
  };
  this->admin[aAction.upstream]->Call(PromoteSql(aAction.term), done);
}

void
UpstreamPool::Perform(const Follow& aAction)
{
  const Endpoint& primary = this->config.upstreams[aAction.primary].endpoint;
  this->admin[aAction.upstream]->Call(FollowSql(aAction.term, primary),
                                      [](const SqlResult*) {});
}

} // namespace marigoldpitch
