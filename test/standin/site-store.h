#ifndef MARIGOLDPITCH_TEST_STANDIN_SITE_STORE_H
#define MARIGOLDPITCH_TEST_STANDIN_SITE_STORE_H

#include "standin/site-upstreams.h"

#include "marigoldpitch/transport/http-server.h"

#include <nlohmann/json.hpp>

#include <set>

/** The platform's key-value store and promotion call, with injected faults. */
namespace marigoldpitch::standin {

class Store : public HttpService
{
public:
  Store(Loop& aLoop, Upstreams& aUpstreams)
    : loop(aLoop)
    , upstreams(aUpstreams)
  {
  }

  void Attach(HttpServer& aServer) { this->server = &aServer; }
  void Put(const std::string& aKey, const std::string& aValue);

  /** Sets the maximum number of items in a range reply; 0 for no limit. */
  void SetPageSize(size_t aPageSize) { this->pageSize = aPageSize; }

  /** Keeps a copy of what the store holds now. */
  void TakeCopy() { this->copy = this->contents; }

  /**
   * Comes back from the copy: what was written since is gone, and its revisions
   * and lease ids are given out again. Waiting watches are cut off.
   */
  void Restore();

  /** Whether the store has the key. */
  bool Has(const std::string& aKey) const
  {
    return this->contents.items.count(aKey) != 0;
  }

  /** The lease of a key that the store has. */
  uint64_t LeaseOf(const std::string& aKey) const
  {
    return this->contents.items.at(aKey).lease;
  }

  /** Registers the running upstreams and ends expired leases, every 300 ms. */
  void RefreshRegistry();

  void OnHttpRequest(ExchangeId aExchange,
                     const HttpRequest& aRequest) override;
  void OnHttpAborted(ExchangeId aExchange) override;

private:
  struct Item
  {
    std::string value; // base64
    uint64_t revision = 0;
    uint64_t lease = 0;
  };

  struct Watch
  {
    std::string prefix;
    uint64_t after = 0;
  };

  using Json = nlohmann::json;

  void SendReply(ExchangeId aExchange, int aStatus, const Json& aBody);
  void Read(ExchangeId aExchange, const HttpRequest& aRequest);
  Json Range(const std::string& aPrefix, const std::string& aAfter) const;
  void CommitChanges(ExchangeId aExchange, const Json& aBody);
  void Lease(ExchangeId aExchange, const std::string& aPath);

  /** Applies the faults in `aBody` and replies with the group's state. */
  void Control(ExchangeId aExchange, const Json& aBody);

  /** Accepts an upstream as an index or a name in `kMemberNames`. */
  void ControlUpstreams(const Json& aBody);
  Json Log();
  Json Late();
  Json Runs();
  /** A heartbeat that says nothing new is no change. */
  void PutIfChanged(const std::string& aKey, const std::string& aValue);
  void Write(const std::string& aKey, const Item& aItem);
  void ExpireLeases();
  Json ItemToJson(const std::string& aKey, const Item& aItem) const;
  Json EventsAfter(const Watch& aWatch) const;

  Loop& loop;
  Upstreams& upstreams;
  HttpServer* server = nullptr;
  /** What a copy of the store holds. */
  struct Contents
  {
    std::map<std::string, Item> items;
    std::map<uint64_t, Time> leases; // expiry time by id
    uint64_t revision = 10;
    uint64_t lastLease = 0;
  };

  Contents contents;
  Contents copy;
  uint64_t era = 1; // rises each time the store comes back from a copy
  std::map<ExchangeId, Watch> watches;
  size_t pageSize = 0;
  bool isDown = false;
  Duration replyDelay = Millis(0);
  std::set<std::string> droppedReplyPaths; // paths of requests
};

} // namespace marigoldpitch::standin

#endif
