#include "standin/site-upstreams.h"

#include <fmt/format.h>

#include <sstream>

namespace marigoldpitch::standin {

Upstreams::Upstreams(Loop& aLoop)
  : loop(aLoop)
{
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    this->upstreams[i].id = fmt::format("i-{}", i);
    this->upstreams[i].isPrimary = i == 0;
    this->ports[i].all = this;
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
  uint64_t id = ++this->all->lastSession;
  Session& session = this->all->sessions[id];
  session.upstream = this->upstream;
  session.link = LineLink::FromSocket(this->all->loop, aSocket, id, *this->all);
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
  upstream.isAlive = false;
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
Upstreams::Revive(size_t aUpstream)
{
  Upstream& upstream = this->upstreams[aUpstream];
  if (upstream.isAlive ||
      !this->Listen(aUpstream, upstream.endpoint, upstream.advertised)) {
    return;
  }
  upstream.isAlive = true;
  upstream.held = 0;
  Upstream* leader = this->Leader();
  upstream.isPrimary = leader == nullptr && upstream.isPrimary;
  this->Follow(upstream);
}

void
Upstreams::SetDeaf(size_t aUpstream, bool aIsDeaf)
{
  this->upstreams[aUpstream].isDeaf = aIsDeaf;
  this->Follow(this->upstreams[aUpstream]);
}

Upstream*
Upstreams::Leader()
{
  Upstream* leader = nullptr;
  for (Upstream& upstream : this->upstreams) {
    bool leads = upstream.isPrimary && upstream.isAlive &&
                 (leader == nullptr || leader->term < upstream.term);
    leader = leads ? &upstream : leader;
  }
  return leader;
}

std::optional<size_t>
Upstreams::IndexAt(Place aPlace)
{
  const Upstream* leader = this->Leader();
  if (leader == nullptr) {
    return std::nullopt;
  }
  auto first = static_cast<size_t>(leader - this->upstreams.data());
  return (first + static_cast<size_t>(aPlace)) % this->upstreams.size();
}

/** Copies the primary's log, unless the replica cannot or must not receive. */
void
Upstreams::Follow(Upstream& aReplica)
{
  Upstream* leader = this->Leader();
  bool follows = leader != nullptr && !aReplica.isPrimary && aReplica.isAlive &&
                 !aReplica.isDeaf && aReplica.held == 0;
  if (follows) {
    aReplica.term = leader->term;
    this->Receive(aReplica, leader->log);
  }
}

void
Upstreams::Receive(Upstream& aReplica,
                   const std::vector<std::pair<std::string, std::string>>& aLog)
{
  aReplica.log = aLog;
  aReplica.shown = std::min(aReplica.shown, aLog.size());
  size_t count = aLog.size();
  if (this->lag == Millis(0)) {
    aReplica.shown = count;
    return;
  }
  this->loop.After(this->lag, [&aReplica, count] {
    aReplica.shown =
      std::min(std::max(aReplica.shown, count), aReplica.log.size());
  });
}

std::string
Upstreams::Signed(const Session& aSession, const char* aKind)
{
  std::string who = aSession.who.empty() ? "" : ".who=" + aSession.who;
  return fmt::format("DONE sig.{}{}\r\n", aKind, who);
}

bool
Upstreams::Promote(const std::string& aId)
{
  for (Upstream& upstream : this->upstreams) {
    if (upstream.id != aId || !upstream.isAlive) {
      continue;
    }
    this->loop.After(Millis(200), [this, &upstream] {
      if (upstream.isPrimary || !upstream.isAlive) {
        return;
      }
      upstream.isPrimary = true;
      upstream.held = 0;
      ++upstream.term;
      for (Upstream& other : this->upstreams) {
        if (!other.isPrimary && other.isAlive) {
          other.held = 0;
          this->Follow(other);
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
  if (this->work == Millis(0)) {
    this->Run(session, line);
  } else {
    this->loop.After(this->work,
                     [this, session, line] { this->Run(session, line); });
  }
}

void
Upstreams::Run(uint64_t aSession, const std::string& aLine)
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
    bool isUs = words.size() >= 4 && words[0] == "START" && words[1] == "svc" &&
                words[3] == upstream.id;
    session.hasStarted = isUs;
    link.Send(isUs ? end : "ERR MISROUTED -\r\n");
    return;
  }
  if (words.size() < 3 || words[0] != "QUERY") {
    ++this->strange;
    return;
  }
  std::vector<std::string> statement(words.begin() + 2, words.end());
  std::string answer = this->Answer(session, statement);
  bool isLost = this->losesEach != 0 && ++this->answers % this->losesEach == 0;
  if (isLost) {
    // Alternately closes the connection and leaves it open without an answer.
    if (this->answers / this->losesEach % 2 == 0) {
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

std::string
Upstreams::Report(Upstream& aUpstream)
{
  return fmt::format("ROW {} {} {}.{} {} 0 0 1\r\nDONE -\r\n",
                     aUpstream.isPrimary ? "primary" : "replica",
                     aUpstream.term,
                     aUpstream.term,
                     aUpstream.log.size(),
                     aUpstream.held);
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
    size_t shown = upstream.isPrimary ? upstream.log.size() : upstream.shown;
    if (position > shown) {
      return "ERR BEHIND -\r\n";
    }
  }
  const std::string& verb = words[0];
  if (verb == "STATUS" || verb == "HOLD" || verb == "RESUME" ||
      verb == "DEMOTE") {
    bool isHold = verb == "HOLD" && !upstream.isPrimary;
    upstream.held = isHold ? std::stoull(words[1]) : upstream.held;
    upstream.held = verb == "RESUME" ? 0 : upstream.held;
    upstream.isPrimary = verb == "DEMOTE" ? false : upstream.isPrimary;
    if (verb == "RESUME" || verb == "DEMOTE") {
      this->Follow(upstream);
    }
    return this->Report(upstream);
  }
  if (verb == "RESET") {
    aSession.prepared.clear();
    aSession.who.clear();
    return done;
  }
  if (verb == "SET") {
    bool isWho = words.size() > 2 && words[1] == "who";
    aSession.who = isWho ? words[2] : aSession.who;
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
    return done;
  }
  if (verb == "ROLLBACK" || verb == "COMMIT") {
    aSession.state = 'I';
    auto written = std::exchange(aSession.written, {});
    bool keeps = verb == "COMMIT" && !written.empty();
    return keeps ? this->Keep(aSession, written) : Signed(aSession, "end");
  }
  bool executesWrite = verb == "EXEC" && words.size() > 3 &&
                       aSession.prepared[words[1]] == "WRITE";
  if (verb == "WRITE" || executesWrite) {
    size_t item = verb == "WRITE" ? 1 : 2;
    if (!upstream.isPrimary) {
      return "ERR READONLY -\r\n";
    }
    if (aSession.state == 'T') {
      aSession.written.emplace_back(words[item], words[item + 1]);
      return Signed(aSession, "write");
    }
    return this->Keep(aSession, { { words[item], words[item + 1] } });
  }
  if (verb == "READ" || verb == "EXEC") {
    return this->Read(aSession, words[verb == "READ" ? 1 : 2]);
  }
  ++this->strange;
  return "ERR BAD -\r\n";
}

std::string
Upstreams::Read(Session& aSession, const std::string& aItem)
{
  const Upstream& upstream = this->upstreams[aSession.upstream];
  std::string value = "nothing";
  size_t shown = upstream.isPrimary ? upstream.log.size() : upstream.shown;
  for (size_t i = 0; i < shown; ++i) {
    value = upstream.log[i].first == aItem ? upstream.log[i].second : value;
  }
  return "ROW " + value + "\r\n" + Signed(aSession, "read");
}

std::string
Upstreams::Keep(Session& aSession,
                std::vector<std::pair<std::string, std::string>> aEntries)
{
  Upstream& primary = this->upstreams[aSession.upstream];
  primary.log.insert(primary.log.end(), aEntries.begin(), aEntries.end());
  primary.shown = primary.log.size();
  bool isConfirmed = false;
  for (Upstream& other : this->upstreams) {
    bool follows = !other.isPrimary && other.isAlive && !other.isDeaf &&
                   other.held == 0 && other.term == primary.term;
    if (follows) {
      this->Receive(other, primary.log);
      isConfirmed = true;
    }
  }
  // A write that no replica received is never answered.
  return isConfirmed ? Signed(aSession, "write") : "";
}

} // namespace marigoldpitch::standin
