#include "fakes/proxy-world.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

constexpr Duration kHop = Millis(1);
constexpr Duration kTickInterval = Millis(20);
constexpr Duration kPromoteSpan = Millis(300);
constexpr char kService[] = "service";

} // namespace

SessionStatement
ReadOf(const std::string& aItem)
{
  return { StatementKind::Read, aItem };
}

SessionStatement
WriteOf(const std::string& aItem, const std::string& aValue)
{
  SessionStatement statement{ StatementKind::Write, aItem, aValue };
  statement.writes = true;
  return statement;
}

SessionStatement
Of(StatementKind aKind)
{
  return { aKind };
}

ProxyWorld::ProxyWorld(const ProxyWorldOptions& aOptions)
  : options(aOptions)
  , random(aOptions.seed)
{
  for (size_t i = 0; i < 3; ++i) {
    FakeUpstream upstream;
    upstream.entry.id = "u" + std::to_string(i);
    upstream.entry.service = kService;
    upstream.entry.endpoint = { "10.0.0.1", static_cast<uint16_t>(1 + i) };
    upstream.entry.zone = "z" + std::to_string(i);
    upstream.role = i == 0 ? Role::Primary : Role::Replica;
    upstream.entry.role = upstream.role;
    this->upstreams.push_back(upstream);
  }
  for (size_t i = 0; i < aOptions.hosts; ++i) {
    this->hosts.push_back(
      std::make_unique<ProxyEngine>(ProxyOptions{ "z" + std::to_string(i) }));
  }
  this->SetConfig(1, { "db" });
  this->ReadRegistry();
  for (size_t i = 0; i < aOptions.hosts; ++i) {
    this->Send(i, HostsCounted{ aOptions.hosts });
  }
  this->Tick();
}

void
ProxyWorld::SetConfig(uint64_t aVersion,
                      const std::vector<std::string>& aDatabases)
{
  ConfigArrived event;
  event.config.version = aVersion;
  event.config.services[kService] = { this->options.connections, true };
  for (const std::string& database : aDatabases) {
    DatabaseRoute route;
    route.database = database;
    route.service = kService;
    route.freshness = this->options.freshness;
    route.maxAge = this->options.maxAge;
    route.timeout = Millis(1000);
    route.latencyObjective = Millis(300);
    event.config.routes[database] = route;
  }
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    this->Send(i, event);
  }
}

void
ProxyWorld::ReadRegistry()
{
  RegistryRead event;
  for (FakeUpstream& upstream : this->upstreams) {
    upstream.entry.role = upstream.role;
    if (upstream.isAlive) {
      event.upstreams.push_back(upstream.entry);
    }
  }
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    this->Send(i, event);
  }
}

void
ProxyWorld::Tick()
{
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    this->Send(i, ProxyTick{});
  }
  this->queue.After(kTickInterval, [this] { this->Tick(); });
}

/** Until the next message arrives, behind the newest of its connection. */
Duration
ProxyWorld::Hop(Time& aNewest)
{
  Duration hop = kHop;
  if (this->options.jitter.ms > 0) {
    std::uniform_int_distribution<int64_t> more(0, this->options.jitter.ms);
    hop = hop + Duration{ more(this->random) };
  }
  aNewest = std::max(aNewest, this->Now() + hop);
  return aNewest - this->Now();
}

void
ProxyWorld::RunFor(Duration aSpan)
{
  this->queue.RunUntil(this->queue.Now() + aSpan);
}

size_t
ProxyWorld::PrimaryIndex() const
{
  size_t best = 0;
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    const FakeUpstream& one = this->upstreams[i];
    bool isBetter = one.role == Role::Primary &&
                    (this->upstreams[best].role != Role::Primary ||
                     one.term > this->upstreams[best].term);
    best = isBetter ? i : best;
  }
  return best;
}

void
ProxyWorld::Send(size_t aHost, const ProxyEvent& aEvent)
{
  for (const ProxyAction& action :
       this->hosts[aHost]->Handle(this->queue.Now(), aEvent)) {
    this->Perform(aHost, action);
  }
}

CallerId
ProxyWorld::OpenSession(size_t aHost, const std::string& aDatabase)
{
  CallerId caller = ++this->lastCaller;
  this->Send(aHost, SessionOpened{ caller, aDatabase });
  return caller;
}

void
ProxyWorld::CloseSession(size_t aHost, CallerId aCaller)
{
  this->open.erase({ aHost, aCaller });
  this->Send(aHost, SessionClosed{ aCaller });
}

