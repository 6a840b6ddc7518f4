#include "standin/site-upstreams.h"

#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>

#include <sstream>

namespace marigoldpitch::standin {

namespace {

// Upstreams that announce their departure go on serving for this long.
constexpr Duration kDrainTime = Seconds(7);
// How much longer they serve, and for how long they are gone.
constexpr Duration kLingerTime = Millis(3500);
constexpr Duration kAbsence = Millis(1000);

} // namespace

Upstreams::Upstreams(Loop& aLoop)
  : loop(aLoop)
{
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    this->upstreams[i].id = fmt::format("i-{}", i);
    this->upstreams[i].isPrimary = i == 0;
    this->ports[i].parent = this;
    this->ports[i].upstream = i;
  }
}

Result<void>
Upstreams::Listen(size_t aUpstream,
                  const Endpoint& aEndpoint,
                  const Endpoint& aAdvertised)
{
  this->upstreams[aUpstream].endpoint = aEndpoint;
  this->upstreams[aUpstream].advertised = aAdvertised;
  Port& port = this->ports[aUpstream];
  BOOST_OUTCOME_TRY(auto listener,
                    TcpListener::Create(this->loop, aEndpoint, port));
  port.listener = std::move(listener);
  return boost::outcome_v2::success();
}

void
Upstreams::Port::OnAccept(h2o_socket_t* aSocket)
{
  uint64_t id = ++this->parent->lastSession;
  Session& session = this->parent->sessions[id];
  session.upstream = this->upstream;
  session.link =
    LineLink::FromSocket(this->parent->loop, aSocket, id, *this->parent);
}

void
Upstreams::OnLinkDown(LineLink& aLink, const Error&)
{
  this->sessions.erase(aLink.Tag());
}

void
Upstreams::Kill(size_t aUpstream)
{
  Upstream& upstream = this->upstreams[aUpstream];
  upstream.isRunning = false;
  this->ports[aUpstream].listener.reset();
  for (auto it = this->sessions.begin(); it != this->sessions.end();) {
    if (it->second.upstream == aUpstream) {
      it->second.link->Close();
      it = this->sessions.erase(it);
    } else {
      ++it;
    }
  }
}

void
Upstreams::Restart(size_t aUpstream)
{
  Upstream& upstream = this->upstreams[aUpstream];
  if (upstream.isRunning ||
      !this->Listen(aUpstream, upstream.endpoint, upstream.advertised)) {
    return;
  }
  upstream.isRunning = true;
  upstream.holdTerm = 0;
  Upstream* currentPrimary = this->CurrentPrimary();
  upstream.isPrimary = currentPrimary == nullptr && upstream.isPrimary;
  this->CatchUp(upstream);
}

void
Upstreams::Leave(size_t aUpstream)
{
  if (std::exchange(this->upstreams[aUpstream].isLeaving, true)) {
    return;
  }
  this->loop.After(kDrainTime + kLingerTime, [this, aUpstream] {
    this->Kill(aUpstream);
    this->loop.After(kAbsence, [this, aUpstream] {
      Upstream& upstream = this->upstreams[aUpstream];
      upstream.isLeaving = false;
      upstream.isUnregistered = false;
      upstream.leftAt = kInfiniteFuture;
      ++upstream.incarnation;
      this->Restart(aUpstream);
    });
  });
}

void
Upstreams::NoteLeft(Upstream& aUpstream)
{
  bool isNew = aUpstream.isLeaving && aUpstream.leftAt == kInfiniteFuture;
  aUpstream.leftAt = isNew ? ReadBootClock() : aUpstream.leftAt;
}

void
Upstreams::SetReplicationBlocked(size_t aUpstream, bool aIsBlocked)
{
  this->upstreams[aUpstream].isReplicationBlocked = aIsBlocked;
  this->CatchUp(this->upstreams[aUpstream]);
}

Upstream*
Upstreams::CurrentPrimary()
{
  Upstream* currentPrimary = nullptr;
  for (Upstream& upstream : this->upstreams) {
    bool isNewer =
      upstream.isPrimary && upstream.isRunning &&
      (currentPrimary == nullptr || currentPrimary->term < upstream.term);
    currentPrimary = isNewer ? &upstream : currentPrimary;
  }
  return currentPrimary;
}

std::optional<size_t>
Upstreams::IndexOf(Member aMember)
{
  const Upstream* currentPrimary = this->CurrentPrimary();
  if (currentPrimary == nullptr) {
    return std::nullopt;
  }
  auto first = static_cast<size_t>(currentPrimary - this->upstreams.data());
  return (first + static_cast<size_t>(aMember)) % this->upstreams.size();
}

