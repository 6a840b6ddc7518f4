#include "marigoldpitch/protocol/settings.h"

#include "marigoldpitch/protocol/json-check.h"
#include "schemas.h"

#include <boost/asio/ip/address.hpp>

namespace marigoldpitch {

namespace detail {

using nlohmann::json;

constexpr int kHighestPort = 65535;

Endpoint
EndpointFromJson(const json& aValue,
                 const std::string& aPlace,
                 Findings& aFindings)
{
  Endpoint endpoint;
  endpoint.address = aValue.at("address").get<std::string>();
  endpoint.port = aValue.at("port").get<uint16_t>();
  if (!IsIpAddress(endpoint.address)) {
    aFindings.Add(aPlace + "/address",
                  "'" + endpoint.address + "' is not an IP address");
  }
  return endpoint;
}

Limits
LimitsFromJson(const json& aValue)
{
  Limits limits;
  limits.bodyBytes = aValue.value("body_bytes", limits.bodyBytes);
  limits.frameBytes = aValue.value("frame_bytes", limits.frameBytes);
  limits.connections = aValue.value("connections", limits.connections);
  limits.requests = aValue.value("requests", limits.requests);
  limits.sessions = aValue.value("sessions", limits.sessions);
  limits.queue = aValue.value("queue", limits.queue);
  limits.drain = Millis(aValue.value("drain_ms", limits.drain.ms));
  return limits;
}

} // namespace detail

bool
IsIpAddress(const std::string& aText)
{
  boost::system::error_code error;
  boost::asio::ip::make_address(aText, error);
  return !error;
}

Result<Endpoint>
ParseEndpoint(const std::string& aText)
{
  size_t colon = aText.rfind(':');
  int port =
    colon == std::string::npos ? 0 : std::atoi(aText.c_str() + colon + 1);
  Endpoint endpoint{ aText.substr(0, colon), static_cast<uint16_t>(port) };
  bool isValid =
    IsIpAddress(endpoint.address) && port >= 1 && port <= detail::kHighestPort;
  if (!isValid) {
    return Error{ ErrorCode::BadSettings,
                  "endpoint",
                  "'" + aText + "' is not IP:PORT" };
  }
  return endpoint;
}

std::string
FormatEndpoint(const Endpoint& aEndpoint)
{
  return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
}

Result<Settings>
ParseSettings(const std::string& aText,
              DaemonRole aRole,
              const std::string& aSource)
{
  Findings findings(ErrorCode::BadSettings);
  auto value = ParseAndValidate(aText, generated::kSettingsSchema, findings);
  if (!findings.Empty()) {
    return findings.ToError(aSource);
  }
  Settings settings;
  settings.host = value.at("host").get<std::string>();
  settings.zone = value.at("zone").get<std::string>();
  settings.peers =
    detail::EndpointFromJson(value.at("peers"), "/peers", findings);
  settings.operators =
    detail::EndpointFromJson(value.at("operators"), "/operators", findings);
  settings.store =
    detail::EndpointFromJson(value.at("store"), "/store", findings);
  settings.groupSet = value.value("group_set", settings.groupSet);
  if (value.contains("callers")) {
    settings.callers =
      detail::EndpointFromJson(value.at("callers"), "/callers", findings);
  }
  if (aRole == DaemonRole::Entry && !settings.callers) {
    findings.Add("/callers", "missing: an entry daemon requires it");
  }
  if (aRole == DaemonRole::Owner && settings.callers) {
    findings.Add("/callers",
                 "must be absent: an owner daemon serves no callers");
  }
  size_t index = 0;
  for (const auto& seed : value.value("seeds", nlohmann::json::array())) {
    std::string place = "/seeds/" + std::to_string(index++);
    settings.seeds.push_back(
      { seed.at("peer").get<std::string>(),
        detail::EndpointFromJson(seed, place, findings) });
  }
  settings.limits =
    detail::LimitsFromJson(value.value("limits", nlohmann::json::object()));
  if (!findings.Empty()) {
    return findings.ToError(aSource);
  }
  return settings;
}

} // namespace marigoldpitch
