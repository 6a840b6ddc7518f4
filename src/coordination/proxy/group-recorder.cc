#include "marigoldpitch/coordination/proxy/group-recorder.h"

namespace marigoldpitch {

namespace detail {

// Upstreams that start together register within this time of each other.
constexpr Duration kRegistrationSettleTime = Millis(2500);
// Time between two writes: enough to read the written record back before the
// next one is decided.
constexpr Duration kWriteInterval = Millis(1500);
// With fewer members, no commit would be in the logs of two members.
constexpr size_t kMinMembers = 2;
// How often an unlisted member is sent a status request.
constexpr Duration kProbeInterval = Millis(1000);

GroupMember
MemberOf(const ServiceView& aView, UpstreamIndex aUpstream)
{
  const RegisteredUpstream& registration = aView.At(aUpstream).registration;
  return { registration.id,
           registration.endpoint,
           registration.zone,
           aView.Members().CompleteIncarnation(aUpstream) };
}

GroupRecord
RecordOf(const ServiceView& aView,
         std::optional<UpstreamIndex> aAdded,
         std::optional<UpstreamIndex> aDropped)
{
  GroupRecord record;
  record.position = aView.Members().Position();
  record.order = aView.Members().NextOrder();
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    bool isIn = aView.Members().IsRecorded(i) || aAdded == i;
    if (isIn && aDropped != i) {
      record.members.push_back(MemberOf(aView, i));
    }
  }
  return record;
}

} // namespace detail

std::optional<GroupRecord>
GroupRecorder::Update(ServiceView& aView, Time aNow)
{
  if (aNow < this->nextWrite) {
    return std::nullopt;
  }
  std::optional<GroupRecord> record;
  if (!aView.Members().IsKnown(aNow)) {
    record = this->InitialRecord(aView, aNow);
  } else if (auto added = FindUnrecorded(aView)) {
    record = detail::RecordOf(aView, added, std::nullopt);
  } else if (auto dropped = FindRemovable(aView, aNow)) {
    record = detail::RecordOf(aView, std::nullopt, dropped);
  } else if (HasNewIncarnation(aView) || aView.Members().NeedsRewrite()) {
    record = detail::RecordOf(aView, std::nullopt, std::nullopt);
  }
  if (record) {
    this->nextWrite = aNow + detail::kWriteInterval;
  }
  return record;
}

/**
 * All known members, once a primary has been proved and no new upstream has
 * been seen for `kRegistrationSettleTime`; unset until then.
 */
std::optional<GroupRecord>
GroupRecorder::InitialRecord(const ServiceView& aView, Time aNow)
{
  if (aView.Size() != this->knownUpstreams) {
    this->knownUpstreams = aView.Size();
    this->lastNewUpstream = aNow;
  }
  bool isSettled =
    aNow - this->lastNewUpstream >= detail::kRegistrationSettleTime;
  auto primary = aView.Primary();
  bool isPrimaryProved = primary && aView.NewestProofAsked() != kInfinitePast;
  if (!isPrimaryProved || !isSettled) {
    return std::nullopt;
  }
  GroupRecord record;
  record.position = aView.Members().Position();
  record.order = aView.Members().NextOrder();
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    if (aView.Members().MayConfirm(i, aNow)) {
      record.members.push_back(detail::MemberOf(aView, i));
    }
  }
  return record;
}

/** A listed upstream that the record lacks; it is added. */
std::optional<UpstreamIndex>
GroupRecorder::FindUnrecorded(const ServiceView& aView)
{
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    if (aView.Members().IsListed(i) && !aView.Members().IsRecorded(i)) {
      return i;
    }
  }
  return std::nullopt;
}

/**
 * Whether the log of a listed member is known to be complete in a newer
 * incarnation than the recorded one. Requests the reports that are needed to
 * find that out.
 */
bool
GroupRecorder::HasNewIncarnation(ServiceView& aView)
{
  bool isFound = false;
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    const GroupMembership& members = aView.Members();
    if (!members.IsRecorded(i) || !members.IsListed(i)) {
      continue;
    }
    if (members.HasUnverifiedLog(i) && aView.Primary()) {
      aView.At(i).reportWanted = true;
      aView.At(*aView.Primary()).reportWanted = true;
    }
    isFound = isFound ||
              members.CompleteIncarnation(i) != members.RecordedIncarnation(i);
  }
  return isFound;
}

/**
 * A recorded member to drop. Requests the reports that are needed to decide
 * about the members that cannot be dropped yet. The member must be unlisted,
 * and either another upstream has registered at its address, or it has been
 * unlisted and failing for `kAbsentMemberTimeout` and `MayDoWithout` is true
 * for it. Until then it, or its successor with its address and its log, may
 * come back and confirm commits before any host has listed it.
 */
std::optional<UpstreamIndex>
GroupRecorder::FindRemovable(ServiceView& aView, Time aNow)
{
  size_t recorded = 0;
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    recorded += aView.Members().IsRecorded(i) ? 1 : 0;
  }
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    bool isUnlisted =
      aView.Members().IsRecorded(i) && !aView.Members().IsListed(i);
    if (!isUnlisted) {
      continue;
    }
    ProxyUpstream& upstream = aView.At(i);
    if (aView.Members().IsReplaced(i)) {
      return i;
    }
    if (aNow - upstream.lastAsked >= detail::kProbeInterval) {
      upstream.reportWanted = true;
    }
    bool isAbsent =
      aNow - aView.UnlistedAndFailingSince(i) >= kAbsentMemberTimeout;
    if (isAbsent && MayDoWithout(aView, i, recorded, aNow)) {
      return i;
    }
    aView.RequestReportsSince(aNow - detail::kProbeInterval);
  }
  return std::nullopt;
}

/**
 * Whether the group can do without the member, which is absent. While the
 * primary answers, `AreCommitsContainedWithout` has to be true. Otherwise
 * nothing can show that; the member must not be the known primary, and more
 * than `kMinMembers` must be recorded.
 */
bool
GroupRecorder::MayDoWithout(const ServiceView& aView,
                            UpstreamIndex aUpstream,
                            size_t aRecorded,
                            Time aNow)
{
  auto primary = aView.Primary();
  if (primary && !aView.IsFailingLong(*primary, aNow)) {
    return AreCommitsContainedWithout(aView, aUpstream, aNow);
  }
  return primary != aUpstream && aRecorded > detail::kMinMembers;
}

/**
 * Whether the logs of the primary and of a replica of the current term, other
 * than the unlisted member and both listed and recorded, contain every commit
 * that this member may have confirmed. The primary must be proved at the time
 * of its last known log end. `CoversCommitsOf` alone does not ask for that
 * proof, because during a promotion the primary is the upstream that is being
 * replaced.
 */
bool
GroupRecorder::AreCommitsContainedWithout(const ServiceView& aView,
                                          UpstreamIndex aUpstream,
                                          Time aNow)
{
  bool isProved = aView.Primary() &&
                  aView.IsPrimaryProvedAt(aView.PrimaryLogEnd().asked, aNow);
  if (!isProved) {
    return false;
  }
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    const ProxyUpstream& other = aView.At(i);
    bool isOther = i != aUpstream && i != *aView.Primary() &&
                   aView.Members().IsRecorded(i) && aView.Members().IsListed(i);
    bool follows = other.report && other.report->role == Role::Replica &&
                   other.report->term == aView.CurrentTerm();
    if (isOther && follows &&
        aView.CoversCommitsOf(aUpstream, other.report->logEnd)) {
      return true;
    }
  }
  return false;
}

} // namespace marigoldpitch
