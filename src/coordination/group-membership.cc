#include "marigoldpitch/coordination/group-membership.h"

#include <algorithm>

namespace marigoldpitch {

void
GroupMembership::SetListed(UpstreamIndex aUpstream, bool aIsListed, Time aNow)
{
  Standing& standing = this->standings[aUpstream];
  standing.isListed = aIsListed;
  standing.isSucceeded = standing.isSucceeded && !aIsListed;
  standing.wasListed = standing.wasListed || aIsListed;
  standing.missingSince =
    aIsListed ? kInfiniteFuture : std::min(standing.missingSince, aNow);
}

void
GroupMembership::TakeRecord(uint64_t aRevision,
                            const std::vector<UpstreamIndex>& aMembers,
                            Time aNow)
{
  if (aRevision <= this->revision) {
    return;
  }
  this->revision = aRevision;
  for (Standing& standing : this->standings) {
    standing.wasRecorded = standing.wasRecorded || standing.isRecorded;
    standing.isRecorded = false;
  }
  for (UpstreamIndex member : aMembers) {
    Standing& standing = this->standings[member];
    standing.isRecorded = true;
    if (!standing.isListed) {
      standing.missingSince = std::min(standing.missingSince, aNow);
    }
  }
}

bool
GroupMembership::MayConfirm(UpstreamIndex aUpstream, Time aNow) const
{
  const Standing& standing = this->standings[aUpstream];
  if (standing.isSucceeded) {
    return false;
  }
  if (standing.isListed || standing.isRecorded) {
    return true;
  }
  return standing.wasListed && !standing.wasRecorded &&
         aNow - standing.missingSince < kMayStillConfirm;
}

} // namespace marigoldpitch
