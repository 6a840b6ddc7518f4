#include "marigoldpitch/coordination/owner/group-engine.h"

#include <algorithm>
#include <utility>

// Probes, failure detection, failover, and making upstreams follow the primary.

namespace marigoldpitch {

namespace detail {
constexpr Duration kFailureProbeInterval = Millis(50);
constexpr Duration kFollowInterval = Millis(200);
constexpr Duration kTermReserveInterval = Seconds(1);
// How long a suspicion must last before a standby starts a failover, because
// the first host in the group's owner order normally starts it. A standby that
// receives requests serves as the owner for their callers, so it waits only
// long enough not to start at the same time as that first host.
constexpr Duration kStandbyFailoverDelay = Seconds(1);
constexpr Duration kActiveStandbyFailoverDelay = Millis(100);
constexpr Duration kActiveAfterRequest = Seconds(5);
constexpr int64_t kIdleProbeFactor = 2;
constexpr int64_t kStandbyProbeFactor = 8;
} // namespace detail

void
GroupEngine::SendProbe(UpstreamIndex aUpstream)
{
  UpstreamView& upstream = this->view.At(aUpstream);
  if (upstream.probe != 0) {
    return;
  }
  upstream.probe = ++this->lastProbe;
  upstream.probeSent = this->now;
  upstream.probeDeadline = this->now + this->options.timing.probeTimeout;
  this->probeEvents[aUpstream] = this->eventNumber;
  this->Emit(ProbeUpstream{ aUpstream, upstream.probe, upstream.failures > 0 });
}

void
GroupEngine::ProbeReplicas()
{
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    const UpstreamView& upstream = this->view.At(i);
    // At most one probe each millisecond, to avoid a busy loop while a replica
    // lags.
    bool isDue = upstream.failures == 0 && this->now > upstream.probeSent;
    if (i != this->view.Primary() && isDue) {
      this->SendProbe(i);
    }
  }
}

void
GroupEngine::ProbeDueUpstreams()
{
  if (!this->confirmations.Empty()) {
    this->ProbeReplicas();
  }
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    const UpstreamView& upstream = this->view.At(i);
    const GroupTiming& timing = this->options.timing;
    bool isPrimary = i == this->view.Primary();
    Duration interval =
      isPrimary ? timing.primaryProbeInterval : timing.replicaProbeInterval;
    bool isIdle = this->now - this->lastRequest > detail::kActiveAfterRequest;
    if (isIdle) {
      interval = interval * (this->options.standby ? detail::kStandbyProbeFactor
                                                   : detail::kIdleProbeFactor);
    }
    // While the primary is silent, failure detection needs recent statuses of
    // the replicas.
    auto primary = this->view.Primary();
    bool isPrimaryInDoubt = !primary || this->view.At(*primary).failures > 0;
    if (upstream.failures > 0 || isPrimaryInDoubt) {
      interval = std::min(interval, detail::kFailureProbeInterval);
    }
    // A batch also reports a status, so it delays the next probe.
    Time lastContact = std::max(upstream.probeSent, upstream.lastAnswer);
    if (this->now - lastContact >= interval) {
      this->SendProbe(i);
    }
  }
}

void
GroupEngine::CheckProbeTimeouts()
{
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    const UpstreamView& upstream = this->view.At(i);
    if (upstream.probe != 0 && upstream.probeDeadline <= this->now) {
      this->HandleFailedProbe(i);
    }
  }
}

void
GroupEngine::HandleFailedProbe(UpstreamIndex aUpstream)
{
  UpstreamView& upstream = this->view.At(aUpstream);
  upstream.probe = 0;
  ++upstream.failures;
  upstream.failingSince = std::min(upstream.failingSince, upstream.probeSent);
  // The connection may have failed and not the upstream: probe once more over a
  // new connection.
  if (upstream.failures == 1) {
    this->SendProbe(aUpstream);
  }
}

void
GroupEngine::On(const StatusAnswered& aEvent)
{
  UpstreamView& upstream = this->view.At(aEvent.upstream);
  if (upstream.probe != aEvent.probe) {
    return;
  }
  upstream.probe = 0;
  Time failingSince = std::exchange(upstream.failingSince, kInfiniteFuture);
  if (!(failingSince == kInfiniteFuture)) {
    this->ExpireOldConnections(aEvent.upstream, failingSince);
  }
  this->ApplyStatus(aEvent.upstream,
                    aEvent.status,
                    upstream.probeSent,
                    this->probeEvents[aEvent.upstream]);
  if (!this->confirmations.Empty()) {
    this->ProbeReplicas();
  }
  this->UpdateFailover();
}

