#ifndef MARIGOLDPITCH_COORDINATION_ENTRY_ENGINE_H
#define MARIGOLDPITCH_COORDINATION_ENTRY_ENGINE_H

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

/** The decisions of an entry: which owner gets a request, and when again. */
namespace marigoldpitch {

// Events.

struct CallerAsked
{
  RequestHandle handle = 0;
  Request request;
};

struct CallerLeft
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

/** Any frame of the owner: its connection is alive. */
struct OwnerHeard
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

using EntryEvent = std::variant<CallerAsked,
                                CallerLeft,
                                OwnerAnswered,
                                OwnerConnected,
                                OwnerLost,
                                OwnerHeard,
                                OwnerDraining,
                                HostsChanged,
                                ConfigurationChanged,
                                EntryTick>;

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

struct DropOwner
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
  Duration took;
};

struct EntryReport
{
  LogEvent event = LogEvent::Started;
  std::string text;
};

using EntryAction = std::variant<ForwardRequest,
                                 ForwardCancel,
                                 ConnectOwner,
                                 DropOwner,
                                 PingOwner,
                                 AnswerCaller,
                                 EntryReport>;

using EntryActions = std::vector<EntryAction>;

enum class OwnerState
{
  Unconnected,
  Connecting,
  Up,
  Down, // not tried again before a while has passed
};

constexpr NameTable<OwnerState, 4> kOwnerStateNames{ {
  { OwnerState::Unconnected, "unconnected" },
  { OwnerState::Connecting, "connecting" },
  { OwnerState::Up, "up" },
  { OwnerState::Down, "down" },
} };

/**
 * Forwards each request to its group's owner. The host list lags, so what the
 * entry sees itself goes first: an owner that is silent or refuses is passed
 * over, and what it had been sent goes to the next one under the same id.
 *
 * Example: `engine.Handle(now, CallerAsked{ handle, request })`.
 */
class EntryEngine
{
public:
  EntryActions Handle(Time aNow, const EntryEvent& aEvent);

  size_t Unfinished() const { return this->pending.size(); }
  std::map<std::string, OwnerState> OwnerStates() const;

private:
  struct Pending
  {
    RequestHandle handle = 0;
    Request request;
    Time arrived;
    Time deadline;
    std::string host;             // where it is, or waits to go
    bool isSent = false;          // to `host`
    bool wasSent = false;         // to any host
    bool triedOwner = false;      // connected anew for its transaction
    bool isStatementLost = false; // a roll back stands in for a statement
    std::set<std::string> tried;  // owners that told us to try the next
  };

  struct Owner
  {
    OwnerState state = OwnerState::Unconnected;
    Time connectLimit = kNever;
    Time downUntil = kLongAgo;
    Time lastHeard = kLongAgo;
    Time pinged = kNever; // of an open ping
    Time lastSent = kLongAgo;
    bool draining = false;
    std::set<uint64_t> sent;
  };

  void On(const CallerAsked& aEvent);
  void On(const CallerLeft& aEvent);
  void On(const OwnerAnswered& aEvent);
  void On(const OwnerConnected& aEvent);
  void On(const OwnerLost& aEvent);
  void On(const OwnerHeard& aEvent);
  void On(const OwnerDraining& aEvent);
  void On(const HostsChanged& aEvent);
  void On(const ConfigurationChanged& aEvent);
  void On(const EntryTick& aEvent);

  bool ApplyDefaults(Request& aRequest, Answer& aRefusal) const;
  void Place(uint64_t aNumber);
  std::string ChooseHost(const Pending& aPending);
  const std::vector<std::string>& RanksOf(const std::string& aGroup);
  void Send(uint64_t aNumber);
  void LeaveOwner(const std::string& aHost);
  void PlaceAgain(const std::string& aHost);
  void LoseTransaction(uint64_t aNumber);
  void Connect(const std::string& aHost);
  void CheckOwner(const std::string& aHost, Owner& aOwner);
  void Expire();
  void Finish(uint64_t aNumber, Answer aAnswer);
  bool IsUsable(const std::string& aHost) const;

  Config config;
  HostList hosts;
  // First owners of each group that was asked for, until the hosts change.
  std::unordered_map<std::string, std::vector<std::string>> ranks;
  std::map<uint64_t, Pending> pending;
  std::unordered_map<RequestHandle, uint64_t> byHandle;
  std::map<std::string, Owner> owners;
  uint64_t lastNumber = 0;
  Time now;
  EntryActions actions;
};

} // namespace marigoldpitch

#endif
