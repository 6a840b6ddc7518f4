#ifndef MARIGOLDPITCH_TEST_FAKES_PROXY_WORLD_H
#define MARIGOLDPITCH_TEST_FAKES_PROXY_WORLD_H

#include "fakes/event-queue.h"

#include "marigoldpitch/coordination/proxy-engine.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/** Proxies, their callers and one service's upstreams on a fake clock. */
namespace marigoldpitch::fakes {

struct LogEntry
{
  Term term = 0;
  std::string item;
  std::string value;
};

struct FakeUpstream
{
  RegisteredUpstream entry;
  Role role = Role::Replica;
  Term term = 1;
  std::vector<LogEntry> log; // received
  size_t applied = 0;        // of it, shown by reads
  Term held = 0;
  bool isAlive = true;
  bool isListed = true;     // in the registry, while it is alive
  bool isDeaf = false;      // receives nothing
  std::set<size_t> cutFrom; // hosts
  Duration lag = Millis(5);
  Duration work = Millis(4);
  Duration distance = Millis(0); // added to each of its answers
};

/** One connection of a proxy, as its upstream keeps it. */
struct FakeLink
{
  size_t host = 0;
  size_t upstream = 0;
  bool isOpen = false;
  bool isSilent = false; // nothing comes over it any more
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
  SessionState state = SessionState::Idle;
  bool readOnly = false;
  std::vector<LogEntry> written; // by its transaction
  Time freeAt = kLongAgo;
  Time askedAt = kLongAgo;    // when its newest question arrives
  Time answeredAt = kLongAgo; // when its newest answer does
};

/** What a caller asked for and what it was told. */
struct FakeRequest
{
  size_t host = 0;
  CallerId caller = 0;
  SessionStatement statement;
  Time sent;
  std::optional<StatementReply> reply;
  Time answered;
  int runs = 0;        // at upstreams
  int effects = 0;     // commits that hold its write
  size_t mustShow = 0; // entries that were acknowledged before it was sent
  std::map<std::string, std::string> values; // of its session when sent
  std::string wrong;                         // a promise that was broken
};

struct ProxyWorldOptions
{
  uint32_t seed = 1;
  size_t hosts = 2;
  size_t upstreams = 3; // the first is the primary
  Freshness freshness = Freshness::Newest;
  Duration maxAge = Millis(300);
  uint32_t connections = 12;
  Duration jitter = Millis(0); // added to each hop, drawn from the seed
  // How long a primary that reaches its successor goes on; unset: until told.
  std::optional<Duration> stepsDownAfter;
  bool withholdsGroups = false; // from hosts that start later or anew
};

class ProxyWorld
{
public:
  explicit ProxyWorld(const ProxyWorldOptions& aOptions);

  void RunFor(Duration aSpan);
  Time Now() const { return this->queue.Now(); }
  ProxyEngine& Host(size_t aHost) { return *this->hosts[aHost]; }
  FakeUpstream& Upstream(size_t aUpstream)
  {
    return this->upstreams[aUpstream];
  }
  size_t Hosts() const { return this->hosts.size(); }
  size_t Upstreams() const { return this->upstreams.size(); }
  size_t PrimaryIndex() const;

  /** Opens a session and returns the caller's number at the host. */
  CallerId OpenSession(size_t aHost, const std::string& aDatabase = "db");
  void CloseSession(size_t aHost, CallerId aCaller);

  /** Sends a statement; the returned request fills when it is answered. */
  std::shared_ptr<FakeRequest> Ask(size_t aHost,
                                   CallerId aCaller,
                                   const SessionStatement& aStatement);

  /** `Ask`, and runs until it is answered, 3 s at most. */
  std::shared_ptr<FakeRequest> Do(size_t aHost,
                                  CallerId aCaller,
                                  const SessionStatement& aStatement);

  void Send(size_t aHost, const ProxyEvent& aEvent);
  void SetConfig(uint64_t aVersion, const std::vector<std::string>& aDatabases);

  /** Tells every host what the registry holds. */
  void ReadRegistry();

  /** Tells every host what the store's record of the group is. */
  void ReadGroups();

  /** Whether the store takes and gives no records of groups. */
  bool isStoreDown = false;

  /** The record of the group; revision 0 when there is none. */
  const GroupRecord& Group() const { return this->group; }

  /** Tells one host a registry of just these. */
  void ListOnly(size_t aHost, const std::vector<size_t>& aUpstreams);

  /** A new upstream follows the primary; returns its index. */
  size_t AddUpstream();

  /** Starts a process on a new host and returns the host. */
  size_t AddHost();

