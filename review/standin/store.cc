#include "store.h"

#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>
#include <openssl/evp.h>

namespace marigoldpitch::review {

namespace {

constexpr Duration kHeartbeatInterval = Millis(1200);
constexpr Duration kMinLifetime = Millis(1000);
constexpr Duration kLeaseCheckInterval = Millis(50);

std::string
ToBase64(const std::string& aText)
{
  std::string text((aText.size() + 2) / 3 * 4 + 1, '\0');
  int size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

std::string
FromBase64(const std::string& aText)
{
  std::string bytes(aText.size() / 4 * 3 + 1, '\0');
  int size =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  bytes.resize(static_cast<size_t>(std::max(size, 0)));
  return bytes;
}

std::string
PercentDecode(const std::string& aText)
{
  std::string text;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

std::string
Parameter(const std::string& aQuery, const std::string& aName)
{
  size_t start = ("&" + aQuery).find("&" + aName + "=");
  if (start == std::string::npos) {
    return {};
  }
  size_t value = start + aName.size() + 1;
  return PercentDecode(aQuery.substr(value, aQuery.find('&', value) - value));
}

bool
HasPrefix(const std::string& aText, const std::string& aPrefix)
{
  return aText.rfind(aPrefix, 0) == 0;
}

} // namespace

Store::Store(Loop& aLoop, Record& aRecord, Upstreams& aUpstreams)
  : loop(aLoop)
  , record(aRecord)
  , upstreams(aUpstreams)
{
}

bool
Store::Start(uint16_t aPort)
{
  auto created =
    HttpServer::Create(this->loop, { "127.0.0.1", aPort }, HttpLimits{}, *this);
  if (!created) {
    this->record.Add("cannot listen: " + created.error().ToString());
    return false;
  }
  this->server = std::move(created.value());
  this->upstreams.SetChangeListener([this] { this->RegisterUpstreams(); });
  this->Heartbeat();
  this->EndLeases();
  return true;
}

void
Store::PutConfig(const std::string& aConfig)
{
  ++this->revision;
  this->Put("op/config", ToBase64(aConfig), 0);
  this->NotifyWatches();
}

/** Entries of running backends; a change of one is reported at once. */
void
Store::RegisterUpstreams()
{
  ++this->revision;
  for (size_t i = 0; i < Upstreams::kCount; ++i) {
    const Upstream& upstream = this->upstreams.At(i);
    if (!upstream.isRunning) {
      continue; // the entry stays until three heartbeats are missing
    }
    Json entry{ { "service", "svc" },
                { "addr", fmt::format("127.0.0.1:{}", upstream.port) },
                { "zone", upstream.zone },
                { "version", "1" },
                { "slots", 8 },
                { "state", "ready" },
                { "coldLeftMs", 0 },
                { "seq", this->heartbeats },
                { "born", upstream.born },
                { "dbRole", upstream.isPrimary ? "primary" : "replica" } };
    this->Put("servers/" + upstream.id, ToBase64(entry.dump()), 0);
  }
  this->NotifyWatches();
}

void
Store::Heartbeat()
{
  ++this->heartbeats;
  this->RegisterUpstreams();
  this->loop.After(kHeartbeatInterval, [this] { this->Heartbeat(); });
}

void
Store::EndLeases()
{
  Time now = ReadMonotonicClock();
  bool hasChanged = false;
  for (auto it = this->leases.begin(); it != this->leases.end();) {
    if (now < it->second.end) {
      ++it;
      continue;
    }
    std::vector<std::string> ended;
    for (const auto& [key, item] : this->items) {
      if (item.lease == it->first) {
        ended.push_back(key);
      }
    }
    for (const std::string& key : ended) {
      ++this->revision;
      this->Remove(key);
      hasChanged = true;
    }
    it = this->leases.erase(it);
  }
  if (hasChanged) {
    this->NotifyWatches();
  }
  this->loop.After(kLeaseCheckInterval, [this] { this->EndLeases(); });
}

void
Store::Put(const std::string& aKey, const std::string& aValue, uint64_t aLease)
{
  Item& item = this->items[aKey];
  bool isNew = item.createdRevision == 0;
  item.value = aValue;
  item.lease = aLease;
  item.revision = this->revision;
  item.createdRevision = isNew ? this->revision : item.createdRevision;
  this->history.push_back(
    { this->revision, aKey, this->ItemToJson(aKey, item) });
}

void
Store::Remove(const std::string& aKey)
{
  this->items.erase(aKey);
  this->history.push_back(
    { this->revision,
      aKey,
      { { "key", aKey }, { "rev", this->revision }, { "removed", true } } });
}

void
Store::NotifyWatches()
{
  std::vector<ExchangeId> ready;
  for (const auto& [exchange, watch] : this->watches) {
    if (!this->EventsOf(watch).at("events").empty()) {
      ready.push_back(exchange);
    }
  }
  for (ExchangeId exchange : ready) {
    Json events = this->EventsOf(this->watches.at(exchange));
    this->watches.erase(exchange);
    this->Respond(exchange, 200, events);
  }
}

Store::Json
Store::EventsOf(const Watch& aWatch) const
{
  Json events = Json::array();
  for (const Event& event : this->history) {
    if (event.revision > aWatch.after && HasPrefix(event.key, aWatch.prefix)) {
      events.push_back(event.event);
    }
  }
  return { { "events", events }, { "currentRev", this->revision } };
}

Store::Json
Store::ItemToJson(const std::string& aKey, const Item& aItem) const
{
  return { { "key", aKey },           { "value", aItem.value },
           { "rev", aItem.revision }, { "createdRev", aItem.createdRevision },
           { "lease", aItem.lease },  { "currentRev", this->revision } };
}

void
Store::Respond(ExchangeId aExchange, int aStatus, const Json& aBody)
{
  this->server->Respond(aExchange,
                        { aStatus, "application/json", aBody.dump() });
}

void
Store::OnHttpAborted(ExchangeId aExchange)
{
  this->watches.erase(aExchange);
}

void
Store::OnHttpRequest(ExchangeId aExchange, const HttpRequest& aRequest)
{
  Json body = Json::parse(aRequest.body, nullptr, false);
  const std::string& path = aRequest.path;
  if (path == "/promote") {
    bool isAccepted = this->upstreams.Promote(body.value("id", ""));
    this->Respond(aExchange, isAccepted ? 200 : 409, Json::object());
  } else if (path == "/v1/kv-txn") {
    this->Change(aExchange, body);
  } else if (path == "/v1/kv-watch") {
    this->StartWatch(aExchange, aRequest);
  } else if (path == "/v1/kv-key" || path == "/v1/kv-range") {
    this->Read(aExchange, aRequest);
  } else {
    this->HandleLease(aExchange, path, body);
  }
}

void
Store::Read(ExchangeId aExchange, const HttpRequest& aRequest)
{
  if (aRequest.path == "/v1/kv-key") {
    auto found = this->items.find(Parameter(aRequest.query, "key"));
    if (found == this->items.end()) {
      this->Respond(aExchange, 404, { { "currentRev", this->revision } });
    } else {
      this->Respond(
        aExchange, 200, this->ItemToJson(found->first, found->second));
    }
    return;
  }
  std::string prefix = Parameter(aRequest.query, "prefix");
  std::string after = Parameter(aRequest.query, "after");
  Json list = Json::array();
  for (const auto& [key, item] : this->items) {
    if (HasPrefix(key, prefix) && key > after) {
      list.push_back(this->ItemToJson(key, item));
    }
  }
  this->Respond(aExchange,
                200,
                { { "items", list },
                  { "truncated", false },
                  { "currentRev", this->revision } });
}

void
Store::StartWatch(ExchangeId aExchange, const HttpRequest& aRequest)
{
  Watch watch{ Parameter(aRequest.query, "prefix"),
               std::stoull(Parameter(aRequest.query, "after")) };
  Json events = this->EventsOf(watch);
  if (!events.at("events").empty()) {
    this->Respond(aExchange, 200, events);
    return;
  }
  Duration wait = Millis(std::stoll(Parameter(aRequest.query, "waitMs")));
  this->watches[aExchange] = watch;
  this->loop.After(wait, [this, aExchange, watch] {
    if (this->watches.erase(aExchange) != 0) {
      this->Respond(aExchange, 200, this->EventsOf(watch));
    }
  });
}

void
Store::Change(ExchangeId aExchange, const Json& aBody)
{
  Json conditions = aBody.value("precondition", Json::array());
  Json present = Json::array();
  bool holds = true;
  for (const Json& condition : conditions) {
    auto key = condition.at("key").get<std::string>();
    auto found = this->items.find(key);
    bool exists = found != this->items.end();
    uint64_t now = exists ? found->second.revision : 0;
    holds = holds && now == condition.at("rev").get<uint64_t>();
    if (exists) {
      present.push_back(this->ItemToJson(key, found->second));
    }
  }
  if (!holds) {
    this->Respond(aExchange, 412, { { "items", present } });
    return;
  }
  Json puts = aBody.value("puts", Json::array());
  for (const Json& put : puts) {
    uint64_t lease = put.value("lease", uint64_t{ 0 });
    if (lease != 0 && this->leases.count(lease) == 0) {
      this->Respond(aExchange, 404, Json::object());
      return;
    }
  }
  ++this->revision;
  for (const Json& put : puts) {
    this->Put(put.at("key").get<std::string>(),
              put.at("value").get<std::string>(),
              put.value("lease", uint64_t{ 0 }));
    // The proxies' conditional writes name the host that writes.
    std::string text = FromBase64(put.at("value").get<std::string>());
    size_t at = text.find("host-");
    if (!conditions.empty() && at != std::string::npos) {
      this->lastWriter = text.substr(at, sizeof("host-"));
    }
  }
  for (const Json& key : aBody.value("deletes", Json::array())) {
    this->Remove(key.get<std::string>());
  }
  this->Respond(aExchange, 200, { { "rev", this->revision } });
  this->NotifyWatches();
}

void
Store::HandleLease(ExchangeId aExchange,
                   const std::string& aPath,
                   const Json& aBody)
{
  const std::string renewal = "/v1/kv-keep/";
  uint64_t id = 0;
  if (HasPrefix(aPath, renewal)) {
    id = std::stoull(aPath.substr(renewal.size()));
  } else if (aPath == "/v1/kv-lease") {
    id = ++this->lastLease;
    Duration asked = Millis(aBody.value("ttlMs", kMinLifetime.ms));
    this->leases[id].lifetime = std::max(asked, kMinLifetime);
  }
  auto found = this->leases.find(id);
  if (found == this->leases.end()) {
    this->Respond(aExchange, 404, Json::object());
    return;
  }
  found->second.end = ReadMonotonicClock() + found->second.lifetime;
  this->Respond(aExchange,
                200,
                { { "lease", id }, { "ttlMs", found->second.lifetime.ms } });
}

} // namespace marigoldpitch::review