void
GroupEngine::ExpireOldConnections(UpstreamIndex aUpstream, Time aSince)
{
  // The upstream answers over a new connection but did not answer over the old
  // one. So it is alive, and connections of that time are probably dead, for
  // example because a firewall has lost their state.
  this->CloseIdleSince(aUpstream, aSince);
  Time limit = this->now + this->options.timing.oldBatchTimeout;
  for (WorkId id : this->queue.All()) {
    Work* work = this->queue.Find(id);
    bool isOld = work->connection != 0 && work->upstream == aUpstream &&
                 work->started <= aSince + this->options.timing.probeTimeout;
    if (isOld) {
      work->batchLimit = std::min(work->batchLimit, limit);
    }
  }
}

void
GroupEngine::On(const StatusFailed& aEvent)
{
  if (this->view.At(aEvent.upstream).probe != aEvent.probe) {
    return;
  }
  this->HandleFailedProbe(aEvent.upstream);
  this->UpdateFailover();
}

void
GroupEngine::ApplyStatus(UpstreamIndex aUpstream,
                         const UpstreamStatus& aStatus,
                         Time aRequestedAt,
                         uint64_t aRequestEvent)
{
  bool wasLeaving = this->view.At(aUpstream).Leaving();
  bool hasChanged =
    this->view.ApplyStatus(aUpstream, aStatus, aRequestedAt, this->now);
  if (!wasLeaving && this->view.At(aUpstream).Leaving()) {
    this->Emit(AddLogLine{ LogEvent::UpstreamLeaving,
                           this->config.upstreams[aUpstream].name });
  }
  if (hasChanged) {
    this->PrimaryChanged();
  }
  std::vector<WorkId> confirmed =
    this->confirmations.ApplyStatus(aUpstream,
                                    aStatus,
                                    aRequestEvent,
                                    *this->policies.confirmation,
                                    this->config.Majority());
  for (WorkId id : confirmed) {
    if (Work* work = this->queue.Find(id)) {
      this->Finish(*work, work->answer);
    }
  }
  this->SendFollowIfNeeded(aUpstream);
}

void
GroupEngine::SendFollowIfNeeded(UpstreamIndex aUpstream)
{
  auto primary = this->view.Primary();
  UpstreamView& upstream = this->view.At(aUpstream);
  if (!primary || *primary == aUpstream || this->failover.IsRunning()) {
    return;
  }
  const UpstreamStatus& status = *upstream.status;
  bool isNotFollowing =
    status.role != Role::Replica || status.term < this->view.CurrentTerm();
  bool isDue = this->now - upstream.followSent >= detail::kFollowInterval;
  if (isNotFollowing && isDue && status.term <= this->view.CurrentTerm()) {
    upstream.followSent = this->now;
    this->Emit(Follow{ aUpstream, this->view.CurrentTerm(), *primary });
  }
}

void
GroupEngine::PrimaryChanged()
{
  auto primary = this->view.Primary();
  if (!primary) {
    return;
  }
  this->Emit(AddLogLine{ LogEvent::PrimarySeen,
                         this->config.upstreams[*primary].name + " term " +
                           std::to_string(this->view.CurrentTerm()) });
  for (WorkId id : this->confirmations.TakeBelow(this->view.CurrentTerm())) {
    Work* work = this->queue.Find(id);
    if (work->request.operation == Operation::Read) {
      this->queue.Requeue(*work);
    } else {
      this->RequeueToResolve(*work);
    }
  }
  this->CloseOutdatedConnections();
}

void
GroupEngine::CloseOutdatedConnections()
{
  std::vector<ConnectionId> outdated;
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    if (i == this->view.Primary()) {
      continue;
    }
    for (ConnectionId id : this->connections.ConnectionsOf(i)) {
      Work* work = this->queue.FindByConnection(id);
      bool isWrite =
        work != nullptr && work->request.operation != Operation::Read;
      if (isWrite || !this->connections.Find(id)->transaction.empty()) {
        outdated.push_back(id);
      }
    }
  }
  for (ConnectionId id : outdated) {
    this->CloseAndRemove(id);
  }
}

bool
GroupEngine::HasSuccessorMajority(UpstreamIndex aLeaving) const
{
  size_t successors = 0;
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    if (i != aLeaving && this->view.IsServingReplica(i)) {
      ++successors;
    }
  }
  return successors >= this->config.Majority();
}

Duration
GroupEngine::FailoverDelay() const
{
  if (!this->options.standby) {
    return Duration{};
  }
  bool isActive = this->now - this->lastRequest <= detail::kActiveAfterRequest;
  return isActive ? detail::kActiveStandbyFailoverDelay
                  : detail::kStandbyFailoverDelay;
}

