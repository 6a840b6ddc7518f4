#include "marigoldpitch/coordination/group-engine.h"

#include <algorithm>
#include <utility>

// Probes, failure detection, failover, and making upstreams follow the primary.

namespace marigoldpitch {

namespace detail {
constexpr Duration kFailingProbe = Millis(50);
constexpr Duration kBetweenFollows = Millis(200);
constexpr Duration kBetweenReserves = Seconds(1);
// How long a suspicion must last before a standby starts a failover, so that
// the first owner normally starts it. A standby that receives requests acts as
// the owner for their callers, and waits only long enough to avoid a race.
constexpr Duration kStandbyPatience = Seconds(1);
constexpr Duration kActingPatience = Millis(100);
constexpr Duration kActsAfterRequest = Seconds(5);
constexpr int64_t kIdleProbeFactor = 2;
constexpr int64_t kStandbyProbeFactor = 8;
} // namespace detail

void
GroupEngine::Ask(UpstreamIndex aUpstream)
{
  UpstreamView& upstream = this->view.At(aUpstream);
  if (upstream.ask != 0) {
    return;
  }
  upstream.ask = ++this->lastAsk;
  upstream.questionSent = this->now;
  upstream.askLimit = this->now + this->options.timing.probeLimit;
  this->askedAt[aUpstream] = this->eventNumber;
  this->Emit(AskStatus{ aUpstream, upstream.ask, upstream.failures > 0 });
}

void
GroupEngine::AskReplicas()
{
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    const UpstreamView& upstream = this->view.At(i);
    // At most one probe each millisecond, to avoid a busy loop while a replica
    // lags.
    bool isDue = upstream.failures == 0 && this->now > upstream.questionSent;
    if (i != this->view.Primary() && isDue) {
      this->Ask(i);
    }
  }
}

void
GroupEngine::Watch()
{
  if (!this->confirmations.Empty()) {
    this->AskReplicas();
  }
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    const UpstreamView& upstream = this->view.At(i);
    const GroupTiming& timing = this->options.timing;
    bool isPrimary = i == this->view.Primary();
    Duration interval = isPrimary ? timing.probePrimary : timing.probeReplica;
    bool isIdle = this->now - this->lastRequest > detail::kActsAfterRequest;
    if (isIdle) {
      interval = interval * (this->options.standby ? detail::kStandbyProbeFactor
                                                   : detail::kIdleProbeFactor);
    }
    // While the primary is silent, failure detection needs recent statuses of
    // the replicas.
    auto primary = this->view.Primary();
    bool isLost = !primary || this->view.At(*primary).failures > 0;
    if (upstream.failures > 0 || isLost) {
      interval = std::min(interval, detail::kFailingProbe);
    }
    // A batch also reports a status, so it delays the next probe.
    Time lastTold = std::max(upstream.questionSent, upstream.lastAnswer);
    if (this->now - lastTold >= interval) {
      this->Ask(i);
    }
  }
}

void
GroupEngine::CheckAsks()
{
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    const UpstreamView& upstream = this->view.At(i);
    if (upstream.ask != 0 && upstream.askLimit <= this->now) {
      this->AskFailed(i);
    }
  }
}

void
GroupEngine::AskFailed(UpstreamIndex aUpstream)
{
  UpstreamView& upstream = this->view.At(aUpstream);
  upstream.ask = 0;
  ++upstream.failures;
  upstream.silentSince = std::min(upstream.silentSince, upstream.questionSent);
  // The connection may have failed and not the upstream: probe once more over a
  // new connection.
  if (upstream.failures == 1) {
    this->Ask(aUpstream);
  }
}

void
GroupEngine::On(const StatusAnswered& aEvent)
{
  UpstreamView& upstream = this->view.At(aEvent.upstream);
  if (upstream.ask != aEvent.ask) {
    return;
  }
  upstream.ask = 0;
  Time silentSince = std::exchange(upstream.silentSince, kInfiniteFuture);
  if (!(silentSince == kInfiniteFuture)) {
    this->OldConnectionsAreSilent(aEvent.upstream, silentSince);
  }
  this->Learn(aEvent.upstream,
              aEvent.status,
              upstream.questionSent,
              this->askedAt[aEvent.upstream]);
  if (!this->confirmations.Empty()) {
    this->AskReplicas();
  }
  this->ConsiderFailover();
}

