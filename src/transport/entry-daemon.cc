#include "marigoldpitch/transport/entry-daemon.h"

#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/log.h"
#include "marigoldpitch/transport/random.h"

namespace marigoldpitch {

namespace detail {

constexpr Duration kEntryTick = Millis(20);
constexpr Duration kIdleEntryTick = Millis(100);
constexpr size_t kSessionBytes = 12;
constexpr size_t kRequestIdBytes = 12;
constexpr char kOwnerSuffix[] = "/owner";

/** The host of `host/owner`; empty for any other peer. */
std::string
OwnerHost(const std::string& aPeer)
{
  size_t slash = aPeer.find('/');
  bool isOwner =
    slash != std::string::npos && aPeer.substr(slash) == kOwnerSuffix;
  return isOwner ? aPeer.substr(0, slash) : std::string();
}

} // namespace detail

EntryDaemon::EntryDaemon(Loop& aLoop, Settings aSettings)
  : DaemonCore(aLoop, std::move(aSettings), DaemonRole::Entry)
  , callerService(*this)
{
}

Result<void>
EntryDaemon::OnStart()
{
  HttpLimits limits{ this->settings.limits.bodyBytes,
                     this->settings.limits.connections };
  BOOST_OUTCOME_TRY(
    auto server,
    HttpServer::Create(
      this->loop, *this->settings.callers, limits, this->callerService));
  this->callers = std::move(server);
  this->Tick();
  return boost::outcome_v2::success();
}

void
EntryDaemon::Tick()
{
  this->Step(EntryTick{});
  Duration next = this->engine.Unfinished() == 0 ? detail::kIdleEntryTick
                                                 : detail::kEntryTick;
  this->loop.After(next, [this] { this->Tick(); });
}

void
EntryDaemon::OnCaller(ExchangeId aExchange, const HttpRequest& aRequest)
{
  auto format = BodyFormatOf(aRequest.contentType);
  if (!format) {
    this->callers->Respond(
      aExchange,
      { 415,
        "text/plain",
        "content-type must be application/json or application/proto\n" });
    return;
  }
  auto method = kRpcMethodNames.ValueOf(aRequest.path);
  if (!method || aRequest.method != "POST") {
    this->Reply(aExchange,
                EncodeError(*format,
                            { ErrorCode::UnknownMethod,
                              aRequest.method + " " + aRequest.path,
                              "no such method" }));
    return;
  }
  if (*method == RpcMethod::OpenSession) {
    this->OpenSession(aExchange, *format);
    return;
  }
  auto request = DecodeRequest(*method, *format, aRequest.body);
  if (!request) {
    this->Reply(aExchange, EncodeError(*format, request.error()));
    return;
  }
  if (this->waiting.size() >= this->settings.limits.requests) {
    this->Reply(aExchange,
                EncodeError(*format,
                            { ErrorCode::Unavailable,
                              this->settings.host,
                              "too many requests are open" }));
    return;
  }
  Request& asked = request.value();
  // A newly generated id cannot have been sent before.
  if (asked.operation == Operation::Write && asked.requestId.empty()) {
    asked.requestId = RandomName(detail::kRequestIdBytes);
    asked.firstAttempt = true;
  }
  if (asked.zone.empty()) {
    asked.zone = this->settings.zone;
  }
  bool isWrite = asked.operation != Operation::Read;
  this->waiting[aExchange] = { *format, asked.requestId, isWrite };
  this->Step(CallerRequested{ aExchange, asked });
}

void
EntryDaemon::OpenSession(ExchangeId aExchange, BodyFormat aFormat)
{
  v1::OpenSessionResponse response;
  response.set_session(RandomName(detail::kSessionBytes));
  this->Reply(aExchange, { 200, aFormat, EncodeBody(aFormat, response) });
}

void
EntryDaemon::Reply(ExchangeId aExchange, const RpcReply& aReply)
{
  HttpResponse response;
  response.status = aReply.status;
  response.contentType = kBodyFormatNames.TextOf(aReply.format);
  response.body = aReply.body;
  this->callers->Respond(aExchange, response);
}

void
EntryDaemon::Step(const EntryEvent& aEvent)
{
  EntryActions actions = this->engine.Handle(ReadClock(), aEvent);
  for (const EntryAction& action : actions) {
    std::visit([this](const auto& aKind) { this->Perform(aKind); }, action);
  }
}

void
EntryDaemon::Perform(const ForwardRequest& aAction)
{
  this->network->SendTo(aAction.host + detail::kOwnerSuffix,
                        RequestFrame{ aAction.number, aAction.request });
}

void
EntryDaemon::Perform(const ForwardCancel& aAction)
{
  this->network->SendTo(aAction.host + detail::kOwnerSuffix,
                        CancelFrame{ aAction.number });
}

void
EntryDaemon::Perform(const ConnectOwner& aAction)
{
  std::string peer = aAction.host + detail::kOwnerSuffix;
  const Endpoint* endpoint = this->EndpointOf(peer);
  if (endpoint == nullptr) {
    std::string host = aAction.host;
    this->loop.Defer([this, host] { this->Step(OwnerLost{ host }); });
    return;
  }
  this->network->Connect(peer, *endpoint);
}

void
EntryDaemon::Perform(const DisconnectOwner& aAction)
{
  this->network->Drop(aAction.host + detail::kOwnerSuffix);
}

void
EntryDaemon::Perform(const PingOwner& aAction)
{
  this->network->SendTo(aAction.host + detail::kOwnerSuffix, PingFrame{});
}

void
EntryDaemon::Perform(const AnswerCaller& aAction)
{
  auto found = this->waiting.find(aAction.handle);
  if (found == this->waiting.end()) {
    return;
  }
  Waiting caller = found->second;
  this->waiting.erase(found);
  this->metrics.CountOutcome(aAction.answer.outcome);
  this->metrics.Add(Measure::Latency, aAction.latency);
  bool isRead = !caller.isWrite && aAction.answer.outcome == Outcome::Ok;
  if (isRead && aAction.answer.age) {
    this->metrics.Add(Measure::ReadAge, *aAction.answer.age);
  }
  this->Reply(aAction.handle,
              EncodeAnswer(caller.format, aAction.answer, caller.requestId));
}

void
EntryDaemon::Perform(const EntryReport& aAction)
{
  Log(aAction.event, aAction.text);
}

void
EntryDaemon::OnConfiguration(const Config& aConfig)
{
  this->Step(ConfigurationChanged{ aConfig });
}

void
EntryDaemon::OnHosts(const HostList& aHosts)
{
  this->Step(HostsChanged{ aHosts });
}

void
EntryDaemon::OnLinkUp(LinkId, const std::string& aPeer, bool aOutbound)
{
  std::string host = detail::OwnerHost(aPeer);
  if (aOutbound && !host.empty()) {
    this->Step(OwnerConnected{ host });
  }
}

void
EntryDaemon::OnLinkFrame(LinkId, const std::string& aPeer, const Frame& aFrame)
{
  std::string host = detail::OwnerHost(aPeer);
  if (host.empty()) {
    return;
  }
  this->Step(OwnerFrameReceived{ host });
  if (const auto* answer = std::get_if<AnswerFrame>(&aFrame)) {
    this->Step(OwnerAnswered{ host, answer->number, answer->answer });
  }
  const auto* digest = std::get_if<DigestFrame>(&aFrame);
  if (digest != nullptr && digest->draining) {
    this->Step(OwnerDraining{ host });
  }
}

void
EntryDaemon::OnLinkDown(LinkId, const std::string& aPeer, bool aOutbound)
{
  std::string host = detail::OwnerHost(aPeer);
  if (aOutbound && !host.empty()) {
    this->Step(OwnerLost{ host });
  }
}

void
EntryDaemon::FillStatus(v1::StatusResponse& aStatus) const
{
  for (const auto& [host, state] : this->engine.OwnerStates()) {
    v1::PeerState* peer = aStatus.add_peers();
    peer->set_peer(host + detail::kOwnerSuffix);
    peer->set_state(kOwnerStateNames.TextOf(state));
  }
}

void
EntryDaemon::OnDrain()
{
  this->callers->Drain();
}

size_t
EntryDaemon::Unfinished() const
{
  return this->callers ? this->callers->OpenExchanges() : 0;
}

bool
EntryDaemon::IsReady() const
{
  return this->config.revision != 0 && this->hosts.revision != 0;
}

} // namespace marigoldpitch