  /** A new process in place of the host's; its sessions and links are lost. */
  void ReplaceHost(size_t aHost);

  void Kill(size_t aUpstream);

  /** It comes back under its id with its log. */
  void Restart(size_t aUpstream);

  /** It comes back under its id without its log. */
  void RestartEmpty(size_t aUpstream);

  /** It receives nothing from now on, or catches up. */
  void SetDeaf(size_t aUpstream, bool aIsDeaf);

  /** Open connections between the host and the upstream say nothing more. */
  void Silence(size_t aHost, size_t aUpstream);

  /** Connections between the host and the upstream are reset. */
  void Reset(size_t aHost, size_t aUpstream);

  /** The host orders promotions from now on, or does not. */
  void SetDuty(size_t aHost, bool aMayAct);

  size_t OpenLinks(size_t aUpstream) const;
  const std::vector<std::shared_ptr<FakeRequest>>& Requests() const
  {
    return this->requests;
  }
  const std::vector<LogEntry>& Acknowledged() const
  {
    return this->acknowledged;
  }
  size_t Promotions() const { return this->promotions; }
  size_t Reports() const { return this->reports; }
  size_t Placed(const std::string& aRole) const;
  std::map<CallerId, std::optional<Refusal>> ended; // sessions, all hosts

  /** What is wrong with any request; empty when all promises hold. */
  std::string Wrongs() const;

private:
  using LinkKey = std::pair<size_t, ConnectionId>;

  FakeUpstream NewUpstream(size_t aIndex) const;
  std::unique_ptr<ProxyEngine> NewProcess(size_t aHost);
  void Greet(size_t aHost);
  RegistryRead Registry();
  void After(size_t aHost, Duration aSpan, std::function<void()> aCall);
  void Tick();
  Duration Hop(Time& aNewest);
  void Perform(size_t aHost, const ProxyAction& aAction);
  void Open(size_t aHost, const OpenLink& aAction);
  void Run(LinkKey aKey, const AskLink& aAction);
  StatementReply Execute(FakeLink& aLink, const AskLink& aAction);
  StatementReply Read(FakeLink& aLink, const AskLink& aAction);
  StatementReply Write(FakeLink& aLink, const AskLink& aAction);
  StatementReply Commit(FakeLink& aLink, const AskLink& aAction);
  std::string LostFrom(const FakeUpstream& aPrimary) const;
  bool Append(FakeUpstream& aPrimary, const std::vector<LogEntry>& aEntries);
  UpstreamReport Report(FakeUpstream& aUpstream, const AskLink& aAction);
  void Promote(const RequestPromotion& aAction, size_t aHost);
  void Record(const GroupRecord& aRecord);
  void TellGroups(size_t aHost);
  void Lead(size_t aUpstream);
  void Follow(FakeUpstream& aReplica);
  void StepDown(FakeUpstream& aPrimary);
  void StepDownLater();
  bool Holds(const FakeUpstream& aUpstream, const LogPoint& aPoint) const;
  bool Reaches(size_t aHost, size_t aUpstream) const;
  LogPoint EndOf(const FakeUpstream& aUpstream, size_t aCount) const;
  void CheckValues(const FakeLink& aLink, FakeRequest& aRequest) const;
  FakeRequest* Find(const std::string& aRequestId);

  ProxyWorldOptions options;
  std::mt19937 random;
  EventQueue queue;
  std::vector<std::unique_ptr<ProxyEngine>> hosts;
  std::map<size_t, size_t> processes; // by host: the number of its process
  size_t lastProcess = 0;
  ConfigArrived config;
  GroupRecord group{ "service", {}, 0 };
  std::vector<FakeUpstream> upstreams;
  std::map<LinkKey, FakeLink> links;
  std::vector<std::shared_ptr<FakeRequest>> requests;
  std::map<std::string, std::shared_ptr<FakeRequest>> byId;
  std::map<std::pair<size_t, CallerId>, std::shared_ptr<FakeRequest>> open;
  std::map<std::pair<size_t, CallerId>, std::map<std::string, std::string>>
    values;
  std::vector<LogEntry> acknowledged;
  std::vector<Time> acknowledgedAt;
  std::string lost; // of it, a line each
  std::map<std::string, size_t> placed;
  size_t promotions = 0;
  size_t reports = 0;
  CallerId lastCaller = 0;
};

/** Statements for tests. */
SessionStatement
ReadOf(const std::string& aItem);
SessionStatement
WriteOf(const std::string& aItem, const std::string& aValue);
SessionStatement
Of(StatementKind aKind);

} // namespace marigoldpitch::fakes

#endif
