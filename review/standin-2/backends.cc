#include "stage.h"

#include <algorithm>
#include <sstream>

// Backends of one service. A statement takes 4 ms, a message between two of
// them 1 ms, a new connection 12 ms, a promotion 600 ms.

static constexpr double kStatementMs = 4;
static constexpr double kNetworkMs = 1;
static constexpr double kConnectMs = 12;

Backend&
Backends::Add(const std::string& aId, const std::string& aZone)
{
  auto made = std::make_unique<Backend>();
  Backend& backend = *made;
  backend.id = aId;
  backend.zone = aZone;
  backend.born = 1790000000000 + static_cast<int64_t>(Now());
  backend.listener =
    this->loop.Listen(backend.port, [this, &backend](SocketRef aSocket) {
      this->Serve(backend, aSocket);
    });
  this->all[aId] = std::move(made);
  return backend;
}

void
Backends::Register(Backend& aBackend)
{
  Json entry{ { "service", "svc" },
              { "addr", "127.0.0.1:" + std::to_string(aBackend.port) },
              { "zone", aBackend.zone },
              { "version", "1" },
              { "slots", 4 },
              { "state", aBackend.isDraining ? "draining" : "ready" },
              { "coldLeftMs", 0 },
              { "seq", static_cast<int64_t>(Now()) },
              { "born", aBackend.born },
              { "dbRole", aBackend.isPrimary ? "primary" : "replica" } };
  this->store.Put("servers/" + aBackend.id, entry.dump());
}

Backend*
Backends::Primary()
{
  Backend* newest = nullptr;
  for (auto& [id, backend] : this->all) {
    bool isNewer =
      backend->isPrimary && (newest == nullptr || newest->term < backend->term);
    newest = isNewer ? backend.get() : newest;
  }
  return newest;
}

bool
Backends::MayReceive(const Backend& aPrimary, const Backend& aReplica) const
{
  return aPrimary.isPrimary && !aReplica.isPrimary &&
         aPrimary.cutFrom.count(aReplica.id) == 0 &&
         aReplica.held <= aPrimary.term && aReplica.term <= aPrimary.term;
}

void
Backends::Replicate()
{
  for (auto& [id, one] : this->all) {
    if (!one->isPrimary) {
      continue;
    }
    Backend& primary = *one;
    for (auto& [name, other] : this->all) {
      Backend& replica = *other;
      bool lacks = replica.term != primary.term || replica.log != primary.log;
      if (&replica == &primary || !lacks ||
          !this->MayReceive(primary, replica)) {
        continue;
      }
      auto log = primary.log;
      uint64_t term = primary.term;
      this->loop.After(kNetworkMs, [this, &primary, &replica, log, term] {
        bool isStill = this->MayReceive(primary, replica) &&
                       primary.term == term &&
                       (replica.term < term || replica.log.size() < log.size());
        if (!isStill) {
          return;
        }
        replica.term = term;
        replica.log = log;
        this->loop.After(kNetworkMs, [this, &primary, term, log] {
          std::vector<OpenCommit> confirmed;
          for (auto it = this->open.begin(); it != this->open.end();) {
            bool isIn = it->backend == primary.id && it->term == term &&
                        primary.isPrimary && it->position <= log.size();
            if (isIn) {
              confirmed.push_back(*it);
            }
            it = isIn ? this->open.erase(it) : std::next(it);
          }
          for (const OpenCommit& commit : confirmed) {
            commit.answer("DONE sig." + std::to_string(++this->signatures) +
                          "\r\n");
          }
        });
      });
    }
  }
}

void
Backends::Commit(Backend& aBackend,
                 std::vector<std::string> aWrites,
                 std::function<void(const std::string&)> aAnswer)
{
  if (!aBackend.isPrimary) {
    aAnswer("ERR READONLY " + aBackend.id + "\r\n");
    return;
  }
  aBackend.log.insert(aBackend.log.end(), aWrites.begin(), aWrites.end());
  this->open.push_back(
    { aBackend.id, aBackend.log.size(), aBackend.term, std::move(aAnswer) });
  this->Replicate();
}

bool
Backends::Promote(const std::string& aId, double aEffectMs)
{
  if (this->all.count(aId) == 0) {
    return false;
  }
  this->loop.After(aEffectMs, [this, aId] {
    Backend& next = this->At(aId);
    Backend* primary = this->Primary();
    if (primary == &next) {
      return; // for the present primary nothing changes
    }
    next.term = std::max(next.term, primary->term) + 1;
    next.isPrimary = true;
    next.held = 0;
    this->Register(next);
    Record("TERM %d of %s begins with %zu writes",
           static_cast<int>(next.term),
           aId.c_str(),
           next.log.size());
    for (auto& [id, other] : this->all) {
      if (!other->isPrimary && next.cutFrom.count(id) == 0) {
        other->held = 0;
        other->term = next.term;
        other->log = next.log; // what it had beyond that is rolled back
      }
    }
    // The old primary goes on until a second after it can reach the new one.
    if (primary->cutFrom.count(aId) == 0) {
      this->loop.After(1000, [this, primary, &next] {
        if (primary->isPrimary && primary->term < next.term) {
          primary->isPrimary = false;
          this->Register(*primary);
          this->Replicate();
        }
      });
    }
    if (this->onPromoted) {
      this->onPromoted(next);
    }
  });
  return true;
}

