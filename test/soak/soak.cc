#include "soak/callers.h"
#include "soak/faults.h"

#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/command-line.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>

// Runs real proxies against a stand-in of the platform, with relays in between,
// simulated callers, and faults drawn from a seed. Prints each violation of a
// guarantee, and exits with 1 if there was one.

namespace marigoldpitch::soak {

namespace {

constexpr size_t kUpstreams = 3;
constexpr size_t kZones = 2;
constexpr Duration kWarmUp = Seconds(8); // until a promoter may promote
constexpr Duration kRecoveryTimeout = Seconds(12);
constexpr Duration kFinishDelay = Seconds(4); // for pending requests
constexpr Duration kPollInterval = Millis(100);
constexpr Duration kConfigTimeout = Seconds(3);
constexpr size_t kSessionsPerHost = 6;

struct Options
{
  std::string build;
  std::string directory;
  uint32_t seed = 1;
  size_t hosts = 4;
  Duration duration = Seconds(20);
  uint16_t port = 28000;
};

Endpoint
LoopbackEndpoint(int aPort)
{
  return { "127.0.0.1", static_cast<uint16_t>(aPort) };
}

} // namespace

class Run
  : public FaultTarget
  , public HostMonitor
{
public:
  Run(Loop& aLoop, Options aOptions)
    : loop(aLoop)
    , options(std::move(aOptions))
    , children(this->options.directory)
    , faults(aLoop, *this, this->options.seed)
    , callers(aLoop,
              this->history,
              this->sent,
              this->CallerEndpoints(),
              this->options.seed,
              *this)
    , up(this->options.hosts, true)
    , leavingSince(this->options.hosts, kInfiniteFuture)
  {
  }

  int Start()
  {
    this->StartSite();
    this->control =
      HttpClient::Create(this->loop, LoopbackEndpoint(this->Port(0))).value();
    this->loop.After(Millis(300), [this] {
      // With 6 ms per statement, faults occur while statements are pending.
      this->Control(R"({"work":6})");
      for (size_t host = 0; host < this->options.hosts; ++host) {
        this->StartHost(host);
      }
      this->RestartEndedHosts();
    });
    this->loop.After(Seconds(2), [this] {
      if (!this->children.IsRunning("site")) {
        this->history.ReportViolation(
          Violation::NotRecovered,
          "the stand-in of the platform did not start");
      }
      this->callers.Start(this->options.hosts * kSessionsPerHost);
    });
    this->ReadStatements();
    this->loop.After(kWarmUp,
                     [this] { this->faults.Start(this->options.duration); });
    this->loop.After(kWarmUp + this->options.duration + Millis(3600),
                     [this] { this->EndFaults(); });
    this->loop.Run();
    return this->history.Violations().empty() ? 0 : 1;
  }

  size_t Hosts() const override { return this->options.hosts; }

  bool IsUndisturbed(size_t aHost) const override
  {
    return this->faults.IsUndisturbed(aHost);
  }

  bool AcceptsCallers(size_t aHost) const override
  {
    constexpr Duration kBalancerDelay = Seconds(2);
    return this->up[aHost] &&
           ReadBootClock() - this->leavingSince[aHost] < kBalancerDelay;
  }

  void Control(const std::string& aBody) override
  {
    HttpCall call{ "POST", "/control" };
    call.body = aBody;
    this->control->Send(call, [](const Result<HttpReply>&) {});
  }

  void CommandUpstreamRelay(size_t aUpstream,
                            const std::string& aCommand) override
  {
    this->CommandRelay(this->Port(30) + static_cast<int>(aUpstream), aCommand);
  }

  void CommandStoreRelay(size_t aHost, const std::string& aCommand) override
  {
    this->CommandRelay(this->Port(60) + static_cast<int>(aHost), aCommand);
  }

  void SignalHost(size_t aHost, int aSignal) override
  {
    if (aSignal == SIGTERM && this->leavingSince[aHost] == kInfiniteFuture) {
      this->leavingSince[aHost] = ReadBootClock();
    }
    this->children.Signal(this->HostName(aHost), aSignal);
  }

  void ChangeConfig() override
  {
    ++this->version;
    nlohmann::json routes;
    auto add = [&](const std::string& aDatabase, const char* aKind) {
      routes.push_back({ { "name", aDatabase },
                         { "host", aDatabase },
                         { "kind", aKind },
                         { "maxStaleMs", 500 },
                         { "timeoutMs", 1000 },
                         { "targetLatencyMs", 300 },
                         { "service", "svc" } });
    };
    add("ledger", "primary");
    add("stock", "bounded");
    add("visits", "session");
    std::string extra = fmt::format("extra{}", this->version);
    add(extra, "primary");
    nlohmann::json config{ { "version", this->version },
                           { "routes", routes },
                           { "services",
                             { { { "name", "svc" },
                                 { "maxConns", 12 * this->options.hosts },
                                 { "syncReplicas", 1 } } } },
                           { "limits", { { "txIdleMs", 3000 } } } };
    this->Control(nlohmann::json{ { "config", config } }.dump());
    uint64_t newVersion = this->version;
    this->loop.After(kConfigTimeout, [this, newVersion, extra] {
      for (size_t host = 0; host < this->options.hosts; ++host) {
        if (newVersion == this->version && this->faults.IsUndisturbed(host) &&
            this->up[host]) {
          this->Probe(host, extra);
        }
      }
    });
  }

private:
  /** Checks that a host accepts a database that was just added. */
  struct Prober : public LineLinkListener
  {
    Run* run = nullptr;
    size_t host = 0;
    std::string database;
    std::shared_ptr<LineLink> link;
    void OnLinkUp(LineLink& aLink) override
    {
      aLink.Send(fmt::format("START {} probe\r\n", this->database));
    }
    void OnLine(LineLink& aLink, std::string_view aLine) override
    {
      if (aLine.substr(0, 8) == "ERR NODB" &&
          this->run->faults.IsUndisturbed(this->host)) {
        this->run->history.ReportViolation(
          Violation::MissingDatabase,
          fmt::format(
            "host {} does not know database {}", this->host, this->database));
      }
      ++this->run->probes;
      aLink.Close();
    }
    void OnLinkDown(LineLink&, const Error&) override {}
  };

  int Port(int aOffset) const { return this->options.port + aOffset; }
  std::string HostName(size_t aHost) const
  {
    return fmt::format("host-{}", aHost);
  }

  std::vector<Endpoint> CallerEndpoints() const
  {
    std::vector<Endpoint> endpoints;
    for (size_t i = 0; i < this->options.hosts; ++i) {
      endpoints.push_back(
        LoopbackEndpoint(this->Port(100) + static_cast<int>(i)));
    }
    return endpoints;
  }

  void StartSite()
  {
    auto text = [](int aPort) { return std::to_string(aPort); };
    this->children.Start("site",
                         { this->options.build + "/test/standin-site",
                           "--store",
                           text(this->Port(0)),
                           "--upstreams",
                           text(this->Port(10)),
                           "--advertise",
                           text(this->Port(20)) });
    auto startRelay = [&](const std::string& aName,
                          int aPort,
                          int aTargetPort,
                          int aControlPort) {
      this->children.Start(aName,
                           { this->options.build + "/test/standin-relay",
                             "--port",
                             text(aPort),
                             "--target",
                             text(aTargetPort),
                             "--control",
                             text(aControlPort) });
    };
    for (int i = 0; i < static_cast<int>(kUpstreams); ++i) {
      startRelay(fmt::format("upstream-relay-{}", i),
                 this->Port(20) + i,
                 this->Port(10) + i,
                 this->Port(30) + i);
    }
    for (int i = 0; i < static_cast<int>(this->options.hosts); ++i) {
      startRelay(fmt::format("store-relay-{}", i),
                 this->Port(40) + i,
                 this->Port(0),
                 this->Port(60) + i);
    }
  }

  void StartHost(size_t aHost)
  {
    auto index = static_cast<int>(aHost);
    auto at = [&](int aOffset) {
      return fmt::format("127.0.0.1:{}", this->Port(aOffset) + index);
    };
    std::string path =
      this->options.directory + "/" + this->HostName(aHost) + ".json";
    nlohmann::json settings{ { "host", this->HostName(aHost) },
                             { "zone", fmt::format("zone-{}", aHost % kZones) },
                             { "callers", at(100) },
                             { "health", at(120) },
                             { "metrics", at(140) },
                             { "peers", at(160) },
                             { "store", at(40) },
                             { "duties", at(40) },
                             { "grace_seconds", 6 },
                             { "upstream_drain_ms", 7000 } };
    std::ofstream(path) << settings.dump();
    this->children.Start(
      this->HostName(aHost),
      { this->options.build + "/marigoldpitch-proxy", "--settings", path });
  }

  /** Restarts proxies that have ended, as the platform does. */
  void RestartEndedHosts()
  {
    for (size_t host = 0; host < this->options.hosts; ++host) {
      bool isUp = this->children.IsRunning(this->HostName(host));
      if (!isUp && this->up[host]) {
        constexpr Duration kRestart = Millis(300);
        this->loop.After(kRestart, [this, host] {
          this->StartHost(host);
          this->up[host] = true;
          this->leavingSince[host] = kInfiniteFuture;
        });
      }
      this->up[host] = this->up[host] && isUp;
    }
    this->loop.After(kPollInterval, [this] { this->RestartEndedHosts(); });
  }

  /**
   * Reports late statements of hosts that are undisturbed, and statements
   * that ran with other texts than were sent, periodically.
   */
  void ReadStatements()
  {
    HttpCall call{ "POST", "/control" };
    call.body = R"({"late":true,"runs":true})";
    this->control->Send(call, [this](const Result<HttpReply>& aReply) {
      auto body = nlohmann::json::parse(
        aReply ? aReply.value().body : "", nullptr, false);
      nlohmann::json none = nlohmann::json::array(); // the answer was lost
      for (const auto& late : body.is_object() ? body["late"] : none) {
        this->CheckLateStatement(late[0], late[1], late[2]);
      }
      this->sent.CheckRuns(body.is_object() ? body["runs"] : none);
    });
    this->loop.After(kPollInterval, [this] { this->ReadStatements(); });
  }

  void CheckLateStatement(const std::string& aHost,
                          const std::string& aUpstream,
                          int64_t aSinceLeftMs)
  {
    ++this->lateStatements;
    for (size_t host = 0; host < this->options.hosts; ++host) {
      if (aHost == this->HostName(host) && this->faults.IsUndisturbed(host)) {
        this->history.ReportViolation(
          Violation::LateStatement,
          fmt::format("{} to {}, {} ms after it said that it leaves",
                      aHost,
                      aUpstream,
                      aSinceLeftMs));
      }
    }
  }

  void CommandRelay(int aPort, const std::string& aCommand)
  {
    auto& client = this->relays[aPort];
    if (!client) {
      client = HttpClient::Create(this->loop, LoopbackEndpoint(aPort)).value();
    }
    HttpCall call{ "POST", "/" + aCommand };
    client->Send(call, [](const Result<HttpReply>&) {});
  }

  void Probe(size_t aHost, const std::string& aDatabase)
  {
    auto prober = std::make_unique<Prober>();
    prober->run = this;
    prober->host = aHost;
    prober->database = aDatabase;
    auto link =
      LineLink::Connect(this->loop, this->CallerEndpoints()[aHost], 0, *prober);
    if (link) {
      prober->link = link.value();
      this->probers.push_back(std::move(prober));
    }
  }

  void EndFaults()
  {
    this->Control(
      R"({"down":false,"slow":0,"lose":[],"lag":0,"lose_answers":0})");
    for (size_t i = 0; i < kUpstreams; ++i) {
      this->Control(
        fmt::format(R"({{"revive":{0},"hear":{0},"recall":{0}}})", i));
      this->CommandUpstreamRelay(i, "heal");
    }
    for (size_t host = 0; host < this->options.hosts; ++host) {
      this->CommandStoreRelay(host, "heal");
      this->SignalHost(host, SIGCONT);
    }
    this->WaitForRecovery(kRecoveryTimeout);
  }

  /** Polls until each host serves writes again, or `aLeft` has passed. */
  void WaitForRecovery(Duration aLeft)
  {
    constexpr uint64_t kMinServedWrites = 5;
    bool allRecovered = true;
    for (size_t host = 0; host < this->options.hosts; ++host) {
      this->recovered[host] += this->callers.TakeServedWrites(host);
      allRecovered = allRecovered && this->recovered[host] >= kMinServedWrites;
    }
    if (allRecovered || aLeft <= Millis(0)) {
      for (size_t host = 0; host < this->options.hosts; ++host) {
        if (this->recovered[host] < kMinServedWrites) {
          this->history.ReportViolation(Violation::NotRecovered,
                                        this->HostName(host));
        }
      }
      this->callers.Stop();
      this->loop.After(kFinishDelay, [this] { this->Finish(); });
      return;
    }
    this->loop.After(kPollInterval, [this, aLeft] {
      this->WaitForRecovery(aLeft - kPollInterval);
    });
  }

  void Finish()
  {
    HttpCall call{ "POST", "/control" };
    call.body = R"({"log":true,"runs":true})";
    this->control->Send(call, [this](const Result<HttpReply>& aReply) {
      auto body = nlohmann::json::parse(
        aReply ? aReply.value().body : "", nullptr, false);
      if (body.is_discarded()) {
        this->history.ReportViolation(
          Violation::NotRecovered, "the log of the upstreams is unavailable");
      } else {
        this->history.CheckLog(
          body["log"].get<std::vector<std::pair<std::string, std::string>>>());
        this->sent.CheckRuns(body["runs"]);
        if (body["strange"] != 0) {
          this->history.ReportViolation(
            Violation::UnknownWrite,
            "an upstream received an invalid statement");
        }
      }
      this->Print();
      this->loop.Stop();
    });
  }

  void Print() const
  {
    const CallerStats& stats = this->callers.Counts();
    uint64_t faultCount = 0;
    for (const auto& [kind, count] : this->faults.Counts()) {
      faultCount += count;
    }
    for (const std::string& violation : this->history.Violations()) {
      fmt::print("WRONG {}\n", violation);
    }
    fmt::print("seed {}: {} faults, {} served, {} refused, {} unsure, {} "
               "connections lost with a request pending, {} probes, {} late, "
               "{} runs compared, {} wrong\n",
               this->options.seed,
               faultCount,
               stats.served,
               stats.refused,
               stats.unsure,
               stats.connectionsLost,
               this->probes,
               this->lateStatements,
               this->sent.CheckedRuns(),
               this->history.Violations().size());
  }

  Loop& loop;
  Options options;
  WriteHistory history;
  SentStatements sent{ this->history };
  Children children;
  Faults faults;
  Callers callers;
  std::unique_ptr<HttpClient> control;
  std::map<int, std::unique_ptr<HttpClient>> relays;
  std::vector<std::unique_ptr<Prober>> probers;
  std::vector<bool> up;
  std::vector<Time> leavingSince;
  std::map<size_t, uint64_t> recovered;
  uint64_t version = 10;
  uint64_t probes = 0;
  uint64_t lateStatements = 0; // of all hosts, also of disturbed ones
};

int
Main(int aCount, char** aArguments)
{
  auto line = ParseCommandLine(
    aCount,
    const_cast<const char**>(aArguments),
    "--dir DIRECTORY",
    { { "build", "DIRECTORY", "directory of the built programs" },
      { "dir", "DIRECTORY", "directory for settings and output" },
      { "seed", "NUMBER", "seed of the faults" },
      { "seconds", "NUMBER", "how long faults are injected" },
      { "hosts", "NUMBER", "proxies" },
      { "port", "PORT", "first of 200 ports" } });
  if (!line || !line.value().Has("dir")) {
    return static_cast<int>(ExitCode::Usage);
  }
  auto number = [&](const char* aName, const char* aDefault) {
    return std::strtoul(line.value().Get(aName, aDefault).c_str(), nullptr, 10);
  };
  Options options;
  options.build = line.value().Get("build", "build");
  options.directory = line.value().Get("dir");
  options.seed = static_cast<uint32_t>(number("seed", "1"));
  options.hosts = number("hosts", "4");
  options.duration = Seconds(static_cast<int64_t>(number("seconds", "20")));
  options.port = static_cast<uint16_t>(number("port", "28000"));
  signal(SIGPIPE, SIG_IGN);
  auto loop = Loop::Create();
  Run run(*loop.value(), options);
  return run.Start();
}

} // namespace marigoldpitch::soak

int
main(int aCount, char** aArguments)
{
  return marigoldpitch::soak::Main(aCount, aArguments);
}
