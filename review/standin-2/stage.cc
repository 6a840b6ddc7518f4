#include "stage.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>

// Plays a case of the review:
//
// young-host: a primary is cut off from its replicas while a host is added and
// the release of a backend begins.
//
// late-order: the promoter is killed while its order is held up by a cut.
//
// lapsed-host: a host whose registration has lapsed is unknown to a promoter
// that starts then, and the primary is cut off from its replicas.
//
// Exits with 1 if a write that a client was told of is not in the log of the
// last primary, or if the platform gets an order with a lower token than one
// before.

namespace {

struct Host
{
  std::string name;
  std::string zone;
  uint16_t callers = 0;
  uint16_t health = 0;
  std::string settings;           // the path of its file
  std::unique_ptr<Path> platform; // its way to the promotion call
  pid_t pid = 0;
  bool isReady = false;
  bool hasClients = false;
  bool mustRestart = false; // once its process has ended
};

struct Write
{
  std::string host;
  double sent = 0;
  double answered = 0; // 0: not with success
};

class Stage
{
public:
  Stage(std::string aProxy,
        std::string aDirectory,
        std::string aPlay,
        bool aHasTrouble)
    : proxy(std::move(aProxy))
    , directory(std::move(aDirectory))
    , play(std::move(aPlay))
    , hasTrouble(aHasTrouble)
    , store(this->loop)
    , backends(this->loop, this->store)
  {
  }
  int Play();

private:
  void StartHost(const std::string& aName, const std::string& aZone);
  void Execute(Host& aHost);
  void ProbeUntilReady(const std::string& aName);
  void OpenClients(const std::string& aName);
  void OpenClient(const std::string& aName, bool aWrites);
  void Sweep();
  void Begin();
  void BeginLateOrder();
  void Release(const std::string& aOld, const std::string& aNew);
  bool Rests(const std::string& aName) const;
  void BeginLapsedHost();
  void AwaitRestarts();
  void CutPrimary();
  void Join();
  void CutOff(const std::string& aName);
  void KillOnceOrdered(const std::string& aName);
  int Judge();
  void EndHosts();

