#include "stage.h"

#include <strings.h>

#include <algorithm>

// The platform's metadata store and its promotion call, over HTTP/1.1.

static const char kAlphabet[] =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static std::string
ToBase64(const std::string& aText)
{
  std::string text;
  for (size_t i = 0; i < aText.size(); i += 3) {
    uint32_t word = 0;
    for (size_t j = 0; j < 3; ++j) {
      uint32_t byte =
        i + j < aText.size() ? static_cast<unsigned char>(aText[i + j]) : 0;
      word = (word << 8) | byte;
    }
    for (size_t j = 0; j < 4; ++j) {
      bool isPadding = i + j > aText.size();
      text += isPadding ? '=' : kAlphabet[(word >> (18 - 6 * j)) & 63];
    }
  }
  return text;
}

static std::string
Decoded(const std::string& aText)
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

uint16_t
Store::Open(const std::string& aHost)
{
  uint16_t port = 0;
  this->loop.Listen(port, [this, aHost](SocketRef aSocket) {
    SocketRef socket = aSocket;
    std::weak_ptr<Socket> weak = socket;
    socket->onData = [this, aHost, weak](Socket&) {
      if (auto one = weak.lock()) {
        this->Serve(aHost, one);
      }
    };
  });
  return port;
}

void
Store::Serve(const std::string& aHost, const SocketRef& aSocket)
{
  while (true) {
    size_t end = aSocket->in.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    std::string head = aSocket->in.substr(0, end);
    Request request;
    size_t bodyBytes = 0;
    size_t line = head.find("\r\n");
    std::string first = head.substr(0, line);
    while (line != std::string::npos) {
      size_t next = head.find("\r\n", line + 2);
      std::string header = head.substr(line + 2, next - line - 2);
      size_t colon = header.find(':');
      std::string name = header.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      size_t value = header.find_first_not_of(' ', colon + 1);
      request.headers[name] =
        value == std::string::npos ? "" : header.substr(value);
      line = next;
    }
    if (request.headers.count("content-length") != 0) {
      bodyBytes = std::stoul(request.headers["content-length"]);
    }
    if (aSocket->in.size() < end + 4 + bodyBytes) {
      return;
    }
    request.body =
      Json::parse(aSocket->in.substr(end + 4, bodyBytes), nullptr, false);
    aSocket->in.erase(0, end + 4 + bodyBytes);
    size_t space = first.find(' ');
    request.method = first.substr(0, space);
    std::string target = first.substr(space + 1, first.rfind(' ') - space - 1);
    size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    std::string query =
      mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!query.empty()) {
      size_t stop = std::min(query.find('&'), query.size());
      std::string pair = query.substr(0, stop);
      size_t equals = pair.find('=');
      request.query[pair.substr(0, equals)] = Decoded(pair.substr(equals + 1));
      query.erase(0, stop + 1);
    }
    // An answer takes 4 ms.
    this->loop.After(4, [this, aHost, aSocket, request] {
      this->Handle(aHost, aSocket, request);
    });
  }
}

void
Store::Reply(const SocketRef& aSocket, int aStatus, const Json& aBody)
{
  std::string body = aBody.dump();
  this->loop.Send(aSocket,
                  "HTTP/1.1 " + std::to_string(aStatus) +
                    " X\r\ncontent-type: application/json\r\ncontent-length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
}

Json
Store::Describe(const std::string& aKey, const Item& aItem) const
{
  return { { "key", aKey },
           { "value", aItem.value },
           { "rev", aItem.revision },
           { "createdRev", aItem.created },
           { "lease", aItem.lease } };
}

void
Store::Write(const std::string& aKey,
             const std::string& aValue,
             uint64_t aLease)
{
  Item& item = this->items[aKey];
  item.value = aValue;
  item.revision = this->revision;
  item.created = item.created == 0 ? this->revision : item.created;
  item.lease = aLease;
  this->events.push_back({ aKey, item, false });
}

void
Store::Drop(const std::string& aKey)
{
  if (this->items.erase(aKey) != 0) {
    Item gone;
    gone.revision = this->revision;
    this->events.push_back({ aKey, gone, true });
  }
}

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  ++this->revision;
  this->Write(aKey, ToBase64(aValue), 0);
}

void
Store::Remove(const std::string& aKey)
{
  ++this->revision;
  this->Drop(aKey);
}

void
Store::Expire()
{
  for (auto it = this->leases.begin(); it != this->leases.end();) {
    if (it->second.until > Now()) {
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
      this->Drop(key);
    }
    it = this->leases.erase(it);
  }
}

