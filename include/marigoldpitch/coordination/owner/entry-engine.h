#ifndef MARIGOLDPITCH_COORDINATION_OWNER_ENTRY_ENGINE_H
#define MARIGOLDPITCH_COORDINATION_OWNER_ENTRY_ENGINE_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/log-event.h"
#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/request.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

/**
 * Decisions of an entry daemon, which receives callers' requests: which owner
 * daemon gets a request, and when it is resent.
 */
namespace marigoldpitch {

// Events.

struct CallerRequested
{
  RequestHandle handle = 0;
  Request request;
};

struct CallerCancelled
{
  RequestHandle handle = 0;
};

struct OwnerAnswered
{
  std::string host;
  uint64_t number = 0;
  Answer answer;
};

struct OwnerConnected
{
  std::string host;
};

struct OwnerLost
{
  std::string host;
};

/** A frame of any kind arrived from the owner, so its connection is alive. */
struct OwnerFrameReceived
{
  std::string host;
};

struct OwnerDraining
{
  std::string host;
};

struct HostsChanged
{
  HostList hosts;
};

struct ConfigurationChanged
{
  Config config;
};

struct EntryTick
{};

/** The process is about to end: what is open, or still comes, is answered. */
struct EntryClosing
{};

using EntryEvent = std::variant<CallerRequested,
                                CallerCancelled,
                                OwnerAnswered,
                                OwnerConnected,
                                OwnerLost,
                                OwnerFrameReceived,
                                OwnerDraining,
                                HostsChanged,
                                ConfigurationChanged,
                                EntryTick,
                                EntryClosing>;

// Actions.

struct ForwardRequest
{
  std::string host;
  uint64_t number = 0;
  Request request;
};

struct ForwardCancel
{
  std::string host;
  uint64_t number = 0;
};

struct ConnectOwner
{
  std::string host;
};

struct DisconnectOwner
{
  std::string host;
};

struct PingOwner
{
  std::string host;
};

struct AnswerCaller
{
  RequestHandle handle = 0;
  Answer answer;
  Duration latency;
};

/** Writes a log line. */
struct AddEntryLogLine
{
  LogEvent event = LogEvent::Started;
  std::string text;
};

using EntryAction = std::variant<ForwardRequest,
                                 ForwardCancel,
                                 ConnectOwner,
                                 DisconnectOwner,
                                 PingOwner,
                                 AnswerCaller,
                                 AddEntryLogLine>;

using EntryActions = std::vector<EntryAction>;

enum class OwnerState
{
  Unconnected,
  Connecting,
  Up,
  Down, // skipped until `downUntil`, except by requests in a transaction
};

constexpr NameTable<OwnerState, 4> kOwnerStateNames{ {
  { OwnerState::Unconnected, "unconnected" },
  { OwnerState::Connecting, "connecting" },
  { OwnerState::Up, "up" },
  { OwnerState::Down, "down" },
} };

/**
 * Forwards each request to the owner of its group. Every host runs an owner
 * daemon and is a candidate; the first usable candidate in rendezvous order is
 * the owner of the group. The host list lags behind the hosts' real state, so
 * the entry daemon's own observations take precedence over it: a candidate that
 * cannot be reached, drains or answers "try next" is skipped. Requests that had
 * been sent to a lost owner go to the next owner under the same request id. A
 * request inside a transaction goes only to the owner that holds the
 * transaction.
 *
 * Example: `engine.Handle(now, CallerRequested{ handle, request })`.
 */
class EntryEngine
{
public:
  EntryActions Handle(Time aNow, const EntryEvent& aEvent);

  size_t Unfinished() const { return this->pending.size(); }
  std::map<std::string, OwnerState> OwnerStates() const;

private:
  struct PendingRequest
  {
    RequestHandle handle = 0;
    Request request;
    Time arrived;
    Time deadline;
    std::string host;          // assigned owner; empty while none is usable
    bool isSentToHost = false; // to `host`
    bool wasEverSent = false;  // to any host
    bool hasTriedReconnect = false; // a reconnect for its transaction was tried
    bool isStatementReplaced = false; // a rollback was sent, not the statement
    std::set<std::string> tried;      // hosts that answered "try next"
  };

  /** The connection to a host's owner daemon. */
  struct Owner
  {
    OwnerState state = OwnerState::Unconnected;
    Time connectDeadline = kInfiniteFuture;
    Time downUntil = kInfinitePast;
    Time lastHeard = kInfinitePast;
    Time pingSent = kInfiniteFuture; // when the outstanding ping was sent
    Time lastSent = kInfinitePast;
    bool draining = false;
    std::set<uint64_t> unanswered; // requests without an answer yet
  };

  void On(const CallerRequested& aEvent);
  void On(const CallerCancelled& aEvent);
  void On(const OwnerAnswered& aEvent);
  void On(const OwnerConnected& aEvent);
  void On(const OwnerLost& aEvent);
  void On(const OwnerFrameReceived& aEvent);
  void On(const OwnerDraining& aEvent);
  void On(const HostsChanged& aEvent);
  void On(const ConfigurationChanged& aEvent);
  void On(const EntryTick& aEvent);
  void On(const EntryClosing& aEvent);

  /**
   * Applies the settings of the request's service: its priority, its limit on
   * the maximum age, and its timeout if the request has none. Returns false and
   * sets `aError` if the group or the service is not configured.
   */
  bool ApplyServiceSettings(Request& aRequest, Answer& aError) const;
  /** Assigns the request to a host; sends it, or connects to the host first. */
  void AssignRequest(uint64_t aNumber);
  /**
   * The host that holds the request's transaction. Outside a transaction, the
   * first usable candidate that has not answered "try next"; empty if none is
   * left.
   */
  std::string ChooseOwner(const PendingRequest& aPending);
  /** The group's first candidates in rendezvous order, from the cache. */
  const std::vector<std::string>& RankedCandidates(const std::string& aGroup);
  void Send(uint64_t aNumber);
  /**
   * Handles a lost connection or a failed connect. A connection that was up is
   * reconnected once; otherwise the host is down and its requests are assigned
   * again.
   */
  void HandleOwnerLoss(const std::string& aHost);
  void ReassignRequests(const std::string& aHost);
  /**
   * Ends a request whose transaction cannot be continued: its owner was lost or
   * no longer has the transaction. A commit is resolved by the next owner, a
   * rollback succeeds, and anything else gets `Conflict`.
   */
  void HandleTransactionLoss(uint64_t aNumber);
  void Connect(const std::string& aHost);
  /** Pings an owner with unanswered requests; drops it after a timeout. */
  void CheckOwner(const std::string& aHost, Owner& aOwner);
  /**
   * Answers requests whose deadline and grace time have passed: `Stale` for a
   * read with a maximum age, `NotRun` for any other read, for a begin and for a
   * first attempt that was never sent, `Unknown` for the rest. While the
   * process closes, all requests are answered so at once.
   */
  void Expire();
  void Finish(uint64_t aNumber, Answer aAnswer);
  /** Whether the host is neither down nor draining, as far as is known. */
  bool IsUsable(const std::string& aHost) const;

  Config config;
  HostList hosts;
  // Cache of the first candidates of each requested group, in rendezvous order;
  // cleared when the host list changes.
  std::unordered_map<std::string, std::vector<std::string>> candidatesByGroup;
  std::map<uint64_t, PendingRequest> pending;
  std::unordered_map<RequestHandle, uint64_t> byHandle;
  std::map<std::string, Owner> owners;
  uint64_t lastNumber = 0;
  bool isClosing = false;
  Time now;
  EntryActions actions;
};

} // namespace marigoldpitch

#endif
