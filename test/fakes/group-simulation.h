#ifndef MARIGOLDPITCH_TEST_FAKES_GROUP_SIMULATION_H
#define MARIGOLDPITCH_TEST_FAKES_GROUP_SIMULATION_H

#include "event-queue.h"
#include "marigoldpitch/coordination/owner/entry-engine.h"
#include "marigoldpitch/coordination/owner/group-engine.h"
#include "marigoldpitch/protocol/upstream-sql.h"
#include "standin/database.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/**
 * A second front end for the decision code: one group, its upstreams, owners
 * and entries in one process, on a fake clock. Messages take time, links can be
 * cut, connections can go silent (stay open but carry no messages any more),
 * and upstreams and owners can stop or freeze.
 */
namespace marigoldpitch::fakes {

using PolicyMaker = std::function<Policies(const GroupConfig&)>;

/** Makes the default policies, with those replaced that `aReplace` sets. */
inline PolicyMaker
PoliciesWith(std::function<void(Policies&)> aReplace)
{
  return [aReplace](const GroupConfig& aConfig) {
    Policies policies = MakeDefaultPolicies(aConfig);
    aReplace(policies);
    return policies;
  };
}

struct GroupSimulationOptions
{
  uint32_t seed = 1;
  size_t upstreams = 3;
  size_t owners = 2;
  size_t entries = 2;
  uint32_t slots = 2;
  uint32_t connections = 16;
  size_t answerBytes = GroupOptions{}.answerBytes;
  Duration oneWay = Millis(1);       // between availability zones
  Duration opening = Millis(12);     // time to open a connection
  Duration service = Millis(2);      // time to run a batch
  Duration longestLag = Millis(100); // replicas lag by a random time below this
  PolicyMaker policies = MakeDefaultPolicies;

  // Deliberate errors of the simulation, to show that the checks find them.
  bool shareTransactions = false; // one for all connections of an upstream
  bool swapAnswers = false;       // some answers go to another request
};

class GroupSimulation
{
public:
  explicit GroupSimulation(const GroupSimulationOptions& aOptions);

  Time Now() const { return this->clock.Now(); }
  void RunUntil(Time aEnd) { this->clock.RunUntil(aEnd); }
  void RunFor(Duration aSpan) { this->RunUntil(this->Now() + aSpan); }
  void After(Duration aSpan, std::function<void()> aCall)
  {
    this->clock.After(aSpan, std::move(aCall));
  }
  uint32_t Random(uint32_t aBelow) { return this->random() % aBelow; }

  // Callers.
  using Answered = std::function<void(const Answer&)>;
  void SubmitRequest(size_t aEntry, Request aRequest, Answered aDone);

  /** Sends a request directly to an owner, without an entry. */
  void SubmitToOwner(size_t aOwner, Request aRequest, Answered aDone);

  // Faults. Upstreams, owners and entries are each counted from 0.
  void KillUpstream(size_t aUpstream);
  void RestartUpstream(size_t aUpstream); // empty, as on a host without disks
  void FreezeUpstream(size_t aUpstream, Duration aSpan);
  void KillOwner(size_t aOwner);
  void FreezeOwner(size_t aOwner, Duration aSpan);
  void CutOwnerUpstream(size_t aOwner, size_t aUpstream, bool aCut);
  void CutUpstreams(size_t aLeft, size_t aRight, bool aCut);
  void CutEntryOwner(size_t aEntry, size_t aOwner, bool aCut);

  /** Open connections of the owner to the upstream go silent; new ones work. */
  void SilenceConnections(size_t aOwner, size_t aUpstream);
  void SilenceLink(size_t aEntry, size_t aOwner);
  void SetStoreDown(bool aDown) { this->storeDown = aDown; }
  void StallReplica(size_t aUpstream, Duration aLag);

  /** Tells the owners that the upstream is listed as leaving. */
  void ListLeaving(size_t aUpstream);

  /** Makes the upstream itself report that it is leaving. */
  void SetReportsLeaving(size_t aUpstream);
  void DrainOwner(size_t aOwner);

  // State and counters for checks.
  standin::Database& DatabaseOf(size_t aUpstream)
  {
    return *this->upstreams[aUpstream].database;
  }

  size_t Owners() const { return this->owners.size(); }

  /**
   * The actual age of a replica's data by the log of the primary; unset if
   * there is no primary, or the upstream does not replicate.
   */
  std::optional<Duration> ActualAge(size_t aUpstream) const;
  LogProgress VisibleProgress(size_t aUpstream) const
  {
    return this->upstreams[aUpstream]
      .database->Status(this->Now())
      .VisibleProgress();
  }
  uint64_t batches = 0; // started at any upstream

