#ifndef MARIGOLDPITCH_COORDINATION_PROXY_PROXY_IO_H
#define MARIGOLDPITCH_COORDINATION_PROXY_PROXY_IO_H

#include "marigoldpitch/coordination/proxy/customer-limits.h"
#include "marigoldpitch/coordination/proxy/fence-io.h"
#include "marigoldpitch/coordination/proxy/host-registration.h"
#include "marigoldpitch/coordination/proxy/relay-io.h"
#include "marigoldpitch/coordination/proxy/service-placement.h"
#include "marigoldpitch/coordination/proxy/statement.h"
#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/log-event.h"
#include "marigoldpitch/state/proxy-config.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/** The events that a proxy's engine takes and the actions that it returns. */
namespace marigoldpitch {

// Events.

/** A caller asks to open a session on a database. */
struct SessionOpened
{
  CallerId caller = 0;
  std::string database;
  KeyHash key = {};
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
  Duration spent = {}; // since it arrived at the host that relayed it
  // Whether more of the caller's messages were read together with it.
  bool isFollowed = false;
};

/** A caller sent a message that is not a valid statement. */
struct InvalidStatementArrived
{
  CallerId caller = 0;
  std::string requestId;
  std::string why;
  FailureCode code = FailureCode::Invalid;
  bool isFollowed = false; // as for statements
};

/** The upstream accepted the connection. */
struct LinkOpened
{
  ConnectionId connection = 0;
};

/** The connection was lost; `failure` is set if the upstream gave a reason. */
struct LinkLost
{
  ConnectionId connection = 0;
  std::optional<StatementFailure> failure;
};

/** The upstream answered the oldest open statement of the connection. */
struct LinkAnswered
{
  ConnectionId connection = 0;
  StatementReply reply;
};

/** The upstream answered a status request or a promoter's command. */
struct LinkReported
{
  ConnectionId connection = 0;
  std::optional<UpstreamReport> report; // unset: the upstream returned an error
};

struct ConfigArrived
{
  ProxyConfig config;
};

/** All registered upstreams, as of one read of the store. */
struct RegistryRead
{
  std::vector<RegisteredUpstream> upstreams;
  std::string peer; // empty when this host read the store itself
};

/** The store had no newer registrations than the last read at `asOf`. */
struct RegistryConfirmed
{
  Time asOf;
};

/**
 * The recorded groups, as of one read of the store. A service that is not in
 * the list has no record, or one that cannot be parsed; its members are
 * unknown.
 */
struct GroupsRead
{
  std::vector<GroupRecord> groups;
  uint64_t era = 0; // of the store, in which they were read
};

/**
 * How many hosts share the connections that an upstream accepts, and where they
 * are; without places, every host serves every service.
 */
struct HostsCounted
{
  size_t hosts = 1;
  std::vector<HostPlace> places;
  std::vector<std::string> names = {}; // of all registered hosts
  // Whether the registration of each host that is lost ends soon.
  bool areRegistrationsShort = true;
};

/** A link to a host to which statements may be relayed has come up or down. */
struct RelayHostChanged
{
  std::string host;
  bool isUp = false;
};

/** Another host relays a statement. */
struct RelayedStatementArrived
{
  RelayLinkId link = 0;
  RelayedStatement statement;
};

/** Another host has given up what it relayed. */
struct RelayedEndArrived
{
  RelayLinkId link = 0;
  RelayedEnd end;
};

/** The link to a host that relayed statements was lost. */
struct RelayLinkLost
{
  RelayLinkId link = 0;
};

/** The serving host has replied. */
struct RelayedReplyArrived
{
  std::string host;
  RelayedReply reply;
};

/**
 * Whether this host may order promotions, and until when unless a later event
 * extends the time. The host may be paused before it can tell that it has lost
 * the lease.
 */
struct PromoterLeaseChanged
{
  bool mayPromote = false;
  Time until = kInfiniteFuture;
};

/**
 * The platform answered a promotion order. `accepted` says whether the platform
 * accepted it, and is unset if the answer was lost.
 */
struct PromotionOrdered
{
  std::string service;
  std::optional<bool> accepted;
};

/** Another host asks for permits, or whether this host is there. */
struct LimitRequestArrived
{
  std::string host;
  LimitRequest request;
};

struct LimitReplyArrived
{
  std::string host;
  LimitReply reply;
};

/** This host has registered in the store, renewed its registration or ended. */
struct RegistrationRenewed
{
  RegistrationSpan span;
};

/** A promoter asks this host to fence a term. */
struct FenceRequestArrived
{
  std::string host;
  FenceRequest request;
};

struct FenceReplyArrived
{
  std::string host;
  FenceReply reply;
};

struct ProxyDrainRequested
{
  Duration grace; // time until the process is killed
};

struct ProxyTick
{};

using ProxyEvent = std::variant<SessionOpened,
                                SessionClosed,
                                StatementArrived,
                                InvalidStatementArrived,
                                LinkOpened,
                                LinkLost,
                                LinkAnswered,
                                LinkReported,
                                ConfigArrived,
                                RegistryRead,
                                RegistryConfirmed,
                                GroupsRead,
                                HostsCounted,
                                PromoterLeaseChanged,
                                PromotionOrdered,
                                ProxyDrainRequested,
                                RelayHostChanged,
                                RelayedStatementArrived,
                                RelayedEndArrived,
                                RelayLinkLost,
                                RelayedReplyArrived,
                                LimitRequestArrived,
                                LimitReplyArrived,
                                RegistrationRenewed,
                                FenceRequestArrived,
                                FenceReplyArrived,
                                ProxyTick>;

// Actions.

/** Tells the caller that its session is open. */
struct ConfirmSession
{
  CallerId caller = 0;
};

struct AnswerCaller
{
  CallerId caller = 0;
  StatementReply reply;
};

/**
 * Reads nothing more from the caller. What was read together with its last
 * message still arrives.
 */
struct StopReading
{
  CallerId caller = 0;
};

/**
 * Sends the reason, reads nothing more, and closes once the caller had time to
 * read it.
 */
struct EndSession
{
  CallerId caller = 0;
  StatementFailure reason;
};

struct OpenLink
{
  ConnectionId connection = 0;
  std::string service;
  std::string upstream; // its id, which the server at the endpoint must confirm
  Endpoint endpoint;
  std::string customer = {}; // empty: the connection is this host's own
};

struct CloseLink
{
  ConnectionId connection = 0;
};

/** Sends a statement over an open connection. */
struct SendToUpstream
{
  ConnectionId connection = 0;
  std::string requestId; // empty for the proxy's own statements
  SessionStatement statement;
  // The upstream's log must reach this point before it reads.
  std::optional<LogPoint> after;
};

/** Asks the platform to make the upstream the primary of the service. */
struct RequestPromotion
{
  std::string service;
  std::string upstream;
};

/**
 * Asks the store to record the group's members. The store accepts it only if
 * this host holds the promoter lease and the record is still at
 * `record.position`, which is unset if there is none. There is no reply: the
 * next `GroupsRead` shows the result, and the engine then decides again.
 */
struct RecordGroup
{
  GroupRecord record;
};

/** Logs a decision with the values that it was based on. */
struct LogDecision
{
  LogEvent event = LogEvent::StatementPlaced;
  std::string requestId;
  std::vector<std::pair<const char*, std::string>> fields;
};

/** Adds a statement's latency to the metrics. */
struct ObserveLatency
{
  Duration span;
  bool onReplica = false;
};

/**
 * Adds to the metrics how long after a departure the last statement was sent to
 * the upstream, at most.
 */
struct ObserveDeparture
{
  Duration span;
};

/** Relays a statement to the host. */
struct RelayStatement
{
  std::string host;
  RelayedStatement statement;
};

/** Tells the host that what was relayed to it has been given up. */
struct EndRelay
{
  std::string host;
  RelayedEnd end;
};

/** Replies to a statement that another host relayed. */
struct AnswerRelay
{
  RelayLinkId link = 0;
  RelayedReply reply;
};

/** Sends another host a request about customers' limits; it may be lost. */
struct SendLimitRequest
{
  std::string host;
  LimitRequest request;
};

struct SendLimitReply
{
  std::string host;
  LimitReply reply;
};

/** Sends another host a request to fence a term; it may be lost. */
struct SendFenceRequest
{
  std::string host;
  FenceRequest request;
};

struct SendFenceReply
{
  std::string host;
  FenceReply reply;
};

/** Adds to the metrics what became of an operation of a limited customer. */
struct ObservePermit
{
  PermitResult result = PermitResult::Granted;
  bool hasWaited = false; // for a reply of the host that counts
};

using ProxyAction = std::variant<ConfirmSession,
                                 AnswerCaller,
                                 StopReading,
                                 EndSession,
                                 OpenLink,
                                 CloseLink,
                                 SendToUpstream,
                                 RequestPromotion,
                                 RecordGroup,
                                 LogDecision,
                                 ObserveDeparture,
                                 ObserveLatency,
                                 RelayStatement,
                                 EndRelay,
                                 AnswerRelay,
                                 SendLimitRequest,
                                 SendLimitReply,
                                 SendFenceRequest,
                                 SendFenceReply,
                                 ObservePermit>;

using ProxyActions = std::vector<ProxyAction>;

} // namespace marigoldpitch

#endif
