#include "group-simulation.h"

#include "marigoldpitch/protocol/upstream-sql.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

constexpr Duration kHeartbeatInterval = Millis(50);
constexpr Duration kIdleInTransaction = Seconds(6);

SqlResult
ToResult(const standin::StatementResult& aResult)
{
  SqlResult result;
  result.done = !aResult.error;
  if (aResult.error) {
    result.sqlState = aResult.error->state;
    result.message = aResult.error->message;
    return result;
  }
  result.rows = aResult.rows;
  size_t space = aResult.tag.rfind(' ');
  if (space != std::string::npos) {
    result.rows.affected =
      std::strtoull(aResult.tag.c_str() + space, nullptr, 10);
  }
  return result;
}

} // namespace

bool
GroupSimulation::Reaches(size_t aOwner, size_t aUpstream) const
{
  return this->ownerCuts.count({ aOwner, aUpstream }) == 0;
}

void
GroupSimulation::RunAtUpstream(size_t aUpstream, std::function<void()> aCall)
{
  // A frozen upstream handles the messages received meanwhile when it resumes.
  Time frozen = this->upstreams[aUpstream].frozenUntil;
  if (this->Now() < frozen) {
    this->After(frozen - this->Now(),
                [=] { this->RunAtUpstream(aUpstream, aCall); });
    return;
  }
  aCall();
}

void
GroupSimulation::OpenConnectionFor(size_t aOwner, const OpenConnection& aAction)
{
  auto session = std::make_shared<FakeSession>();
  session->upstream = aAction.upstream;
  session->incarnation = this->upstreams[aAction.upstream].incarnation;
  session->transaction = std::make_shared<standin::Transaction>();
  if (this->options.shareTransactions) {
    auto& shared = this->upstreams[aAction.upstream].shared;
    shared = shared ? shared : session->transaction;
    session->transaction = shared;
  }
  this->owners[aOwner].sessions[aAction.connection] = session;
  auto open = static_cast<uint32_t>(
    this->owners[aOwner].engine->Connections().UsageOf(aAction.upstream).open);
  this->maxOpenConnections = std::max(this->maxOpenConnections, open);
  ConnectionId id = aAction.connection;
  Duration span = this->Latency() + this->options.opening + this->Latency();
  this->After(span, [=] {
    if (!this->Reaches(aOwner, session->upstream)) {
      // No answer arrives; the client library times out.
      this->After(Seconds(1), [=] {
        this->HandleOwnerEvent(
          aOwner, ConnectionLost{ id, SqlErrorClass::Other, "cut" });
      });
      return;
    }
    if (!this->upstreams[session->upstream].alive) {
      this->HandleOwnerEvent(
        aOwner, ConnectionLost{ id, SqlErrorClass::Other, "refused" });
      return;
    }
    this->RunAtUpstream(session->upstream, [=] {
      session->open = true;
      session->incarnation = this->upstreams[session->upstream].incarnation;
      this->HandleOwnerEvent(aOwner, ConnectionOpened{ id });
    });
  });
}

void
GroupSimulation::RunBatchFor(size_t aOwner, const RunBatch& aAction)
{
  auto session = this->owners[aOwner].sessions[aAction.connection];
  size_t upstream = session->upstream;
  uint32_t running =
    this->owners[aOwner].engine->Connections().UsageOf(upstream).busy;
  this->maxBusyConnections = std::max(this->maxBusyConnections, running);
  this->lastWorkStarted[upstream] = this->Now();
  ++this->batches;
  this->After(this->Latency() + this->options.service, [=] {
    if (!this->Reaches(aOwner, upstream) || session->silent) {
      return;
    }
    this->RunAtUpstream(upstream, [=] {
      Upstream& target = this->upstreams[upstream];
      if (!target.alive || target.incarnation != session->incarnation ||
          !session->open) {
        return;
      }
      std::vector<SqlResult> results;
      bool isSkipping = false;
      session->transaction->hasPipelined = false;
      for (const Statement& statement : ToSql(aAction.batch)) {
        SqlResult result;
        result.skipped = true;
        if (!isSkipping) {
          result = ToResult(target.database->Execute(
            *session->transaction, statement, this->Now()));
          isSkipping = !result.done;
        }
        results.push_back(result);
      }
      this->After(this->Latency(), [=] {
        bool isConnected =
          this->Reaches(aOwner, upstream) && !session->silent && session->open;
        if (isConnected) {
          this->HandleOwnerEvent(
            aOwner,
            BatchFinished{ aAction.connection,
                           aAction.sequence,
                           FromSql(aAction.batch, results) });
        }
      });
    });
  });
}

void
GroupSimulation::CloseConnectionFor(size_t aOwner, ConnectionId aConnection)
{
  auto found = this->owners[aOwner].sessions.find(aConnection);
  if (found == this->owners[aOwner].sessions.end()) {
    return;
  }
  auto session = found->second;
  this->owners[aOwner].sessions.erase(found);
  // Messages in flight may still arrive before the connection ends. Over a
  // silent connection the close never arrives: the upstream keeps the session
  // until its own timeout for idle transactions.
  Duration until = session->silent || !this->Reaches(aOwner, session->upstream)
                     ? kIdleInTransaction
                     : this->Latency() + Millis(40);
  this->After(until, [=] { this->EndSession(session); });
  // Like the pool, also ends the session over the admin connection.
  this->RunAdminStatement(
    aOwner,
    session->upstream,
    StatusSql(),
    [](const auto*) {},
    [=] { this->EndSession(session); });
}

