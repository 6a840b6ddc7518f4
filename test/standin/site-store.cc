#include "standin/site-store.h"

#include "marigoldpitch/protocol/settings.h"
#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/socket-address.h"

#include <fmt/format.h>
#include <openssl/evp.h>

namespace marigoldpitch::standin {

namespace {

constexpr Duration kLeaseDuration = Seconds(2);

std::string
Base64(const std::string& aText)
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
QueryParameter(const std::string& aQuery, const std::string& aName)
{
  size_t start = ("&" + aQuery).find("&" + aName + "=");
  if (start == std::string::npos) {
    return {};
  }
  size_t value = start + aName.size() + 1;
  return PercentDecode(aQuery.substr(value, aQuery.find('&', value) - value));
}

} // namespace

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  ++this->contents.revision;
  this->Write(aKey, { Base64(aValue), 0, 0 });
}

void
Store::PutIfChanged(const std::string& aKey, const std::string& aValue)
{
  auto found = this->contents.items.find(aKey);
  bool isSame = found != this->contents.items.end() &&
                found->second.value == Base64(aValue);
  if (!isSame) {
    this->Put(aKey, aValue);
  }
}

void
Store::Write(const std::string& aKey, const Item& aItem)
{
  Item& item = this->contents.items[aKey];
  item = aItem;
  item.revision = this->contents.revision;
  std::vector<ExchangeId> ready;
  for (const auto& [exchange, watch] : this->watches) {
    if (aKey.rfind(watch.prefix, 0) == 0) {
      ready.push_back(exchange);
    }
  }
  for (ExchangeId exchange : ready) {
    Watch watch = this->watches[exchange];
    this->watches.erase(exchange);
    this->SendReply(exchange, 200, this->EventsAfter(watch));
  }
}

void
Store::Restore()
{
  this->contents = this->copy;
  for (auto& [id, end] : this->contents.leases) {
    end = ReadMonotonicClock() + kLeaseDuration;
  }
  ++this->era;
  for (const auto& [exchange, watch] : std::exchange(this->watches, {})) {
    this->SendReply(exchange, 503, Json::object());
  }
}

void
Store::RefreshRegistry()
{
  for (Upstream& upstream : this->upstreams.All()) {
    std::string key = "servers/" + upstream.id;
    this->upstreams.NoteLeft(upstream);
    if (!upstream.isRunning || upstream.isUnregistered) {
      this->contents.revision += this->contents.items.erase(key);
      continue;
    }
    Json entry{ { "service", "svc" },
                { "addr", FormatEndpoint(upstream.advertised) },
                { "zone", "zone-" + upstream.id.substr(2) },
                { "state", upstream.isLeaving ? "draining" : "ready" },
                { "born", upstream.incarnation },
                { "dbRole", upstream.isPrimary ? "primary" : "replica" } };
    this->PutIfChanged(key, entry.dump());
  }
  // An invalid entry, which proxies must tolerate.
  this->PutIfChanged("servers/foreign", "no upstream at all");
  this->ExpireLeases();
  this->loop.After(Millis(300), [this] { this->RefreshRegistry(); });
}

void
Store::ExpireLeases()
{
  for (auto it = this->contents.leases.begin();
       it != this->contents.leases.end();) {
    if (it->second > ReadMonotonicClock()) {
      ++it;
      continue;
    }
    for (auto item = this->contents.items.begin();
         item != this->contents.items.end();) {
      bool isOfLease = item->second.lease == it->first;
      item = isOfLease ? this->contents.items.erase(item) : std::next(item);
      this->contents.revision += isOfLease ? 1 : 0;
    }
    it = this->contents.leases.erase(it);
  }
}

Store::Json
Store::ItemToJson(const std::string& aKey, const Item& aItem) const
{
  return { { "key", aKey },
           { "value", aItem.value },
           { "rev", aItem.revision },
           { "lease", aItem.lease },
           { "currentRev", this->contents.revision } };
}

Store::Json
Store::EventsAfter(const Watch& aWatch) const
{
  Json events = Json::array();
  for (const auto& [key, item] : this->contents.items) {
    bool isNew =
      key.rfind(aWatch.prefix, 0) == 0 && item.revision > aWatch.after;
    if (isNew) {
      events.push_back(this->ItemToJson(key, item));
    }
  }
  return { { "events", events }, { "currentRev", this->contents.revision } };
}

