#include "upstreams.h"

#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace marigoldpitch::review {

namespace {

constexpr Duration kReplicationInterval = Millis(20);
// An old primary goes on until a second after it reached the new one.
constexpr Duration kOldPrimaryTime = Millis(1000);

std::vector<std::string>
SplitWords(const std::string& aLine)
{
  std::istringstream text{ aLine };
  std::vector<std::string> words;
  for (std::string word; text >> word;) {
    words.push_back(word);
  }
  return words;
}

} // namespace

Upstreams::Upstreams(Loop& aLoop,
                     Record& aRecord,
                     const UpstreamOptions& aOptions)
  : loop(aLoop)
  , record(aRecord)
  , options(aOptions)
  , upstreams(kCount)
  , ports(kCount)
{
  for (size_t i = 0; i < kCount; ++i) {
    Upstream& upstream = this->upstreams[i];
    upstream.id = fmt::format("i-{}", i);
    upstream.zone = fmt::format("zone-{}", i + 1);
    upstream.port = static_cast<uint16_t>(aOptions.firstPort + i);
    upstream.isPrimary = i == 0;
    this->ports[i].parent = this;
    this->ports[i].index = i;
  }
}

bool
Upstreams::Start()
{
  for (size_t i = 0; i < kCount; ++i) {
    this->Restart(i);
  }
  this->ReplicateOften();
  return std::all_of(this->upstreams.begin(),
                     this->upstreams.end(),
                     [](const Upstream& aOne) { return aOne.isRunning; });
}

size_t
Upstreams::CurrentPrimary() const
{
  size_t best = 0;
  uint64_t term = 0;
  for (size_t i = 0; i < kCount; ++i) {
    if (this->upstreams[i].isPrimary && this->upstreams[i].term > term) {
      best = i;
      term = this->upstreams[i].term;
    }
  }
  return best;
}

void
Upstreams::Changed() const
{
  if (this->onChange) {
    this->onChange();
  }
}

void
Upstreams::Kill(size_t aIndex)
{
  Upstream& upstream = this->upstreams[aIndex];
  this->record.Add(fmt::format(
    "server {} ends, held for term {}", upstream.id, upstream.held));
  upstream.isRunning = false;
  this->ports[aIndex].listener.reset();
  for (auto it = this->sessions.begin(); it != this->sessions.end();) {
    if (it->second.upstream == aIndex) {
      it->second.link->Close();
      it = this->sessions.erase(it);
    } else {
      ++it;
    }
  }
}

void
Upstreams::Restart(size_t aIndex)
{
  Upstream& upstream = this->upstreams[aIndex];
  auto listener = TcpListener::Create(
    this->loop, { "127.0.0.1", upstream.port }, this->ports[aIndex]);
  if (!listener) {
    this->record.Add("cannot listen: " + listener.error().ToString());
    return;
  }
  this->ports[aIndex].listener = std::move(listener.value());
  upstream.isRunning = true;
  upstream.held = 0;
  upstream.born = static_cast<uint64_t>(ReadWallClock().ms);
  this->record.Add(fmt::format("server {} starts with {} log entries as {}",
                               upstream.id,
                               upstream.log.size(),
                               upstream.isPrimary ? "primary" : "replica"));
  this->Changed();
}

void
Upstreams::Cut(size_t aIndex, const std::string& aHost)
{
  Upstream& upstream = this->upstreams[aIndex];
  upstream.cutHosts.insert(aHost);
  this->record.Add(
    fmt::format("server {} is partitioned from {}", upstream.id, aHost));
  for (auto& [id, session] : this->sessions) {
    if (session.upstream == aIndex && session.host == aHost) {
      session.isCut = true;
    }
  }
}

void
Upstreams::Heal(size_t aIndex)
{
  Upstream& upstream = this->upstreams[aIndex];
  upstream.cutHosts.clear();
  this->record.Add(
    fmt::format("server {} is not partitioned any more", upstream.id));
  for (auto it = this->sessions.begin(); it != this->sessions.end();) {
    if (it->second.upstream == aIndex && it->second.isCut) {
      it->second.link->Close();
      it = this->sessions.erase(it);
    } else {
      ++it;
    }
  }
}

void
Upstreams::Port::OnAccept(h2o_socket_t* aSocket)
{
  uint64_t id = ++this->parent->lastSession;
  Session& session = this->parent->sessions[id];
  session.upstream = this->index;
  session.link =
    LineLink::FromSocket(this->parent->loop, aSocket, id, *this->parent);
}

void
Upstreams::OnLinkDown(LineLink& aLink, const Error&)
{
  this->sessions.erase(aLink.Tag());
}

