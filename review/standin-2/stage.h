#ifndef REVIEW_STANDIN_2_STAGE_H
#define REVIEW_STANDIN_2_STAGE_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// One process that plays the platform, the backends of one service and the
// clients for a script of the review. Everything runs on one poll loop, so one
// clock orders all that is recorded.

using Json = nlohmann::json;

/** Milliseconds since the program began, on the steady clock. */
double
Now();

void
Record(const char* aFormat, ...) __attribute__((format(printf, 1, 2)));

struct Socket
{
  int fd = -1;
  std::string in;
  std::string out;
  bool isConnecting = false;
  bool isPaused = false; // is not read; only a reset shows
  std::function<void(Socket&)> onData;
  std::function<void()> onClosed;
};
using SocketRef = std::shared_ptr<Socket>;

/** The poll loop with its sockets and timers. */
class Loop
{
public:
  int Listen(uint16_t& aPort, std::function<void(SocketRef)> aOnAccept);
  void StopListening(int aFd);
  SocketRef Connect(uint16_t aPort);
  void Send(const SocketRef& aSocket, const std::string& aBytes);
  void Close(const SocketRef& aSocket);
  /** Reads on from a socket that was paused. */
  void Resume(const SocketRef& aSocket) { aSocket->isPaused = false; }
  /** How many bytes wait to be read. */
  static size_t Waiting(const SocketRef& aSocket);
  void After(double aDelayMs, std::function<void()> aCall);
  void Run();
  void Stop() { this->isStopping = true; }

private:
  void Flush(const SocketRef& aSocket);
  void Lose(const SocketRef& aSocket);
  void Read(const SocketRef& aSocket);
  void Accept(int aFd);

  std::map<int, SocketRef> sockets;
  std::map<int, std::function<void(SocketRef)>> listeners;
  std::multimap<double, std::function<void()>> timers;
  bool isStopping = false;
};

/** A port on the loopback address that is free, with the one below it. */
uint16_t
FreePort();

/**
 * The network between a host and the platform. While it is cut, what was sent
 * on an open connection is held up: it arrives when the cut heals, unless its
 * sender has reset the connection. Connections that are opened meanwhile come
 * to nothing.
 */
class Path
{
public:
  Path(Loop& aLoop, uint16_t aTarget);
  uint16_t Port() const { return this->port; }
  void Cut();
  void Heal();
  /** Whether anything is held up. */
  bool HoldsBytes() const;

private:
  struct Pair
  {
    SocketRef near;
    SocketRef far;
    bool isDoomed = false; // was opened during the cut
  };

  void Accept(const SocketRef& aSocket);
  void End(const std::shared_ptr<Pair>& aPair);

  Loop& loop;
  uint16_t target;
  uint16_t port = 0;
  bool isCut = false;
  std::vector<std::shared_ptr<Pair>> pairs;
};

/** The platform's metadata store; each host has a port of its own. */
class Store
{
public:
  explicit Store(Loop& aLoop)
    : loop(aLoop)
  {
  }
  uint16_t Open(const std::string& aHost);
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  void Expire();

  /** The store answers the host 503 from now on, or serves it again. */
  void TurnAway(const std::string& aHost) { this->turnedAway.insert(aHost); }
  void ServeAgain(const std::string& aHost) { this->turnedAway.erase(aHost); }

  /** Called with the host and the prefix of each range that is read. */
  std::function<void(const std::string&, const std::string&)> onRange;
  /** Called for each key that a host writes. */
  std::function<void(const std::string&, const std::string&)> onPut;
  /** The promotion call: host, token, service, id; returns the status. */
  std::function<int(const std::string&, uint64_t, const Json&)> onPromote;

private:
  struct Item
  {
    std::string value; // base64
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Event
  {
    std::string key;
    Item item;
    bool isRemoved = false;
  };
  struct Request
  {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    Json body;
  };

  void Serve(const std::string& aHost, const SocketRef& aSocket);
  void Handle(const std::string& aHost,
              const SocketRef& aSocket,
              const Request& aRequest);
  void Reply(const SocketRef& aSocket, int aStatus, const Json& aBody);
  void Watch(const SocketRef& aSocket,
             const std::string& aPrefix,
             uint64_t aAfter,
             double aUntil);
  void Change(const std::string& aHost,
              const SocketRef& aSocket,
              const Json& aBody);
  void Write(const std::string& aKey,
             const std::string& aValue,
             uint64_t aLease);
  void Drop(const std::string& aKey);
  Json Describe(const std::string& aKey, const Item& aItem) const;

  Loop& loop;
  std::map<std::string, Item> items;
  std::deque<Event> events;
  std::set<std::string> turnedAway;
  struct Lease
  {
    double until = 0;
    double lifetime = 0;
  };
  std::map<uint64_t, Lease> leases;
  uint64_t revision = 1;
  uint64_t lastLease = 100;
};

/** One backend of the service, with its log. */
struct Backend
{
  std::string id;
  uint16_t port = 0;
  int listener = -1;
  std::string zone;
  bool isPrimary = false;
  bool isDraining = false;
  uint64_t term = 1;
  uint64_t held = 0;
  int64_t born = 0;
  std::vector<std::string> log; // ids of the writes, the oldest first
  std::set<std::string> cutFrom;
  int connections = 0;
};

/** The backends, as PROTOCOL.md describes them. */
class Backends
{
public:
  Backends(Loop& aLoop, Store& aStore)
    : loop(aLoop)
    , store(aStore)
  {
  }
  Backend& Add(const std::string& aId, const std::string& aZone);
  Backend& At(const std::string& aId) { return *this->all.at(aId); }
  Backend* Primary();
  void Register(Backend& aBackend);
  bool Promote(const std::string& aId, double aEffectMs);
  /** Sends the primaries' logs to those replicas that may receive them. */
  void Replicate();
  /** Called when a promotion takes effect. */
  std::function<void(Backend&)> onPromoted;
  /** Called for each read that runs: backend, request. */
  std::function<void(Backend&, const std::string&)> onRead;

private:
  struct Session
  {
    bool hasStarted = false;
    char state = 'I';
    std::vector<std::string> writes;
    std::map<std::string, std::string> prepared;
  };
  struct OpenCommit
  {
    std::string backend;
    size_t position = 0;
    uint64_t term = 0;
    std::function<void(const std::string&)> answer;
  };

  void Serve(Backend& aBackend, const SocketRef& aSocket);
  void Line(Backend& aBackend,
            const SocketRef& aSocket,
            const std::shared_ptr<Session>& aSession,
            const std::string& aLine);
  void Commit(Backend& aBackend,
              std::vector<std::string> aWrites,
              std::function<void(const std::string&)> aAnswer);
  std::string Status(const Backend& aBackend) const;
  bool MayReceive(const Backend& aPrimary, const Backend& aReplica) const;

  Loop& loop;
  Store& store;
  std::map<std::string, std::unique_ptr<Backend>> all;
  std::vector<OpenCommit> open;
  uint64_t signatures = 0;
};

#endif
