#include "world.h"

#include "marigoldpitch/coordination/ownership.h"
#include "marigoldpitch/protocol/upstream-sql.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

constexpr Duration kBeat = Millis(50);
constexpr Duration kIdleInTransaction = Seconds(6);
constexpr Duration kEntryTick = Millis(20);
constexpr char kHostPrefix[] = "host-";

GroupConfig
MakeConfig(const WorldOptions& aOptions)
{
  GroupConfig config;
  config.name = "orders";
  config.slots = aOptions.slots;
  config.connections = aOptions.connections;
  config.transactionIdle = Seconds(2);
  for (size_t i = 0; i < aOptions.upstreams; ++i) {
    UpstreamConfig upstream;
    upstream.name = "upstream-" + std::to_string(i);
    upstream.zone = "zone-" + std::to_string(i);
    upstream.endpoint = { "127.0.0.1", static_cast<uint16_t>(i + 1) };
    config.upstreams.push_back(upstream);
  }
  return config;
}

HostList
MakeHosts(size_t aOwners)
{
  HostList hosts;
  hosts.revision = 1;
  for (size_t i = 0; i < aOwners; ++i) {
    HostEntry host;
    host.name = kHostPrefix + std::to_string(i);
    host.zone = "zone-" + std::to_string(i);
    hosts.hosts.push_back(host);
  }
  return hosts;
}

SqlResult
ToResult(const standin::Outcome& aOutcome)
{
  SqlResult result;
  result.done = !aOutcome.error;
  if (aOutcome.error) {
    result.sqlState = aOutcome.error->state;
    result.message = aOutcome.error->message;
    return result;
  }
  result.rows = aOutcome.rows;
  size_t space = aOutcome.tag.rfind(' ');
  if (space != std::string::npos) {
    result.rows.affected =
      std::strtoull(aOutcome.tag.c_str() + space, nullptr, 10);
  }
  return result;
}

std::pair<size_t, size_t>
Ordered(size_t aLeft, size_t aRight)
{
  return { std::min(aLeft, aRight), std::max(aLeft, aRight) };
}

} // namespace

World::World(const WorldOptions& aOptions)
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
    std::string host = kHostPrefix + std::to_string(i);
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
    this->StepEntry(i, HostsChanged{ hosts });
    this->StepEntry(i, ConfigurationChanged{ whole });
    this->TickEntry(i);
  }
  for (size_t i = 0; i < aOptions.owners; ++i) {
    this->TickOwner(i, 0);
  }
  this->Replicate();
  this->RunFor(Millis(500));
}

Duration
World::Latency()
{
  // One way, with some jitter; at times much more.
  bool isSlow = this->Random(200) == 0;
  int64_t jitter = this->Random(isSlow ? 30 : 2);
  return this->options.oneWay + Millis(jitter);
}

size_t
World::IndexOf(const std::string& aHost)
{
  return std::stoul(aHost.substr(sizeof(kHostPrefix) - 1));
}

// Callers.

void
World::Ask(size_t aEntry, Request aRequest, Answered aDone)
{
  aRequest.group = this->config.name;
  RequestHandle handle = ++this->lastHandle;
  this->callers[handle] = std::move(aDone);
  this->StepEntry(aEntry, CallerAsked{ handle, aRequest });
}

void
World::AskOwner(size_t aOwner, Request aRequest, Answered aDone)
{
  aRequest.group = this->config.name;
  RequestHandle handle = ++this->lastHandle;
  this->ownerAsks[handle] = std::move(aDone);
  this->StepOwner(aOwner, RequestArrived{ handle, aRequest });
}

// Entries.

void
World::TickEntry(size_t aEntry)
{
  this->StepEntry(aEntry, EntryTick{});
  this->After(kEntryTick, [this, aEntry] { this->TickEntry(aEntry); });
}

void
World::StepEntry(size_t aEntry, const EntryEvent& aEvent)
{
  EntryActions actions =
    this->entries[aEntry].engine->Handle(this->Now(), aEvent);
  for (const EntryAction& action : actions) {
    this->Perform(aEntry, action);
  }
}

