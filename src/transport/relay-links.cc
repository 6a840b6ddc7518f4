#include "marigoldpitch/transport/relay-links.h"

#include "marigoldpitch/coordination/proxy/statement-limits.h"
#include "marigoldpitch/transport/clock.h"

namespace marigoldpitch {

namespace detail {

// What a frame holds besides a caller's texts, names of the configuration among
// them.
constexpr size_t kFrameReserveBytes = 256 * kKibibyte;
static_assert(2 * kMaxStatementBytes + kMaxSettingsBytes + kFrameReserveBytes <=
                kMaxRelayFrameBytes,
              "a statement, its prepared text and the settings fit a frame");
constexpr size_t kReplyReserveBytes = 16 * kKibibyte;
static_assert(kMaxReplyBytes + kReplyReserveBytes <= kMaxRelayFrameBytes,
              "a reply fits a frame");

constexpr size_t kMaxRelayLinks = 1024;
constexpr Duration kConnectTimeout = Millis(300);
// A host from which nothing was heard for this long is sent a ping, sooner if
// statements wait for it.
constexpr Duration kIdlePingInterval = Millis(1000);
constexpr Duration kBusyPingInterval = Millis(100);
// How long pings may go unanswered.
constexpr Duration kIdleSilenceTimeout = Millis(2000);
constexpr Duration kBusySilenceTimeout = Millis(300);
// Ticks further apart show that this process was paused.
constexpr Duration kMaxTickInterval = Millis(200);

} // namespace detail

Result<std::unique_ptr<RelayLinks>>
RelayLinks::Create(Loop& aLoop,
                   const std::string& aOwnHost,
                   const Endpoint& aListen,
                   JsonLog& aLog,
                   EventSink aSink)
{
  std::unique_ptr<RelayLinks> links(new RelayLinks(aLog, std::move(aSink)));
  BOOST_OUTCOME_TRY(auto created,
                    PeerNetwork::Create(aLoop,
                                        aOwnHost,
                                        aListen,
                                        kMaxRelayFrameBytes,
                                        detail::kMaxRelayLinks,
                                        *links));
  links->network = std::move(created);
  return links;
}

void
RelayLinks::SetHosts(const std::map<std::string, Endpoint>& aHosts)
{
  for (const auto& [name, endpoint] : aHosts) {
    Host& host = this->hosts[name];
    if (!(host.endpoint == endpoint)) {
      // Another machine has taken the name.
      host.endpoint = endpoint;
      this->LoseHost(name, host);
    }
    if (host.link == 0) {
      this->Connect(name, host);
    }
  }
}

void
RelayLinks::Connect(const std::string& aName, Host& aHost)
{
  Time now = ReadBootClock();
  if (now - aHost.connectedAt < detail::kConnectTimeout) {
    return;
  }
  this->network->Disconnect(aName);
  aHost.connectedAt = now;
  this->network->Connect(aName, aHost.endpoint);
}

void
RelayLinks::Tick()
{
  Time now = ReadBootClock();
  bool wasPaused = now - this->lastTick > detail::kMaxTickInterval;
  this->lastTick = now;
  std::vector<std::string> lost;
  for (auto& [name, host] : this->hosts) {
    if (host.link == 0) {
      continue;
    }
    if (wasPaused) {
      // The replies may have arrived during the pause.
      host.unansweredSince = kInfiniteFuture;
    }
    this->CheckHost(host, now);
    Duration timeout = host.waiting.empty() ? detail::kIdleSilenceTimeout
                                            : detail::kBusySilenceTimeout;
    if (now - host.unansweredSince >= timeout) {
      lost.push_back(name);
    }
  }
  for (const std::string& name : lost) {
    this->log.AddLine(LogEvent::PeerDown,
                      "",
                      { { "peer", name }, { "why", "no reply to a ping" } });
    this->LoseHost(name, this->hosts[name]);
  }
}

void
RelayLinks::CheckHost(Host& aHost, Time aNow)
{
  Duration interval = aHost.waiting.empty() ? detail::kIdlePingInterval
                                            : detail::kBusyPingInterval;
  bool isDue =
    aNow - aHost.lastHeard >= interval && aNow - aHost.lastPing >= interval;
  if (isDue) {
    aHost.lastPing = aNow;
    aHost.unansweredSince = std::min(aHost.unansweredSince, aNow);
    this->network->Send(aHost.link, PingFrame{});
  }
}

/** Closes the link to the host, if there is one, and reports it. */
void
RelayLinks::LoseHost(const std::string& aName, Host& aHost)
{
  this->network->Disconnect(aName);
  aHost.waiting.clear();
  aHost.unansweredSince = kInfiniteFuture;
  if (std::exchange(aHost.link, 0) != 0) {
    this->sink(RelayHostChanged{ aName, false });
  }
}

void
RelayLinks::Perform(const RelayStatement& aAction)
{
  auto found = this->hosts.find(aAction.host);
  if (found == this->hosts.end() || found->second.link == 0) {
    return; // lost: a `RelayHostChanged` event reports it
  }
  found->second.waiting.insert(aAction.statement.session);
  this->network->Send(found->second.link,
                      RelayedStatementFrame{ aAction.statement });
}

void
RelayLinks::Perform(const EndRelay& aAction)
{
  auto found = this->hosts.find(aAction.host);
  if (found != this->hosts.end() && found->second.link != 0) {
    found->second.waiting.erase(aAction.end.session);
    this->network->Send(found->second.link, RelayedEndFrame{ aAction.end });
  }
}

void
RelayLinks::Perform(const AnswerRelay& aAction)
{
  this->network->Send(aAction.link, RelayedReplyFrame{ aAction.reply });
}

void
RelayLinks::OnPeerUp(LinkId aLink, const std::string& aPeer, bool aOutbound)
{
  auto found = this->hosts.find(aPeer);
  if (!aOutbound || found == this->hosts.end()) {
    return;
  }
  found->second.link = aLink;
  found->second.lastHeard = ReadBootClock();
  found->second.unansweredSince = kInfiniteFuture;
  this->sink(RelayHostChanged{ aPeer, true });
}

void
RelayLinks::OnPeerFrame(LinkId aLink,
                        const std::string& aPeer,
                        const Frame& aFrame)
{
  auto found = this->hosts.find(aPeer);
  if (found != this->hosts.end() && found->second.link == aLink) {
    this->OnHostFrame(aPeer, found->second, aFrame);
  } else if (const auto* relayed =
               std::get_if<RelayedStatementFrame>(&aFrame)) {
    this->sink(RelayedStatementArrived{ aLink, relayed->statement });
  } else if (const auto* end = std::get_if<RelayedEndFrame>(&aFrame)) {
    this->sink(RelayedEndArrived{ aLink, end->end });
  } else if (std::holds_alternative<PingFrame>(aFrame)) {
    this->network->Send(aLink, PongFrame{});
  } else {
    this->OnBadFrame(aPeer, { ErrorCode::BadFrame, "frame", "unexpected" });
    this->network->CloseLink(aLink);
  }
}

/** A frame of a host to which this one relays statements. */
void
RelayLinks::OnHostFrame(const std::string& aName,
                        Host& aHost,
                        const Frame& aFrame)
{
  aHost.lastHeard = ReadBootClock();
  aHost.unansweredSince = kInfiniteFuture;
  if (const auto* reply = std::get_if<RelayedReplyFrame>(&aFrame)) {
    aHost.waiting.erase(reply->reply.session);
    this->sink(RelayedReplyArrived{ aName, reply->reply });
  }
}

void
RelayLinks::OnPeerDown(LinkId aLink, const std::string& aPeer, bool aOutbound)
{
  if (!aOutbound) {
    this->sink(RelayLinkLost{ aLink });
    return;
  }
  auto found = this->hosts.find(aPeer);
  if (found != this->hosts.end() && found->second.link == aLink) {
    this->LoseHost(aPeer, found->second);
  }
}

void
RelayLinks::OnBadFrame(const std::string& aPeer, const Error& aError)
{
  this->log.AddLine(LogEvent::FrameRefused,
                    "",
                    { { "peer", aPeer }, { "why", aError.ToString() } });
}

} // namespace marigoldpitch
