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
constexpr char kDone[] = "DONE -\r\n";
// How many of the newest runs are kept for the tests.
constexpr size_t kMaxRuns = 20000;

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
  auto found = aSession.settings.find("who");
  std::string who =
    found == aSession.settings.end() ? "" : ".who=" + found->second;
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
  if (!session.hasStarted) {
    this->StartSession(session, aLine);
    return;
  }
  auto line = ReadUpstreamLine(aLine);
  if (line) {
    this->CheckDeparture(session, line->requestId);
  } else {
    ++this->unexpectedLines;
  }
  std::string answer = line ? this->Answer(session, *line) : "ERR BAD -\r\n";
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
Upstreams::StartSession(Session& aSession, const std::string& aLine)
{
  const Upstream& upstream = this->upstreams[aSession.upstream];
  std::istringstream text{ aLine };
  std::vector<std::string> words;
  for (std::string word; text >> word;) {
    words.push_back(word);
  }
  bool isThisUpstream = words.size() >= 4 && words[0] == "START" &&
                        words[1] == "svc" && words[3] == upstream.id;
  aSession.hasStarted = isThisUpstream;
  aSession.host = words.size() >= 3 ? words[2] : "";
  aSession.link->Send(isThisUpstream ? fmt::format("READY {} {}.{}\r\n",
                                                   aSession.state,
                                                   upstream.term,
                                                   upstream.log.size())
                                     : "ERR MISROUTED -\r\n");
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
Upstreams::Answer(Session& aSession, const UpstreamLine& aLine)
{
  Upstream& upstream = this->upstreams[aSession.upstream];
  const SessionStatement& statement = aLine.statement;
  size_t visibleEntries =
    upstream.isPrimary ? upstream.log.size() : upstream.visibleEntries;
  if (aLine.after && aLine.after->position > visibleEntries) {
    return "ERR BEHIND -\r\n";
  }
  switch (statement.kind) {
    case StatementKind::Status:
    case StatementKind::Hold:
    case StatementKind::Resume:
    case StatementKind::Demote:
      return this->AnswerCommand(upstream, statement);
    case StatementKind::Reset:
      aSession.prepared.clear();
      aSession.settings.clear();
      return kDone;
    case StatementKind::SetValue:
      aSession.settings[statement.name] = statement.arguments;
      return kDone;
    case StatementKind::Prepare:
      aSession.prepared[statement.name] = { statement.writes,
                                            statement.preparedText };
      return kDone;
    case StatementKind::Forget:
      aSession.prepared.erase(statement.name);
      return kDone;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
      if (statement.kind == StatementKind::Begin && !upstream.isPrimary) {
        return "ERR READONLY -\r\n";
      }
      aSession.state = 'T';
      aSession.hasRun = false;
      return kDone;
    case StatementKind::RollBack:
    case StatementKind::Commit: {
      aSession.state = 'I';
      auto pendingWrites = std::exchange(aSession.pendingWrites, {});
      bool hasWrites =
        statement.kind == StatementKind::Commit && !pendingWrites.empty();
      if (hasWrites && !upstream.isPrimary) {
        return "ERR READONLY -\r\n"; // it has lost the lead since the BEGIN
      }
      return hasWrites ? this->CommitEntries(aSession, pendingWrites)
                       : DoneWithSignature(aSession, "end");
    }
    default:
      return this->RunCallersStatement(aSession, aLine);
  }
}

std::string
Upstreams::AnswerCommand(Upstream& aUpstream,
                         const SessionStatement& aStatement)
{
  switch (aStatement.kind) {
    case StatementKind::Hold:
      aUpstream.holdTerm =
        aUpstream.isPrimary ? aUpstream.holdTerm : aStatement.term;
      break;
    case StatementKind::Resume:
      aUpstream.holdTerm = 0;
      this->CatchUp(aUpstream);
      break;
    case StatementKind::Demote:
      aUpstream.isPrimary = false;
      this->CatchUp(aUpstream);
      break;
    default:
      break;
  }
  return this->StatusReply(aUpstream);
}

/** Runs a read, a write, or the prepared statement of an execution. */
std::string
Upstreams::RunCallersStatement(Session& aSession, const UpstreamLine& aLine)
{
  const Upstream& upstream = this->upstreams[aSession.upstream];
  SessionStatement statement = aLine.statement;
  bool isExecution = statement.kind == StatementKind::Execute;
  if (isExecution) {
    auto prepared = aSession.prepared.find(statement.name);
    if (prepared == aSession.prepared.end()) {
      return "ERR NOSTMT -\r\n";
    }
    statement.writes = prepared->second.writes;
    statement.preparedText = prepared->second.preparedText;
  }
  if (statement.writes && !upstream.isPrimary) {
    return "ERR READONLY -\r\n";
  }
  this->runs.push_back({ aLine.requestId, statement, aSession.settings });
  if (this->runs.size() > kMaxRuns) {
    this->runs.pop_front();
  }
  const std::string& item = isExecution ? statement.arguments : statement.name;
  if (!statement.writes) {
    return this->Read(aSession, item);
  }
  std::pair<std::string, std::string> entry{ item, statement.arguments };
  if (isExecution) {
    size_t blank = item.find(' ');
    entry = { item.substr(0, blank),
              blank == std::string::npos ? "" : item.substr(blank + 1) };
  }
  if (aSession.state == 'T') {
    aSession.pendingWrites.push_back(entry);
    return DoneWithSignature(aSession, "write");
  }
  return this->CommitEntries(aSession, { entry });
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