void
World::Perform(size_t aEntry, const EntryAction& aAction)
{
  if (const auto* answer = std::get_if<AnswerCaller>(&aAction)) {
    auto found = this->callers.find(answer->handle);
    Answered done = std::move(found->second);
    this->callers.erase(found);
    this->After({}, [done, result = answer->answer] { done(result); });
  } else if (const auto* forward = std::get_if<ForwardRequest>(&aAction)) {
    this->ForwardTo(aEntry, *forward);
  } else if (const auto* connect = std::get_if<ConnectOwner>(&aAction)) {
    this->ConnectTo(aEntry, connect->host);
  } else if (const auto* drop = std::get_if<DropOwner>(&aAction)) {
    this->entries[aEntry].links.erase(IndexOf(drop->host));
  } else if (const auto* ping = std::get_if<PingOwner>(&aAction)) {
    size_t owner = IndexOf(ping->host);
    uint64_t link = this->entries[aEntry].links[owner];
    std::string host = ping->host;
    this->After(this->Latency() + this->Latency(), [=] {
      bool isUp = this->owners[owner].alive &&
                  this->owners[owner].frozenUntil <= this->Now() &&
                  this->entryCuts.count({ aEntry, owner }) == 0 &&
                  this->entries[aEntry].links[owner] == link && link != 0;
      if (isUp) {
        this->StepEntry(aEntry, OwnerHeard{ host });
      }
    });
  }
}

void
World::ConnectTo(size_t aEntry, const std::string& aHost)
{
  size_t owner = IndexOf(aHost);
  if (this->entryCuts.count({ aEntry, owner }) != 0) {
    return; // no answer at all
  }
  this->After(this->Latency() + this->Latency(), [=] {
    if (!this->owners[owner].alive) {
      this->StepEntry(aEntry, OwnerLost{ aHost });
      return;
    }
    if (this->Now() < this->owners[owner].frozenUntil) {
      return; // it does not greet
    }
    this->entries[aEntry].links[owner] = ++this->lastLink;
    this->StepEntry(aEntry, OwnerConnected{ aHost });
  });
}

void
World::ForwardTo(size_t aEntry, const ForwardRequest& aAction)
{
  size_t owner = IndexOf(aAction.host);
  uint64_t link = this->entries[aEntry].links[owner];
  auto isCarried = [=] {
    return link != 0 && this->entryCuts.count({ aEntry, owner }) == 0 &&
           this->entries[aEntry].links[owner] == link;
  };
  this->After(this->Latency(), [=, request = aAction.request] {
    if (!this->owners[owner].alive || link == 0 ||
        this->entryCuts.count({ aEntry, owner }) != 0) {
      return;
    }
    RequestHandle handle = ++this->lastHandle;
    this->ownerAsks[handle] = [=](const Answer& aAnswer) {
      this->After(this->Latency(), [=, answer = aAnswer] {
        if (isCarried()) {
          this->StepEntry(aEntry, OwnerHeard{ aAction.host });
          bool isSwapped = this->options.swapsAnswers && this->Random(50) == 0;
          uint64_t number = aAction.number + (isSwapped ? 1 : 0);
          this->StepEntry(aEntry,
                          OwnerAnswered{ aAction.host, number, answer });
        }
      });
    };
    this->StepOwner(owner, RequestArrived{ handle, request });
  });
}

void
World::LinkDown(size_t aEntry, size_t aOwner)
{
  if (this->entries[aEntry].links.erase(aOwner) != 0) {
    this->StepEntry(aEntry, OwnerLost{ kHostPrefix + std::to_string(aOwner) });
  }
}

// Owners.

void
World::TickOwner(size_t aOwner, uint64_t aIncarnation)
{
  if (this->owners[aOwner].incarnation != aIncarnation) {
    return;
  }
  this->StepOwner(aOwner, Tick{});
  Duration next = this->owners[aOwner].engine->TickInterval();
  Time frozen = this->owners[aOwner].frozenUntil;
  if (this->Now() < frozen) {
    next = frozen - this->Now() + Millis(1);
  }
  this->After(next, [=] { this->TickOwner(aOwner, aIncarnation); });
}

void
World::StepOwner(size_t aOwner, const GroupEvent& aEvent)
{
  Owner& owner = this->owners[aOwner];
  if (!owner.alive) {
    return;
  }
  if (this->Now() < owner.frozenUntil) {
    Duration left = owner.frozenUntil - this->Now();
    if (!std::holds_alternative<Tick>(aEvent)) {
      this->After(left, [=] { this->StepOwner(aOwner, aEvent); });
    }
    return;
  }
  GroupActions actions = owner.engine->Handle(this->Now(), aEvent);
  for (const GroupAction& action : actions) {
    this->Perform(aOwner, action);
  }
}