/** Copies the primary's log, unless the replica cannot or must not receive. */
void
Upstreams::CatchUp(Upstream& aReplica)
{
  Upstream* currentPrimary = this->CurrentPrimary();
  bool canReceive = currentPrimary != nullptr && !aReplica.isPrimary &&
                    aReplica.isRunning && !aReplica.isReplicationBlocked &&
                    aReplica.holdTerm == 0;
  if (canReceive) {
    aReplica.term = currentPrimary->term;
    this->Receive(aReplica, currentPrimary->log);
  }
}

void
Upstreams::Receive(Upstream& aReplica,
                   const std::vector<std::pair<std::string, std::string>>& aLog)
{
  aReplica.log = aLog;
  aReplica.visibleEntries = std::min(aReplica.visibleEntries, aLog.size());
  size_t count = aLog.size();
  if (this->replayLag == Millis(0)) {
    aReplica.visibleEntries = count;
    return;
  }
  this->loop.After(this->replayLag, [&aReplica, count] {
    aReplica.visibleEntries =
      std::min(std::max(aReplica.visibleEntries, count), aReplica.log.size());
  });
}

std::string
Upstreams::DoneWithSignature(const Session& aSession, const char* aKind)
{
  std::string who = aSession.who.empty() ? "" : ".who=" + aSession.who;
  return fmt::format("DONE sig.{}{}\r\n", aKind, who);
}

bool
Upstreams::Promote(const std::string& aId)
{
  for (Upstream& upstream : this->upstreams) {
    if (upstream.id != aId || !upstream.isRunning) {
      continue;
    }
    this->loop.After(Millis(200), [this, &upstream] {
      if (upstream.isPrimary || !upstream.isRunning) {
        return;
      }
      upstream.isPrimary = true;
      upstream.holdTerm = 0;
      ++upstream.term;
      for (Upstream& other : this->upstreams) {
        if (!other.isPrimary && other.isRunning) {
          other.holdTerm = 0;
          this->CatchUp(other);
        }
      }
    });
    return true;
  }
  return false;
}

void
Upstreams::OnLine(LineLink& aLink, std::string_view aLine)
{
  uint64_t session = aLink.Tag();
  std::string line(aLine);
  if (this->executionTime == Millis(0)) {
    this->RunStatement(session, line);
  } else {
    this->loop.After(this->executionTime, [this, session, line] {
      this->RunStatement(session, line);
    });
  }
}

void
Upstreams::RunStatement(uint64_t aSession, const std::string& aLine)
{
  auto found = this->sessions.find(aSession);
  if (found == this->sessions.end()) {
    return;
  }
  Session& session = found->second;
  LineLink& link = *session.link;
  Upstream& upstream = this->upstreams[session.upstream];
  std::istringstream text{ aLine };
  std::vector<std::string> words;
  for (std::string word; text >> word;) {
    words.push_back(word);
  }
  std::string end = fmt::format(
    "READY {} {}.{}\r\n", session.state, upstream.term, upstream.log.size());
  if (!session.hasStarted) {
    bool isThisUpstream = words.size() >= 4 && words[0] == "START" &&
                          words[1] == "svc" && words[3] == upstream.id;
    session.hasStarted = isThisUpstream;
    session.host = words.size() >= 3 ? words[2] : "";
    link.Send(isThisUpstream ? end : "ERR MISROUTED -\r\n");
    return;
  }
  if (words.size() < 3 || words[0] != "QUERY") {
    ++this->unexpectedLines;
    return;
  }
  this->CheckDeparture(session, words[1]);
  std::vector<std::string> statement(words.begin() + 2, words.end());
  std::string answer = this->Answer(session, statement);
  bool isAnswerDropped = this->answerLossInterval != 0 &&
                         ++this->answerCount % this->answerLossInterval == 0;
  if (isAnswerDropped) {
    // Alternately closes the connection and leaves it open without an answer.
    if (this->answerCount / this->answerLossInterval % 2 == 0) {
      link.Close();
      this->sessions.erase(aSession);
    }
    return;
  }
  if (!answer.empty()) {
    link.Send(answer + fmt::format("READY {} {}.{}\r\n",
                                   session.state,
                                   upstream.term,
                                   upstream.log.size()));
  }
}

void
Upstreams::CheckDeparture(Session& aSession, const std::string& aRequestId)
{
  if (aRequestId == "-") {
    return; // the proxy's own
  }
  bool isFirst = !std::exchange(aSession.hasRun, aSession.state == 'T');
  const Upstream& upstream = this->upstreams[aSession.upstream];
  Duration sinceLeft = ReadBootClock() - upstream.leftAt;
  if (isFirst && sinceLeft > kDrainTime) {
    this->lateStatements.push_back({ aSession.host, upstream.id, sinceLeft });
  }
}

std::string
Upstreams::StatusReply(Upstream& aUpstream)
{
  return fmt::format("ROW {} {} {}.{} {} 0 0 1\r\nDONE -\r\n",
                     aUpstream.isPrimary ? "primary" : "replica",
                     aUpstream.term,
                     aUpstream.term,
                     aUpstream.log.size(),
                     aUpstream.holdTerm);
}

