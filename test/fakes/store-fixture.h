#ifndef MARIGOLDPITCH_TEST_FAKES_STORE_FIXTURE_H
#define MARIGOLDPITCH_TEST_FAKES_STORE_FIXTURE_H

#include "promoter-lease-keeper.h"
#include "standin/site-store.h"
#include "store-follower.h"

#include "marigoldpitch/protocol/proxy-documents.h"
#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/unique-fd.h"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <unistd.h>

/** The stand-in store and the hosts that use it, all on one loop. */
namespace marigoldpitch::fakes {

using namespace platform;

constexpr char kGroupKey[] = "marigoldpitch/groups/svc";
constexpr Duration kLimit = Seconds(20);

/**
 * A store that counts the pages of range reads. A test can write to it before a
 * page is read, or replace the answer.
 */
class PagedStore : public standin::Store
{
public:
  using Store::Store;

  void OnHttpRequest(ExchangeId aExchange, const HttpRequest& aRequest) override
  {
    if (aRequest.method == "GET") {
      std::string what = aRequest.query.substr(0, aRequest.query.find('&'));
      this->reads.insert(aRequest.path + "?" + what);
    }
    if (aRequest.path == "/v1/kv-range") {
      ++this->pages;
      if (this->beforePage) {
        this->beforePage(this->pages);
      }
    }
    auto replacement = this->answers.find(this->pages);
    if (aRequest.path == "/v1/kv-range" && replacement != this->answers.end()) {
      this->httpServer->Respond(aExchange, replacement->second);
      return;
    }
    Store::OnHttpRequest(aExchange, aRequest);
  }

  HttpServer* httpServer = nullptr;
  size_t pages = 0;
  std::set<std::string> reads; // paths, each with its first parameter
  std::function<void(size_t)> beforePage;
  std::map<size_t, HttpResponse> answers; // replaced answers, by page
};

/** A store and its client; each test uses its own port. */
struct StoreFixture
{
  explicit StoreFixture(uint16_t aPort)
    : loop(Loop::Create().value())
    , upstreams(*this->loop)
    , store(*this->loop, this->upstreams)
    , endpoint{ "127.0.0.1", aPort }
    , server(HttpServer::Create(*this->loop,
                                this->endpoint,
                                HttpLimits{},
                                this->store)
               .value())
    , client(this->NewClient())
  {
    this->store.Attach(*this->server);
    this->store.httpServer = this->server.get();
  }

  std::unique_ptr<PlatformStore> NewClient() const
  {
    return PlatformStore::Create(*this->loop, this->endpoint, this->endpoint)
      .value();
  }

  /** Runs until the condition holds, for `aLimit` at most. */
  bool RunUntil(const std::function<bool()>& aIsDone, Duration aLimit = kLimit)
  {
    Time start = ReadMonotonicClock();
    std::function<void()> poll = [&] {
      if (aIsDone() || ReadMonotonicClock() - start > aLimit) {
        this->loop->Stop();
        return;
      }
      this->loop->After(Millis(5), poll);
    };
    this->loop->After(Millis(0), poll); // `Stop` has no effect before `Run`
    this->loop->Run();
    return aIsDone();
  }

  std::optional<Result<StoreRange>> Read(const std::string& aPrefix)
  {
    std::optional<Result<StoreRange>> read;
    this->client->ReadRange(
      aPrefix, true, [&](const Result<StoreRange>& aRange) { read = aRange; });
    this->RunUntil([&] { return read.has_value(); });
    return read;
  }

  StoreItem Item(const std::string& aKey)
  {
    std::optional<StoreItem> item;
    this->client->ReadItem(aKey, [&](const Result<StoreItem>& aItem) {
      item = aItem ? aItem.value() : StoreItem{};
    });
    this->RunUntil([&] { return item.has_value(); });
    return *item;
  }