void
World::Perform(size_t aOwner, const GroupAction& aAction)
{
  if (const auto* open = std::get_if<OpenConnection>(&aAction)) {
    this->OpenConnectionFor(aOwner, *open);
  } else if (const auto* close = std::get_if<CloseConnection>(&aAction)) {
    this->CloseConnectionFor(aOwner, close->connection);
  } else if (const auto* run = std::get_if<RunBatch>(&aAction)) {
    this->RunBatchFor(aOwner, *run);
  } else if (const auto* send = std::get_if<SendAnswer>(&aAction)) {
    auto found = this->ownerAsks.find(send->handle);
    if (found != this->ownerAsks.end()) {
      auto done = std::move(found->second);
      this->ownerAsks.erase(found);
      done(send->answer);
    }
  } else if (const auto* ask = std::get_if<AskStatus>(&aAction)) {
    AskStatus askCopy = *ask;
    if (askCopy.fresh) {
      this->owners[aOwner].adminSilent.erase(askCopy.upstream);
    }
    this->Admin(
      aOwner, askCopy.upstream, StatusSql(), [=](const auto* aOutcome) {
        if (aOutcome == nullptr) {
          this->StepOwner(aOwner,
                          StatusFailed{ askCopy.upstream, askCopy.ask });
          return;
        }
        auto status = ParseStatus(ToResult(*aOutcome).rows);
        this->StepOwner(
          aOwner,
          StatusAnswered{ askCopy.upstream, askCopy.ask, status.value() });
      });
  } else if (const auto* adopt = std::get_if<AdoptTerm>(&aAction)) {
    AdoptTerm adoptCopy = *adopt;
    this->Admin(
      aOwner,
      adoptCopy.upstream,
      AdoptTermSql(adoptCopy.term),
      [=](const auto* aOutcome) {
        if (aOutcome == nullptr) {
          return;
        }
        if (aOutcome->error) {
          Term current = std::stoull(aOutcome->error->message);
          this->StepOwner(
            aOwner, TermRefused{ adoptCopy.upstream, adoptCopy.term, current });
          return;
        }
        auto log = ParseAdopted(ToResult(*aOutcome).rows);
        this->StepOwner(
          aOwner,
          TermAdopted{ adoptCopy.upstream, adoptCopy.term, log.value() });
      });
  } else if (const auto* promote = std::get_if<Promote>(&aAction)) {
    Promote promoteCopy = *promote;
    this->Admin(
      aOwner,
      promoteCopy.upstream,
      PromoteSql(promoteCopy.term),
      [=](const auto* aOutcome) {
        if (aOutcome == nullptr || aOutcome->error) {
          this->StepOwner(
            aOwner, PromotionFailed{ promoteCopy.upstream, promoteCopy.term });
          return;
        }
        auto start = ParsePromoted(ToResult(*aOutcome).rows);
        this->StepOwner(
          aOwner,
          Promoted{ promoteCopy.upstream, promoteCopy.term, start.value() });
      });
  } else if (const auto* follow = std::get_if<Follow>(&aAction)) {
    const Endpoint& primary = this->config.upstreams[follow->primary].endpoint;
    this->Admin(aOwner,
                follow->upstream,
                FollowSql(follow->term, primary),
                [](const auto*) {});
  } else if (const auto* reserve = std::get_if<ReserveTerms>(&aAction)) {
    ReserveTerms reserveCopy = *reserve;
    if (!this->storeDown) {
      Term first = std::max(reserveCopy.above, this->lastReserved) + 1;
      this->lastReserved = first + 7;
      this->After(this->Latency() + this->Latency(), [=] {
        this->StepOwner(aOwner, TermsGranted{ first, first + 7 });
      });
    }
  } else if (const auto* observe = std::get_if<Observe>(&aAction)) {
    this->retries += observe->observation == Observation::Retry ? 1 : 0;
  }
}

bool
World::Reaches(size_t aOwner, size_t aUpstream) const
{
  return this->ownerCuts.count({ aOwner, aUpstream }) == 0;
}

void
World::AtUpstream(size_t aUpstream, std::function<void()> aCall)
{
  // A frozen upstream works off what came when it thaws.
  Time frozen = this->upstreams[aUpstream].frozenUntil;
  if (this->Now() < frozen) {
    this->After(frozen - this->Now(),
                [=] { this->AtUpstream(aUpstream, aCall); });
    return;
  }
  aCall();
}