void
Store::SendReply(ExchangeId aExchange, int aStatus, const Json& aBody)
{
  HttpResponse response{ aStatus,
                         "application/json",
                         aBody.dump(
                           -1, ' ', false, Json::error_handler_t::replace),
                         { { "store-era", std::to_string(this->era) } } };
  if (this->replyDelay == Millis(0)) {
    this->server->Respond(aExchange, response);
    return;
  }
  this->loop.After(this->replyDelay, [this, aExchange, response] {
    this->server->Respond(aExchange, response);
  });
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
  if (aRequest.path == "/control") {
    this->Control(aExchange, body);
  } else if (aRequest.path == "/promote") {
    bool isAccepted = this->upstreams.Promote(body.value("id", ""));
    this->SendReply(aExchange, isAccepted ? 200 : 409, Json::object());
  } else if (this->isDown) {
    this->SendReply(aExchange, 503, Json::object());
  } else if (aRequest.path == "/v1/kv-txn") {
    this->CommitChanges(aExchange, body);
  } else if (aRequest.path.rfind("/v1/kv-lease", 0) == 0 ||
             aRequest.path.rfind("/v1/kv-keep/", 0) == 0) {
    this->Lease(aExchange, aRequest.path);
  } else {
    this->Read(aExchange, aRequest);
  }
}

void
Store::Read(ExchangeId aExchange, const HttpRequest& aRequest)
{
  std::string prefix = QueryParameter(aRequest.query, "prefix");
  if (aRequest.path == "/v1/kv-key") {
    auto found =
      this->contents.items.find(QueryParameter(aRequest.query, "key"));
    bool exists = found != this->contents.items.end();
    this->SendReply(aExchange,
                    exists ? 200 : 404,
                    exists ? this->ItemToJson(found->first, found->second)
                           : Json::object());
  } else if (aRequest.path == "/v1/kv-range") {
    this->SendReply(
      aExchange,
      200,
      this->Range(prefix, QueryParameter(aRequest.query, "after")));
  } else {
    Watch watch{ prefix, std::stoull(QueryParameter(aRequest.query, "after")) };
    if (watch.after > this->contents.revision) {
      this->SendReply(aExchange, 410, Json::object());
      return;
    }
    Json pastEvents = this->EventsAfter(watch);
    if (!pastEvents["events"].empty()) {
      this->SendReply(aExchange, 200, pastEvents);
      return;
    }
    auto wait = std::stoll(QueryParameter(aRequest.query, "waitMs"));
    this->watches[aExchange] = watch;
    this->loop.After(Millis(wait), [this, aExchange, watch] {
      if (this->watches.erase(aExchange) != 0) {
        this->SendReply(aExchange, 200, this->EventsAfter(watch));
      }
    });
  }
}

Store::Json
Store::Range(const std::string& aPrefix, const std::string& aAfter) const
{
  Json list = Json::array();
  bool isTruncated = false;
  for (const auto& [key, item] : this->contents.items) {
    if (key.rfind(aPrefix, 0) != 0 || key <= aAfter) {
      continue;
    }
    isTruncated = this->pageSize != 0 && list.size() == this->pageSize;
    if (isTruncated) {
      break;
    }
    list.push_back(this->ItemToJson(key, item));
  }
  return { { "items", list },
           { "truncated", isTruncated },
           { "currentRev", this->contents.revision } };
}

void
Store::CommitChanges(ExchangeId aExchange, const Json& aBody)
{
  for (const auto& condition : aBody.at("precondition")) {
    auto found =
      this->contents.items.find(condition.at("key").get<std::string>());
    uint64_t currentRevision =
      found == this->contents.items.end() ? 0 : found->second.revision;
    if (currentRevision != condition.at("rev").get<uint64_t>()) {
      this->SendReply(aExchange, 412, { { "items", Json::array() } });
      return;
    }
  }
  for (const auto& put : aBody.at("puts")) {
    auto lease = put.at("lease").get<uint64_t>();
    if (lease != 0 && this->contents.leases.count(lease) == 0) {
      this->SendReply(aExchange, 404, Json::object());
      return;
    }
  }
  bool isReplyDropped = this->droppedReplyPaths.count("/v1/kv-txn") != 0;
  ++this->contents.revision; // one revision for the whole transaction
  for (const auto& put : aBody.at("puts")) {
    this->Write(put.at("key").get<std::string>(),
                { put.at("value").get<std::string>(),
                  0,
                  put.at("lease").get<uint64_t>() });
  }
  for (const auto& key : aBody.at("deletes")) {
    this->contents.items.erase(key.get<std::string>());
  }
  if (!isReplyDropped) {
    this->SendReply(aExchange, 200, { { "rev", this->contents.revision } });
  }
}

void
Store::Lease(ExchangeId aExchange, const std::string& aPath)
{
  constexpr char kKeepAlivePath[] = "/v1/kv-keep/";
  uint64_t id = 0;
  if (aPath.rfind(kKeepAlivePath, 0) == 0) {
    id = std::stoull(aPath.substr(sizeof(kKeepAlivePath) - 1));
    if (this->contents.leases.count(id) == 0) {
      this->SendReply(aExchange, 404, Json::object());
      return;
    }
  } else {
    id = ++this->contents.lastLease;
  }
  this->contents.leases[id] = ReadMonotonicClock() + kLeaseDuration;
  this->SendReply(
    aExchange, 200, { { "lease", id }, { "ttlMs", kLeaseDuration.ms } });
}

