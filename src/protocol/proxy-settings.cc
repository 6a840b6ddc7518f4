#include "marigoldpitch/protocol/proxy-settings.h"

#include "marigoldpitch/protocol/json-check.h"
#include "marigoldpitch/protocol/settings.h"
#include "marigoldpitch/state/sizes.h"
#include "schemas.h"

namespace marigoldpitch {

Result<ProxySettings>
ParseProxySettings(const std::string& aText, const std::string& aSource)
{
  Findings findings(ErrorCode::BadSettings);
  auto value = ParseAndValidate(aText, generated::kProxySchema, findings);
  if (!findings.Empty()) {
    return findings.ToError(aSource);
  }
  auto parseEndpoint = [&](const char* aName) {
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
  settings.callers = parseEndpoint("callers");
  settings.health = parseEndpoint("health");
  settings.metrics = parseEndpoint("metrics");
  settings.peers = parseEndpoint("peers");
  if (value.value("relay", false)) {
    settings.relays = settings.peers;
    --settings.relays.port;
  }
  settings.store = parseEndpoint("store");
  settings.promotionService = parseEndpoint("duties");
  constexpr double kMsPerSecond = 1000;
  auto gracePeriod = value.at("grace_seconds").get<double>() * kMsPerSecond;
  settings.gracePeriod = Millis(static_cast<int64_t>(gracePeriod));
  settings.upstreamDrainTime =
    Millis(value.at("upstream_drain_ms").get<int64_t>());
  auto readNumber = [&](const char* aName) -> std::optional<double> {
    return value.contains(aName) ? std::optional(value.at(aName).get<double>())
                                 : std::nullopt;
  };
  settings.cpuShare = readNumber("cpu_share");
  settings.cores = readNumber("cores");
  settings.linkMbps = readNumber("link_mbps");
  LimitTolerance& tolerance = settings.limitTolerance;
  double windowMs = static_cast<double>(tolerance.window.ms);
  windowMs =
    value.value("limit_window_seconds", windowMs / kMsPerSecond) * kMsPerSecond;
  tolerance.window = Millis(static_cast<int64_t>(windowMs));
  tolerance.excess = value.value("limit_excess", tolerance.excess);
  tolerance.slack = value.value("limit_slack", tolerance.slack);
  settings.memoryBytes =
    static_cast<size_t>(value.value("memory_mb", 0.0) * kMebibyte);
  settings.descriptors = value.value("descriptors", size_t{ 0 });
  if (!findings.Empty()) {
    return findings.ToError(aSource);
  }
  return settings;
}

} // namespace marigoldpitch