std::string
Backends::Status(const Backend& aBackend) const
{
  std::ostringstream row;
  row << "ROW " << (aBackend.isPrimary ? "primary" : "replica") << ' '
      << aBackend.term << ' ' << aBackend.term << '.' << aBackend.log.size()
      << ' ' << aBackend.held << " 0 0 " << aBackend.connections
      << "\r\nDONE -\r\n";
  return row.str();
}

void
Backends::Serve(Backend& aBackend, const SocketRef& aSocket)
{
  auto session = std::make_shared<Session>();
  std::weak_ptr<Socket> weak = aSocket;
  ++aBackend.connections;
  aSocket->onClosed = [&aBackend] { --aBackend.connections; };
  aSocket->onData = [this, &aBackend, weak, session](Socket& aOne) {
    size_t end = 0;
    while ((end = aOne.in.find("\r\n")) != std::string::npos) {
      std::string line = aOne.in.substr(0, end);
      aOne.in.erase(0, end + 2);
      bool isStart = line.rfind("START ", 0) == 0;
      this->loop.After(isStart ? kConnectMs : kStatementMs,
                       [this, &aBackend, weak, session, line] {
                         if (auto socket = weak.lock()) {
                           this->Line(aBackend, socket, session, line);
                         }
                       });
    }
  };
}

void
Backends::Line(Backend& aBackend,
               const SocketRef& aSocket,
               const std::shared_ptr<Session>& aSession,
               const std::string& aLine)
{
  std::weak_ptr<Socket> weak = aSocket;
  auto answer = [this, weak, &aBackend, aSession](const std::string& aText) {
    if (auto socket = weak.lock()) {
      std::ostringstream ready;
      ready << "READY " << aSession->state << ' ' << aBackend.term << '.'
            << aBackend.log.size() << "\r\n";
      this->loop.Send(socket, aText + ready.str());
    }
  };
  std::istringstream text(aLine);
  std::string word;
  text >> word;
  if (word == "START") {
    std::string service, who, id;
    text >> service >> who >> id;
    if (service != "svc" || (!id.empty() && id != aBackend.id)) {
      this->loop.Send(aSocket, "ERR MISROUTED -\r\n");
      this->loop.Close(aSocket);
      --aBackend.connections;
      return;
    }
    aSession->hasStarted = true;
    answer("");
    return;
  }
  if (word == "BYE") {
    this->loop.Close(aSocket);
    --aBackend.connections;
    return;
  }
  std::string request, verb;
  text >> request >> verb;
  if (verb == "AFTER") {
    std::string point;
    text >> point >> verb;
    if (std::stoull(point.substr(point.find('.') + 1)) > aBackend.log.size()) {
      answer("ERR BEHIND -\r\n");
      return;
    }
  }
  uint64_t term = 0;
  std::string signature = "DONE sig." + std::to_string(++this->signatures);
  if (verb == "STATUS") {
    answer(this->Status(aBackend));
  } else if (verb == "HOLD") {
    text >> term;
    if (!aBackend.isPrimary && term > aBackend.term) {
      aBackend.held = std::max(aBackend.held, term);
    }
    answer(this->Status(aBackend));
  } else if (verb == "RESUME") {
    aBackend.held = 0;
    answer(this->Status(aBackend));
    this->Replicate();
  } else if (verb == "DEMOTE") {
    text >> term;
    if (aBackend.isPrimary && aBackend.term < term) {
      aBackend.isPrimary = false;
      this->Register(aBackend);
      Record("%s is demoted", aBackend.id.c_str());
      this->Replicate();
    }
    answer(this->Status(aBackend));
  } else if (verb == "BEGIN") {
    std::string kind;
    text >> kind;
    if (kind.empty() && !aBackend.isPrimary) {
      answer("ERR READONLY " + aBackend.id + "\r\n");
      return;
    }
    aSession->state = 'T';
    answer("DONE -\r\n");
  } else if (verb == "ROLLBACK") {
    aSession->state = 'I';
    aSession->writes.clear();
    answer("DONE -\r\n");
  } else if (verb == "COMMIT") {
    aSession->state = 'I';
    auto writes = std::exchange(aSession->writes, {});
    if (writes.empty()) {
      answer(signature + "\r\n");
    } else {
      this->Commit(aBackend, writes, answer);
    }
  } else if (verb == "READ") {
    if (this->onRead) {
      this->onRead(aBackend, request);
    }
    answer("ROW value\r\n" + signature + "\r\n");
  } else if (verb == "WRITE") {
    if (!aBackend.isPrimary) {
      answer("ERR READONLY " + aBackend.id + "\r\n");
    } else if (aSession->state == 'T') {
      aSession->writes.push_back(request);
      answer(signature + "\r\n");
    } else {
      this->Commit(aBackend, { request }, answer);
    }
  } else {
    answer("DONE -\r\n"); // RESET, SET, PREPARE, FORGET: unused by the clients
  }
}
