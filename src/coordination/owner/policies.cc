#include "marigoldpitch/coordination/owner/policies.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

class ReplicaConfirmation : public ConfirmationPolicy
{
public:
  bool Counts(const LogPoint& aPoint,
              const UpstreamStatus& aStatus) const override
  {
    return aStatus.role == Role::Replica && aStatus.term == aPoint.term &&
           aStatus.received >= aPoint.position;
  }

  size_t Needed(size_t aMajority) const override { return aMajority - 1; }
};

class TermConfirmation : public ConfirmationPolicy
{
public:
  bool Counts(const LogPoint& aPoint,
              const UpstreamStatus& aStatus) const override
  {
    return aStatus.role == Role::Replica && aStatus.term == aPoint.term;
  }

  size_t Needed(size_t aMajority) const override { return aMajority - 1; }
};

// Upstreams send each other a heartbeat every 50 ms.
constexpr Duration kUnreachableThreshold = kUpstreamSilence;
// For a primary that answers this owner but is cut off from its replicas. It
// cannot get anything confirmed, but the partition may be short, so the
// threshold is longer.
constexpr Duration kReachableThreshold = Millis(600);
// A replica's status counts for this long after its last answer.
constexpr Duration kMaxStatusAge = Millis(400);

class QuorumSuspicion : public SuspicionPolicy
{
public:
  bool IsDown(const GroupConfig& aConfig,
              const GroupView& aView,
              Time aNow) const override
  {
    auto primary = aView.Primary();
    bool primaryAnswers = primary && !aView.IsSilent(*primary, aNow);
    Duration silence =
      primaryAnswers ? kReachableThreshold : kUnreachableThreshold;
    size_t agreeing = 0;
    for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
      if (primary && i == *primary) {
        continue;
      }
      const UpstreamView& upstream = aView.At(i);
      if (!this->IsRecent(upstream, aNow)) {
        continue;
      }
      if (upstream.status->sincePrimaryContact < silence) {
        return false;
      }
      ++agreeing;
    }
    return agreeing >= aConfig.Majority();
  }

private:
  static bool IsRecent(const UpstreamView& aView, Time aNow)
  {
    return aView.status && aView.failures == 0 &&
           aNow - aView.lastAnswer <= kMaxStatusAge;
  }
};

} // namespace detail

std::unique_ptr<ConfirmationPolicy>
MakeConfirmation(Acknowledge aAcknowledge)
{
  if (aAcknowledge == Acknowledge::AfterPrimary) {
    return std::make_unique<detail::TermConfirmation>();
  }
  return std::make_unique<detail::ReplicaConfirmation>();
}

std::unique_ptr<SuspicionPolicy>
MakeQuorumSuspicion()
{
  return std::make_unique<detail::QuorumSuspicion>();
}

Policies
MakeDefaultPolicies(const GroupConfig& aConfig)
{
  Policies policies;
  policies.routing = MakeFreshReplicaRouting();
  policies.confirmation = MakeConfirmation(aConfig.acknowledge);
  policies.suspicion = MakeQuorumSuspicion();
  policies.admission = MakeDeadlineAdmission();
  return policies;
}

} // namespace marigoldpitch
