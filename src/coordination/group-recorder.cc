#include "marigoldpitch/coordination/group-recorder.h"

namespace marigoldpitch {

namespace detail {

// Upstreams that start together register within so long of each other.
constexpr Duration kRegistrationSpan = Millis(2500);
// Until the record that was written has been read again.
constexpr Duration kWriteInterval = Millis(1500);
// Fewer members hold no commit twice.
constexpr size_t kFewestMembers = 2;
// How often a missing member is asked whether it is there.
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

std::optional<GroupRecord>
GroupRecorder::FirstRecord(const ServiceView& aView, Time aNow)
{
  if (aView.Size() != this->knownUpstreams) {
    this->knownUpstreams = aView.Size();
    this->lastNewUpstream = aNow;
  }
  bool isSettled = aNow - this->lastNewUpstream >= detail::kRegistrationSpan;
  auto primary = aView.Primary();
  bool isLed = primary && aView.ProvedAsked() != kLongAgo;
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
 * Whether the primary and a replica hold all that it may have confirmed. The
 * primary must be proved here: in a promotion it is the one to be replaced.
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
