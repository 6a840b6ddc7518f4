#ifndef MARIGOLDPITCH_PROTOCOL_PROXY_SETTINGS_H
#define MARIGOLDPITCH_PROTOCOL_PROXY_SETTINGS_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/error.h"

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
  Endpoint peers; // for other proxies
  Endpoint store;
  Endpoint duties; // where promotions are ordered
  Duration grace;  // from SIGTERM to the end of the process
};

/** All findings of the text are in the one error that is returned. */
Result<ProxySettings>
ParseProxySettings(const std::string& aText, const std::string& aSource);

} // namespace marigoldpitch

#endif
