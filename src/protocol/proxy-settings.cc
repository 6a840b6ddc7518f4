#include "marigoldpitch/protocol/proxy-settings.h"

#include "marigoldpitch/protocol/json-check.h"
#include "marigoldpitch/protocol/settings.h"
#include "schemas.h"

namespace marigoldpitch {

Result<ProxySettings>
ParseProxySettings(const std::string& aText, const std::string& aSource)
{
  Findings findings(ErrorCode::BadSettings);
  auto value = ParseChecked(aText, generated::kProxySchema, findings);
  if (!findings.Empty()) {
    return findings.ToError(aSource);
  }
  auto take = [&](const char* aName) {
    auto text = value.at(aName).get<std::string>();
    auto endpoint = ParseEndpoint(text);
    if (!endpoint) {
      findings.Add(std::string("/") + aName, endpoint.error().message);
      return Endpoint{};
    }
    return endpoint.value();
  };
  ProxySettings settings;
  settings.host = value.at("host").get<std::string>();
  settings.zone = value.at("zone").get<std::string>();
  settings.callers = take("callers");
  settings.health = take("health");
  settings.metrics = take("metrics");
  settings.peers = take("peers");
  settings.store = take("store");
  settings.duties = take("duties");
  constexpr double kMsPerSecond = 1000;
  auto grace = value.at("grace_seconds").get<double>() * kMsPerSecond;
  settings.grace = Millis(static_cast<int64_t>(grace));
  if (!findings.Empty()) {
    return findings.ToError(aSource);
  }
  return settings;
}

} // namespace marigoldpitch