std::shared_ptr<FakeRequest>
ProxyWorld::Ask(size_t aHost,
                CallerId aCaller,
                const SessionStatement& aStatement)
{
  auto request = std::make_shared<FakeRequest>();
  request->host = aHost;
  request->caller = aCaller;
  request->statement = aStatement;
  request->sent = this->Now();
  Time from = this->Now();
  if (this->options.freshness != Freshness::Newest) {
    from = from - this->options.maxAge;
  }
  for (Time at : this->acknowledgedAt) {
    request->mustShow += at < from ? 1 : 0;
  }
  auto& held = this->values[{ aHost, aCaller }];
  if (aStatement.kind == StatementKind::SetValue) {
    held[aStatement.name] = aStatement.arguments;
  }
  request->values = held;
  std::string id = "r" + std::to_string(this->requests.size());
  this->requests.push_back(request);
  this->byId[id] = request;
  this->open[{ aHost, aCaller }] = request;
  this->Send(aHost, StatementArrived{ aCaller, id, aStatement });
  return request;
}

std::shared_ptr<FakeRequest>
ProxyWorld::Do(size_t aHost,
               CallerId aCaller,
               const SessionStatement& aStatement)
{
  auto request = this->Ask(aHost, aCaller, aStatement);
  for (int i = 0; i < 3000 && !request->reply; ++i) {
    this->RunFor(Millis(1));
  }
  return request;
}

FakeRequest*
ProxyWorld::Find(const std::string& aRequestId)
{
  auto found = this->byId.find(aRequestId);
  return found == this->byId.end() ? nullptr : found->second.get();
}

void
ProxyWorld::Perform(size_t aHost, const ProxyAction& aAction)
{
  if (const auto* answer = std::get_if<AnswerCaller>(&aAction)) {
    auto found = this->open.find({ aHost, answer->caller });
    if (found != this->open.end()) {
      found->second->reply = answer->reply;
      found->second->answered = this->Now();
      this->open.erase(found);
    }
  } else if (const auto* end = std::get_if<EndSession>(&aAction)) {
    this->ended[end->caller] = end->reason;
  } else if (const auto* opened = std::get_if<OpenLink>(&aAction)) {
    this->Open(aHost, *opened);
  } else if (const auto* close = std::get_if<CloseLink>(&aAction)) {
    this->links.erase({ aHost, close->connection });
  } else if (const auto* ask = std::get_if<AskLink>(&aAction)) {
    LinkKey key{ aHost, ask->connection };
    AskLink copy = *ask;
    auto found = this->links.find(key);
    if (found != this->links.end()) {
      this->queue.After(this->Hop(found->second.askedAt),
                        [this, key, copy] { this->Run(key, copy); });
    }
  } else if (const auto* order = std::get_if<RequestPromotion>(&aAction)) {
    this->Promote(*order, aHost);
  } else if (const auto* decided = std::get_if<Decided>(&aAction)) {
    if (decided->event == LogEvent::StatementPlaced) {
      ++this->placed[decided->fields[1].second];
    }
  }
}

size_t
ProxyWorld::Placed(const std::string& aRole) const
{
  auto found = this->placed.find(aRole);
  return found == this->placed.end() ? 0 : found->second;
}

bool
ProxyWorld::Reaches(size_t aHost, size_t aUpstream) const
{
  const FakeUpstream& upstream = this->upstreams[aUpstream];
  return upstream.isAlive && upstream.cutFrom.count(aHost) == 0;
}

void
ProxyWorld::Open(size_t aHost, const OpenLink& aAction)
{
  size_t upstream = aAction.endpoint.port - 1U;
  LinkKey key{ aHost, aAction.connection };
  FakeLink link;
  link.host = aHost;
  link.upstream = upstream;
  this->links[key] = link;
  this->queue.After(kHop + kHop, [this, key, upstream] {
    auto found = this->links.find(key);
    if (found == this->links.end()) {
      return;
    }
    if (!this->upstreams[upstream].isAlive) {
      this->links.erase(found);
      this->Send(key.first, LinkLost{ key.second, {} });
    } else if (this->Reaches(key.first, upstream)) {
      found->second.isOpen = true;
      this->Send(key.first, LinkOpened{ key.second });
    }
  });
}

