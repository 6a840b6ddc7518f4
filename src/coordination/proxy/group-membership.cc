#include "marigoldpitch/coordination/proxy/group-membership.h"

#include <algorithm>

namespace marigoldpitch {

void
GroupMembership::SetListed(UpstreamIndex aUpstream, bool aIsListed, Time aNow)
{
  MemberState& state = this->memberStates[aUpstream];
  state.isListed = aIsListed;
  state.isReplaced = state.isReplaced && !aIsListed;
  state.wasListed = state.wasListed || aIsListed;
  state.unlistedSince =
    aIsListed ? kInfiniteFuture : std::min(state.unlistedSince, aNow);
}

void
GroupMembership::ApplyRecord(uint64_t aRevision,
                             const std::vector<UpstreamIndex>& aMembers,
                             Time aNow)
{
  if (aRevision <= this->revision) {
    return;
  }
  this->revision = aRevision;
  for (MemberState& state : this->memberStates) {
    state.wasRecorded = state.wasRecorded || state.isRecorded;
    state.isRecorded = false;
  }
  for (UpstreamIndex member : aMembers) {
    MemberState& state = this->memberStates[member];
    state.isRecorded = true;
    if (!state.isListed) {
      state.unlistedSince = std::min(state.unlistedSince, aNow);
    }
  }
}

bool
GroupMembership::MayConfirm(UpstreamIndex aUpstream, Time aNow) const
{
  const MemberState& state = this->memberStates[aUpstream];
  if (state.isReplaced) {
    return false;
  }
  if (state.isListed || state.isRecorded) {
    return true;
  }
  return state.wasListed && !state.wasRecorded &&
         aNow - state.unlistedSince < kAbsentMemberTimeout;
}

} // namespace marigoldpitch