void
World::OpenConnectionFor(size_t aOwner, const OpenConnection& aAction)
{
  auto session = std::make_shared<FakeSession>();
  session->upstream = aAction.upstream;
  session->incarnation = this->upstreams[aAction.upstream].incarnation;
  session->transaction = std::make_shared<standin::Transaction>();
  if (this->options.sharesTransactions) {
    auto& shared = this->upstreams[aAction.upstream].shared;
    shared = shared ? shared : session->transaction;
    session->transaction = shared;
  }
  this->owners[aOwner].sessions[aAction.connection] = session;
  auto open = static_cast<uint32_t>(
    this->owners[aOwner].engine->Connections().Use(aAction.upstream).open);
  this->mostConnections = std::max(this->mostConnections, open);
  ConnectionId id = aAction.connection;
  Duration span = this->Latency() + this->options.opening + this->Latency();
  this->After(span, [=] {
    if (!this->Reaches(aOwner, session->upstream)) {
      // Nothing comes back; the client library gives up after a while.
      this->After(Seconds(1), [=] {
        this->StepOwner(aOwner, ConnectionLost{ id, SqlClass::Other, "cut" });
      });
      return;
    }
    if (!this->upstreams[session->upstream].alive) {
      this->StepOwner(aOwner, ConnectionLost{ id, SqlClass::Other, "refused" });
      return;
    }
    this->AtUpstream(session->upstream, [=] {
      session->open = true;
      session->incarnation = this->upstreams[session->upstream].incarnation;
      this->StepOwner(aOwner, ConnectionOpened{ id });
    });
  });
}

void
World::RunBatchFor(size_t aOwner, const RunBatch& aAction)
{
  auto session = this->owners[aOwner].sessions[aAction.connection];
  size_t upstream = session->upstream;
  uint32_t running =
    this->owners[aOwner].engine->Connections().Use(upstream).busy;
  this->mostBusy = std::max(this->mostBusy, running);
  this->lastWorkStarted[upstream] = this->Now();
  ++this->batches;
  this->After(this->Latency() + this->options.service, [=] {
    if (!this->Reaches(aOwner, upstream) || session->silent) {
      return;
    }
    this->AtUpstream(upstream, [=] {
      Upstream& target = this->upstreams[upstream];
      if (!target.alive || target.incarnation != session->incarnation ||
          !session->open) {
        return;
      }
      std::vector<SqlResult> results;
      bool isSkipping = false;
      for (const Step& step : aAction.batch) {
        SqlResult result;
        result.skipped = true;
        if (!isSkipping) {
          result = ToResult(target.database->Execute(
            *session->transaction, ToSql(step), this->Now()));
          isSkipping = !result.done;
        }
        results.push_back(result);
      }
      this->After(this->Latency(), [=] {
        bool isCarried =
          this->Reaches(aOwner, upstream) && !session->silent && session->open;
        if (isCarried) {
          this->StepOwner(aOwner,
                          BatchFinished{ aAction.connection,
                                         aAction.sequence,
                                         FromSql(aAction.batch, results) });
        }
      });
    });
  });
}

void
World::CloseConnectionFor(size_t aOwner, ConnectionId aConnection)
{
  auto found = this->owners[aOwner].sessions.find(aConnection);
  if (found == this->owners[aOwner].sessions.end()) {
    return;
  }
  auto session = found->second;
  this->owners[aOwner].sessions.erase(found);
  // What is on its way may still arrive before the end of the connection. Over
  // a silent one the end itself never arrives: the upstream keeps the session
  // until its own limit for idle transactions.
  Duration until = session->silent || !this->Reaches(aOwner, session->upstream)
                     ? kIdleInTransaction
                     : this->Latency() + Millis(40);
  this->After(until, [=] { this->EndSession(session); });
  // The same order as the pool gives over its other connection.
  this->Admin(
    aOwner,
    session->upstream,
    StatusSql(),
    [](const auto*) {},
    [=] { this->EndSession(session); });
}

void
World::EndSession(const std::shared_ptr<FakeSession>& aSession)
{
  Upstream& target = this->upstreams[aSession->upstream];
  aSession->open = false;
  if (target.alive && target.incarnation == aSession->incarnation) {
    target.database->RollBack(*aSession->transaction);
  }
}