std::string
Upstreams::Answer(Session& aSession, const std::vector<std::string>& aWords)
{
  Upstream& upstream = this->upstreams[aSession.upstream];
  std::vector<std::string> words = aWords;
  std::string done = "DONE -\r\n";
  if (words[0] == "AFTER" && words.size() > 2) {
    size_t dot = words[1].find('.');
    uint64_t position = std::stoull(words[1].substr(dot + 1));
    words.erase(words.begin(), words.begin() + 2);
    size_t visibleEntries =
      upstream.isPrimary ? upstream.log.size() : upstream.visibleEntries;
    if (position > visibleEntries) {
      return "ERR BEHIND -\r\n";
    }
  }
  const std::string& verb = words[0];
  if (verb == "STATUS" || verb == "HOLD" || verb == "RESUME" ||
      verb == "DEMOTE") {
    bool isHold = verb == "HOLD" && !upstream.isPrimary;
    upstream.holdTerm = isHold ? std::stoull(words[1]) : upstream.holdTerm;
    upstream.holdTerm = verb == "RESUME" ? 0 : upstream.holdTerm;
    upstream.isPrimary = verb == "DEMOTE" ? false : upstream.isPrimary;
    if (verb == "RESUME" || verb == "DEMOTE") {
      this->CatchUp(upstream);
    }
    return this->StatusReply(upstream);
  }
  if (verb == "RESET") {
    aSession.prepared.clear();
    aSession.who.clear();
    return done;
  }
  if (verb == "SET") {
    bool setsWho = words.size() > 2 && words[1] == "who";
    aSession.who = setsWho ? words[2] : aSession.who;
    return done;
  }
  if (verb == "PREPARE" && words.size() > 2) {
    aSession.prepared[words[1]] = words[2];
    return done;
  }
  if (verb == "BEGIN") {
    if (words.size() == 1 && !upstream.isPrimary) {
      return "ERR READONLY -\r\n";
    }
    aSession.state = 'T';
    aSession.hasRun = false;
    return done;
  }
  if (verb == "ROLLBACK" || verb == "COMMIT") {
    aSession.state = 'I';
    auto pendingWrites = std::exchange(aSession.pendingWrites, {});
    bool hasWrites = verb == "COMMIT" && !pendingWrites.empty();
    if (hasWrites && !upstream.isPrimary) {
      return "ERR READONLY -\r\n"; // it has lost the lead since the BEGIN
    }
    return hasWrites ? this->CommitEntries(aSession, pendingWrites)
                     : DoneWithSignature(aSession, "end");
  }
  bool executesWrite = verb == "EXEC" && words.size() > 3 &&
                       aSession.prepared[words[1]] == "WRITE";
  if (verb == "WRITE" || executesWrite) {
    size_t item = verb == "WRITE" ? 1 : 2;
    if (!upstream.isPrimary) {
      return "ERR READONLY -\r\n";
    }
    if (aSession.state == 'T') {
      aSession.pendingWrites.emplace_back(words[item], words[item + 1]);
      return DoneWithSignature(aSession, "write");
    }
    return this->CommitEntries(aSession, { { words[item], words[item + 1] } });
  }
  if (verb == "READ" || verb == "EXEC") {
    return this->Read(aSession, words[verb == "READ" ? 1 : 2]);
  }
  ++this->unexpectedLines;
  return "ERR BAD -\r\n";
}

std::string
Upstreams::Read(Session& aSession, const std::string& aItem)
{
  const Upstream& upstream = this->upstreams[aSession.upstream];
  std::string value = "nothing";
  size_t visibleEntries =
    upstream.isPrimary ? upstream.log.size() : upstream.visibleEntries;
  for (size_t i = 0; i < visibleEntries; ++i) {
    value = upstream.log[i].first == aItem ? upstream.log[i].second : value;
  }
  return "ROW " + value + "\r\n" + DoneWithSignature(aSession, "read");
}

std::string
Upstreams::CommitEntries(
  Session& aSession,
  std::vector<std::pair<std::string, std::string>> aEntries)
{
  Upstream& primary = this->upstreams[aSession.upstream];
  primary.log.insert(primary.log.end(), aEntries.begin(), aEntries.end());
  primary.visibleEntries = primary.log.size();
  bool isConfirmed = false;
  for (Upstream& other : this->upstreams) {
    bool canReceive = !other.isPrimary && other.isRunning &&
                      !other.isReplicationBlocked && other.holdTerm == 0 &&
                      other.term == primary.term;
    if (canReceive) {
      this->Receive(other, primary.log);
      isConfirmed = true;
    }
  }
  // A write that no replica received is never answered.
  return isConfirmed ? DoneWithSignature(aSession, "write") : "";
}

} // namespace marigoldpitch::standin