void
Store::Watch(const SocketRef& aSocket,
             const std::string& aPrefix,
             uint64_t aAfter,
             double aUntil)
{
  Json list = Json::array();
  for (const Event& event : this->events) {
    if (event.item.revision <= aAfter || event.key.rfind(aPrefix, 0) != 0) {
      continue;
    }
    Json one = this->Describe(event.key, event.item);
    if (event.isRemoved) {
      one = { { "key", event.key },
              { "rev", event.item.revision },
              { "removed", true } };
    }
    list.push_back(one);
  }
  if (!list.empty() || Now() >= aUntil) {
    this->Reply(
      aSocket, 200, { { "events", list }, { "currentRev", this->revision } });
    return;
  }
  this->loop.After(5, [=] { this->Watch(aSocket, aPrefix, aAfter, aUntil); });
}

void
Store::Change(const std::string& aHost,
              const SocketRef& aSocket,
              const Json& aBody)
{
  Json present = Json::array();
  bool isMet = true;
  for (const auto& row : aBody.value("precondition", Json::array())) {
    std::string key = row.at("key");
    auto found = this->items.find(key);
    uint64_t has = found == this->items.end() ? 0 : found->second.revision;
    isMet = isMet && has == row.at("rev").get<uint64_t>();
    if (found != this->items.end()) {
      present.push_back(this->Describe(key, found->second));
    }
  }
  if (!isMet) {
    this->Reply(aSocket, 412, { { "items", present } });
    return;
  }
  for (const auto& put : aBody.value("puts", Json::array())) {
    uint64_t lease = put.value("lease", uint64_t{ 0 });
    if (lease != 0 && this->leases.count(lease) == 0) {
      this->Reply(aSocket, 404, Json::object());
      return;
    }
  }
  ++this->revision;
  for (const auto& put : aBody.value("puts", Json::array())) {
    this->Write(
      put.at("key"), put.at("value"), put.value("lease", uint64_t{ 0 }));
    if (this->onPut) {
      this->onPut(aHost, put.at("key"));
    }
  }
  for (const auto& key : aBody.value("deletes", Json::array())) {
    this->Drop(key);
  }
  this->Reply(aSocket, 200, { { "rev", this->revision } });
}

void
Store::Handle(const std::string& aHost,
              const SocketRef& aSocket,
              const Request& aRequest)
{
  auto query = [&](const char* aName) {
    auto found = aRequest.query.find(aName);
    return found == aRequest.query.end() ? std::string() : found->second;
  };
  const std::string& path = aRequest.path;
  if (path == "/promote") {
    auto token = aRequest.headers.find("x-marigoldpitch-fence-token");
    int status = this->onPromote(
      aHost,
      token == aRequest.headers.end() ? 0 : std::stoull(token->second),
      aRequest.body);
    this->Reply(aSocket, status, Json::object());
  } else if (this->turnedAway.count(aHost) != 0) {
    this->Reply(aSocket, 503, Json::object());
  } else if (path == "/v1/kv-key") {
    auto found = this->items.find(query("key"));
    Json body{ { "currentRev", this->revision } };
    if (found != this->items.end()) {
      body.update(this->Describe(found->first, found->second));
    }
    this->Reply(aSocket, found == this->items.end() ? 404 : 200, body);
  } else if (path == "/v1/kv-range") {
    Json list = Json::array();
    for (const auto& [key, item] : this->items) {
      if (key.rfind(query("prefix"), 0) == 0 && key > query("after")) {
        list.push_back(this->Describe(key, item));
      }
    }
    if (this->onRange) {
      this->onRange(aHost, query("prefix"));
    }
    this->Reply(aSocket,
                200,
                { { "items", list },
                  { "truncated", false },
                  { "currentRev", this->revision } });
  } else if (path == "/v1/kv-watch") {
    this->Watch(aSocket,
                query("prefix"),
                std::stoull(query("after")),
                Now() + std::stod(query("waitMs")));
  } else if (path == "/v1/kv-txn") {
    this->Change(aHost, aSocket, aRequest.body);
  } else if (path == "/v1/kv-lease") {
    double lifetime = std::max(1000.0, aRequest.body.value("ttlMs", 1000.0));
    this->leases[++this->lastLease] = { Now() + lifetime, lifetime };
    this->Reply(
      aSocket,
      200,
      { { "lease", this->lastLease }, { "ttlMs", int64_t(lifetime) } });
  } else if (path.rfind("/v1/kv-keep/", 0) == 0) {
    auto found = this->leases.find(std::stoull(path.substr(12)));
    if (found == this->leases.end()) {
      this->Reply(aSocket, 404, Json::object());
      return;
    }
    found->second.until = Now() + found->second.lifetime;
    this->Reply(aSocket,
                200,
                { { "lease", found->first },
                  { "ttlMs", int64_t(found->second.lifetime) } });
  } else if (path.rfind("/v1/kv-lease-end/", 0) == 0) {
    auto found = this->leases.find(std::stoull(path.substr(17)));
    if (found != this->leases.end()) {
      found->second.until = 0;
      this->Expire();
    }
    this->Reply(aSocket, 200, Json::object());
  } else {
    this->Reply(aSocket, 404, Json::object());
  }
}