void
World::Admin(size_t aOwner,
             size_t aUpstream,
             const Statement& aStatement,
             std::function<void(const standin::Outcome*)> aDone,
             std::function<void()> aThere)
{
  auto& silent = this->owners[aOwner].adminSilent[aUpstream];
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
    this->AtUpstream(aUpstream, [=] {
      if (!this->upstreams[aUpstream].alive) {
        return;
      }
      if (aThere) {
        aThere();
      }
      standin::Database& database = *this->upstreams[aUpstream].database;
      standin::Transaction transaction;
      auto outcome = database.Execute(transaction, aStatement, this->Now());
      if (database.followOrder) {
        this->upstreams[aUpstream].following = database.followOrder->port - 1u;
        this->upstreams[aUpstream].linked = false;
        database.followOrder.reset();
      }
      if (database.leftPrimary) {
        database.leftPrimary = false;
        this->upstreams[aUpstream].following.reset();
        this->upstreams[aUpstream].linked = false;
      }
      bool isPromotion =
        aStatement.sql.find("promote") != std::string::npos && !outcome.error;
      if (isPromotion) {
        ++this->promotions;
        this->termLedTwice =
          this->termLedTwice ||
          !this->promotedTerms.insert(database.CurrentTerm()).second;
      }
      this->After(this->Latency(), [=] {
        if (this->Reaches(aOwner, aUpstream) && !*isSilent) {
          aDone(&outcome);
        }
      });
    });
  });
}

// Replication.

void
World::Replicate()
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
    this->Copy(i);
  }
  this->After(Millis(1), [this] { this->Replicate(); });
}

void
World::Copy(size_t aReplica)
{
  Upstream& replica = this->upstreams[aReplica];
  if (!replica.alive || !replica.following ||
      this->Now() < replica.frozenUntil) {
    return;
  }
  size_t leader = *replica.following;
  Upstream& primary = this->upstreams[leader];
  bool isCarried = primary.alive && this->Now() >= primary.frozenUntil &&
                   this->upstreamCuts.count(Ordered(leader, aReplica)) == 0;
  bool isLeader =
    primary.database->CurrentRole() == Role::Primary &&
    primary.database->CurrentTerm() == replica.database->CurrentTerm();
  if (!isCarried || !isLeader) {
    return;
  }
  const auto& log = primary.database->Log();
  if (!replica.linked) {
    if (replica.linkedAt == kLongAgo || replica.linkedAt > this->Now()) {
      replica.linkedAt = this->Now();
    }
    Position from = replica.database->Log().size();
    if (!primary.database->HasPrefix(from, replica.database->LastTerm())) {
      replica.database->Reset();
    }
    replica.database->Followed(primary.database->CurrentTerm(),
                               primary.database->TermStart());
    replica.linked = true;
    replica.database->Heard(this->Now());
  }
  bool isBeat = this->Now().ms % kBeat.ms == 0;
  if (isBeat) {
    replica.database->Heard(this->Now());
    // Lag is drawn anew now and then, so nothing can rely on it.
    int64_t longest = std::max<int64_t>(this->options.longestLag.ms, 1);
    if (replica.database->knobs.replayLag < Seconds(1)) {
      replica.database->knobs.replayLag =
        Millis(this->Random(static_cast<uint32_t>(longest)));
    }
  }
  while (replica.database->Log().size() < log.size()) {
    Position next = replica.database->Log().size();
    if (primary.committedAt[next] + this->options.oneWay > this->Now()) {
      break;
    }
    replica.database->Receive(log[next], this->Now());
    replica.database->Heard(this->Now());
  }
  replica.database->Replay(this->Now());
}

// Faults.

void
World::GoneUpstream(size_t aUpstream)
{
  for (size_t i = 0; i < this->owners.size(); ++i) {
    std::vector<ConnectionId> lost;
    for (const auto& [id, session] : this->owners[i].sessions) {
      if (session->upstream == aUpstream && session->open && !session->silent &&
          this->Reaches(i, aUpstream)) {
        lost.push_back(id);
      }
    }
    for (ConnectionId id : lost) {
      this->After(this->Latency(), [=] {
        this->StepOwner(i, ConnectionLost{ id, SqlClass::Other, "closed" });
      });
    }
  }
}

