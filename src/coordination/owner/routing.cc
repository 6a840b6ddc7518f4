#include "marigoldpitch/coordination/owner/policies.h"

namespace marigoldpitch {

namespace detail {

bool
HasCapacity(const ConnectionTable& aConnections, UpstreamIndex aUpstream)
{
  return aConnections.HasFreeSlot(aUpstream) &&
         (aConnections.FindIdle(aUpstream) || aConnections.CanOpen(aUpstream));
}

bool
IsFreshEnough(const GroupView& aView,
              const ReadRequirements& aRequirements,
              const LogProgress& aCopy,
              Time aNow)
{
  if (!aCopy.Covers(aRequirements.seen)) {
    return false;
  }
  auto age = aView.AgeOf(aCopy, aNow);
  return age && *age <= *aRequirements.maxAge;
}

Route
ToPrimary(const GroupView& aView, const ConnectionTable& aConnections)
{
  auto primary = aView.Primary();
  if (!primary || aView.At(*primary).Leaving() ||
      !HasCapacity(aConnections, *primary)) {
    return {};
  }
  return { RouteKind::Upstream, *primary, false };
}

class FreshReplicaRouting : public RoutingPolicy
{
public:
  Route Choose(const GroupConfig& aConfig,
               const GroupView& aView,
               const ConnectionTable& aConnections,
               const ReadRequirements& aRequirements,
               Time aNow) const override
  {
    if (aRequirements.primaryOnly || !aRequirements.maxAge) {
      return ToPrimary(aView, aConnections);
    }
    bool foundFresh = false;
    auto best = std::optional<UpstreamIndex>();
    for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
      if (!aView.IsServingReplica(i) ||
          !IsFreshEnough(aView,
                         aRequirements,
                         aView.At(i).status->VisibleProgress(),
                         aNow)) {
        continue;
      }
      foundFresh = true;
      if (HasCapacity(aConnections, i) &&
          (!best || IsBetter(aConfig, aConnections, aRequirements, i, *best))) {
        best = i;
      }
    }
    if (best) {
      return { RouteKind::Upstream, *best, false };
    }
    Route route;
    if (!aRequirements.hasQueuedPrimaryWork &&
        this->MayUsePrimary(aRequirements, foundFresh, aNow)) {
      route = ToPrimary(aView, aConnections);
    }
    route.hasNoFreshReplica = !foundFresh;
    return route;
  }

  bool Accepts(const GroupView& aView,
               const ReadRequirements& aRequirements,
               const UpstreamStatus& aReported,
               Time aNow) const override
  {
    return aReported.role != Role::Primary &&
           aView.IsOnCurrentLog(aReported.VisibleProgress()) &&
           IsFreshEnough(
             aView, aRequirements, aReported.VisibleProgress(), aNow);
  }

private:
  static bool IsBetter(const GroupConfig& aConfig,
                       const ConnectionTable& aConnections,
                       const ReadRequirements& aRequirements,
                       UpstreamIndex aLeft,
                       UpstreamIndex aRight)
  {
    bool leftNear = aConfig.upstreams[aLeft].zone == aRequirements.zone;
    bool rightNear = aConfig.upstreams[aRight].zone == aRequirements.zone;
    if (leftNear != rightNear) {
      return leftNear;
    }
    return aConnections.UsageOf(aLeft).busy < aConnections.UsageOf(aRight).busy;
  }

  /**
   * Whether a read that accepts staleness has waited long enough for a replica:
   * half of its time if fresh replicas exist but are busy, a quarter if none is
   * fresh enough. This keeps the primary free for work that needs it.
   */
  static bool MayUsePrimary(const ReadRequirements& aRequirements,
                            bool aFoundFresh,
                            Time aNow)
  {
    Duration totalTime = aRequirements.deadline - aRequirements.arrived;
    int64_t divisor = aFoundFresh ? 2 : 4;
    return aNow - aRequirements.arrived >= Duration{ totalTime.ms / divisor };
  }
};

class PrimaryOnlyRouting : public RoutingPolicy
{
public:
  Route Choose(const GroupConfig&,
               const GroupView& aView,
               const ConnectionTable& aConnections,
               const ReadRequirements&,
               Time) const override
  {
    return ToPrimary(aView, aConnections);
  }

  bool Accepts(const GroupView&,
               const ReadRequirements&,
               const UpstreamStatus&,
               Time) const override
  {
    return false;
  }
};

} // namespace detail

std::unique_ptr<RoutingPolicy>
MakeFreshReplicaRouting()
{
  return std::make_unique<detail::FreshReplicaRouting>();
}

std::unique_ptr<RoutingPolicy>
MakePrimaryOnlyRouting()
{
  return std::make_unique<detail::PrimaryOnlyRouting>();
}

} // namespace marigoldpitch