void
Upstreams::OnLine(LineLink& aLink, std::string_view aLine)
{
  auto found = this->sessions.find(aLink.Tag());
  if (found == this->sessions.end() || found->second.isCut) {
    return;
  }
  std::vector<std::string> words = SplitWords(std::string(aLine));
  if (words.empty()) {
    return;
  }
  if (words[0] == "START") {
    this->HandleStart(aLink.Tag(), words);
  } else if (words[0] == "QUERY" && words.size() >= 3) {
    this->HandleQuery(aLink.Tag(), words);
  }
}

void
Upstreams::HandleStart(uint64_t aSession, const Words& aWords)
{
  Session& session = this->sessions.at(aSession);
  const Upstream& upstream = this->upstreams[session.upstream];
  session.host = aWords.size() > 2 ? aWords[2] : "";
  if (upstream.cutHosts.count(session.host) != 0) {
    session.isCut = true;
    return;
  }
  bool isExpected = aWords.size() > 3 && aWords[1] == this->options.service &&
                    aWords[3] == upstream.id;
  if (!isExpected) {
    session.link->Send("ERR MISROUTED -\r\n");
    session.link->CloseAfterWrites();
    return;
  }
  session.hasStarted = true;
  session.link->Send(fmt::format("READY I {}\r\n", Position(upstream)));
}

std::string
Upstreams::Position(const Upstream& aUpstream)
{
  uint64_t term = aUpstream.log.empty() ? 1 : aUpstream.log.back().term;
  return fmt::format("{}.{}", term, aUpstream.log.size());
}

void
Upstreams::Reply(uint64_t aSession, const std::string& aLines)
{
  auto found = this->sessions.find(aSession);
  if (found == this->sessions.end() || found->second.isCut) {
    return;
  }
  const Session& session = found->second;
  session.link->Send(aLines +
                     fmt::format("READY {} {}\r\n",
                                 session.state,
                                 Position(this->upstreams[session.upstream])));
}

void
Upstreams::Fail(uint64_t aSession, const std::string& aCode)
{
  Session& session = this->sessions.at(aSession);
  session.state = session.state == 'T' ? 'E' : session.state;
  this->Reply(aSession, "ERR " + aCode + " -\r\n");
}

void
Upstreams::HandleQuery(uint64_t aSession, Words aWords)
{
  Session& session = this->sessions.at(aSession);
  Upstream& upstream = this->upstreams[session.upstream];
  std::string request = aWords[1];
  Words words(aWords.begin() + 2, aWords.end());
  if (words[0] == "AFTER" && words.size() > 2) {
    size_t dot = words[1].find('.');
    uint64_t term = std::stoull(words[1].substr(0, dot));
    size_t number = std::stoull(words[1].substr(dot + 1));
    if (upstream.log.size() < number || upstream.term < term) {
      this->Reply(aSession, "ERR BEHIND -\r\n");
      return;
    }
    words.erase(words.begin(), words.begin() + 2);
  }
  const std::string& verb = words[0];
  if (verb == "STATUS" || verb == "HOLD" || verb == "RESUME" ||
      verb == "DEMOTE") {
    this->Command(aSession, words);
    return;
  }
  if (verb == "RESET") {
    session.prepared.clear();
    this->Reply(aSession, "DONE -\r\n");
    return;
  }
  if (verb == "SET" || verb == "FORGET") {
    this->Reply(aSession, "DONE -\r\n");
    return;
  }
  if (verb == "PREPARE" && words.size() > 2) {
    session.prepared[words[1]] = words[2];
    this->Reply(aSession, "DONE -\r\n");
    return;
  }
  if (verb == "BEGIN") {
    if (words.size() == 1 && !upstream.isPrimary) {
      this->Reply(aSession, "ERR READONLY -\r\n");
      return;
    }
    session.state = 'T';
    this->Reply(aSession, "DONE -\r\n");
    return;
  }
  if (verb == "ROLLBACK") {
    session.state = 'I';
    session.uncommitted.clear();
    this->Reply(aSession, "DONE -\r\n");
    return;
  }
  this->reached.insert(request);
  this->TakeSlot(session.upstream, [this, aSession, request, words] {
    if (this->sessions.count(aSession) != 0) {
      this->Run(aSession, request, words);
    }
  });
}

/** Calls `aWork` at the end of its work time, which begins with a free slot. */
void
Upstreams::TakeSlot(size_t aIndex, std::function<void()> aWork)
{
  Upstream& upstream = this->upstreams[aIndex];
  if (upstream.running >= this->options.slots) {
    upstream.waiting.push_back(std::move(aWork));
    return;
  }
  ++upstream.running;
  this->loop.After(this->options.workTime,
                   [this, aIndex, work = std::move(aWork)] {
                     work();
                     this->FreeSlot(aIndex);
                   });
}

void
Upstreams::FreeSlot(size_t aIndex)
{
  Upstream& upstream = this->upstreams[aIndex];
  --upstream.running;
  if (!upstream.waiting.empty()) {
    auto next = std::move(upstream.waiting.front());
    upstream.waiting.pop_front();
    this->TakeSlot(aIndex, std::move(next));
  }
}

