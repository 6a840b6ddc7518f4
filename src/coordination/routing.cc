#include "marigoldpitch/coordination/policies.h"

namespace marigoldpitch {

namespace detail {

bool
HasRoom(const ConnectionTable& aConnections, UpstreamIndex aUpstream)
{
  return aConnections.HasFreeSlot(aUpstream) &&
         (aConnections.FindIdle(aUpstream) || aConnections.CanOpen(aUpstream));
}

bool
IsFreshEnough(const GroupView& aView,
              const ReadNeed& aNeed,
              const LogProgress& aCopy,
              Time aNow)
{
  if (!aCopy.Covers(aNeed.seen)) {
    return false;
  }
  auto age = aView.AgeOf(aCopy, aNow);
  return age && *age <= *aNeed.maxAge;
}

Route
ToPrimary(const GroupView& aView, const ConnectionTable& aConnections)
{
  auto primary = aView.Primary();
  if (!primary || aView.At(*primary).Leaving() ||
      !HasRoom(aConnections, *primary)) {
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
               const ReadNeed& aNeed,
               Time aNow) const override
  {
    if (aNeed.primaryOnly || !aNeed.maxAge) {
      return ToPrimary(aView, aConnections);
    }
    bool foundFresh = false;
    auto best = std::optional<UpstreamIndex>();
    for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
      if (!aView.IsServingReplica(i) ||
          !IsFreshEnough(
            aView, aNeed, aView.At(i).status->VisibleProgress(), aNow)) {
        continue;
      }
      foundFresh = true;
      if (HasRoom(aConnections, i) &&
          (!best || IsBetter(aConfig, aConnections, aNeed, i, *best))) {
        best = i;
      }
    }
    if (best) {
      return { RouteKind::Upstream, *best, false };
    }
    Route route;
    if (!aNeed.primaryIsWanted &&
        this->MayUsePrimary(aNeed, foundFresh, aNow)) {
      route = ToPrimary(aView, aConnections);
    }
    route.lacksFreshness = !foundFresh;
    return route;
  }

  bool Accepts(const GroupView& aView,
               const ReadNeed& aNeed,
               const UpstreamStatus& aShown,
               Time aNow) const override
  {
    return aShown.role != Role::Primary &&
           aView.IsOnCurrentLog(aShown.VisibleProgress()) &&
           IsFreshEnough(aView, aNeed, aShown.VisibleProgress(), aNow);
  }

private:
  static bool IsBetter(const GroupConfig& aConfig,
                       const ConnectionTable& aConnections,
                       const ReadNeed& aNeed,
                       UpstreamIndex aLeft,
                       UpstreamIndex aRight)
  {
    bool leftNear = aConfig.upstreams[aLeft].zone == aNeed.zone;
    bool rightNear = aConfig.upstreams[aRight].zone == aNeed.zone;
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
  static bool MayUsePrimary(const ReadNeed& aNeed, bool aFoundFresh, Time aNow)
  {
    Duration whole = aNeed.deadline - aNeed.arrived;
    int64_t share = aFoundFresh ? 2 : 4;
    return aNow - aNeed.arrived >= Duration{ whole.ms / share };
  }
};

class PrimaryOnlyRouting : public RoutingPolicy
{
public:
  Route Choose(const GroupConfig&,
               const GroupView& aView,
               const ConnectionTable& aConnections,
               const ReadNeed&,
               Time) const override
  {
    return ToPrimary(aView, aConnections);
  }

  bool Accepts(const GroupView&,
               const ReadNeed&,
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
