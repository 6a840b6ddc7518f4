#include "marigoldpitch/transport/daemon-core.h"

#include "marigoldpitch/protocol/documents.h"
#include "marigoldpitch/protocol/metrics-text.h"
#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/command-line.h"
#include "marigoldpitch/transport/log.h"

#include <fmt/format.h>

namespace marigoldpitch {

namespace detail {

constexpr Duration kDrainCheckInterval = Millis(10);
// Gives the load balancer and the peers time to notice that the daemon drains.
constexpr Duration kMinDrainTime = Millis(500);
// Before the end of a drain, for the last answers to reach their callers.
constexpr Duration kLastAnswersTime = Millis(200);
constexpr Duration kWatchWait = Seconds(20);

GossipOptions
MakeGossipOptions(const Settings& aSettings, DaemonRole aRole)
{
  GossipOptions options;
  options.host = aSettings.host;
  options.zone = aSettings.zone;
  options.peer = aSettings.host + "/" + kDaemonRoleNames.TextOf(aRole);
  options.mayWatch = aRole == DaemonRole::Owner;
  return options;
}

} // namespace detail

DaemonCore::DaemonCore(Loop& aLoop, Settings aSettings, DaemonRole aRole)
  : loop(aLoop)
  , settings(std::move(aSettings))
  // `EntryEngine` checks the links to owners with pings.
  , gossip(aLoop,
           detail::MakeGossipOptions(this->settings, aRole),
           GossipLinks::kNoTimeout,
           *this)
{
  this->ownName = detail::MakeGossipOptions(this->settings, aRole).peer;
}

Result<void>
DaemonCore::Start()
{
  const Limits& limits = this->settings.limits;
  BOOST_OUTCOME_TRY(auto peerNetwork,
                    PeerNetwork::Create(this->loop,
                                        this->ownName,
                                        this->settings.peers,
                                        limits.frameBytes,
                                        limits.connections,
                                        *this));
  this->network = std::move(peerNetwork);
  BOOST_OUTCOME_TRY(auto storeClient,
                    StoreClient::Create(this->loop, this->settings.store));
  this->store = std::move(storeClient);
  HttpLimits httpLimits{ limits.bodyBytes, limits.connections };
  BOOST_OUTCOME_TRY(auto server,
                    HttpServer::Create(
                      this->loop, this->settings.operators, httpLimits, *this));
  this->operators = std::move(server);
  BOOST_OUTCOME_TRY(this->OnStart());
  Log(LogEvent::Started, "version " + std::string(kVersion));
  this->gossip.Start(*this->network);
  return boost::outcome_v2::success();
}

const Endpoint*
DaemonCore::FindEndpoint(const std::string& aPeer) const
{
  size_t slash = aPeer.find('/');
  const HostEntry* host = this->hosts.FindHost(aPeer.substr(0, slash));
  if (host != nullptr) {
    bool isOwner = aPeer.substr(slash + 1) == "owner";
    return isOwner ? &host->owner : &host->entry;
  }
  for (const SeedPeer& seed : this->settings.seeds) {
    if (seed.peer == aPeer) {
      return &seed.endpoint;
    }
  }
  return nullptr;
}

std::vector<std::string>
DaemonCore::SeedPeers() const
{
  std::vector<std::string> peers;
  for (const SeedPeer& seed : this->settings.seeds) {
    peers.push_back(seed.peer);
  }
  return peers;
}

void
DaemonCore::QueryStore(const WatchStore& aAction)
{
  DocumentKind kind = aAction.kind;
  std::string key = kind == DocumentKind::Hosts
                      ? std::string(kHostsKey)
                      : ConfigurationKey(this->settings.groupSet);
  this->metrics.Count(Counter::StoreCalls);
  auto callback = [this, kind](const Result<StoreValue>& aValue) {
    this->OnStoreValue(kind, aValue);
  };
  if (this->gossip.IsWatcher()) {
    this->store->Watch(
      key, aAction.after.revision, detail::kWatchWait, callback);
  } else {
    this->store->Get(key, callback);
  }
}

void
DaemonCore::OnStoreValue(DocumentKind aKind, const Result<StoreValue>& aValue)
{
  bool isReached = aValue.has_value();
  if (isReached != this->storeReachable) {
    this->storeReachable = isReached;
    Log(isReached ? LogEvent::StoreReachable : LogEvent::StoreUnreachable,
        isReached ? "the store is reachable again" : aValue.error().ToString());
  }
  if (isReached) {
    this->gossip.OnStoreDocument(
      { aKind, aValue.value().position, aValue.value().text });
  }
  this->gossip.HandleEvent(WatchStoreEnded{ aKind, isReached });
}

bool
DaemonCore::IsValid(const Document& aDocument)
{
  if (aDocument.kind == DocumentKind::Hosts) {
    auto list = ParseHostList(aDocument.text, aDocument.position.revision);
    if (!list) {
      Log(LogEvent::ConfigurationRefused, list.error().ToString());
    }
    return list.has_value();
  }
  auto parsed = ParseConfiguration(
    aDocument.text, aDocument.position.revision, "configuration");
  if (!parsed) {
    Log(LogEvent::ConfigurationRefused, parsed.error().ToString());
  }
  return parsed.has_value();
}

void
DaemonCore::ApplyDocument(const Document& aDocument, const std::string&)
{
  std::string revision =
    "revision " + std::to_string(aDocument.position.revision);
  if (aDocument.kind == DocumentKind::Hosts) {
    this->hosts =
      ParseHostList(aDocument.text, aDocument.position.revision).value();
    this->gossip.SetHosts(this->hosts);
    Log(LogEvent::HostListInForce, revision);
    this->OnHosts(this->hosts);
    return;
  }
  this->configurationText = aDocument.text;
  this->config = ParseConfiguration(
                   aDocument.text, aDocument.position.revision, "configuration")
                   .value();
  Log(LogEvent::ConfigurationInForce, revision);
  this->OnConfiguration(this->config);
}

void
DaemonCore::OnPeerUp(LinkId aLink, const std::string& aPeer, bool aOutbound)
{
  this->OnLinkUp(aLink, aPeer, aOutbound);
  this->gossip.OnPeerUp(aPeer, aOutbound);
}

void
DaemonCore::OnPeerFrame(LinkId aLink,
                        const std::string& aPeer,
                        const Frame& aFrame)
{
  this->gossip.OnPeerFrame(aPeer, aFrame);
  if (std::holds_alternative<PingFrame>(aFrame)) {
    this->network->Send(aLink, PongFrame{});
  }
  this->OnLinkFrame(aLink, aPeer, aFrame);
}

void
DaemonCore::OnPeerDown(LinkId aLink, const std::string& aPeer, bool aOutbound)
{
  this->gossip.OnPeerDown(aPeer);
  this->OnLinkDown(aLink, aPeer, aOutbound);
}

void
DaemonCore::OnBadFrame(const std::string& aPeer, const Error& aError)
{
  this->metrics.Count(Counter::FramesRefused);
  Log(LogEvent::FrameRefused,
      (aPeer.empty() ? "unnamed peer" : aPeer) + ": " + aError.ToString());
}

std::string
DaemonCore::MetricsText()
{
  return FormatMetrics(this->metrics, "peer=\"" + this->ownName + "\"");
}

void
DaemonCore::OnHttpRequest(ExchangeId aExchange, const HttpRequest& aRequest)
{
  this->operators->Respond(aExchange, this->HandleOperatorRequest(aRequest));
}

HttpResponse
DaemonCore::HandleOperatorRequest(const HttpRequest& aRequest)
{
  if (aRequest.path == "/live") {
    return { 200, "text/plain", "live\n" };
  }
  if (aRequest.path == "/ready") {
    bool isReady = !this->draining && this->IsReady();
    return { isReady ? 200 : 503,
             "text/plain",
             isReady ? "ready\n" : "not ready\n" };
  }
  if (aRequest.path == "/metrics") {
    return { 200, "text/plain; version=0.0.4", this->MetricsText() };
  }
  auto method = kRpcMethodNames.ValueOf(aRequest.path);
  if (!method) {
    return { 404, "text/plain", "unknown method: " + aRequest.path + "\n" };
  }
  if (aRequest.method != "POST") {
    return { 405, "text/plain", "method not allowed: use POST\n" };
  }
  return this->HandleRpc(*method, aRequest);
}

HttpResponse
DaemonCore::HandleRpc(RpcMethod aMethod, const HttpRequest& aRequest)
{
  auto format = BodyFormatOf(aRequest.contentType);
  if (!format) {
    return { 415,
             "text/plain",
             "content-type must be application/json or application/proto\n" };
  }
  std::string type(kBodyFormatNames.NameOf(*format));
  if (aMethod == RpcMethod::Status) {
    v1::StatusResponse status;
    status.set_peer(this->ownName);
    status.set_zone(this->settings.zone);
    status.set_draining(this->draining);
    status.set_configuration_revision(this->config.revision);
    status.set_hosts_revision(this->hosts.revision);
    status.set_watcher(this->gossip.IsWatcher());
    status.set_unfinished(static_cast<uint32_t>(this->Unfinished()));
    this->FillStatus(status);
    return { 200, type, EncodeBody(*format, status) };
  }
  if (aMethod == RpcMethod::GetConfiguration) {
    v1::GetConfigurationResponse response;
    response.set_revision(this->config.revision);
    response.set_document(this->configurationText);
    return { 200, type, EncodeBody(*format, response) };
  }
  if (aMethod == RpcMethod::Metrics) {
    v1::MetricsResponse response;
    response.set_text(this->MetricsText());
    return { 200, type, EncodeBody(*format, response) };
  }
  if (aMethod == RpcMethod::Drain) {
    v1::DrainResponse response;
    response.set_unfinished(static_cast<uint32_t>(this->Unfinished()));
    this->loop.Defer([this] { this->Drain(); });
    return { 200, type, EncodeBody(*format, response) };
  }
  return { 404, "text/plain", "this method is served on the callers' port\n" };
}

void
DaemonCore::Drain()
{
  if (this->draining) {
    return;
  }
  this->draining = true;
  this->drainDeadline = ReadMonotonicClock() + this->settings.limits.drain;
  this->earliestDrainEnd = ReadMonotonicClock() + detail::kMinDrainTime;
  Log(LogEvent::DrainStarted,
      std::to_string(this->Unfinished()) + " open requests");
  this->gossip.BroadcastDigest();
  this->OnDrain();
  this->CheckDrained();
}

void
DaemonCore::CheckDrained()
{
  Time now = ReadMonotonicClock();
  bool isDone = this->Unfinished() == 0 && now >= this->earliestDrainEnd;
  bool isNearEnd = now >= this->drainDeadline - detail::kLastAnswersTime;
  if (!isDone && isNearEnd && std::exchange(this->areLastAnswersDue, false)) {
    this->OnLastAnswers();
  }
  if (isDone || now >= this->drainDeadline) {
    Log(LogEvent::DrainFinished,
        std::to_string(this->Unfinished()) + " open requests");
    this->loop.Stop();
    return;
  }
  this->loop.After(detail::kDrainCheckInterval,
                   [this] { this->CheckDrained(); });
}

int
RunDaemon(int aCount,
          const char** aArguments,
          DaemonRole aRole,
          const DaemonFactory& aFactory)
{
  std::string role(kDaemonRoleNames.NameOf(aRole));
  auto fail = [](const Error& aError, ExitCode aCode) {
    return static_cast<int>(FailWith(aCode, aError));
  };
  auto line = ParseCommandLine(
    aCount,
    aArguments,
    "--settings FILE",
    { { "settings", "FILE", "the daemon's settings, in JSON" },
      { "check", "", "check the settings, list all findings, and exit" } });
  if (!line) {
    return fail(line.error(), ExitCode::Usage);
  }
  if (line.value().isDone) {
    return static_cast<int>(ExitCode::Ok);
  }
  std::string path = line.value().Get("settings");
  if (path.empty()) {
    return fail({ ErrorCode::BadSettings, "--settings", "missing" },
                ExitCode::Usage);
  }
  auto text = ReadFile(path);
  if (!text) {
    return fail(text.error(), ExitCode::BadInput);
  }
  auto settings = ParseSettings(text.value(), aRole, path);
  if (!settings) {
    return fail(settings.error(), ExitCode::BadInput);
  }
  if (line.value().Has("check")) {
    fmt::print("{}: no findings\n", path);
    return static_cast<int>(ExitCode::Ok);
  }
  SetLogName(settings.value().host + "/" + role);
  auto loop = Loop::Create();
  if (!loop) {
    return fail(loop.error(), ExitCode::Failed);
  }
  auto daemon = aFactory(*loop.value(), settings.value());
  auto signals = SignalWatch::Create(*loop.value(), [&] { daemon->Drain(); });
  if (!signals) {
    return fail(signals.error(), ExitCode::Failed);
  }
  auto started = daemon->Start();
  if (!started) {
    Log(LogEvent::ListenFailed, started.error().ToString());
    return static_cast<int>(ExitCode::Failed);
  }
  loop.value()->Run();
  Log(LogEvent::Stopped,
      fmt::format("CPU time {} ms", ReadCpuTimeMicros() / 1000));
  return static_cast<int>(ExitCode::Ok);
}

} // namespace marigoldpitch
