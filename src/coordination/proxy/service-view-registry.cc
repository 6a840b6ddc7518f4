#include "marigoldpitch/coordination/proxy/service-view.h"

// What the registry and the group's record say of the upstreams.

namespace marigoldpitch {

std::optional<UpstreamIndex>
ServiceView::Find(const std::string& aId) const
{
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    if (this->upstreams[i].registration.id == aId) {
      return i;
    }
  }
  return std::nullopt;
}

UpstreamIndex
ServiceView::Add(const RegisteredUpstream& aRegistration)
{
  ProxyUpstream upstream;
  upstream.registration = aRegistration;
  this->upstreams.push_back(upstream);
  this->members.Add();
  this->departures.Add();
  return this->upstreams.size() - 1;
}

void
ServiceView::ConfirmRegistrations(Time aAsOf)
{
  this->departures.Confirm(aAsOf);
  this->storeSeenAt = std::max(this->storeSeenAt, aAsOf);
  this->storeFirstSeenAt = std::min(this->storeFirstSeenAt, aAsOf);
  for (const FreshnessSample& sample : this->unsettledSamples.Settle(aAsOf)) {
    // See `PublishProvedSamples`.
    const LogPoint& point = sample.point;
    this->samples.Sample(sample.asked,
                         { point.term, point.position, point.position },
                         sample.origin);
  }
}

/** Which upstreams are members. */
std::vector<bool>
ServiceView::MembersAt(Time aNow) const
{
  std::vector<bool> isMember;
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    isMember.push_back(this->members.MayConfirm(i, aNow));
  }
  return isMember;
}

/**
 * Quorum samples did not count a member that was not known before. It may have
 * confirmed commits that they do not cover.
 */
void
ServiceView::TakeBackSamplesIfAdded(const std::vector<bool>& aBefore, Time aNow)
{
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    bool wasMember = i < aBefore.size() && aBefore[i];
    if (!wasMember && this->members.MayConfirm(i, aNow)) {
      this->unsettledSamples.Clear();
      this->samples.TakeBack(SampleSource::Quorum);
      return;
    }
  }
}

RegistryChanges
ServiceView::ApplyRegistrations(
  const std::vector<RegisteredUpstream>& aRegistrations,
  Time aNow)
{
  std::vector<bool> membersBefore = this->MembersAt(aNow);
  RegistryChanges changes;
  this->hasRegistry = true;
  std::vector<const RegisteredUpstream*> seen(this->upstreams.size(), nullptr);
  for (const RegisteredUpstream& registration : aRegistrations) {
    auto index = this->Find(registration.id);
    if (!index) {
      index = this->Add(registration);
      seen.push_back(nullptr);
      ++changes.added;
    }
    ProxyUpstream& upstream = this->upstreams[*index];
    bool hasRoleChanged = upstream.registration.role != registration.role;
    upstream.reportWanted = upstream.reportWanted || hasRoleChanged;
    upstream.registration = registration;
    seen[*index] = &registration;
  }
  for (UpstreamIndex i = 0; i < seen.size(); ++i) {
    this->members.SetListed(i, seen[i] != nullptr, aNow);
    if (seen[i] != nullptr) {
      this->members.SetIncarnation(i, seen[i]->incarnation, aNow);
      this->RequestReportIfUnverified(i);
    }
    if (this->departures.Apply(i, seen[i], aNow)) {
      changes.departed.push_back(i);
    }
    if (this->departures.Of(i).state == DepartureState::Announced) {
      this->upstreams[i].registration.leaving = true;
    }
  }
  this->NoteReplacements();
  this->TakeBackSamplesIfAdded(membersBefore, aNow);
  return changes;
}

/**
 * Marks each unlisted upstream as replaced if another one is registered at its
 * address: that one has continued its log.
 */
void
ServiceView::NoteReplacements()
{
  for (UpstreamIndex i = 0; i < this->upstreams.size(); ++i) {
    for (UpstreamIndex next = 0; next < this->upstreams.size(); ++next) {
      bool isSame = this->upstreams[i].registration.endpoint ==
                    this->upstreams[next].registration.endpoint;
      if (i != next && isSame && !this->members.IsListed(i) &&
          this->members.IsListed(next)) {
        this->members.SetReplaced(i);
      }
    }
  }
}

size_t
ServiceView::ApplyRecord(const GroupRecord& aRecord, Time aNow)
{
  std::vector<bool> membersBefore = this->MembersAt(aNow);
  size_t added = 0;
  std::vector<GroupMembership::RecordedMember> recorded;
  for (const GroupMember& member : aRecord.members) {
    auto index = this->Find(member.id);
    if (!index) {
      RegisteredUpstream registration;
      registration.id = member.id;
      registration.service = aRecord.service;
      registration.endpoint = member.endpoint;
      registration.zone = member.zone;
      index = this->Add(registration);
      if (this->hasRegistry) {
        this->departures.Apply(*index, nullptr, aNow);
      }
      ++added;
    }
    recorded.push_back({ *index, member.incarnation });
  }
  this->members.ApplyRecord(aRecord.position, aRecord.order, recorded, aNow);
  for (const auto& member : recorded) {
    this->RequestReportIfUnverified(member.upstream);
  }
  this->NoteReplacements();
  this->TakeBackSamplesIfAdded(membersBefore, aNow);
  return added;
}

} // namespace marigoldpitch
