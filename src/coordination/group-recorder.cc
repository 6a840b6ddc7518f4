#include "marigoldpitch/coordination/group-recorder.h"

namespace marigoldpitch {

namespace detail {

// Upstreams that start together register within this time of each other.
constexpr Duration kRegistrationSpan = Millis(2500);
// By then the record that was written has been read back.
constexpr Duration kWriteInterval = Millis(1500);
// With fewer members, no commit would be held twice.
constexpr size_t kFewestMembers = 2;
// How often a missing member is sent a status request.
constexpr Duration kProbeInterval = Millis(1000);

GroupMember
MemberOf(const ProxyUpstream& aUpstream)
{
  const RegisteredUpstream& entry = aUpstream.entry;
  return { entry.id, entry.endpoint, entry.zone };
}

GroupRecord
RecordOf(const ServiceView& aView,
         std::optional<UpstreamIndex> aAdded,
         std::optional<UpstreamIndex> aDropped)
{
  GroupRecord record;
  record.revision = aView.Members().Revision();
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    bool isIn = aView.Members().IsRecorded(i) || aAdded == i;
    if (isIn && aDropped != i) {
      record.members.push_back(MemberOf(aView.At(i)));
    }
  }
  return record;
}

} // namespace detail

std::optional<GroupRecord>
GroupRecorder::Step(ServiceView& aView, Time aNow)
{
  if (aNow < this->nextWrite) {
    return std::nullopt;
  }
  std::optional<GroupRecord> record;
  if (!aView.Members().IsKnown()) {
    record = this->FirstRecord(aView, aNow);
  } else if (auto added = FindUnrecorded(aView)) {
    record = detail::RecordOf(aView, added, std::nullopt);
  } else if (auto dropped = FindGone(aView, aNow)) {
    record = detail::RecordOf(aView, std::nullopt, dropped);
  }
  if (record) {
    this->nextWrite = aNow + detail::kWriteInterval;
  }
  return record;
}

/**
 * All known members, once a primary has been proved to lead and no upstream is
 * new for `kRegistrationSpan`; unset until then.
 */
std::optional<GroupRecord>
GroupRecorder::FirstRecord(const ServiceView& aView, Time aNow)
{
  if (aView.Size() != this->knownUpstreams) {
    this->knownUpstreams = aView.Size();
    this->lastNewUpstream = aNow;
  }
  bool isSettled = aNow - this->lastNewUpstream >= detail::kRegistrationSpan;
  auto primary = aView.Primary();
  bool isLed = primary && aView.ProvedAsked() != kInfinitePast;
  if (!isLed || !isSettled) {
    return std::nullopt;
  }
  GroupRecord record;
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    if (aView.Members().MayConfirm(i, aNow)) {
      record.members.push_back(detail::MemberOf(aView.At(i)));
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
 * A recorded member to drop. Its registry entry must be missing, and one of the
 * following must hold:
 *
 * - another upstream has registered at its address;
 * - `IsHeldWithout` is true for it;
 * - it has been gone for `kMayStillConfirm`, it is not the known primary, and
 *   more than `kFewestMembers` are recorded.
 */
std::optional<UpstreamIndex>
GroupRecorder::FindGone(ServiceView& aView, Time aNow)
{
  size_t recorded = 0;
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    recorded += aView.Members().IsRecorded(i) ? 1 : 0;
  }
  for (UpstreamIndex i = 0; i < aView.Size(); ++i) {
    bool isMissing =
      aView.Members().IsRecorded(i) && !aView.Members().IsListed(i);
    if (!isMissing) {
      continue;
    }
    ProxyUpstream& upstream = aView.At(i);
    if (aView.Members().IsSucceeded(i)) {
      return i;
    }
    if (aNow - upstream.lastAsked >= detail::kProbeInterval) {
      upstream.askWanted = true;
    }
    bool isGivenUp = aNow - aView.GoneSince(i) >= kMayStillConfirm &&
                     aView.Primary() != i && recorded > detail::kFewestMembers;
    if (IsHeldWithout(aView, i) || isGivenUp) {
      return i;
    }
    aView.WantPointSince(aNow - detail::kProbeInterval);
  }
  return std::nullopt;
}

/**
 * Whether the primary and another listed replica of the current term hold every
 * commit that the missing member may have confirmed. The primary must be proved
 * to lead at the time of its last known log end. `IsMadeGood` alone does not
 * ask for that proof, because during a promotion the primary is the upstream
 * that is being replaced.
 */
bool
GroupRecorder::IsHeldWithout(const ServiceView& aView, UpstreamIndex aUpstream)
{
  bool isProved =
    aView.Primary() && aView.IsLeaderProvedAt(aView.PrimaryEnd().asked);
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
        aView.IsMadeGood(aUpstream, other.report->received)) {
      return true;
    }
  }
  return false;
}

} // namespace marigoldpitch