  /**
   * Whether every upstream is up and every replica holds the primary's log,
   * except for its last 5 entries at most.
   */
  bool IsFullyReplicated() const;

  /** The owner that the entries use while it is available. */
  size_t PreferredOwner() const;

  /** The primary of the highest term among the running upstreams. */
  std::optional<size_t> ActualPrimary() const;
  GroupEngine& EngineOf(size_t aOwner) { return *this->owners[aOwner].engine; }
  std::string Value(size_t aUpstream,
                    const std::string& aTable,
                    const std::string& aKey);

  size_t promotions = 0;
  uint32_t maxBusyConnections = 0;        // at any upstream, from one owner
  uint32_t maxOpenConnections = 0;        // at any upstream, from one owner
  std::map<size_t, Time> lastWorkStarted; // of each upstream
  std::set<Term> promotedTerms;
  bool hasDuplicateTerm = false;
  size_t retries = 0;

  GroupConfig config;

private:
  struct FakeSession
  {
    size_t upstream = 0;
    uint64_t incarnation = 0;
    bool silent = false;
    bool open = false;
    std::shared_ptr<standin::Transaction> transaction;
  };

  struct Upstream
  {
    std::unique_ptr<standin::Database> database;
    bool alive = true;
    uint64_t incarnation = 0;
    Time frozenUntil = kInfinitePast;
    std::optional<size_t> following;
    bool isReplicating = false;
    Time replicatingSince = kInfinitePast;
    std::deque<Time> committedAt; // of each entry of the log
    std::shared_ptr<standin::Transaction> shared;
  };

  struct Owner
  {
    std::unique_ptr<GroupEngine> engine;
    bool alive = true;
    Time frozenUntil = kInfinitePast;
    uint64_t incarnation = 0;
    std::map<ConnectionId, std::shared_ptr<FakeSession>> sessions;
    std::map<size_t, std::shared_ptr<bool>> silentAdminConnections;
  };

  struct Entry
  {
    std::unique_ptr<EntryEngine> engine;
    std::map<size_t, uint64_t> links; // by owner; 0: the link is silent
  };

  Duration Latency();
  void HandleOwnerEvent(size_t aOwner, const GroupEvent& aEvent);
  void HandleEntryEvent(size_t aEntry, const EntryEvent& aEvent);
  void Perform(size_t aOwner, const GroupAction& aAction);
  void Perform(size_t aEntry, const EntryAction& aAction);
  void OpenConnectionFor(size_t aOwner, const OpenConnection& aAction);
  void RunBatchFor(size_t aOwner, const RunBatch& aAction);
  void CloseConnectionFor(size_t aOwner, ConnectionId aConnection);
  void EndSession(const std::shared_ptr<FakeSession>& aSession);
  void RunAdminStatement(size_t aOwner,
                         size_t aUpstream,
                         const Statement& aStatement,
                         std::function<void(const SqlResult*)> aDone,
                         std::function<void()> aOnArrival = {});
  void ForwardTo(size_t aEntry, const ForwardRequest& aAction);
  void ConnectTo(size_t aEntry, const std::string& aHost);
  void DropLink(size_t aEntry, size_t aOwner);
  void TickOwner(size_t aOwner, uint64_t aIncarnation);
  void TickEntry(size_t aEntry);
  void Replicate();
  void ReplicateTo(size_t aReplica);
  bool Reaches(size_t aOwner, size_t aUpstream) const;
  void RunAtUpstream(size_t aUpstream, std::function<void()> aCall);
  void ReportLostConnections(size_t aUpstream);
  static HostList MakeHosts(size_t aOwners);
  static std::string HostName(size_t aOwner);
  static size_t IndexOf(const std::string& aHost);

  GroupSimulationOptions options;
  std::mt19937 random;
  EventQueue clock;
  std::vector<Upstream> upstreams;
  std::vector<Owner> owners;
  std::vector<Entry> entries;
  std::set<std::pair<size_t, size_t>> ownerCuts;
  std::set<std::pair<size_t, size_t>> upstreamCuts;
  std::set<std::pair<size_t, size_t>> entryCuts;
  bool storeDown = false;
  Term lastReserved = 0;
  RequestHandle lastHandle = 0;
  std::map<RequestHandle, Answered> callers;
  std::map<RequestHandle, std::function<void(const Answer&)>> ownerRequests;
  uint64_t lastLink = 0;
};

} // namespace marigoldpitch::fakes

#endif