void
GroupEngine::OldConnectionsAreSilent(UpstreamIndex aUpstream, Time aSince)
{
  // The old connection gave no answer and a new one did: the upstream is alive,
  // and the network path has lost the state of the connections of that time.
  this->DropUnproven(aUpstream, aSince);
  Time limit = this->now + this->options.timing.silentBatch;
  for (WorkId id : this->queue.All()) {
    Work* work = this->queue.Find(id);
    bool isOld = work->connection != 0 && work->upstream == aUpstream &&
                 work->started <= aSince + this->options.timing.probeLimit;
    if (isOld) {
      work->batchLimit = std::min(work->batchLimit, limit);
    }
  }
}

void
GroupEngine::On(const StatusFailed& aEvent)
{
  if (this->view.At(aEvent.upstream).ask != aEvent.ask) {
    return;
  }
  this->AskFailed(aEvent.upstream);
  this->ConsiderFailover();
}

void
GroupEngine::Learn(UpstreamIndex aUpstream,
                   const UpstreamStatus& aStatus,
                   Time aAsked,
                   uint64_t aAskedAt)
{
  bool wasLeaving = this->view.At(aUpstream).Leaving();
  bool hasChanged = this->view.Learn(aUpstream, aStatus, aAsked, this->now);
  if (!wasLeaving && this->view.At(aUpstream).Leaving()) {
    this->Emit(Report{ LogEvent::UpstreamLeaving,
                       this->config.upstreams[aUpstream].name });
  }
  if (hasChanged) {
    this->PrimaryChanged();
  }
  std::vector<WorkId> confirmed =
    this->confirmations.Learn(aUpstream,
                              aStatus,
                              aAskedAt,
                              *this->policies.confirmation,
                              this->config.Majority());
  for (WorkId id : confirmed) {
    if (Work* work = this->queue.Find(id)) {
      this->Finish(*work, work->answer);
    }
  }
  this->TellToFollow(aUpstream);
}

