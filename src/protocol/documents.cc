#include "marigoldpitch/protocol/documents.h"

#include "marigoldpitch/protocol/json-check.h"
#include "marigoldpitch/protocol/settings.h"
#include "schemas.h"

#include <set>

namespace marigoldpitch {

namespace detail {

using nlohmann::json;

Endpoint
EndpointFromJson(const json& aValue)
{
  return { aValue.at("address").get<std::string>(),
           aValue.at("port").get<uint16_t>() };
}

/** Reports duplicate names in one list. */
class UniqueNames
{
public:
  explicit UniqueNames(Findings& aFindings)
    : findings(aFindings)
  {
  }

  void Check(const std::string& aName, const std::string& aPlace)
  {
    if (!this->names.insert(aName).second) {
      this->findings.Add(aPlace + "/name",
                         "'" + aName + "' is a duplicate name");
    }
  }

private:
  Findings& findings;
  std::set<std::string> names;
};

ServiceConfig
ServiceFromJson(const json& aValue)
{
  ServiceConfig service;
  service.name = aValue.at("name").get<std::string>();
  std::string priority = aValue.value("priority", "normal");
  service.priority =
    kPriorityNames.ValueOf(priority).value_or(Priority::Normal);
  if (aValue.contains("max_age_ms")) {
    service.maxAge = Millis(aValue.at("max_age_ms").get<int64_t>());
  }
  service.timeout = Millis(aValue.value("timeout_ms", service.timeout.ms));
  return service;
}

UpstreamConfig
UpstreamFromJson(const json& aValue,
                 const std::string& aPlace,
                 Findings& aFindings)
{
  UpstreamConfig upstream;
  upstream.name = aValue.at("name").get<std::string>();
  upstream.zone = aValue.at("zone").get<std::string>();
  upstream.endpoint = EndpointFromJson(aValue);
  upstream.leaving = aValue.value("leaving", false);
  if (!IsIpAddress(upstream.endpoint.address)) {
    aFindings.Add(aPlace + "/address",
                  "'" + upstream.endpoint.address + "' is not an IP address");
  }
  return upstream;
}

GroupConfig
GroupFromJson(const json& aValue,
              const std::string& aPlace,
              Findings& aFindings)
{
  GroupConfig group;
  group.name = aValue.at("name").get<std::string>();
  group.database = aValue.at("database").get<std::string>();
  group.user = aValue.at("user").get<std::string>();
  group.slots = aValue.value("slots", group.slots);
  group.connections = aValue.value("connections", group.connections);
  group.acknowledge =
    kAcknowledgeNames.ValueOf(aValue.value("acknowledge", "after-replica"))
      .value_or(Acknowledge::AfterReplica);
  group.transactionIdleTimeout = Millis(
    aValue.value("transaction_idle_ms", group.transactionIdleTimeout.ms));
  if (group.connections <= group.slots) {
    aFindings.Add(aPlace + "/connections",
                  "must be greater than slots, to leave a connection for an "
                  "open transaction between statements");
  }
  UniqueNames upstreamNames(aFindings);
  size_t index = 0;
  for (const json& upstream : aValue.at("upstreams")) {
    std::string place = aPlace + "/upstreams/" + std::to_string(index++);
    group.upstreams.push_back(UpstreamFromJson(upstream, place, aFindings));
    upstreamNames.Check(group.upstreams.back().name, place);
  }
  UniqueNames serviceNames(aFindings);
  index = 0;
  for (const json& service : aValue.value("services", json::array())) {
    std::string place = aPlace + "/services/" + std::to_string(index++);
    group.services.push_back(ServiceFromJson(service));
    serviceNames.Check(group.services.back().name, place);
  }
  return group;
}

HostEntry
HostFromJson(const json& aValue)
{
  HostEntry host;
  host.name = aValue.at("name").get<std::string>();
  host.zone = aValue.at("zone").get<std::string>();
  host.state = kHostStateNames.ValueOf(aValue.value("state", "live"))
                 .value_or(HostState::Live);
  host.owner = EndpointFromJson(aValue.at("owner"));
  host.entry = EndpointFromJson(aValue.at("entry"));
  host.ownerOperators = EndpointFromJson(aValue.at("owner_operators"));
  host.entryOperators = EndpointFromJson(aValue.at("entry_operators"));
  return host;
}

} // namespace detail

Result<Config>
ParseConfiguration(const std::string& aText,
                   uint64_t aRevision,
                   const std::string& aSource)
{
  Findings findings(ErrorCode::BadConfiguration);
  auto value =
    ParseAndValidate(aText, generated::kConfigurationSchema, findings);
  if (!findings.Empty()) {
    return findings.ToError(aSource);
  }
  Config config;
  config.revision = aRevision;
  detail::UniqueNames names(findings);
  size_t index = 0;
  for (const auto& group : value.at("groups")) {
    std::string place = "/groups/" + std::to_string(index++);
    config.groups.push_back(detail::GroupFromJson(group, place, findings));
    names.Check(config.groups.back().name, place);
  }
  auto objectives = value.value("objectives", nlohmann::json::object());
  Objectives& target = config.objectives;
  target.availability = objectives.value("availability", target.availability);
  target.replicaShare = objectives.value("replica_share", target.replicaShare);
  target.failoverGap =
    Millis(objectives.value("failover_gap_ms", target.failoverGap.ms));
  if (!findings.Empty()) {
    return findings.ToError(aSource);
  }
  return config;
}

Result<HostList>
ParseHostList(const std::string& aText, uint64_t aRevision)
{
  auto value = nlohmann::json::parse(aText, nullptr, false);
  Error bad{ ErrorCode::BadMessage, "hosts", "not a host list" };
  if (value.is_discarded() || !value.is_object()) {
    return bad;
  }
  HostList list;
  list.revision = aRevision;
  try {
    for (const auto& host : value.at("hosts")) {
      list.hosts.push_back(detail::HostFromJson(host));
    }
    for (const auto& name :
         value.value("leaving_upstreams", nlohmann::json::array())) {
      list.leavingUpstreams.push_back(name.get<std::string>());
    }
  } catch (const nlohmann::json::exception& error) {
    bad.message = error.what();
    return bad;
  }
  return list;
}

Result<TermRecord>
ParseTermRecord(const std::string& aText)
{
  auto value = nlohmann::json::parse(aText, nullptr, false);
  bool isValid = value.is_object() && value.contains("last") &&
                 value["last"].is_number_unsigned() && value.contains("by") &&
                 value["by"].is_string();
  if (!isValid) {
    return Error{ ErrorCode::BadMessage, "terms", "not a term record" };
  }
  TermRecord record;
  record.last = value["last"].get<Term>();
  record.reservationId = value["by"].get<std::string>();
  return record;
}

std::string
FormatTermRecord(const TermRecord& aRecord)
{
  nlohmann::json value{ { "last", aRecord.last },
                        { "by", aRecord.reservationId } };
  return value.dump();
}

std::string
ConfigurationKey(const std::string& aGroupSet)
{
  return "configuration/" + aGroupSet;
}

std::string
TermKey(const std::string& aGroup)
{
  return "terms/" + aGroup;
}

} // namespace marigoldpitch