void
ProxyWorld::Run(LinkKey aKey, const AskLink& aAction)
{
  auto found = this->links.find(aKey);
  if (found == this->links.end() || found->second.isSilent ||
      !this->Reaches(aKey.first, found->second.upstream)) {
    return;
  }
  FakeLink& link = found->second;
  bool takesTime = aAction.requestId.empty()
                     ? false
                     : aAction.statement.kind != StatementKind::SetValue;
  Duration work = takesTime ? this->upstreams[link.upstream].work : Millis(0);
  // Questions of one connection are answered in their order.
  link.freeAt = std::max(link.freeAt, this->Now()) + work;
  this->queue.After(link.freeAt - this->Now(), [this, aKey, aAction] {
    auto late = this->links.find(aKey);
    if (late == this->links.end() ||
        !this->upstreams[late->second.upstream].isAlive) {
      return;
    }
    FakeUpstream& upstream = this->upstreams[late->second.upstream];
    StatementKind kind = aAction.statement.kind;
    bool isReport =
      kind == StatementKind::Status || kind == StatementKind::Hold ||
      kind == StatementKind::Resume || kind == StatementKind::Demote;
    ProxyEvent event;
    if (isReport) {
      ++this->reports;
      event = LinkReported{ aKey.second, this->Report(upstream, aAction) };
    } else {
      StatementReply reply = this->Execute(late->second, aAction);
      if (reply.signature == "none") {
        return; // it hangs
      }
      reply.position = this->EndOf(upstream, upstream.applied);
      event = LinkAnswered{ aKey.second, reply };
    }
    this->queue.After(this->Hop(late->second.answeredAt), [this, aKey, event] {
      auto still = this->links.find(aKey);
      if (still != this->links.end() && !still->second.isSilent &&
          this->Reaches(aKey.first, still->second.upstream)) {
        this->Send(aKey.first, event);
      }
    });
  });
}

LogPoint
ProxyWorld::EndOf(const FakeUpstream& aUpstream, size_t aCount) const
{
  size_t count =
    aUpstream.role == Role::Primary ? aUpstream.log.size() : aCount;
  return { aUpstream.term, count };
}

bool
ProxyWorld::Holds(const FakeUpstream& aUpstream, const LogPoint& aPoint) const
{
  size_t shown =
    aUpstream.role == Role::Primary ? aUpstream.log.size() : aUpstream.applied;
  return aPoint.term <= aUpstream.term && shown >= aPoint.position;
}

UpstreamReport
ProxyWorld::Report(FakeUpstream& aUpstream, const AskLink& aAction)
{
  const SessionStatement& statement = aAction.statement;
  bool isReplica = aUpstream.role == Role::Replica;
  if (statement.kind == StatementKind::Hold && isReplica &&
      statement.term > aUpstream.term) {
    aUpstream.held = statement.term;
  } else if (statement.kind == StatementKind::Resume) {
    aUpstream.held = 0;
  } else if (statement.kind == StatementKind::Demote && !isReplica &&
             aUpstream.term < statement.term) {
    const FakeUpstream& leader = this->upstreams[this->PrimaryIndex()];
    aUpstream.role = Role::Replica;
    aUpstream.term = leader.term;
    aUpstream.log = leader.log;
    aUpstream.applied = leader.log.size();
  }
  UpstreamReport report;
  report.role = aUpstream.role;
  report.term = aUpstream.term;
  report.received = { aUpstream.term, aUpstream.log.size() };
  report.held = aUpstream.held;
  return report;
}

void
ProxyWorld::CheckValues(const FakeLink& aLink, FakeRequest& aRequest) const
{
  if (aLink.values != aRequest.values) {
    aRequest.wrong = "ran with another session's values";
  }
}

StatementReply
ProxyWorld::Execute(FakeLink& aLink, const AskLink& aAction)
{
  StatementReply reply;
  reply.state = aLink.state;
  const SessionStatement& statement = aAction.statement;
  bool writes = statement.writes && (statement.kind == StatementKind::Write ||
                                     statement.kind == StatementKind::Execute);
  switch (statement.kind) {
    case StatementKind::Reset:
      aLink.values.clear();
      aLink.prepared.clear();
      return reply;
    case StatementKind::SetValue:
      aLink.values[statement.name] = statement.arguments;
      return reply;
    case StatementKind::Prepare:
      aLink.prepared[statement.name] = { statement.writes, statement.shape };
      return reply;
    case StatementKind::RollBack:
      aLink.written.clear();
      aLink.state = SessionState::Idle;
      reply.state = aLink.state;
      return reply;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
      if (aAction.after &&
          !this->Holds(this->upstreams[aLink.upstream], *aAction.after)) {
        reply.refusal = Refusal{ RefusalCode::Behind, "" };
        return reply;
      }
      aLink.readOnly = statement.kind == StatementKind::BeginReadOnly;
      if (!aLink.readOnly &&
          this->upstreams[aLink.upstream].role != Role::Primary) {
        reply.refusal = Refusal{ RefusalCode::ReadOnly, "" };
        return reply;
      }
      aLink.state = SessionState::InTransaction;
      reply.state = aLink.state;
      return reply;
    case StatementKind::Commit:
      return this->Commit(aLink, aAction);
    default:
      return writes ? this->Write(aLink, aAction) : this->Read(aLink, aAction);
  }
}

