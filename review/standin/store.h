#ifndef MARIGOLDPITCH_REVIEW_STORE_H
#define MARIGOLDPITCH_REVIEW_STORE_H

#include "upstreams.h"

#include "marigoldpitch/transport/http-server.h"

#include <nlohmann/json.hpp>

/** Stand-in for the platform's metadata store and its promotion call. */
namespace marigoldpitch::review {

class Store : public HttpService
{
public:
  Store(Loop& aLoop, Record& aRecord, Upstreams& aUpstreams);

  /** Listens on the port; false if that fails. */
  bool Start(uint16_t aPort);

  /** The operator writes the configuration. */
  void PutConfig(const std::string& aConfig);

  /**
   * The host whose conditional write was the last one that was carried out;
   * empty: there was none.
   */
  const std::string& LastWriter() const { return this->lastWriter; }

  void OnHttpRequest(ExchangeId aExchange,
                     const HttpRequest& aRequest) override;
  void OnHttpAborted(ExchangeId aExchange) override;

private:
  using Json = nlohmann::json;

  struct Item
  {
    std::string value; // base64
    uint64_t revision = 0;
    uint64_t createdRevision = 0;
    uint64_t lease = 0;
  };

  struct Watch
  {
    std::string prefix;
    uint64_t after = 0;
  };

  struct Lease
  {
    Duration lifetime;
    Time end;
  };

  struct Event
  {
    uint64_t revision = 0;
    std::string key;
    Json event;
  };

  void Respond(ExchangeId aExchange, int aStatus, const Json& aBody);
  void Read(ExchangeId aExchange, const HttpRequest& aRequest);
  void StartWatch(ExchangeId aExchange, const HttpRequest& aRequest);
  void Change(ExchangeId aExchange, const Json& aBody);
  void HandleLease(ExchangeId aExchange,
                   const std::string& aPath,
                   const Json& aBody);
  void Put(const std::string& aKey, const std::string& aValue, uint64_t aLease);
  void Remove(const std::string& aKey);
  void NotifyWatches();
  Json EventsOf(const Watch& aWatch) const;
  Json ItemToJson(const std::string& aKey, const Item& aItem) const;
  void RegisterUpstreams();
  void Heartbeat();
  void EndLeases();

  Loop& loop;
  Record& record;
  Upstreams& upstreams;
  std::unique_ptr<HttpServer> server;
  std::map<std::string, Item> items;
  std::map<uint64_t, Lease> leases;
  std::map<ExchangeId, Watch> watches;
  std::vector<Event> history;
  uint64_t revision = 1;
  uint64_t lastLease = 0;
  uint64_t heartbeats = 0;
  std::string lastWriter;
};

} // namespace marigoldpitch::review

#endif