void
GroupEngine::TellToFollow(UpstreamIndex aUpstream)
{
  auto primary = this->view.Primary();
  UpstreamView& upstream = this->view.At(aUpstream);
  if (!primary || *primary == aUpstream || this->failover.IsRunning()) {
    return;
  }
  const UpstreamStatus& status = *upstream.status;
  bool isAstray =
    status.role != Role::Replica || status.term < this->view.CurrentTerm();
  bool isDue = this->now - upstream.followSent >= detail::kBetweenFollows;
  if (isAstray && isDue && status.term <= this->view.CurrentTerm()) {
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
  this->Emit(Report{ LogEvent::PrimarySeen,
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
  this->LeaveReplacedPrimaries();
}

void
GroupEngine::LeaveReplacedPrimaries()
{
  std::vector<ConnectionId> left;
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    if (i == this->view.Primary()) {
      continue;
    }
    for (ConnectionId id : this->connections.ConnectionsOf(i)) {
      Work* work = this->queue.FindByConnection(id);
      bool isWrite =
        work != nullptr && work->request.operation != Operation::Read;
      if (isWrite || !this->connections.Find(id)->transaction.empty()) {
        left.push_back(id);
      }
    }
  }
  for (ConnectionId id : left) {
    this->CloseAndLose(id);
  }
}

bool
GroupEngine::HasSuccessor(UpstreamIndex aLeaving) const
{
  size_t staying = 0;
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    if (i != aLeaving && this->view.IsServingReplica(i)) {
      ++staying;
    }
  }
  return staying >= this->config.Majority();
}

Duration
GroupEngine::Patience() const
{
  if (!this->options.standby) {
    return Duration{};
  }
  bool isActing = this->now - this->lastRequest <= detail::kActsAfterRequest;
  return isActing ? detail::kActingPatience : detail::kStandbyPatience;
}

void
GroupEngine::ConsiderFailover()
{
  if (this->failover.IsRunning()) {
    if (this->failover.GivesUp(this->view.HighestTermSeen(), this->now)) {
      this->failover.Stop(this->now);
      this->Emit(
        Report{ LogEvent::FailoverFailed,
                this->config.name + ": timed out, or a higher term exists" });
    }
    return;
  }
  auto primary = this->view.Primary();
  bool isLeaving = primary && this->view.At(*primary).Leaving() &&
                   this->HasSuccessor(*primary);
  bool isDown =
    this->policies.suspicion->IsDown(this->config, this->view, this->now);
  if (!isLeaving && !isDown) {
    this->suspectedAt = kInfiniteFuture;
    this->primaryLostAt = kInfiniteFuture;
    return;
  }
  if (this->primaryLostAt == kInfiniteFuture) {
    this->primaryLostAt =
      primary && !isLeaving ? this->view.At(*primary).lastAnswer : this->now;
  }
  if (this->suspectedAt == kInfiniteFuture) {
    this->suspectedAt = this->now;
    this->Emit(Report{ LogEvent::PrimarySuspected, this->config.name });
  }
  bool mustWait = this->now < this->failover.NextAttempt() ||
                  this->now - this->suspectedAt < this->Patience();
  if (mustWait) {
    return;
  }
  auto term = this->terms.Take(this->view.HighestTermSeen());
  if (!term) {
    this->KeepTerms();
    return;
  }
  this->Emit(Report{ LogEvent::FailoverStarted,
                     this->config.name + " term " + std::to_string(*term) });
  this->failover.Start(*term,
                       primary,
                       this->view.Size(),
                       this->config.Majority(),
                       this->now,
                       this->actions);
}

void
GroupEngine::HandOverWork()
{
  auto primary = this->view.Primary();
  bool isOutOfReach = primary && this->view.IsSilent(*primary, this->now) &&
                      !this->failover.IsRunning() &&
                      this->primaryLostAt == kInfiniteFuture;
  if (!isOutOfReach) {
    return;
  }
  // The replicas still hear from the primary, so only this owner cannot reach
  // it. Another owner may.
  for (WorkId id : this->queue.Head(Lane::Primary, this->queue.Queued())) {
    Work* work = this->queue.Find(id);
    bool needsPrimary =
      work->request.transaction.empty() &&
      !(work->request.operation == Operation::Read && work->request.maxAge);
    if (needsPrimary) {
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
  this->failover.Adopted(aEvent, this->actions);
}

void
GroupEngine::On(const TermRefused& aEvent)
{
  this->view.NoteTerm(aEvent.current);
}

void
GroupEngine::On(const Promoted& aEvent)
{
  if (!this->failover.Finished(aEvent, this->now, this->actions)) {
    return;
  }
  this->view.SetPrimary(aEvent.upstream,
                        aEvent.term,
                        aEvent.start,
                        this->failover.Lineage(),
                        this->now);
  this->Emit(Observe{ Observation::Failover, this->now - this->primaryLostAt });
  this->Emit(Report{ LogEvent::FailoverFinished,
                     this->config.upstreams[aEvent.upstream].name + " term " +
                       std::to_string(aEvent.term) });
  this->primaryLostAt = kInfiniteFuture;
  this->suspectedAt = kInfiniteFuture;
  this->PrimaryChanged();
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    this->Ask(i);
  }
}

void
GroupEngine::On(const PromotionFailed& aEvent)
{
  if (this->failover.IsRunning() &&
      aEvent.term == this->failover.CurrentTerm()) {
    this->failover.Stop(this->now);
    this->Emit(
      Report{ LogEvent::FailoverFailed,
              this->config.name + ": the upstream refused its promotion" });
  }
}

void
GroupEngine::On(const TermsGranted& aEvent)
{
  this->terms.Grant(aEvent.first, aEvent.last);
  this->Emit(
    Report{ LogEvent::TermsReserved,
            this->config.name + " up to " + std::to_string(aEvent.last) });
}

void
GroupEngine::KeepTerms()
{
  Term above = this->view.HighestTermSeen();
  bool isDue = this->now - this->termsAskedAt >= detail::kBetweenReserves;
  if (above != 0 && isDue && this->terms.IsLow(above)) {
    this->termsAskedAt = this->now;
    this->Emit(ReserveTerms{ above });
  }
}

void
GroupEngine::ResumeAfterPause()
{
  this->Emit(Report{ LogEvent::OwnerPaused, this->config.name });
  // The upstreams may only have seemed silent because this process was paused.
  for (UpstreamIndex i = 0; i < this->view.Size(); ++i) {
    UpstreamView& upstream = this->view.At(i);
    upstream.failures = 0;
    upstream.ask = 0;
    upstream.lastAnswer = std::max(upstream.lastAnswer, this->now);
  }
  for (WorkId id : this->queue.All()) {
    Work* work = this->queue.Find(id);
    work->batchLimit = this->now + this->options.timing.batchLimit;
  }
}

} // namespace marigoldpitch