/** Runs a statement whose work is done. */
void
Upstreams::Run(uint64_t aSession,
               const std::string& aRequest,
               const Words& aWords)
{
  Session& session = this->sessions.at(aSession);
  const Upstream& upstream = this->upstreams[session.upstream];
  const std::string& verb = aWords[0];
  if (verb == "COMMIT") {
    session.state = 'I';
    std::vector<LogEntry> entries = std::exchange(session.uncommitted, {});
    if (entries.empty()) {
      this->Reply(aSession,
                  fmt::format("DONE {}.{}\r\n", upstream.id, aRequest));
    } else if (!upstream.isPrimary) {
      this->Reply(aSession, "ERR READONLY -\r\n");
    } else {
      this->Commit(aSession, aRequest, std::move(entries));
    }
    return;
  }
  bool isExec = verb == "EXEC" && aWords.size() > 2;
  if (isExec && session.prepared.count(aWords[1]) == 0) {
    this->Fail(aSession, "NOSTMT");
    return;
  }
  bool writes =
    verb == "WRITE" || (isExec && session.prepared.at(aWords[1]) == "WRITE");
  size_t item = isExec ? 2 : 1;
  if (aWords.size() <= item) {
    this->Fail(aSession, "BAD");
  } else if (writes) {
    std::string value = aWords.size() > item + 1 ? aWords[item + 1] : "";
    this->RunWrite(aSession, aRequest, aWords[item], value);
  } else {
    this->Reply(aSession,
                this->Rows(upstream, aWords[item]) +
                  fmt::format("DONE {}.{}\r\n", upstream.id, aRequest));
  }
}

void
Upstreams::RunWrite(uint64_t aSession,
                    const std::string& aRequest,
                    const std::string& aItem,
                    const std::string& aValue)
{
  Session& session = this->sessions.at(aSession);
  const Upstream& upstream = this->upstreams[session.upstream];
  if (!upstream.isPrimary) {
    this->Fail(aSession, "READONLY");
    return;
  }
  LogEntry entry{ upstream.term, aRequest, aItem, aValue };
  if (session.state == 'T') {
    session.uncommitted.push_back(entry);
    this->Reply(aSession, fmt::format("DONE {}.{}\r\n", upstream.id, aRequest));
    return;
  }
  this->Commit(aSession, aRequest, { entry });
}

/** The commit is answered once a replica has received it. */
void
Upstreams::Commit(uint64_t aSession,
                  const std::string& aRequest,
                  std::vector<LogEntry> aEntries)
{
  size_t index = this->sessions.at(aSession).upstream;
  Upstream& upstream = this->upstreams[index];
  for (LogEntry& entry : aEntries) {
    entry.term = upstream.term;
    upstream.log.push_back(entry);
  }
  this->waitingCommits.push_back(
    { aSession, index, upstream.term, upstream.log.size(), aRequest });
  this->Replicate(index);
}

void
Upstreams::ReplicateOften()
{
  for (size_t i = 0; i < kCount; ++i) {
    if (this->upstreams[i].isRunning && this->upstreams[i].isPrimary) {
      this->Replicate(i);
    }
  }
  this->loop.After(kReplicationInterval, [this] { this->ReplicateOften(); });
}

void
Upstreams::Replicate(size_t aPrimary)
{
  uint64_t term = this->upstreams[aPrimary].term;
  size_t size = this->upstreams[aPrimary].log.size();
  for (size_t i = 0; i < kCount; ++i) {
    if (i != aPrimary) {
      // The last replica is a little farther away.
      Duration hop = this->options.hop * static_cast<int64_t>(i == 2 ? 2 : 1);
      this->loop.After(hop, [this, i, aPrimary, term, size] {
        this->Receive(i, aPrimary, term, size);
      });
    }
  }
}

void
Upstreams::Receive(size_t aReplica,
                   size_t aPrimary,
                   uint64_t aTerm,
                   size_t aSize)
{
  Upstream& replica = this->upstreams[aReplica];
  const Upstream& primary = this->upstreams[aPrimary];
  bool isFromPrimary =
    primary.isRunning && primary.isPrimary && primary.term == aTerm;
  if (!isFromPrimary || !replica.isRunning || aTerm < replica.term) {
    return;
  }
  if (replica.isPrimary) {
    Time now = ReadMonotonicClock();
    if (!replica.demoteAt) {
      replica.demoteAt = now + kOldPrimaryTime;
    }
    if (now < *replica.demoteAt) {
      return;
    }
    replica.isPrimary = false;
    this->record.Add(
      fmt::format("server {} is a replica of {}", replica.id, primary.id));
    this->Changed();
  }
  if (replica.held > aTerm) {
    return;
  }
  replica.term = aTerm;
  replica.held = 0; // a hold ends when the replica learns of the promotion
  bool isAhead = replica.log.size() > aSize && !replica.log.empty() &&
                 replica.log.back().term == aTerm;
  if (!isAhead) {
    replica.log.assign(primary.log.begin(),
                       primary.log.begin() + static_cast<ptrdiff_t>(aSize));
  }
  this->loop.After(this->options.hop, [this, aPrimary, aTerm, aSize] {
    this->Confirm(aPrimary, aTerm, aSize);
  });
}

