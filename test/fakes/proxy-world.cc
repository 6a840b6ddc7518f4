#include "fakes/proxy-world.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

constexpr Duration kHop = Millis(1);
constexpr Duration kTickInterval = Millis(20);
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
  for (size_t i = 0; i < aOptions.upstreams; ++i) {
    this->upstreams.push_back(this->NewUpstream(i));
    const RegisteredUpstream& entry = this->upstreams.back().entry;
    this->group.members.push_back({ entry.id, entry.endpoint, entry.zone });
  }
  this->group.revision = 1; // written before the run
  for (size_t i = 0; i < aOptions.hosts; ++i) {
    this->hosts.push_back(this->NewProcess(i));
  }
  this->SetConfig(1, { "db" });
  this->ReadRegistry();
  this->ReadGroups();
  for (size_t i = 0; i < aOptions.hosts; ++i) {
    this->Send(i, HostsCounted{ aOptions.hosts });
  }
  this->Tick();
}

FakeUpstream
ProxyWorld::NewUpstream(size_t aIndex) const
{
  FakeUpstream upstream;
  upstream.entry.id = "u" + std::to_string(aIndex);
  upstream.entry.service = kService;
  upstream.entry.endpoint = { "10.0.0.1", static_cast<uint16_t>(1 + aIndex) };
  upstream.entry.zone = "z" + std::to_string(aIndex);
  upstream.role = aIndex == 0 ? Role::Primary : Role::Replica;
  upstream.entry.role = upstream.role;
  return upstream;
}

std::unique_ptr<ProxyEngine>
ProxyWorld::NewProcess(size_t aHost)
{
  this->processes[aHost] = ++this->lastProcess;
  return std::make_unique<ProxyEngine>(
    ProxyOptions{ "z" + std::to_string(aHost) });
}

size_t
ProxyWorld::AddHost()
{
  size_t host = this->hosts.size();
  this->hosts.push_back(this->NewProcess(host));
  this->Greet(host);
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    this->Send(i, HostsCounted{ this->hosts.size() });
  }
  return host;
}

void
ProxyWorld::ReplaceHost(size_t aHost)
{
  auto first = this->links.lower_bound({ aHost, 0 });
  auto last = this->links.lower_bound({ aHost + 1, 0 });
  this->links.erase(first, last);
  auto firstOpen = this->open.lower_bound({ aHost, 0 });
  auto lastOpen = this->open.lower_bound({ aHost + 1, 0 });
  this->open.erase(firstOpen, lastOpen);
  this->hosts[aHost] = this->NewProcess(aHost);
  this->Greet(aHost);
  this->Send(aHost, HostsCounted{ this->hosts.size() });
}

/** Sends a new process the current configuration, registry and groups. */
void
ProxyWorld::Greet(size_t aHost)
{
  this->Send(aHost, this->config);
  this->Send(aHost, this->Registry());
  if (!this->options.withholdsGroups) {
    this->TellGroups(aHost);
  }
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
  this->config = event;
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    this->Send(i, event);
  }
}

RegistryRead
ProxyWorld::Registry()
{
  RegistryRead event;
  for (FakeUpstream& upstream : this->upstreams) {
    upstream.entry.role = upstream.role;
    if (upstream.isAlive && upstream.isListed) {
      event.upstreams.push_back(upstream.entry);
    }
  }
  return event;
}

void
ProxyWorld::ReadRegistry()
{
  RegistryRead event = this->Registry();
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    this->Send(i, event);
  }
}

void
ProxyWorld::ListOnly(size_t aHost, const std::vector<size_t>& aUpstreams)
{
  RegistryRead event;
  for (size_t i : aUpstreams) {
    this->upstreams[i].entry.role = this->upstreams[i].role;
    event.upstreams.push_back(this->upstreams[i].entry);
  }
  this->Send(aHost, event);
}

void
ProxyWorld::Tick()
{
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    this->Send(i, ProxyTick{});
  }
  this->queue.After(kTickInterval, [this] { this->Tick(); });
}

void
ProxyWorld::TellGroups(size_t aHost)
{
  if (this->isStoreDown) {
    return;
  }
  GroupsRead event;
  if (this->group.revision != 0) {
    event.groups.push_back(this->group);
  }
  this->Send(aHost, event);
}

void
ProxyWorld::ReadGroups()
{
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    this->TellGroups(i);
  }
}

/** Compare-and-set: a write with an outdated revision has no effect. */
void
ProxyWorld::Record(const GroupRecord& aRecord)
{
  if (this->isStoreDown || aRecord.revision != this->group.revision) {
    return;
  }
  this->group = aRecord;
  ++this->group.revision;
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    this->After(i, kHop, [this, i] { this->TellGroups(i); });
  }
}

/** Schedules a call, skipped if the host's process was replaced by then. */
void
ProxyWorld::After(size_t aHost, Duration aSpan, std::function<void()> aCall)
{
  size_t process = this->processes[aHost];
  this->queue.After(aSpan, [this, aHost, process, call = std::move(aCall)] {
    if (this->processes[aHost] == process) {
      call();
    }
  });
}

/**
 * Returns the delay of the next message of a connection and sets `aNewest` to
 * its arrival. A message does not overtake the previous one.
 */
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
  } else if (const auto* ask = std::get_if<SendToUpstream>(&aAction)) {
    LinkKey key{ aHost, ask->connection };
    SendToUpstream copy = *ask;
    auto found = this->links.find(key);
    if (found != this->links.end()) {
      this->After(aHost, this->Hop(found->second.askedAt), [this, key, copy] {
        this->Run(key, copy);
      });
    }
  } else if (const auto* order = std::get_if<RequestPromotion>(&aAction)) {
    this->Promote(*order, aHost);
  } else if (const auto* write = std::get_if<RecordGroup>(&aAction)) {
    this->Record(write->record);
  } else if (const auto* decided = std::get_if<LogDecision>(&aAction)) {
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
  this->After(aHost, kHop + kHop, [this, key, upstream] {
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
ProxyWorld::Run(LinkKey aKey, const SendToUpstream& aAction)
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
  // A connection runs its statements one after the other.
  link.freeAt = std::max(link.freeAt, this->Now()) + work;
  this->After(aKey.first, link.freeAt - this->Now(), [this, aKey, aAction] {
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
        return; // a commit hangs until a replica confirms it
      }
      reply.position = this->EndOf(upstream, upstream.applied);
      event = LinkAnswered{ aKey.second, reply };
    }
    Duration hop = this->Hop(late->second.answeredAt) + upstream.distance;
    this->After(aKey.first, hop, [this, aKey, event] {
      auto still = this->links.find(aKey);
      if (still != this->links.end() && !still->second.isSilent &&
          this->Reaches(aKey.first, still->second.upstream)) {
        this->Send(aKey.first, event);
      }
    });
  });
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
      wrong = "took effect although the answer says that it did not";
    }
    if (!wrong.empty()) {
      wrongs += "r" + std::to_string(i) + " " + wrong + "\n";
    }
  }
  return wrongs + this->lost +
         this->LostFrom(this->upstreams[this->PrimaryIndex()]);
}

} // namespace marigoldpitch::fakes
