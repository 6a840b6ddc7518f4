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
GroupMembership::SetIncarnation(UpstreamIndex aUpstream,
                                uint64_t aIncarnation,
                                Time aNow)
{
  MemberState& state = this->memberStates[aUpstream];
  if (state.incarnation == aIncarnation) {
    return;
  }
  state.incarnation = aIncarnation;
  state.unverifiedSince = aNow;
  if (state.firstIncarnation == 0) {
    state.firstIncarnation = aIncarnation;
  }
}

void
GroupMembership::NoteLostLog(UpstreamIndex aUpstream, Time aNow)
{
  MemberState& state = this->memberStates[aUpstream];
  state.hasLostLog = true;
  state.unverifiedSince = aNow;
}

void
GroupMembership::NoteCompleteLog(UpstreamIndex aUpstream)
{
  MemberState& state = this->memberStates[aUpstream];
  state.completeIncarnation = state.incarnation;
  state.hasLostLog = false;
}

bool
GroupMembership::HasUnverifiedLog(UpstreamIndex aUpstream) const
{
  const MemberState& state = this->memberStates[aUpstream];
  bool isComplete = state.incarnation == state.recordedIncarnation ||
                    state.incarnation == state.completeIncarnation;
  // Without a recorded incarnation there is nothing to compare the first one
  // with.
  bool isFirst = state.recordedIncarnation == 0 &&
                 state.incarnation == state.firstIncarnation;
  return state.hasLostLog ||
         (state.incarnation != 0 && !isComplete && !isFirst);
}

uint64_t
GroupMembership::CompleteIncarnation(UpstreamIndex aUpstream) const
{
  const MemberState& state = this->memberStates[aUpstream];
  if (!this->HasUnverifiedLog(aUpstream) && state.incarnation != 0) {
    return state.incarnation;
  }
  return state.recordedIncarnation != 0 ? state.recordedIncarnation
                                        : state.firstIncarnation;
}

void
GroupMembership::ApplyRecord(const StorePosition& aPosition,
                             const RecordOrder& aOrder,
                             const std::vector<RecordedMember>& aMembers,
                             Time aNow)
{
  if (aPosition <= this->position) {
    return;
  }
  this->position = aPosition;
  this->isStoredOutdated = !aOrder.IsUnset() && aOrder < this->order;
  if (this->isStoredOutdated) {
    return;
  }
  bool isOfAnotherEra = this->hasRecord && this->order.era < aOrder.era;
  bool isFromCopy = !aOrder.IsUnset() && aOrder.era < aPosition.era;
  if (!this->hasRecord && isFromCopy) {
    this->completeFrom = aNow + kRegistryRewriteTime;
  }
  if (this->HasNoRecord()) {
    this->firstRecordedAt = aNow;
  }
  this->order = aOrder;
  this->hasRecord = true;
  for (MemberState& state : this->memberStates) {
    if (state.isRecorded && isOfAnotherEra) {
      // The writer of the record may not have known this member.
      state.carriedUntil = aNow + kAbsentMemberTimeout;
    }
    state.wasRecorded = state.wasRecorded || state.isRecorded;
    state.isRecorded = false;
  }
  for (const RecordedMember& member : aMembers) {
    MemberState& state = this->memberStates[member.upstream];
    state.isRecorded = true;
    state.recordedIncarnation = member.incarnation;
    if (!state.isListed) {
      state.unlistedSince = std::min(state.unlistedSince, aNow);
    }
  }
}

void
GroupMembership::NoteMissingRecord(uint64_t aEra)
{
  this->isRecordMissing = true;
  if (this->position.era < aEra) {
    this->position = { aEra, 0 };
  }
}

bool
GroupMembership::MayConfirm(UpstreamIndex aUpstream, Time aNow) const
{
  const MemberState& state = this->memberStates[aUpstream];
  if (state.isReplaced) {
    return false;
  }
  if (state.isListed || state.isRecorded || aNow < state.carriedUntil) {
    return true;
  }
  return state.wasListed && !state.wasRecorded &&
         aNow - state.unlistedSince < kAbsentMemberTimeout;
}

} // namespace marigoldpitch