StatementReply
ProxyWorld::Read(FakeLink& aLink, const AskLink& aAction)
{
  StatementReply reply;
  reply.state = aLink.state;
  FakeUpstream& upstream = this->upstreams[aLink.upstream];
  if (aAction.after && !this->Holds(upstream, *aAction.after)) {
    reply.refusal = Refusal{ RefusalCode::Behind, "" };
    return reply;
  }
  FakeRequest& request = *this->Find(aAction.requestId);
  ++request.runs;
  this->CheckValues(aLink, request);
  size_t shown =
    upstream.role == Role::Primary ? upstream.log.size() : upstream.applied;
  if (shown < request.mustShow) {
    request.wrong = "read a log that lacks an acknowledged commit";
  }
  for (size_t i = 0; i < request.mustShow && i < shown; ++i) {
    if (upstream.log[i].value != this->acknowledged[i].value) {
      request.wrong = "read a log with another history";
    }
  }
  reply.rows = { std::to_string(shown) };
  reply.signature = "s-" + aAction.requestId;
  return reply;
}

StatementReply
ProxyWorld::Write(FakeLink& aLink, const AskLink& aAction)
{
  StatementReply reply;
  reply.state = aLink.state;
  FakeUpstream& upstream = this->upstreams[aLink.upstream];
  if (upstream.role != Role::Primary) {
    reply.refusal = Refusal{ RefusalCode::ReadOnly, "" };
    return reply;
  }
  FakeRequest& request = *this->Find(aAction.requestId);
  ++request.runs;
  this->CheckValues(aLink, request);
  LogEntry entry{ upstream.term,
                  aAction.statement.name,
                  aAction.statement.arguments };
  reply.signature = "s-" + aAction.requestId;
  if (aLink.state == SessionState::InTransaction) {
    aLink.written.push_back(entry);
    return reply;
  }
  bool isConfirmed = this->Append(upstream, { entry });
  ++request.effects;
  if (!isConfirmed) {
    reply.signature = "none";
  }
  return reply;
}

StatementReply
ProxyWorld::Commit(FakeLink& aLink, const AskLink& aAction)
{
  StatementReply reply;
  aLink.state = SessionState::Idle;
  reply.signature = "s-" + aAction.requestId;
  std::vector<LogEntry> written = std::exchange(aLink.written, {});
  if (written.empty()) {
    return reply;
  }
  FakeUpstream& upstream = this->upstreams[aLink.upstream];
  if (upstream.role != Role::Primary) {
    reply.refusal = Refusal{ RefusalCode::ReadOnly, "" };
    return reply;
  }
  FakeRequest& request = *this->Find(aAction.requestId);
  ++request.effects;
  if (!this->Append(upstream, written)) {
    reply.signature = "none";
  }
  return reply;
}

/** False when no replica holds it, so that it is not acknowledged. */
bool
ProxyWorld::Append(FakeUpstream& aPrimary,
                   const std::vector<LogEntry>& aEntries)
{
  aPrimary.log.insert(aPrimary.log.end(), aEntries.begin(), aEntries.end());
  bool isConfirmed = false;
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    FakeUpstream& replica = this->upstreams[i];
    bool follows = replica.role == Role::Replica && replica.isAlive &&
                   !replica.isDeaf && replica.held <= aPrimary.term &&
                   replica.term == aPrimary.term;
    if (!follows) {
      continue;
    }
    replica.log = aPrimary.log;
    isConfirmed = true;
    size_t end = replica.log.size();
    this->queue.After(replica.lag, [this, i, end] {
      FakeUpstream& late = this->upstreams[i];
      late.applied = std::max(late.applied, std::min(end, late.log.size()));
    });
  }
  if (isConfirmed) {
    this->acknowledged = aPrimary.log;
    this->acknowledgedAt.resize(aPrimary.log.size(), this->Now());
  }
  return isConfirmed;
}

