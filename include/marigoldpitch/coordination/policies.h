#ifndef MARIGOLDPITCH_COORDINATION_POLICIES_H
#define MARIGOLDPITCH_COORDINATION_POLICIES_H

#include "marigoldpitch/coordination/group-view.h"
#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/request.h"

#include <memory>
#include <optional>
#include <string>

/** The decisions that vary, as abstract interfaces with their defaults. */
namespace marigoldpitch {

/** What a read needs of the copy that serves it. */
struct ReadNeed
{
  LogPoint seen;
  bool primaryOnly = false;
  bool primaryIsWanted = false; // by work that nothing else can serve
  std::optional<Duration> maxAge;
  std::string zone;
  Time arrived;
  Time deadline;
};

enum class RouteKind
{
  Upstream,
  Wait,
};

struct Route
{
  RouteKind kind = RouteKind::Wait;
  UpstreamIndex upstream = 0;
  bool lacksFreshness = false; // a newer status might change the choice
};

class RoutingPolicy
{
public:
  virtual ~RoutingPolicy() = default;
  virtual Route Choose(const GroupConfig& aConfig,
                       const GroupView& aView,
                       const ConnectionTable& aConnections,
                       const ReadNeed& aNeed,
                       Time aNow) const = 0;

  /** Whether what a replica showed meets the need; checked after the read. */
  virtual bool Accepts(const GroupView& aView,
                       const ReadNeed& aNeed,
                       const UpstreamStatus& aShown,
                       Time aNow) const = 0;
};

/** Fresh replicas first, the caller's zone before others, then the primary. */
std::unique_ptr<RoutingPolicy>
MakeFreshReplicaRouting();

/** Every read goes to the primary: the baseline. */
std::unique_ptr<RoutingPolicy>
MakePrimaryOnlyRouting();

/** Which statuses, asked after a commit, confirm it. */
class ConfirmationPolicy
{
public:
  virtual ~ConfirmationPolicy() = default;
  virtual bool Counts(const LogPoint& aPoint,
                      const UpstreamStatus& aStatus) const = 0;

  /** Confirming upstreams needed besides the primary. */
  virtual size_t Needed(size_t aMajority) const = 0;
};

std::unique_ptr<ConfirmationPolicy>
MakeConfirmation(Acknowledge aAcknowledge);

/** Whether a primary counts as failed. */
class SuspicionPolicy
{
public:
  virtual ~SuspicionPolicy() = default;
  virtual bool IsDown(const GroupConfig& aConfig,
                      const GroupView& aView,
                      Time aNow) const = 0;
};

/** Own silence over a fresh connection, and a majority of agreeing replicas. */
std::unique_ptr<SuspicionPolicy>
MakeAgreedSuspicion();

/** How much work is ahead of a new request. */
struct QueueLoad
{
  size_t ahead = 0;     // queued work that goes before it
  size_t slots = 0;     // slots of the upstreams that can serve it
  double serviceMs = 1; // usual time of one statement
};

class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;
  virtual bool Admits(const QueueLoad& aLoad, Duration aTimeLeft) const = 0;

  /** Whether urgent work goes before older work. */
  virtual bool OrdersByPriority() const = 0;
};

/** Refuses at once what cannot finish in time. */
std::unique_ptr<AdmissionPolicy>
MakeDeadlineAdmission();

/** First in, first out, no admission: the baseline. */
std::unique_ptr<AdmissionPolicy>
MakeFifoAdmission();

struct Policies
{
  std::unique_ptr<RoutingPolicy> routing;
  std::unique_ptr<ConfirmationPolicy> confirmation;
  std::unique_ptr<SuspicionPolicy> suspicion;
  std::unique_ptr<AdmissionPolicy> admission;
};

Policies
MakeDefaultPolicies(const GroupConfig& aConfig);

} // namespace marigoldpitch

#endif
