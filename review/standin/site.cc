#include "site.h"

#include <fmt/format.h>

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace marigoldpitch::review {

namespace {

constexpr uint16_t kStoreOffset = 0;
constexpr uint16_t kUpstreamsOffset = 1;
constexpr uint16_t kFirstHostOffset = 10;
constexpr uint16_t kPortsPerHost = 6;
constexpr uint16_t kPorts = 64;
constexpr uint16_t kLowestPort = 20000;
constexpr uint16_t kHighestPort = 31000;

enum HostPort : uint16_t
{
  Callers,
  Health,
  Metrics,
  Relays,
  Peers,
};

bool
IsFree(uint16_t aPort)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bool isFree =
    bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return isFree;
}

} // namespace

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

Site::Site(Loop& aLoop, Record& aRecord, SiteOptions aOptions)
  : loop(aLoop)
  , record(aRecord)
  , options(std::move(aOptions))
{
}

Site::~Site()
{
  for (pid_t process : this->processes) {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
}

/** Finds a range of ports of which none is in use. */
bool
Site::FindPorts()
{
  auto start = static_cast<uint16_t>(getpid() % 160);
  for (uint16_t i = 0; i < 160; ++i) {
    auto base = static_cast<uint16_t>(kLowestPort + (start + i) % 160 * kPorts);
    bool areFree = base + kPorts < kHighestPort;
    for (uint16_t port = 0; port < kPorts && areFree; ++port) {
      areFree = IsFree(static_cast<uint16_t>(base + port));
    }
    if (areFree) {
      this->basePort = base;
      return true;
    }
  }
  this->record.Add("no free ports");
  return false;
}

bool
Site::Start()
{
  if (!this->FindPorts()) {
    return false;
  }
  UpstreamOptions upstreamOptions = this->options.upstreams;
  upstreamOptions.firstPort =
    static_cast<uint16_t>(this->basePort + kUpstreamsOffset);
  this->upstreams =
    std::make_unique<Upstreams>(this->loop, this->record, upstreamOptions);
  this->store =
    std::make_unique<Store>(this->loop, this->record, *this->upstreams);
  bool hasStarted =
    this->upstreams->Start() &&
    this->store->Start(static_cast<uint16_t>(this->basePort + kStoreOffset));
  if (!hasStarted) {
    return false;
  }
  std::string route = fmt::format(
    R"("timeoutMs":{},"targetLatencyMs":{},"priority":1,"service":"svc")",
    this->options.timeoutMs,
    this->options.targetLatencyMs);
  this->store->PutConfig(fmt::format(
    R"({{"version":3,"routes":[)"
    R"({{"name":"a","host":"orders","kind":"primary",{0}}},)"
    R"({{"name":"b","host":"stock","kind":"bounded","maxStaleMs":1500,{0}}},)"
    R"({{"name":"c","host":"visits","kind":"session","maxStaleMs":2500,{0}}}],)"
    R"("services":[{{"name":"svc","maxConns":{1},"syncReplicas":1}}],)"
    R"("limits":{{"txIdleMs":5000}}}})",
    route,
    this->options.connections));
  for (size_t host = 0; host < this->options.hosts; ++host) {
    if (!this->StartHost(host)) {
      return false;
    }
  }
  return true;
}

std::string
Site::HostName(size_t aHost) const
{
  return fmt::format("host-{}", aHost + 1);
}

uint16_t
Site::CallersPort(size_t aHost) const
{
  return static_cast<uint16_t>(this->basePort + kFirstHostOffset +
                               aHost * kPortsPerHost + HostPort::Callers);
}

/** What the platform makes of platform/settings.json.in. */
std::string
Site::Settings(size_t aHost) const
{
  auto at = [&](HostPort aPort) {
    return fmt::format("\"127.0.0.1:{}\"", this->CallersPort(aHost) + aPort);
  };
  std::string store =
    fmt::format("\"127.0.0.1:{}\"", this->basePort + kStoreOffset);
  return fmt::format(
    R"({{"host":"{}","zone":"zone-{}","callers":{},"health":{},)"
    R"("metrics":{},"peers":{},"relay":true,"store":{},"duties":{},)"
    R"("grace_seconds":6,"upstream_drain_ms":7000}})",
    this->HostName(aHost),
    aHost + 1,
    at(HostPort::Callers),
    at(HostPort::Health),
    at(HostPort::Metrics),
    at(HostPort::Peers),
    store,
    store);
}

bool
Site::StartHost(size_t aHost)
{
  std::string stem = this->options.directory + "/" + this->HostName(aHost);
  std::string settings = stem + ".json";
  std::string log = stem + ".log";
  std::ofstream(settings) << this->Settings(aHost);
  pid_t process = fork();
  if (process < 0) {
    this->record.Add("cannot start a process");
    return false;
  }
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); // also if the script is stopped
    int out = open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(this->options.program.c_str(),
          this->options.program.c_str(),
          "--settings",
          settings.c_str(),
          nullptr);
    _exit(127);
  }
  this->processes.push_back(process);
  return true;
}

void
Site::Signal(size_t aHost, int aSignal)
{
  this->record.Add(
    fmt::format("signal {} to {}", aSignal, this->HostName(aHost)));
  kill(this->processes[aHost], aSignal);
}

bool
Site::HasEnded(size_t aHost)
{
  siginfo_t info{};
  waitid(P_PID,
         static_cast<id_t>(this->processes[aHost]),
         &info,
         WEXITED | WNOHANG | WNOWAIT);
  return info.si_pid != 0;
}

} // namespace marigoldpitch::review