  std::string proxy;
  std::string directory;
  std::string play;
  bool hasTrouble;
  Loop loop;
  Store store;
  Backends backends;
  std::map<std::string, Host> hosts;
  std::map<std::string, Write> writes;
  std::string promoter;
  std::string lapsed; // the host that the store turns away
  uint64_t highestToken = 0;
  size_t lowerTokens = 0;
  std::map<std::string, double> lastHostsRead;
  bool hasBegun = false;
  bool hasJoined = false;
  double cutAt = 1e18; // of the primary, where it is known before
  size_t requests = 0;
};

constexpr double kLeadMs = 12000;
constexpr double kCutMs = 3500;
constexpr double kLateCutMs = 5500;
constexpr double kDownMs = 2600;
constexpr double kRestMs = 650;
constexpr double kTurnedAwayMs = 9000;
constexpr double kJoinMs = 120;            // after an order
constexpr double kJoinUntroubledMs = 1080; // without one
constexpr int kClientsAHost = 6;
constexpr int kWritersAHost = 2; // the others read

void
Stage::StartHost(const std::string& aName, const std::string& aZone)
{
  Host& host = this->hosts[aName];
  host.name = aName;
  host.zone = aZone;
  host.callers = FreePort();
  host.health = FreePort();
  uint16_t peers = FreePort();
  std::string at = "127.0.0.1:";
  uint16_t storePort = this->store.Open(aName);
  std::string storeAt = at + std::to_string(storePort);
  host.platform = std::make_unique<Path>(this->loop, storePort);
  std::string platformAt = at + std::to_string(host.platform->Port());
  Json settings{ { "host", aName },
                 { "zone", aZone },
                 { "callers", at + std::to_string(host.callers) },
                 { "health", at + std::to_string(host.health) },
                 { "metrics", at + std::to_string(FreePort()) },
                 { "peers", at + std::to_string(peers) },
                 { "relay", true },
                 { "store", storeAt },
                 { "duties", platformAt },
                 { "grace_seconds", 6 },
                 { "memory_mb", 520 },
                 { "descriptors", 8400 },
                 { "upstream_drain_ms", 7000 },
                 { "cpu_share", 0.5 },
                 { "cores", 1 },
                 { "link_mbps", 2000 } };
  host.settings = this->directory + "/" + aName + ".json";
  std::ofstream(host.settings) << settings.dump();
  this->Execute(host);
}

void
Stage::Execute(Host& aHost)
{
  std::string output = this->directory + "/" + aHost.name + ".log";
  aHost.pid = fork();
  if (aHost.pid == 0) {
    int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    execl(this->proxy.c_str(),
          this->proxy.c_str(),
          "--settings",
          aHost.settings.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  Record("host %s is started", aHost.name.c_str());
  this->ProbeUntilReady(aHost.name);
}

/** The platform asks each host; one that answers 200 gets clients. */
void
Stage::ProbeUntilReady(const std::string& aName)
{
  SocketRef probe = this->loop.Connect(this->hosts[aName].health);
  std::weak_ptr<Socket> weak = probe;
  auto hasAnswered = std::make_shared<bool>(false);
  probe->onData = [this, aName, weak, hasAnswered](Socket& aOne) {
    if (aOne.in.find("\r\n") == std::string::npos || *hasAnswered) {
      return;
    }
    bool isReady = aOne.in.rfind("HTTP/1.1 200", 0) == 0;
    *hasAnswered = true;
    if (auto one = weak.lock()) {
      this->loop.Close(one);
    }
    if (isReady) {
      Record("host %s is ready", aName.c_str());
      Host& host = this->hosts[aName];
      host.isReady = true;
      if (!std::exchange(host.hasClients, true)) {
        this->OpenClients(aName);
      }
    } else {
      this->loop.After(100, [this, aName] { this->ProbeUntilReady(aName); });
    }
  };
  probe->onClosed = [this, aName, hasAnswered] {
    if (!*hasAnswered) {
      *hasAnswered = true;
      this->loop.After(50, [this, aName] { this->ProbeUntilReady(aName); });
    }
  };
  this->loop.Send(probe, "GET /v1/ready HTTP/1.1\r\nhost: x\r\n\r\n");
}

void
Stage::OpenClients(const std::string& aName)
{
  for (int i = 0; i < kClientsAHost; ++i) {
    bool writes = i < kWritersAHost;
    this->loop.After(
      i * 15, [this, aName, writes] { this->OpenClient(aName, writes); });
  }
}

/** Whether the writers of the host are idle now, as the lapsed one's are. */
bool
Stage::Rests(const std::string& aName) const
{
  return aName == this->lapsed && Now() >= this->cutAt - kRestMs / 4 &&
         Now() < this->cutAt + kRestMs;
}

/** A client that writes or reads, waits for the answer, and does it again. */
void
Stage::OpenClient(const std::string& aName, bool aWrites)
{
  // A host that isn't ready gets no new connections.
  if (!this->hosts[aName].isReady) {
    this->loop.After(
      50, [this, aName, aWrites] { this->OpenClient(aName, aWrites); });
    return;
  }
  SocketRef socket = this->loop.Connect(this->hosts[aName].callers);
  std::weak_ptr<Socket> weak = socket;
  auto request = std::make_shared<std::string>();
  auto reply = std::make_shared<std::string>();
  socket->onClosed = [this, aName, aWrites] {
    this->loop.After(
      100, [this, aName, aWrites] { this->OpenClient(aName, aWrites); });
  };
  socket->onData = [this, aName, aWrites, weak, request, reply](Socket& aOne) {
    size_t end = 0;
    while ((end = aOne.in.find("\r\n")) != std::string::npos) {
      std::string line = aOne.in.substr(0, end);
      aOne.in.erase(0, end + 2);
      if (line.rfind("READY", 0) != 0) {
        *reply = line;
        continue;
      }
      if (!request->empty() && aWrites) {
        bool isDone = reply->rfind("DONE ", 0) == 0;
        this->writes[*request].answered = isDone ? Now() : 0;
        Record("%s answered by %s: %s",
               request->c_str(),
               aName.c_str(),
               reply->c_str());
      }
      bool isRefused = reply->rfind("ERR", 0) == 0;
      *request = "";
      *reply = "";
      auto again = std::make_shared<std::function<void()>>();
      *again = [=] {
        auto one = weak.lock();
        if (!one || one->fd < 0) {
          return;
        }
        if (aWrites && this->Rests(aName)) {
          this->loop.After(50, *again);
          return;
        }
        *request = (aWrites ? "w" : "r") + std::to_string(++this->requests);
        if (aWrites) {
          this->writes[*request] = { aName, Now(), 0 };
          Record("%s sent to %s", request->c_str(), aName.c_str());
        }
        std::string text = aWrites ? " WRITE item data" : " READ item";
        this->loop.Send(one, "QUERY " + *request + text + "\r\n");
      };
      this->loop.After(isRefused ? 60 : 25, *again);
    }
  };
  this->loop.Send(socket, "START ledger key\r\n");
}

/** A release: the new backend starts first, then the old one drains. */
void
Stage::Release(const std::string& aOld, const std::string& aNew)
{
  this->backends.Register(this->backends.Add(aNew, "zone-2"));
  this->backends.Replicate();
  this->loop.After(500, [this, aOld] {
    this->backends.At(aOld).isDraining = true;
    this->backends.Register(this->backends.At(aOld));
    Record("%s announces that it leaves", aOld.c_str());
  });
}

/**
 * Two primaries are released one after the other. The way from the promoter to
 * the platform's call is cut between them, and its process is killed while its
 * second order is held up. The platform starts it again.
 */
void
Stage::BeginLateOrder()
{
  std::string name = this->promoter;
  Record("the promoter is %s", name.c_str());
  this->Release(this->backends.Primary()->id, "i-d");
  this->loop.After(3000, [this, name] {
    this->Release(this->backends.Primary()->id, "i-e");
    if (this->hasTrouble) {
      this->loop.After(1000, [this, name] { this->CutOff(name); });
    }
  });
}

/** Cuts the way from the host to the platform's call. */
void
Stage::CutOff(const std::string& aName)
{
  Record("the way from %s to the promotion call is cut", aName.c_str());
  this->hosts[aName].platform->Cut();
  this->KillOnceOrdered(aName);
  this->loop.After(kLateCutMs, [this, aName] {
    Record("the cut heals");
    this->hosts[aName].platform->Heal();
  });
}

void
Stage::KillOnceOrdered(const std::string& aName)
{
  if (!this->hosts[aName].platform->HoldsBytes()) {
    this->loop.After(5, [this, aName] { this->KillOnceOrdered(aName); });
    return;
  }
  Record("an order of %s is held up", aName.c_str());
  this->loop.After(100, [this, aName] {
    Record("%s is killed", aName.c_str());
    kill(this->hosts[aName].pid, SIGKILL);
    this->loop.After(kDownMs,
                     [this, aName] { this->Execute(this->hosts[aName]); });
  });
}

/** Partitions the primary from its replicas for a while. */
void
Stage::CutPrimary()
{
  Backend& primary = *this->backends.Primary();
  for (const char* id : { "i-a", "i-b", "i-c" }) {
    if (primary.id != id) {
      primary.cutFrom.insert(id);
      this->backends.At(id).cutFrom.insert(primary.id);
    }
  }
  Record("%s is cut off from its replicas", primary.id.c_str());
  this->loop.After(kCutMs, [this, &primary] {
    for (const char* id : { "i-a", "i-b", "i-c" }) {
      primary.cutFrom.erase(id);
      this->backends.At(id).cutFrom.erase(primary.id);
    }
    Record("the cut heals");
    Backend* next = this->backends.Primary();
    this->loop.After(1000, [this, &primary, next] {
      if (primary.isPrimary && next != &primary) {
        primary.isPrimary = false;
        this->backends.Register(primary);
      }
      this->backends.Replicate();
    });
    this->backends.Replicate();
  });
}

/**
 * The store turns one host away, so that its registration lapses. Meanwhile the
 * others are stopped and started in turn, and then the primary is cut off from
 * its replicas.
 */
void
Stage::BeginLapsedHost()
{
  for (auto& [name, host] : this->hosts) {
    bool isLast = name != this->promoter; // the last of those that follow
    this->lapsed = isLast ? name : this->lapsed;
  }
  Record("the promoter is %s", this->promoter.c_str());
  this->promoter = "";
  if (this->hasTrouble) {
    this->store.TurnAway(this->lapsed);
    Record("the store turns %s away", this->lapsed.c_str());
    this->loop.After(kTurnedAwayMs, [this] {
      this->store.ServeAgain(this->lapsed);
      Record("the store serves %s again", this->lapsed.c_str());
    });
  }
  double delay = 100;
  for (auto& [name, host] : this->hosts) {
    if (name == this->lapsed) {
      continue;
    }
    std::string stopped = name;
    this->loop.After(delay, [this, stopped] {
      Record("host %s gets SIGTERM", stopped.c_str());
      Host& host = this->hosts[stopped];
      host.isReady = false;
      host.mustRestart = true;
      kill(host.pid, SIGTERM);
    });
    delay += 300;
  }
  this->AwaitRestarts();
}

/** Cuts the primary off once the restarted hosts serve and one may promote. */
void
Stage::AwaitRestarts()
{
  bool areBack = !this->promoter.empty();
  for (const auto& [name, host] : this->hosts) {
    areBack = areBack && host.isReady && !host.mustRestart && host.pid != 0;
  }
  if (!areBack) {
    this->loop.After(20, [this] { this->AwaitRestarts(); });
  } else if (!this->hasTrouble) {
    this->loop.After(kJoinUntroubledMs, [this] { this->Join(); });
  } else {
    this->cutAt = Now() + 600;
    this->loop.After(600, [this] { this->CutPrimary(); });
  }
}

/** The cut, and the start of the host that is added. */
void
Stage::Begin()
{
  this->hasBegun = true;
  if (this->play == "late-order") {
    this->BeginLateOrder();
    return;
  }
  if (this->play == "lapsed-host") {
    this->BeginLapsedHost();
    return;
  }
  Backend& primary = *this->backends.Primary();
  Record("the promoter is %s, the primary %s",
         this->promoter.c_str(),
         primary.id.c_str());
  if (this->hasTrouble) {
    this->CutPrimary();
  }
  this->loop.After(190, [this] { this->StartHost("host-4", "zone-1"); });
  if (!this->hasTrouble) {
    this->loop.After(kJoinUntroubledMs, [this] { this->Join(); });
  }
}

/** The first step of a release: the new backend starts. */
void
Stage::Join()
{
  if (!std::exchange(this->hasJoined, true)) {
    Backend& joined = this->backends.Add("i-d", "zone-2");
    this->backends.Register(joined);
    Record("i-d joins");
    this->backends.Replicate();
    this->loop.After(500, [this] {
      this->backends.At("i-b").isDraining = true;
      this->backends.Register(this->backends.At("i-b"));
    });
  }
}

void
Stage::Sweep()
{
  this->store.Expire();
  for (auto& [name, host] : this->hosts) {
    int status = 0;
    if (host.pid > 0 && waitpid(host.pid, &status, WNOHANG) == host.pid) {
      Record("host %s has ended with status %d", name.c_str(), status);
      host.pid = 0;
      host.isReady = false;
      if (std::exchange(host.mustRestart, false)) {
        std::string ended = name;
        this->loop.After(200,
                         [this, ended] { this->Execute(this->hosts[ended]); });
      }
    }
  }
  this->loop.After(20, [this] { this->Sweep(); });
}

int
Stage::Judge()
{
  const Backend& primary = *this->backends.Primary();
  std::set<std::string> kept(primary.log.begin(), primary.log.end());
  size_t answered = 0;
  size_t lost = 0;
  for (const auto& [request, write] : this->writes) {
    if (write.answered == 0) {
      continue;
    }
    ++answered;
    if (kept.count(request) == 0) {
      ++lost;
      Record("LOST %s by %s: sent at %.1f, acknowledged at %.1f",
             request.c_str(),
             write.host.c_str(),
             write.sent,
             write.answered);
    }
  }
  Record("primary %s of term %d; %zu writes, %zu acknowledged, %zu lost",
         primary.id.c_str(),
         static_cast<int>(primary.term),
         this->writes.size(),
         answered,
         lost);
  printf("%zu writes acknowledged, %zu of them lost\n", answered, lost);
  printf("%zu orders with a lower token than one before\n", this->lowerTokens);
  bool wasPromoted = primary.term > 1;
  if (answered < 200 || (this->hasTrouble && !wasPromoted)) {
    return 2;
  }
  return lost == 0 && this->lowerTokens == 0 ? 0 : 1;
}

void
Stage::EndHosts()
{
  for (auto& [name, host] : this->hosts) {
    if (host.pid > 0) {
      kill(host.pid, SIGKILL);
      waitpid(host.pid, nullptr, 0);
    }
  }
}

int
Stage::Play()
{
  this->store.Put(
    "op/config",
    R"({"version":3,"routes":[{"name":"a","host":"ledger","kind":"primary",)"
    R"("timeoutMs":800,"targetLatencyMs":120,"priority":1,"service":"svc"}],)"
    R"("services":[{"name":"svc","maxConns":16,"syncReplicas":1}],)"
    R"("limits":{"txIdleMs":3000}})");
  this->backends.Add("i-a", "zone-1").isPrimary = true;
  this->backends.Add("i-b", "zone-2");
  this->backends.Add("i-c", "zone-3");
  for (const char* id : { "i-a", "i-b", "i-c" }) {
    this->backends.Register(this->backends.At(id));
  }
  this->store.onPut = [this](const std::string& aHost,
                             const std::string& aKey) {
    if (aKey.find("promoter") != std::string::npos ||
        aKey.find("duty") != std::string::npos) {
      this->promoter = aHost;
    }
    Record("%s writes %s", aHost.c_str(), aKey.c_str());
  };
  this->store.onRange = [this](const std::string& aHost,
                               const std::string& aPrefix) {
    bool isHostList = aPrefix.rfind("servers/", 0) != 0;
    if (!isHostList) {
      return;
    }
    this->lastHostsRead[aHost] = Now();
    if (aHost == this->promoter && !this->hasBegun && Now() >= kLeadMs) {
      this->hasBegun = true;
      // So that the host registers just after the promoter's next read.
      this->loop.After(800, [this] { this->Begin(); });
    }
  };
  this->store.onPromote =
    [this](const std::string& aHost, uint64_t aToken, const Json& aBody) {
      std::string id = aBody.value("id", "");
      Record("%s orders the promotion of %s, token %llu",
             aHost.c_str(),
             id.c_str(),
             static_cast<unsigned long long>(aToken));
      if (aToken < this->highestToken) {
        ++this->lowerTokens;
        Record("ONE: the platform has seen token %llu before",
               static_cast<unsigned long long>(this->highestToken));
      }
      this->highestToken = std::max(this->highestToken, aToken);
      if (this->play != "late-order") {
        this->loop.After(kJoinMs, [this] { this->Join(); });
      }
      return this->backends.Promote(id, 600) ? 200 : 409;
    };
  for (const char* number : { "1", "2", "3" }) {
    this->StartHost(std::string("host-") + number,
                    std::string("zone-") + number);
  }
  this->Sweep();
  this->loop.After(kLeadMs + 16000, [this] { this->loop.Stop(); });
  this->loop.Run();
  int result = this->Judge();
  this->EndHosts();
  return result;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    fprintf(stderr, "use: review-stage PROXY DIRECTORY PLAY\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  if (getenv("RECORD") == nullptr) {
    fprintf(stderr, "RECORD must name the file of the record\n");
    return 2;
  }
  const char* trouble = getenv("TROUBLE");
  bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  Stage stage(aArguments[1], aArguments[2], aArguments[3], hasTrouble);
  return stage.Play();
}