void
ProxyWorld::Promote(const RequestPromotion& aAction, size_t aHost)
{
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    if (this->upstreams[i].entry.id == aAction.upstream) {
      this->queue.After(kPromoteSpan, [this, i] { this->Lead(i); });
    }
  }
  std::string service = aAction.service;
  this->queue.After(kHop, [this, aHost, service] {
    this->Send(aHost, PromotionOrdered{ service, true });
  });
}

void
ProxyWorld::Lead(size_t aUpstream)
{
  FakeUpstream& leader = this->upstreams[aUpstream];
  if (leader.role == Role::Primary || !leader.isAlive) {
    return;
  }
  ++this->promotions;
  Term highest = 0;
  for (const FakeUpstream& one : this->upstreams) {
    highest = std::max(highest, one.term);
  }
  leader.role = Role::Primary;
  leader.term = highest + 1;
  leader.held = 0;
  leader.applied = leader.log.size();
  for (FakeUpstream& one : this->upstreams) {
    bool follows = one.role == Role::Replica && one.isAlive;
    if (follows) {
      one.term = leader.term;
      one.held = 0;
    }
    if (follows && !one.isDeaf) {
      one.log = leader.log;
      one.applied = one.log.size();
    }
  }
}

void
ProxyWorld::Kill(size_t aUpstream)
{
  this->upstreams[aUpstream].isAlive = false;
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    this->Reset(host, aUpstream);
  }
}

void
ProxyWorld::Reset(size_t aHost, size_t aUpstream)
{
  std::vector<LinkKey> lost;
  for (const auto& [key, link] : this->links) {
    if (key.first == aHost && link.upstream == aUpstream) {
      lost.push_back(key);
    }
  }
  for (const LinkKey& key : lost) {
    this->links.erase(key);
    this->Send(key.first, LinkLost{ key.second, {} });
  }
}

void
ProxyWorld::Restart(size_t aUpstream)
{
  FakeUpstream& upstream = this->upstreams[aUpstream];
  const FakeUpstream& leader = this->upstreams[this->PrimaryIndex()];
  upstream.isAlive = true;
  upstream.held = 0;
  if (leader.entry.id != upstream.entry.id && leader.term > upstream.term) {
    upstream.role = Role::Replica;
    upstream.term = leader.term;
    upstream.log = leader.log;
    upstream.applied = upstream.log.size();
  }
}

void
ProxyWorld::Silence(size_t aHost, size_t aUpstream)
{
  for (auto& [key, link] : this->links) {
    if (key.first == aHost && link.upstream == aUpstream) {
      link.isSilent = true;
    }
  }
}

void
ProxyWorld::SetDuty(size_t aHost, bool aMayAct)
{
  this->Send(aHost, DutyChanged{ aMayAct });
}

size_t
ProxyWorld::OpenLinks(size_t aUpstream) const
{
  size_t count = 0;
  for (const auto& [key, link] : this->links) {
    count += link.upstream == aUpstream ? 1 : 0;
  }
  return count;
}

std::string
ProxyWorld::Wrongs() const
{
  std::string wrongs;
  for (size_t i = 0; i < this->requests.size(); ++i) {
    const FakeRequest& request = *this->requests[i];
    std::string wrong = request.wrong;
    bool isPromise = request.reply && request.reply->refusal &&
                     (request.reply->refusal->code == RefusalCode::Busy ||
                      request.reply->refusal->code == RefusalCode::Aborted ||
                      request.reply->refusal->code == RefusalCode::ReadOnly ||
                      request.reply->refusal->code == RefusalCode::Behind);
    if (request.effects > 1) {
      wrong = "took effect twice";
    } else if (isPromise && request.effects != 0) {
      wrong = "was kept though the caller was told that nothing is";
    }
    if (!wrong.empty()) {
      wrongs += "r" + std::to_string(i) + " " + wrong + "\n";
    }
  }
  const FakeUpstream& leader = this->upstreams[this->PrimaryIndex()];
  for (size_t i = 0; i < this->acknowledged.size(); ++i) {
    bool isHeld = i < leader.log.size() &&
                  leader.log[i].value == this->acknowledged[i].value;
    if (!isHeld) {
      wrongs +=
        "an acknowledged commit is lost: " + this->acknowledged[i].value + "\n";
    }
  }
  return wrongs;
}

} // namespace marigoldpitch::fakes
