#include "marigoldpitch/protocol/proxy-documents.h"

#include "marigoldpitch/protocol/settings.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <set>

namespace marigoldpitch {

namespace detail {

using nlohmann::json;

/**
 * Parses the text and decodes it with `aDecode`. Turns the exception that
 * `json` throws for a missing or mistyped field into an error.
 */
template<typename T, typename F>
Result<T>
ParseJson(const std::string& aText, const char* aPlace, F aDecode)
{
  json value = json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    return Error{ ErrorCode::BadMessage, aPlace, "not a JSON document" };
  }
  try {
    return aDecode(value);
  } catch (const json::exception& error) {
    return Error{ ErrorCode::BadMessage, aPlace, error.what() };
  }
}

/** Replaces invalid UTF-8, which strings from other writers may contain. */
std::string
ToText(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

json
RegisteredUpstreamToJson(const RegisteredUpstream& aUpstream)
{
  json value{ { "id", aUpstream.id },
              { "service", aUpstream.service },
              { "endpoint", FormatEndpoint(aUpstream.endpoint) },
              { "zone", aUpstream.zone },
              { "leaving", aUpstream.leaving },
              { "incarnation", aUpstream.incarnation } };
  if (aUpstream.role) {
    value["role"] = kRoleNames.TextOf(*aUpstream.role);
  }
  return value;
}

Result<RegisteredUpstream>
RegisteredUpstreamFromJson(const json& aValue)
{
  RegisteredUpstream upstream;
  upstream.id = aValue.at("id").get<std::string>();
  upstream.service = aValue.at("service").get<std::string>();
  BOOST_OUTCOME_TRY(auto endpoint,
                    ParseEndpoint(aValue.at("endpoint").get<std::string>()));
  upstream.endpoint = endpoint;
  upstream.zone = aValue.at("zone").get<std::string>();
  upstream.leaving = aValue.at("leaving").get<bool>();
  upstream.role = kRoleNames.ValueOf(aValue.value("role", ""));
  upstream.incarnation = aValue.value("incarnation", upstream.incarnation);
  return upstream;
}

json
ProxyHostToJson(const ProxyHost& aHost)
{
  json value{ { "host", aHost.name },
              { "zone", aHost.zone },
              { "run", aHost.run },
              { "peers", FormatEndpoint(aHost.peers) } };
  if (aHost.relays.port != 0) {
    value["relays"] = FormatEndpoint(aHost.relays);
  }
  if (aHost.capacity != 1) {
    value["capacity"] = aHost.capacity;
  }
  return value;
}

Result<ProxyHost>
ProxyHostFromJson(const json& aValue)
{
  ProxyHost host;
  host.name = aValue.at("host").get<std::string>();
  host.zone = aValue.at("zone").get<std::string>();
  host.run = aValue.at("run").get<std::string>();
  BOOST_OUTCOME_TRY(auto peers,
                    ParseEndpoint(aValue.at("peers").get<std::string>()));
  host.peers = peers;
  if (aValue.contains("relays")) {
    BOOST_OUTCOME_TRY(auto relays,
                      ParseEndpoint(aValue.at("relays").get<std::string>()));
    host.relays = relays;
  }
  host.capacity = aValue.value("capacity", host.capacity);
  if (!std::isfinite(host.capacity) || host.capacity <= 0) {
    return Error{ ErrorCode::BadMessage,
                  "host " + host.name,
                  "its capacity is not a positive number" };
  }
  return host;
}

json
GroupRecordToJson(const GroupRecord& aRecord)
{
  json members = json::array();
  for (const GroupMember& member : aRecord.members) {
    members.push_back({ { "id", member.id },
                        { "endpoint", FormatEndpoint(member.endpoint) },
                        { "zone", member.zone },
                        { "incarnation", member.incarnation } });
  }
  json value{ { "service", aRecord.service }, { "members", members } };
  if (!aRecord.order.IsUnset()) {
    value["era"] = aRecord.order.era;
    value["number"] = aRecord.order.number;
  }
  return value;
}

Result<GroupRecord>
GroupRecordFromJson(const json& aValue)
{
  GroupRecord record;
  record.service = aValue.at("service").get<std::string>();
  record.order = { aValue.value("era", uint64_t{ 0 }),
                   aValue.value("number", uint64_t{ 0 }) };
  std::set<std::string> ids;
  for (const auto& value :
       aValue.at("members").get_ref<const json::array_t&>()) {
    GroupMember member;
    member.id = value.at("id").get<std::string>();
    BOOST_OUTCOME_TRY(auto endpoint,
                      ParseEndpoint(value.at("endpoint").get<std::string>()));
    member.endpoint = endpoint;
    member.zone = value.at("zone").get<std::string>();
    member.incarnation = value.value("incarnation", member.incarnation);
    ids.insert(member.id);
    record.members.push_back(member);
  }
  if (ids.empty() || ids.size() != record.members.size()) {
    return Error{ ErrorCode::BadMessage,
                  "group " + record.service,
                  "no member, or a member is listed twice" };
  }
  return record;
}

} // namespace detail

std::string
FormatUpstreams(const std::vector<RegisteredUpstream>& aUpstreams)
{
  detail::json list = detail::json::array();
  for (const RegisteredUpstream& upstream : aUpstreams) {
    list.push_back(detail::RegisteredUpstreamToJson(upstream));
  }
  return detail::ToText(list);
}

Result<std::vector<RegisteredUpstream>>
ParseUpstreams(const std::string& aText)
{
  using List = std::vector<RegisteredUpstream>;
  auto decode = [](const detail::json& aValue) -> Result<List> {
    List list;
    for (const auto& value : aValue) {
      BOOST_OUTCOME_TRY(auto upstream,
                        detail::RegisteredUpstreamFromJson(value));
      list.push_back(upstream);
    }
    return list;
  };
  return detail::ParseJson<List>(aText, "upstreams", decode);
}

std::string
FormatProxyHost(const ProxyHost& aHost)
{
  return detail::ToText(detail::ProxyHostToJson(aHost));
}

Result<ProxyHost>
ParseProxyHost(const std::string& aText)
{
  return detail::ParseJson<ProxyHost>(aText, "host", detail::ProxyHostFromJson);
}

std::string
FormatProxyHosts(const ProxyHosts& aHosts)
{
  detail::json list = detail::json::array();
  for (const ProxyHost& host : aHosts.hosts) {
    list.push_back(detail::ProxyHostToJson(host));
  }
  return detail::ToText(
    { { "hosts", list },
      { "duty_taken", aHosts.isPromoterLeaseHeld },
      { "duty_revision", aHosts.promoterKeyRevision },
      { "last_holder", aHosts.lastHolder },
      { "last_holder_revision", aHosts.lastHolderRevision } });
}

Result<ProxyHosts>
ParseProxyHosts(const std::string& aText)
{
  auto decode = [](const detail::json& aValue) -> Result<ProxyHosts> {
    ProxyHosts hosts;
    for (const auto& value : aValue.at("hosts")) {
      BOOST_OUTCOME_TRY(auto host, detail::ProxyHostFromJson(value));
      hosts.hosts.push_back(host);
    }
    hosts.isPromoterLeaseHeld = aValue.at("duty_taken").get<bool>();
    hosts.promoterKeyRevision =
      aValue.value("duty_revision", hosts.promoterKeyRevision);
    hosts.lastHolder = aValue.at("last_holder").get<std::string>();
    hosts.lastHolderRevision =
      aValue.at("last_holder_revision").get<uint64_t>();
    return hosts;
  };
  return detail::ParseJson<ProxyHosts>(aText, "hosts", decode);
}

std::string
FormatGroupRecord(const GroupRecord& aRecord)
{
  return detail::ToText(detail::GroupRecordToJson(aRecord));
}

Result<GroupRecord>
ParseGroupRecord(const std::string& aText)
{
  return detail::ParseJson<GroupRecord>(
    aText, "group", detail::GroupRecordFromJson);
}

std::string
FormatGroups(const std::vector<GroupRecord>& aGroups)
{
  detail::json list = detail::json::array();
  for (const GroupRecord& record : aGroups) {
    list.push_back(detail::GroupRecordToJson(record));
    list.back()["revision"] = record.position.revision;
  }
  return detail::ToText({ { "groups", list } });
}

Result<std::vector<GroupRecord>>
ParseGroups(const std::string& aText, uint64_t aEra)
{
  using List = std::vector<GroupRecord>;
  auto decode = [&](const detail::json& aValue) -> Result<List> {
    List list;
    for (const auto& value :
         aValue.at("groups").get_ref<const detail::json::array_t&>()) {
      BOOST_OUTCOME_TRY(auto record, detail::GroupRecordFromJson(value));
      record.position = { aEra, value.at("revision").get<uint64_t>() };
      list.push_back(record);
    }
    return list;
  };
  return detail::ParseJson<List>(aText, "groups", decode);
}

} // namespace marigoldpitch