void
GroupEngine::UpdateFailover()
{
  if (this->failover.IsRunning()) {
    if (this->failover.ShouldAbort(this->view.HighestTermSeen(), this->now)) {
      this->failover.Stop(this->now);
      this->Emit(
        AddLogLine{ LogEvent::FailoverFailed,
                    this->config.name +
                      ": not finished in time, or a higher term exists" });
    }
    return;
  }
  auto primary = this->view.Primary();
  bool isLeaving = primary && this->view.At(*primary).Leaving() &&
                   this->HasSuccessorMajority(*primary);
  bool isDown =
    this->policies.suspicion->IsDown(this->config, this->view, this->now);
  if (!isLeaving && !isDown) {
    this->suspectedAt = kInfiniteFuture;
    this->primaryDownSince = kInfiniteFuture;
    return;
  }
  if (this->primaryDownSince == kInfiniteFuture) {
    this->primaryDownSince =
      primary && !isLeaving ? this->view.At(*primary).lastAnswer : this->now;
  }
  if (this->suspectedAt == kInfiniteFuture) {
    this->suspectedAt = this->now;
    this->Emit(AddLogLine{ LogEvent::PrimarySuspected, this->config.name });
  }
  bool mustWait = this->now < this->failover.NextAttempt() ||
                  this->now - this->suspectedAt < this->FailoverDelay();
  if (mustWait) {
    return;
  }
  auto term = this->terms.Take(this->view.HighestTermSeen());
  if (!term) {
    this->ReserveTermsIfLow();
    return;
  }
  this->Emit(
    AddLogLine{ LogEvent::FailoverStarted,
                this->config.name + " term " + std::to_string(*term) });
  this->failover.Start(*term,
                       primary,
                       this->view.Size(),
                       this->config.Majority(),
                       this->now,
                       this->actions);
}

void
GroupEngine::RedirectPrimaryWork()
{
  auto primary = this->view.Primary();
  bool isPrimaryUnreachable =
    primary && this->view.IsSilent(*primary, this->now) &&
    !this->failover.IsRunning() && this->primaryDownSince == kInfiniteFuture;
  if (!isPrimaryUnreachable) {
    return;
  }
  // The replicas still hear from the primary, so only this owner cannot reach
  // it. Another owner may reach it and run work that is not in a transaction.
  for (WorkId id : this->queue.Head(Lane::Primary, this->queue.Queued())) {
    Work* work = this->queue.Find(id);
    bool canRedirect =
      work->request.transaction.empty() &&
      !(work->request.operation == Operation::Read && work->request.maxAge);
    if (canRedirect) {
      Answer answer =
        MakeAnswer(Outcome::Unknown, "this owner cannot reach the primary");
      answer.tryNext = true;
      this->Finish(*work, answer);
    }
  }
}

void
GroupEngine::On(const TermAdopted& aEvent)
{
  this->failover.OnTermAdopted(aEvent, this->actions);
}

void
GroupEngine::On(const TermRefused& aEvent)
{
  this->view.ObserveTerm(aEvent.current);
}

void
GroupEngine::On(const Promoted& aEvent)
{
  if (!this->failover.OnPromoted(aEvent, this->now, this->actions)) {
    return;
  }
  this->view.SetPrimary(aEvent.upstream,
                        aEvent.term,
                        aEvent.start,
                        this->failover.ParentTerm(),
                        this->now);
  this->Emit(
    Observe{ Observation::Failover, this->now - this->primaryDownSince });
  this->Emit(AddLogLine{ LogEvent::FailoverFinished,
                         this->config.upstreams[aEvent.upstream].name +
                           " term " + std::to_string(aEvent.term) });
  this->primaryDownSince = kInfiniteFuture;
  this->suspectedAt = kInfiniteFuture;
  this->PrimaryChanged();
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    this->SendProbe(i);
  }
}

void
GroupEngine::On(const PromotionFailed& aEvent)
{
  if (this->failover.IsRunning() &&
      aEvent.term == this->failover.CurrentTerm()) {
    this->failover.Stop(this->now);
    this->Emit(AddLogLine{ LogEvent::FailoverFailed,
                           this->config.name +
                             ": the upstream did not confirm its promotion" });
  }
}

void
GroupEngine::On(const TermsGranted& aEvent)
{
  this->terms.Grant(aEvent.first, aEvent.last);
  this->Emit(
    AddLogLine{ LogEvent::TermsReserved,
                this->config.name + " up to " + std::to_string(aEvent.last) });
}

void
GroupEngine::ReserveTermsIfLow()
{
  Term above = this->view.HighestTermSeen();
  bool isDue =
    this->now - this->termsRequestedAt >= detail::kTermReserveInterval;
  if (above != 0 && isDue && this->terms.IsLow(above)) {
    this->termsRequestedAt = this->now;
    this->Emit(ReserveTerms{ above });
  }
}

void
GroupEngine::ResumeAfterPause()
{
  this->Emit(AddLogLine{ LogEvent::OwnerPaused, this->config.name });
  // The upstreams may only have seemed silent because this process was paused.
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    UpstreamView& upstream = this->view.At(i);
    upstream.failures = 0;
    upstream.probe = 0;
    upstream.lastAnswer = std::max(upstream.lastAnswer, this->now);
  }
  for (WorkId id : this->queue.All()) {
    Work* work = this->queue.Find(id);
    work->batchLimit = this->now + this->options.timing.batchLimit;
  }
}

} // namespace marigoldpitch
