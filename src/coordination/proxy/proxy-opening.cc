#include "marigoldpitch/coordination/common/ownership.h"
#include "marigoldpitch/coordination/proxy/proxy-engine.h"

#include <algorithm>

// The pace at which this host opens connections to an upstream that has reached
// its limit, and which statements are tried again.

namespace marigoldpitch {

/** Whether the pace of new connections to the upstream allows another one. */
bool
ProxyEngine::IsOpeningPaced(const ProxyService& aService,
                            UpstreamIndex aUpstream) const
{
  const ProxyUpstream& upstream = aService.view.At(aUpstream);
  ConnectionCensus census;
  if (upstream.report) {
    census = { upstream.report->connections, upstream.reportAsked };
  }
  return upstream.pace.MayOpen(aService.connections.UsageOf(aUpstream).opening,
                               aService.config.connections,
                               census,
                               upstream.openedSinceReport,
                               this->now);
}

/** The upstream has refused a connection, because it has too many. */
void
ProxyEngine::NoteFull(ProxyService& aService, UpstreamIndex aUpstream)
{
  ProxyUpstream& upstream = aService.view.At(aUpstream);
  std::string key = this->options.host + '\n' + upstream.registration.id;
  auto hash = RendezvousWeight(key, std::to_string(upstream.pace.Refusals()));
  double spread = static_cast<double>(hash >> 11) * 0x1p-53;
  Duration pause = upstream.pace.NoteRefused(spread, this->now);
  if (pause.ms == 0) {
    return;
  }
  this->AddDecision(
    LogEvent::ConnectionRefused,
    "",
    { { "service", aService.name },
      { "upstream", upstream.registration.id },
      { "open", std::to_string(aService.connections.UsageOf(aUpstream).open) },
      { "share", std::to_string(aService.share) },
      { "pause_ms", std::to_string(pause.ms) } });
}

/**
 * Whether a statement that is tried again could be answered before its
 * deadline, if the fastest upstream took it at once.
 */
bool
ProxyEngine::IsRetryInTime(const PendingStatement& aPending) const
{
  const ServiceView& view = this->services.at(aPending.route.service).view;
  double fastestMs = 0;
  for (UpstreamIndex i = 0; i < view.Size(); ++i) {
    const ProxyUpstream& upstream = view.At(i);
    double ms = std::min(upstream.minLatencyMs, upstream.latencyMs);
    fastestMs = i == 0 ? ms : std::min(fastestMs, ms);
  }
  Duration needed{ static_cast<int64_t>(fastestMs) };
  return std::max(this->now, aPending.notBefore) + needed <= aPending.deadline;
}

} // namespace marigoldpitch