void
GroupSimulation::EndSession(const std::shared_ptr<FakeSession>& aSession)
{
  Upstream& target = this->upstreams[aSession->upstream];
  aSession->open = false;
  if (target.alive && target.incarnation == aSession->incarnation) {
    target.database->RollBack(*aSession->transaction);
  }
}

void
GroupSimulation::RunAdminStatement(size_t aOwner,
                                   size_t aUpstream,
                                   const Statement& aStatement,
                                   std::function<void(const SqlResult*)> aDone,
                                   std::function<void()> aOnArrival)
{
  auto& silent = this->owners[aOwner].silentAdminConnections[aUpstream];
  if (!silent) {
    silent = std::make_shared<bool>(false);
  }
  std::shared_ptr<bool> isSilent = silent;
  this->After(this->Latency(), [=] {
    if (!this->Reaches(aOwner, aUpstream) || *isSilent) {
      return;
    }
    if (!this->upstreams[aUpstream].alive) {
      this->After(this->Latency(), [=] { aDone(nullptr); });
      return;
    }
    this->RunAtUpstream(aUpstream, [=] {
      if (!this->upstreams[aUpstream].alive) {
        return;
      }
      if (aOnArrival) {
        aOnArrival();
      }
      standin::Database& database = *this->upstreams[aUpstream].database;
      standin::Transaction transaction;
      auto outcome = database.Execute(transaction, aStatement, this->Now());
      if (database.newFollowTarget) {
        this->upstreams[aUpstream].following =
          database.newFollowTarget->port - 1u;
        this->upstreams[aUpstream].isReplicating = false;
        database.newFollowTarget.reset();
      }
      if (database.mustCloseReplication) {
        database.mustCloseReplication = false;
        this->upstreams[aUpstream].following.reset();
        this->upstreams[aUpstream].isReplicating = false;
      }
      bool isPromotion =
        aStatement.sql.find("promote") != std::string::npos && !outcome.error;
      if (isPromotion) {
        ++this->promotions;
        this->hasDuplicateTerm =
          this->hasDuplicateTerm ||
          !this->promotedTerms.insert(database.CurrentTerm()).second;
      }
      this->After(this->Latency(), [=, result = ToResult(outcome)] {
        if (this->Reaches(aOwner, aUpstream) && !*isSilent) {
          aDone(&result);
        }
      });
    });
  });
}

// Replication.

void
GroupSimulation::Replicate()
{
  for (Upstream& upstream : this->upstreams) {
    size_t size = upstream.database->Log().size();
    if (upstream.committedAt.size() > size) {
      upstream.committedAt.clear();
    }
    while (upstream.committedAt.size() < size) {
      upstream.committedAt.push_back(this->Now());
    }
  }
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    this->ReplicateTo(i);
  }
  this->After(Millis(1), [this] { this->Replicate(); });
}

void
GroupSimulation::ReplicateTo(size_t aReplica)
{
  Upstream& replica = this->upstreams[aReplica];
  if (!replica.alive || !replica.following ||
      this->Now() < replica.frozenUntil) {
    return;
  }
  size_t leader = *replica.following;
  Upstream& primary = this->upstreams[leader];
  bool isConnected =
    primary.alive && this->Now() >= primary.frozenUntil &&
    this->upstreamCuts.count(std::minmax(leader, aReplica)) == 0;
  bool isLeader =
    primary.database->CurrentRole() == Role::Primary &&
    primary.database->CurrentTerm() == replica.database->CurrentTerm();
  if (!isConnected || !isLeader) {
    return;
  }
  const auto& log = primary.database->Log();
  if (!replica.isReplicating) {
    if (replica.replicatingSince == kInfinitePast ||
        replica.replicatingSince > this->Now()) {
      replica.replicatingSince = this->Now();
    }
    Position from = replica.database->Log().size();
    if (!primary.database->HasPrefix(from, replica.database->LastTerm())) {
      replica.database->Reset();
    }
    replica.database->BecomeReplica(primary.database->CurrentTerm(),
                                    primary.database->TermStart());
    replica.isReplicating = true;
    replica.database->NotePrimaryContact(this->Now());
  }
  bool isHeartbeat = this->Now().ms % kHeartbeatInterval.ms == 0;
  if (isHeartbeat) {
    replica.database->NotePrimaryContact(this->Now());
    // A new random lag per heartbeat, so that nothing can rely on it.
    int64_t longest = std::max<int64_t>(this->options.longestLag.ms, 1);
    if (replica.database->testSettings.replayLag < Seconds(1)) {
      replica.database->testSettings.replayLag =
        Millis(this->Random(static_cast<uint32_t>(longest)));
    }
  }
  while (replica.database->Log().size() < log.size()) {
    Position next = replica.database->Log().size();
    if (primary.committedAt[next] + this->options.oneWay > this->Now()) {
      break;
    }
    replica.database->Receive(log[next], this->Now());
    replica.database->NotePrimaryContact(this->Now());
  }
  replica.database->Replay(this->Now());
}

} // namespace marigoldpitch::fakes