  std::unique_ptr<Loop> loop;
  standin::Upstreams upstreams;
  PagedStore store;
  Endpoint endpoint;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<PlatformStore> client;
};

/** The parts of a proxy between the store and its engine. */
struct Host
{
  Host(StoreFixture& aFixture, const std::string& aName, uint16_t aPeers)
    : client(aFixture.NewClient())
    , log(aName)
  {
    this->settings.host = aName;
    this->settings.zone = "zone";
    this->settings.peers = { "127.0.0.1", aPeers };
    auto sink = [this](const ProxyEvent& aEvent) { this->HandleEvent(aEvent); };
    ProxyHost self{ aName, "zone", aName + "/run", this->settings.peers };
    this->keeper = std::make_unique<PromoterLeaseKeeper>(
      *aFixture.loop, *this->client, this->log, self, sink);
    this->follower = StoreFollower::Create(*aFixture.loop,
                                           *this->client,
                                           this->log,
                                           this->settings,
                                           *this->keeper,
                                           this->metrics,
                                           sink)
                       .value();
    this->follower->Start();
    this->keeper->Start();
  }

  void HandleEvent(const ProxyEvent& aEvent)
  {
    if (const auto* lease = std::get_if<PromoterLeaseChanged>(&aEvent)) {
      this->mayPromote = lease->mayPromote;
      this->mayPromoteUntil = lease->until;
    } else if (const auto* counted = std::get_if<HostsCounted>(&aEvent)) {
      ++this->counts;
      this->hosts = counted->hosts;
    } else if (const auto* read = std::get_if<GroupsRead>(&aEvent)) {
      ++this->reads;
      this->groups = read->groups;
    } else if (const auto* date = std::get_if<RegistryConfirmed>(&aEvent)) {
      this->registryConfirmed = date->asOf;
    } else if (const auto* config = std::get_if<ConfigArrived>(&aEvent)) {
      uint64_t arrived = config->config.version;
      this->hasReverted = this->hasReverted || arrived < this->version;
      this->version = arrived;
    }
  }

  uint64_t Revision() const
  {
    return this->groups.empty() ? 0 : this->groups.front().position.revision;
  }

  /** Returns the lines logged since the last call. */
  std::string Logged()
  {
    int ends[2];
    cr_assert_eq(pipe(ends), 0);
    UniqueFd reader(ends[0]);
    UniqueFd writer(ends[1]);
    UniqueFd saved(dup(STDOUT_FILENO));
    dup2(writer.Get(), STDOUT_FILENO);
    this->log.Flush();
    dup2(saved.Get(), STDOUT_FILENO);
    fcntl(reader.Get(), F_SETFL, O_NONBLOCK);
    std::string text;
    char bytes[4096];
    for (ssize_t size; (size = read(reader.Get(), bytes, sizeof(bytes))) > 0;) {
      text.append(bytes, static_cast<size_t>(size));
    }
    this->logged += text;
    return text;
  }

  std::unique_ptr<PlatformStore> client;
  ProxySettings settings;
  JsonLog log;
  Metrics metrics;
  std::unique_ptr<PromoterLeaseKeeper> keeper;
  std::unique_ptr<StoreFollower> follower;
  std::string logged; // all lines that `Logged` has returned
  bool mayPromote = false;
  Time mayPromoteUntil = kInfinitePast;
  uint64_t version = 0; // of the configuration in force
  Time registryConfirmed = kInfinitePast;
  bool hasReverted = false; // whether a version was followed by a lower one
  size_t counts = 0;
  size_t hosts = 0; // by the last `HostsCounted`
  size_t reads = 0;
  std::vector<GroupRecord> groups;
};

/**
 * Marks the promoter lease as released by its last holder, so that a new holder
 * does not wait.
 */
inline void
ReleaseLease(StoreFixture& aFixture)
{
  aFixture.store.Put(kLastHolderKey, "");
}

} // namespace marigoldpitch::fakes

#endif
