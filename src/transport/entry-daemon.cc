#include "marigoldpitch/transport/entry-daemon.h"

#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/log.h"
#include "marigoldpitch/transport/random.h"

namespace marigoldpitch {

namespace detail {

constexpr Duration kBusyTickInterval = Millis(20);
constexpr Duration kIdleTickInterval = Millis(100);
constexpr size_t kSessionIdBytes = 12;
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
  this->HandleEvent(EntryTick{});
  Duration next = this->engine.Unfinished() == 0 ? detail::kIdleTickInterval
                                                 : detail::kBusyTickInterval;
  this->loop.After(next, [this] { this->Tick(); });
}

void
EntryDaemon::OnCallerRequest(ExchangeId aExchange, const HttpRequest& aRequest)
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
  if (this->pendingCalls.size() >= this->settings.limits.requests) {
    this->Reply(aExchange,
                EncodeError(*format,
                            { ErrorCode::Unavailable,
                              this->settings.host,
                              "too many requests are open" }));
    return;
  }
  Request& callerRequest = request.value();
  if (FrameBytes(callerRequest.statement) > this->settings.limits.frameBytes) {
    this->Reply(
      aExchange,
      EncodeError(
        *format,
        { ErrorCode::TooLarge, "body", "too large for a frame to an owner" }));
    return;
  }
  // A newly generated id cannot have been sent before.
  if (callerRequest.operation == Operation::Write &&
      callerRequest.requestId.empty()) {
    callerRequest.requestId = RandomHexString(detail::kRequestIdBytes);
    callerRequest.firstAttempt = true;
  }
  if (callerRequest.zone.empty()) {
    callerRequest.zone = this->settings.zone;
  }
  bool isWrite = callerRequest.operation != Operation::Read;
  this->pendingCalls[aExchange] = { *format, callerRequest.requestId, isWrite };
  this->HandleEvent(CallerRequested{ aExchange, callerRequest });
}

void
EntryDaemon::OpenSession(ExchangeId aExchange, BodyFormat aFormat)
{
  v1::OpenSessionResponse response;
  response.set_session(RandomHexString(detail::kSessionIdBytes));
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
EntryDaemon::HandleEvent(const EntryEvent& aEvent)
{
  EntryActions actions = this->engine.Handle(ReadMonotonicClock(), aEvent);
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
  const Endpoint* endpoint = this->FindEndpoint(peer);
  if (endpoint == nullptr) {
    std::string host = aAction.host;
    this->loop.Defer([this, host] { this->HandleEvent(OwnerLost{ host }); });
    return;
  }
  this->network->Connect(peer, *endpoint);
}

void
EntryDaemon::Perform(const DisconnectOwner& aAction)
{
  this->network->Disconnect(aAction.host + detail::kOwnerSuffix);
}

void
EntryDaemon::Perform(const PingOwner& aAction)
{
  this->network->SendTo(aAction.host + detail::kOwnerSuffix, PingFrame{});
}

void
EntryDaemon::Perform(const AnswerCaller& aAction)
{
  auto found = this->pendingCalls.find(aAction.handle);
  if (found == this->pendingCalls.end()) {
    return;
  }
  PendingCall call = found->second;
  this->pendingCalls.erase(found);
  this->metrics.CountOutcome(aAction.answer.outcome);
  this->metrics.Add(Measure::Latency, aAction.latency);
  bool isRead = !call.isWrite && aAction.answer.outcome == Outcome::Ok;
  if (isRead && aAction.answer.age) {
    this->metrics.Add(Measure::ReadAge, *aAction.answer.age);
  }
  this->Reply(aAction.handle,
              EncodeAnswer(call.format, aAction.answer, call.requestId));
}

void
EntryDaemon::Perform(const AddEntryLogLine& aAction)
{
  Log(aAction.event, aAction.text);
}

void
EntryDaemon::OnConfiguration(const Config& aConfig)
{
  this->HandleEvent(ConfigurationChanged{ aConfig });
}

void
EntryDaemon::OnHosts(const HostList& aHosts)
{
  this->HandleEvent(HostsChanged{ aHosts });
}

void
EntryDaemon::OnLinkUp(LinkId, const std::string& aPeer, bool aOutbound)
{
  std::string host = detail::OwnerHost(aPeer);
  if (aOutbound && !host.empty()) {
    this->HandleEvent(OwnerConnected{ host });
  }
}

void
EntryDaemon::OnLinkFrame(LinkId, const std::string& aPeer, const Frame& aFrame)
{
  std::string host = detail::OwnerHost(aPeer);
  if (host.empty()) {
    return;
  }
  this->HandleEvent(OwnerFrameReceived{ host });
  if (const auto* answer = std::get_if<AnswerFrame>(&aFrame)) {
    this->HandleEvent(OwnerAnswered{ host, answer->number, answer->answer });
  }
  const auto* digest = std::get_if<DigestFrame>(&aFrame);
  if (digest != nullptr && digest->draining) {
    this->HandleEvent(OwnerDraining{ host });
  }
}

void
EntryDaemon::OnLinkDown(LinkId, const std::string& aPeer, bool aOutbound)
{
  std::string host = detail::OwnerHost(aPeer);
  if (aOutbound && !host.empty()) {
    this->HandleEvent(OwnerLost{ host });
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

void
EntryDaemon::OnLastAnswers()
{
  this->HandleEvent(EntryClosing{});
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