void
Store::Control(ExchangeId aExchange, const Json& aBody)
{
  this->ControlUpstreams(aBody);
  if (aBody.contains("config")) {
    this->Put("op/config", aBody["config"].dump());
  }
  this->isDown = aBody.value("down", this->isDown);
  this->pageSize = aBody.value("page", this->pageSize);
  this->replyDelay = Millis(aBody.value("slow", this->replyDelay.ms));
  if (aBody.contains("lose")) {
    this->droppedReplyPaths = aBody["lose"].get<std::set<std::string>>();
  }
  if (aBody.contains("copy")) {
    this->TakeCopy();
  }
  if (aBody.contains("restore")) {
    this->Restore();
  }
  if (aBody.contains("lapse")) {
    for (auto& [id, end] : this->contents.leases) {
      end = kInfinitePast;
    }
    this->ExpireLeases();
  }
  Json primary = "none";
  for (const Upstream& upstream : this->upstreams.All()) {
    if (upstream.isPrimary && upstream.isRunning) {
      primary = upstream.id;
    }
  }
  this->SendReply(
    aExchange,
    200,
    { { "primary", primary },
      { "strange", this->upstreams.UnexpectedLines() },
      { "late", aBody.contains("late") ? this->Late() : Json::array() },
      { "runs", aBody.contains("runs") ? this->Runs() : Json::array() },
      { "log", aBody.contains("log") ? this->Log() : Json::array() } });
}

void
Store::ControlUpstreams(const Json& aBody)
{
  auto numberAt = [&](const char* aName) -> std::optional<size_t> {
    if (aBody.contains(aName) && aBody[aName].is_string()) {
      auto member = kMemberNames.ValueOf(aBody[aName].get<std::string>());
      return member ? this->upstreams.IndexOf(*member) : std::nullopt;
    }
    return aBody.contains(aName)
             ? std::make_optional(aBody[aName].get<size_t>())
             : std::nullopt;
  };
  if (auto index = numberAt("forget")) {
    this->upstreams.All()[*index].isUnregistered = true;
  }
  if (auto index = numberAt("recall")) {
    this->upstreams.All()[*index].isUnregistered = false;
  }
  if (auto index = numberAt("kill")) {
    this->upstreams.Kill(*index);
  }
  if (auto index = numberAt("revive")) {
    this->upstreams.Restart(*index);
  }
  if (auto index = numberAt("deafen")) {
    this->upstreams.SetReplicationBlocked(*index, true);
  }
  if (auto index = numberAt("hear")) {
    this->upstreams.SetReplicationBlocked(*index, false);
  }
  if (auto lag = numberAt("lag")) {
    this->upstreams.SetReplayLag(Millis(static_cast<int64_t>(*lag)));
  }
  if (auto count = numberAt("lose_answers")) {
    this->upstreams.SetAnswerLossInterval(*count);
  }
  if (auto work = numberAt("work")) {
    this->upstreams.SetExecutionTime(Millis(static_cast<int64_t>(*work)));
  }
  if (auto index = numberAt("leave")) {
    this->upstreams.Leave(*index);
  }
  if (aBody.contains("forget_leaving")) {
    for (Upstream& upstream : this->upstreams.All()) {
      upstream.isUnregistered = upstream.isUnregistered || upstream.isLeaving;
    }
  }
}

/** The late statements since the last call, as host, upstream and time. */
Store::Json
Store::Late()
{
  Json list = Json::array();
  for (const LateStatement& late : this->upstreams.TakeLateStatements()) {
    list.push_back({ late.host, late.upstream, late.sinceLeft.ms });
  }
  return list;
}

/**
 * What callers' statements have run since the last call: request, text,
 * prepared statement and settings. Bytes that are no UTF-8 are replaced in the
 * reply.
 */
Store::Json
Store::Runs()
{
  Json list = Json::array();
  for (const StatementRun& run : this->upstreams.TakeRuns()) {
    const SessionStatement& statement = run.statement;
    std::string prepared;
    if (statement.kind == StatementKind::Execute) {
      prepared =
        (statement.writes ? "WRITE " : "READ ") + statement.preparedText;
    }
    list.push_back({ { "request", run.requestId },
                     { "text", TextOf(statement) },
                     { "prepared", prepared },
                     { "settings", run.settings } });
  }
  return list;
}

/** The primary's log as pairs of item and value; empty without a primary. */
Store::Json
Store::Log()
{
  const Upstream* currentPrimary = this->upstreams.CurrentPrimary();
  return currentPrimary == nullptr ? Json::array() : Json(currentPrimary->log);
}

} // namespace marigoldpitch::standin
