#ifndef MARIGOLDPITCH_COORDINATION_OWNER_POLICIES_H
#define MARIGOLDPITCH_COORDINATION_OWNER_POLICIES_H

#include "marigoldpitch/coordination/common/admission.h"
#include "marigoldpitch/coordination/owner/group-view.h"
#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/request.h"

#include <memory>
#include <optional>
#include <string>

/** Replaceable decisions as abstract interfaces, and their defaults. */
namespace marigoldpitch {

/** What a read requires of the upstream that serves it. */
struct ReadRequirements
{
  LogPoint seen; // everything up to this point must be visible
  bool primaryOnly = false;
  // Whether work that only the primary can serve is queued.
  bool hasQueuedPrimaryWork = false;
  std::optional<Duration> maxAge; // unset: only the primary may serve it
  std::string zone;               // the caller's availability zone
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
  bool hasNoFreshReplica = false; // no replica was fresh enough; probe them
};

/** Chooses the upstream that serves a read. */
class RoutingPolicy
{
public:
  virtual ~RoutingPolicy() = default;

  /** The upstream for the read, or `RouteKind::Wait` if it must stay queued. */
  virtual Route Choose(const GroupConfig& aConfig,
                       const GroupView& aView,
                       const ConnectionTable& aConnections,
                       const ReadRequirements& aRequirements,
                       Time aNow) const = 0;

  /**
   * Whether the status `aReported`, which a replica reported after the read,
   * meets the requirements.
   */
  virtual bool Accepts(const GroupView& aView,
                       const ReadRequirements& aRequirements,
                       const UpstreamStatus& aReported,
                       Time aNow) const = 0;
};

/**
 * Prefers replicas that are fresh enough: those in the caller's zone first,
 * then the least busy. The primary serves reads that accept no staleness. It
 * serves others only after they have waited for a replica for part of their
 * time, and while no work that needs the primary is queued.
 */
std::unique_ptr<RoutingPolicy>
MakeFreshReplicaRouting();

/** Sends every read to the primary; the baseline for comparisons. */
std::unique_ptr<RoutingPolicy>
MakePrimaryOnlyRouting();

/** Decides which statuses, requested after a commit, confirm the commit. */
class ConfirmationPolicy
{
public:
  virtual ~ConfirmationPolicy() = default;

  /** Whether the status confirms the log point. */
  virtual bool Counts(const LogPoint& aPoint,
                      const UpstreamStatus& aStatus) const = 0;

  /** Number of confirming upstreams needed in addition to the primary. */
  virtual size_t Needed(size_t aMajority) const = 0;
};

/**
 * For `AfterReplica`, a majority must hold the log up to the commit. For
 * `AfterPrimary`, a majority need only still follow the primary in its term.
 */
std::unique_ptr<ConfirmationPolicy>
MakeConfirmation(Acknowledge aAcknowledge);

/** Decides whether the primary counts as failed. */
class SuspicionPolicy
{
public:
  virtual ~SuspicionPolicy() = default;
  virtual bool IsDown(const GroupConfig& aConfig,
                      const GroupView& aView,
                      Time aNow) const = 0;
};

/**
 * The primary counts as failed when other upstreams, as many as a majority of
 * the group, have reported recently that they have not heard from it for a
 * threshold time, and none with a recent status has heard from it since. The
 * threshold is longer while this owner still gets answers from the primary.
 */
std::unique_ptr<SuspicionPolicy>
MakeQuorumSuspicion();

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
