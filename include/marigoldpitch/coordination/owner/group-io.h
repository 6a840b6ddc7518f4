#ifndef MARIGOLDPITCH_COORDINATION_OWNER_GROUP_IO_H
#define MARIGOLDPITCH_COORDINATION_OWNER_GROUP_IO_H

#include "marigoldpitch/coordination/owner/upstream-call.h"
#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/log-event.h"
#include "marigoldpitch/state/request.h"
#include "marigoldpitch/state/upstream-status.h"

#include <string>
#include <variant>
#include <vector>

/** All events and actions of a group's owner. */
namespace marigoldpitch {

// Events.

struct RequestArrived
{
  RequestHandle handle = 0;
  Request request;
};

struct RequestCancelled
{
  RequestHandle handle = 0;
};

struct ConnectionOpened
{
  ConnectionId connection = 0;
};

struct ConnectionLost
{
  ConnectionId connection = 0;
  SqlErrorClass failure = SqlErrorClass::None;
  std::string reason;
};

struct BatchFinished
{
  ConnectionId connection = 0;
  uint64_t sequence = 0;
  BatchResult result;
};

struct StatusAnswered
{
  UpstreamIndex upstream = 0;
  uint64_t probe = 0;
  UpstreamStatus status;
};

struct StatusFailed
{
  UpstreamIndex upstream = 0;
  uint64_t probe = 0;
};

struct TermAdopted
{
  UpstreamIndex upstream = 0;
  Term term = 0;
  AdoptedLog log;
};

struct TermRefused
{
  UpstreamIndex upstream = 0;
  Term term = 0;
  Term current = 0;
};

struct Promoted
{
  UpstreamIndex upstream = 0;
  Term term = 0;
  Position start = 0;
};

/** The upstream refused the promotion or did not answer. */
struct PromotionFailed
{
  UpstreamIndex upstream = 0;
  Term term = 0;
};

/** Terms `first` to `last` are reserved for this owner only. */
struct TermsGranted
{
  Term first = 0;
  Term last = 0;
};

struct UpstreamListedLeaving
{
  UpstreamIndex upstream = 0;
  bool leaving = false;
};

struct DrainRequested
{};

struct Tick
{};

using GroupEvent = std::variant<RequestArrived,
                                RequestCancelled,
                                ConnectionOpened,
                                ConnectionLost,
                                BatchFinished,
                                StatusAnswered,
                                StatusFailed,
                                TermAdopted,
                                TermRefused,
                                Promoted,
                                PromotionFailed,
                                TermsGranted,
                                UpstreamListedLeaving,
                                DrainRequested,
                                Tick>;

// Actions.

struct OpenConnection
{
  ConnectionId connection = 0;
  UpstreamIndex upstream = 0;
};

/**
 * Closes the connection on both sides. The close may not reach the upstream
 * over the connection itself, so the upstream is also told over another one.
 */
struct CloseConnection
{
  ConnectionId connection = 0;
};

struct RunBatch
{
  ConnectionId connection = 0;
  uint64_t sequence = 0;
  Batch batch;
};

struct SendAnswer
{
  RequestHandle handle = 0;
  Answer answer;
};

/** Probes an upstream; with `useNewConnection` over a new connection. */
struct ProbeUpstream
{
  UpstreamIndex upstream = 0;
  uint64_t probe = 0;
  bool useNewConnection = false;
};

struct AdoptTerm
{
  UpstreamIndex upstream = 0;
  Term term = 0;
};

struct Promote
{
  UpstreamIndex upstream = 0;
  Term term = 0;
};

struct Follow
{
  UpstreamIndex upstream = 0;
  Term term = 0;
  UpstreamIndex primary = 0;
};

/** Requests terms above `above` from the platform's store. */
struct ReserveTerms
{
  Term above = 0;
};

/** Writes a log line. */
struct AddLogLine
{
  LogEvent event = LogEvent::Started;
  std::string text;
};

enum class Observation
{
  ReplicaRead,
  PrimaryRead,
  FallbackRead, // of the primary, though staleness was accepted
  Retry,
  Failover,
};

/** Adds an observation to the metrics, with a duration where it has one. */
struct Observe
{
  Observation observation = Observation::Retry;
  Duration span;
};

using GroupAction = std::variant<OpenConnection,
                                 CloseConnection,
                                 RunBatch,
                                 SendAnswer,
                                 ProbeUpstream,
                                 AdoptTerm,
                                 Promote,
                                 Follow,
                                 ReserveTerms,
                                 AddLogLine,
                                 Observe>;

using GroupActions = std::vector<GroupAction>;

} // namespace marigoldpitch

#endif