void
Upstreams::Confirm(size_t aPrimary, uint64_t aTerm, size_t aSize)
{
  const Upstream& primary = this->upstreams[aPrimary];
  bool isPrimary =
    primary.isRunning && primary.isPrimary && primary.term == aTerm;
  if (!isPrimary) {
    return;
  }
  std::vector<WaitingCommit> waiting = std::exchange(this->waitingCommits, {});
  for (const WaitingCommit& commit : waiting) {
    bool isConfirmed = commit.upstream == aPrimary && commit.term == aTerm &&
                       commit.logSize <= aSize;
    if (!isConfirmed) {
      this->waitingCommits.push_back(commit);
      continue;
    }
    this->record.Add(fmt::format("server {} commits request {} as {}.{}",
                                 primary.id,
                                 commit.request,
                                 commit.term,
                                 commit.logSize));
    this->Reply(commit.session,
                fmt::format("DONE {}.{}\r\n", primary.id, commit.request));
  }
}

/** STATUS, HOLD, RESUME and DEMOTE return the same row. */
void
Upstreams::Command(uint64_t aSession, const Words& aWords)
{
  const Session& session = this->sessions.at(aSession);
  Upstream& upstream = this->upstreams[session.upstream];
  uint64_t term = aWords.size() > 1 ? std::stoull(aWords[1]) : 0;
  if (aWords[0] == "HOLD" && !upstream.isPrimary && term > upstream.term) {
    bool isNew = upstream.held == 0;
    upstream.held = term;
    if (isNew && this->onHold) {
      this->onHold(session.upstream);
    }
  } else if (aWords[0] == "RESUME") {
    upstream.held = 0;
  } else if (aWords[0] == "DEMOTE" && upstream.term < term) {
    upstream.isPrimary = false;
    this->Changed();
  }
  if (aWords[0] != "STATUS") {
    this->record.Add(fmt::format("server {} gets {} {} from {}, its log ends "
                                 "at {}",
                                 upstream.id,
                                 aWords[0],
                                 term,
                                 session.host,
                                 Position(upstream)));
  }
  auto connections = std::count_if(
    this->sessions.begin(), this->sessions.end(), [&](const auto& aOne) {
      return aOne.second.upstream == session.upstream;
    });
  this->Reply(aSession,
              fmt::format("ROW {} {} {} {} 0 0 {}\r\nDONE -\r\n",
                          upstream.isPrimary ? "primary" : "replica",
                          upstream.term,
                          Position(upstream),
                          upstream.held,
                          connections));
}

std::string
Upstreams::Rows(const Upstream& aUpstream, const std::string& aItem) const
{
  std::string value = "none";
  for (const LogEntry& entry : aUpstream.log) {
    value = entry.item == aItem ? entry.value : value;
  }
  value.resize(std::max(value.size(), this->options.rowBytes), '.');
  std::string rows;
  for (size_t i = 0; i < this->options.rows; ++i) {
    rows += "ROW " + value + "\r\n";
  }
  return rows;
}

bool
Upstreams::Promote(const std::string& aId)
{
  for (size_t i = 0; i < kCount; ++i) {
    if (this->upstreams[i].id != aId || !this->upstreams[i].isRunning) {
      continue;
    }
    this->record.Add("the platform is told to promote " + aId);
    if (this->CurrentPrimary() != i) {
      this->loop.After(this->options.promoteTime,
                       [this, i] { this->TakeLead(i); });
    }
    return true;
  }
  this->record.Add("the platform refuses to promote " + aId);
  return false;
}

void
Upstreams::TakeLead(size_t aIndex)
{
  Upstream& upstream = this->upstreams[aIndex];
  if (!upstream.isRunning || upstream.isPrimary) {
    return;
  }
  uint64_t term = 0;
  for (const Upstream& other : this->upstreams) {
    term = std::max(term, other.term);
  }
  upstream.held = 0;
  upstream.isPrimary = true;
  upstream.term = term + 1;
  this->promotedLogs.push_back(upstream.log);
  this->record.Add(fmt::format("server {} leads term {} from {} on",
                               upstream.id,
                               upstream.term,
                               Position(upstream)));
  this->Changed();
  this->Replicate(aIndex);
}

} // namespace marigoldpitch::review
