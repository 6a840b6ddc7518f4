#include "marigoldpitch/protocol/proxy-documents.h"

#include "marigoldpitch/protocol/settings.h"

#include <nlohmann/json.hpp>

#include <set>

namespace marigoldpitch {

namespace detail {

using nlohmann::json;

/**
 * Parses the text and decodes it with `aTake`. Turns the exception that `json`
 * throws for a missing or mistyped field into an error.
 */
template<typename T, typename F>
Result<T>
TakeWhole(const std::string& aText, const char* aPlace, F aTake)
{
  json value = json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    return Error{ ErrorCode::BadMessage, aPlace, "not a JSON document" };
  }
  try {
    return aTake(value);
  } catch (const json::exception& error) {
    return Error{ ErrorCode::BadMessage, aPlace, error.what() };
  }
}

/** Replaces invalid UTF-8, which strings from other writers may contain. */
std::string
Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

json
PutRegistered(const RegisteredUpstream& aUpstream)
{
  json value{ { "id", aUpstream.id },
              { "service", aUpstream.service },
              { "endpoint", FormatEndpoint(aUpstream.endpoint) },
              { "zone", aUpstream.zone },
              { "leaving", aUpstream.leaving } };
  if (aUpstream.role) {
    value["role"] = kRoleNames.TextOf(*aUpstream.role);
  }
  return value;
}

Result<RegisteredUpstream>
TakeRegistered(const json& aValue)
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
  return upstream;
}

json
PutProxyHost(const ProxyHost& aHost)
{
  return { { "host", aHost.name },
           { "zone", aHost.zone },
           { "run", aHost.run },
           { "peers", FormatEndpoint(aHost.peers) } };
}

Result<ProxyHost>
TakeProxyHost(const json& aValue)
{
  ProxyHost host;
  host.name = aValue.at("host").get<std::string>();
  host.zone = aValue.at("zone").get<std::string>();
  host.run = aValue.at("run").get<std::string>();
  BOOST_OUTCOME_TRY(auto peers,
                    ParseEndpoint(aValue.at("peers").get<std::string>()));
  host.peers = peers;
  return host;
}

json
PutGroup(const GroupRecord& aRecord)
{
  json members = json::array();
  for (const GroupMember& member : aRecord.members) {
    members.push_back({ { "id", member.id },
                        { "endpoint", FormatEndpoint(member.endpoint) },
                        { "zone", member.zone } });
  }
  return { { "service", aRecord.service }, { "members", members } };
}

Result<GroupRecord>
TakeGroup(const json& aValue)
{
  GroupRecord record;
  record.service = aValue.at("service").get<std::string>();
  std::set<std::string> ids;
  for (const auto& value :
       aValue.at("members").get_ref<const json::array_t&>()) {
    GroupMember member;
    member.id = value.at("id").get<std::string>();
    BOOST_OUTCOME_TRY(auto endpoint,
                      ParseEndpoint(value.at("endpoint").get<std::string>()));
    member.endpoint = endpoint;
    member.zone = value.at("zone").get<std::string>();
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
    list.push_back(detail::PutRegistered(upstream));
  }
  return detail::Dump(list);
}

Result<std::vector<RegisteredUpstream>>
ParseUpstreams(const std::string& aText)
{
  using List = std::vector<RegisteredUpstream>;
  auto take = [](const detail::json& aValue) -> Result<List> {
    List list;
    for (const auto& value : aValue) {
      BOOST_OUTCOME_TRY(auto upstream, detail::TakeRegistered(value));
      list.push_back(upstream);
    }
    return list;
  };
  return detail::TakeWhole<List>(aText, "upstreams", take);
}

std::string
FormatProxyHost(const ProxyHost& aHost)
{
  return detail::Dump(detail::PutProxyHost(aHost));
}

Result<ProxyHost>
ParseProxyHost(const std::string& aText)
{
  return detail::TakeWhole<ProxyHost>(aText, "host", detail::TakeProxyHost);
}

std::string
FormatProxyHosts(const ProxyHosts& aHosts)
{
  detail::json list = detail::json::array();
  for (const ProxyHost& host : aHosts.hosts) {
    list.push_back(detail::PutProxyHost(host));
  }
  return detail::Dump(
    { { "hosts", list },
      { "duty_taken", aHosts.isDutyTaken },
      { "last_holder", aHosts.lastHolder },
      { "last_holder_revision", aHosts.lastHolderRevision } });
}

Result<ProxyHosts>
ParseProxyHosts(const std::string& aText)
{
  auto take = [](const detail::json& aValue) -> Result<ProxyHosts> {
    ProxyHosts hosts;
    for (const auto& value : aValue.at("hosts")) {
      BOOST_OUTCOME_TRY(auto host, detail::TakeProxyHost(value));
      hosts.hosts.push_back(host);
    }
    hosts.isDutyTaken = aValue.at("duty_taken").get<bool>();
    hosts.lastHolder = aValue.at("last_holder").get<std::string>();
    hosts.lastHolderRevision =
      aValue.at("last_holder_revision").get<uint64_t>();
    return hosts;
  };
  return detail::TakeWhole<ProxyHosts>(aText, "hosts", take);
}

std::string
FormatGroupRecord(const GroupRecord& aRecord)
{
  return detail::Dump(detail::PutGroup(aRecord));
}

Result<GroupRecord>
ParseGroupRecord(const std::string& aText)
{
  return detail::TakeWhole<GroupRecord>(aText, "group", detail::TakeGroup);
}

std::string
FormatGroups(const std::vector<GroupRecord>& aGroups)
{
  detail::json list = detail::json::array();
  for (const GroupRecord& record : aGroups) {
    list.push_back(detail::PutGroup(record));
    list.back()["revision"] = record.revision;
  }
  return detail::Dump({ { "groups", list } });
}

Result<std::vector<GroupRecord>>
ParseGroups(const std::string& aText)
{
  using List = std::vector<GroupRecord>;
  auto take = [](const detail::json& aValue) -> Result<List> {
    List list;
    for (const auto& value :
         aValue.at("groups").get_ref<const detail::json::array_t&>()) {
      BOOST_OUTCOME_TRY(auto record, detail::TakeGroup(value));
      record.revision = value.at("revision").get<uint64_t>();
      list.push_back(record);
    }
    return list;
  };
  return detail::TakeWhole<List>(aText, "groups", take);
}

} // namespace marigoldpitch
