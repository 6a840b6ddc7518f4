#ifndef MARIGOLDPITCH_PROTOCOL_PROXY_SETTINGS_H
#define MARIGOLDPITCH_PROTOCOL_PROXY_SETTINGS_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/customer.h"
#include "marigoldpitch/state/error.h"

#include <optional>
#include <string>

/** A proxy's settings file. */
namespace marigoldpitch {

struct ProxySettings
{
  std::string host;
  std::string zone;
  Endpoint callers;
  Endpoint health;
  Endpoint metrics;
  Endpoint peers; // for connections from other proxies
  // For statements that other proxies relay, one port below `peers`; port 0:
  // this host relays none.
  Endpoint relays;
  Endpoint store;
  Endpoint promotionService; // the platform's service for promotion requests
  Duration gracePeriod;      // from SIGTERM to the end of the process
  // How long upstreams serve after they have announced that they leave.
  Duration upstreamDrainTime;
  // Of this host; unset: it counts as one with a whole core.
  std::optional<double> cpuShare; // of a core
  std::optional<double> cores;    // how many cores that share is of
  std::optional<double> linkMbps;
  LimitTolerance limitTolerance; // of customers' rate limits
  size_t memoryBytes = 0;        // that the process may use; 0: no limit is set
  size_t descriptors = 0;        // that it may have open; 0: no limit is set
};

/** A failure is one error that lists every finding in the text. */
Result<ProxySettings>
ParseProxySettings(const std::string& aText, const std::string& aSource);

} // namespace marigoldpitch

#endif
