#ifndef MARIGOLDPITCH_COORDINATION_PROXY_IO_H
#define MARIGOLDPITCH_COORDINATION_PROXY_IO_H

#include "marigoldpitch/coordination/statement.h"
#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/log-event.h"
#include "marigoldpitch/state/proxy-config.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/** The closed sets of events and actions of a proxy. */
namespace marigoldpitch {

using CallerId = uint64_t;

// Events.

/** A caller opens its session on a database. */
struct SessionOpened
{
  CallerId caller = 0;
  std::string database;
};

struct SessionClosed
{
  CallerId caller = 0;
};

struct StatementArrived
{
  CallerId caller = 0;
  std::string requestId;
  SessionStatement statement;
};

/** A caller sent what is no statement of a session. */
struct NonsenseArrived
{
  CallerId caller = 0;
  std::string requestId;
};

/** The upstream took the connection. */
struct LinkOpened
{
  ConnectionId connection = 0;
};

/** The connection is gone; the upstream may have said why. */
struct LinkLost
{
  ConnectionId connection = 0;
  std::optional<Refusal> refusal;
};

/** The upstream answered the oldest open question of the connection. */
struct LinkAnswered
{
  ConnectionId connection = 0;
  StatementReply reply;
};

/** The same, of a question about the upstream itself. */
struct LinkReported
{
  ConnectionId connection = 0;
  std::optional<UpstreamReport> report; // unset when it was refused
};

struct ConfigArrived
{
  ProxyConfig config;
};

struct RegistryRead
{
  std::vector<RegisteredUpstream> upstreams;
};

/**
 * The groups that the store records, as of one read. A service that is not
 * among them has no record, or one that cannot be read: its members are not
 * known.
 */
struct GroupsRead
{
  std::vector<GroupRecord> groups;
};

/** How many hosts share the upstreams' connections. */
struct HostsCounted
{
  size_t hosts = 1;
};

/** Whether this host may order promotions at this moment. */
struct DutyChanged
{
  bool mayAct = false;
};

/** The platform answered an order; unset when its answer was lost. */
struct PromotionOrdered
{
  std::string service;
  std::optional<bool> taken;
};

struct ProxyDrainRequested
{
  Duration grace; // until the process is ended
};

struct ProxyTick
{};

using ProxyEvent = std::variant<SessionOpened,
                                SessionClosed,
                                StatementArrived,
                                NonsenseArrived,
                                LinkOpened,
                                LinkLost,
                                LinkAnswered,
                                LinkReported,
                                ConfigArrived,
                                RegistryRead,
                                GroupsRead,
                                HostsCounted,
                                DutyChanged,
                                PromotionOrdered,
                                ProxyDrainRequested,
                                ProxyTick>;

// Actions.

/** The session is open. */
struct GreetCaller
{
  CallerId caller = 0;
};

struct AnswerCaller
{
  CallerId caller = 0;
  StatementReply reply;
};

/** Tells the caller why, and closes once it has had time to read it. */
struct EndSession
{
  CallerId caller = 0;
  Refusal reason;
};

struct OpenLink
{
  ConnectionId connection = 0;
  std::string service;
  std::string upstream; // expected at the endpoint
  Endpoint endpoint;
};

struct CloseLink
{
  ConnectionId connection = 0;
};

struct AskLink
{
  ConnectionId connection = 0;
  std::string requestId; // empty for the proxy's own statements
  SessionStatement statement;
  std::optional<LogPoint> after;
};

/** Asks the platform to make the upstream the primary of the service. */
struct RequestPromotion
{
  std::string service;
  std::string upstream;
};

/**
 * Asks the store to record the group's members, if this host holds the duty and
 * the record is still at `record.revision`; 0: there is none. What became of it
 * shows in the next `GroupsRead`; the decision is made anew after that.
 */
struct RecordGroup
{
  GroupRecord record;
};

/** A decision, with what decided it. */
struct Decided
{
  LogEvent event = LogEvent::StatementPlaced;
  std::string requestId;
  std::vector<std::pair<const char*, std::string>> fields;
};

struct ObserveLatency
{
  Duration span;
  bool onReplica = false;
};

using ProxyAction = std::variant<GreetCaller,
                                 AnswerCaller,
                                 EndSession,
                                 OpenLink,
                                 CloseLink,
                                 AskLink,
                                 RequestPromotion,
                                 RecordGroup,
                                 Decided,
                                 ObserveLatency>;

using ProxyActions = std::vector<ProxyAction>;

} // namespace marigoldpitch

#endif