void
World::KillUpstream(size_t aUpstream)
{
  Upstream& upstream = this->upstreams[aUpstream];
  upstream.alive = false;
  ++upstream.incarnation;
  this->GoneUpstream(aUpstream);
}

void
World::RestartUpstream(size_t aUpstream)
{
  Upstream& upstream = this->upstreams[aUpstream];
  upstream.database = std::make_unique<standin::Database>(Role::Detached, 0);
  upstream.committedAt.clear();
  upstream.following.reset();
  upstream.linked = false;
  upstream.alive = true;
}

void
World::FreezeUpstream(size_t aUpstream, Duration aSpan)
{
  this->upstreams[aUpstream].frozenUntil = this->Now() + aSpan;
}

void
World::KillOwner(size_t aOwner)
{
  Owner& owner = this->owners[aOwner];
  owner.alive = false;
  ++owner.incarnation;
  std::vector<ConnectionId> ids;
  for (const auto& [id, session] : owner.sessions) {
    ids.push_back(id);
  }
  for (ConnectionId id : ids) {
    this->CloseConnectionFor(aOwner, id);
  }
  for (size_t i = 0; i < this->entries.size(); ++i) {
    this->After(this->Latency(), [=] { this->LinkDown(i, aOwner); });
  }
}

void
World::FreezeOwner(size_t aOwner, Duration aSpan)
{
  this->owners[aOwner].frozenUntil = this->Now() + aSpan;
}

void
World::CutOwnerUpstream(size_t aOwner, size_t aUpstream, bool aCut)
{
  if (aCut) {
    this->ownerCuts.insert({ aOwner, aUpstream });
    // What was open before stays silent after the cut has healed.
    this->SilenceConnections(aOwner, aUpstream);
  } else {
    this->ownerCuts.erase({ aOwner, aUpstream });
  }
}

void
World::CutUpstreams(size_t aLeft, size_t aRight, bool aCut)
{
  if (aCut) {
    this->upstreamCuts.insert(Ordered(aLeft, aRight));
  } else {
    this->upstreamCuts.erase(Ordered(aLeft, aRight));
  }
}

void
World::CutEntryOwner(size_t aEntry, size_t aOwner, bool aCut)
{
  if (aCut) {
    this->entryCuts.insert({ aEntry, aOwner });
  } else {
    this->entryCuts.erase({ aEntry, aOwner });
  }
}

void
World::SilenceConnections(size_t aOwner, size_t aUpstream)
{
  for (auto& [id, session] : this->owners[aOwner].sessions) {
    if (session->upstream == aUpstream) {
      session->silent = true;
    }
  }
  auto& silent = this->owners[aOwner].adminSilent[aUpstream];
  if (silent) {
    *silent = true;
  }
}

void
World::SilenceLink(size_t aEntry, size_t aOwner)
{
  this->entries[aEntry].links[aOwner] = 0;
}

void
World::StallReplica(size_t aUpstream, Duration aLag)
{
  this->upstreams[aUpstream].database->knobs.replayLag = aLag;
}

void
World::ListLeaving(size_t aUpstream)
{
  for (size_t i = 0; i < this->owners.size(); ++i) {
    this->StepOwner(i, UpstreamListedLeaving{ aUpstream, true });
  }
}

void
World::SetLeavingItself(size_t aUpstream)
{
  this->upstreams[aUpstream].database->knobs.leaving = true;
}

void
World::DrainOwner(size_t aOwner)
{
  this->StepOwner(aOwner, DrainRequested{});
}

size_t
World::FirstOwner() const
{
  HostList hosts = MakeHosts(this->owners.size());
  return IndexOf(RankOwners(this->config.name, hosts.hosts).front());
}

std::optional<Duration>
World::TrueAge(size_t aUpstream) const
{
  auto primary = this->TruePrimary();
  const Upstream& replica = this->upstreams[aUpstream];
  bool isReplica = replica.alive && replica.linked &&
                   replica.database->CurrentRole() == Role::Replica;
  if (!primary || !isReplica) {
    return std::nullopt;
  }
  Position shown = replica.database->Status(this->Now()).replayed;
  const auto& committed = this->upstreams[*primary].committedAt;
  return shown < committed.size() ? this->Now() - committed[shown] : Duration{};
}

bool
World::IsWhole() const
{
  auto primary = this->TruePrimary();
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
World::TruePrimary() const
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
World::Value(size_t aUpstream,
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
