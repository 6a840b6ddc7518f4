#include "marigoldpitch/coordination/proxy/proxy-engine.h"

// Fencing: which acknowledgements of commits this host passes on to callers
// while a promotion may be ordered, here or on another host.

namespace marigoldpitch {

namespace detail {

// How often a replica is asked at most whether it has a commit that waits.
constexpr Duration kCommitReportInterval = Millis(30);

} // namespace detail

void
ProxyEngine::On(const RegistrationRenewed& aEvent)
{
  this->registration = aEvent.span;
  for (auto& [name, service] : this->services) {
    service.view.SetRegistration(this->registration);
  }
}

void
ProxyEngine::On(const FenceRequestArrived& aEvent)
{
  auto found = this->services.find(aEvent.request.service);
  if (found == this->services.end()) {
    // This host has acknowledged nothing of the service.
    const FenceRequest& request = aEvent.request;
    this->SendFenceReplyTo(
      aEvent.host,
      { request.service, request.round, request.term, request.command, {} });
    return;
  }
  ProxyService& service = found->second;
  bool wasFenced = service.view.IsFenced(this->now);
  service.view.Fence().Apply(aEvent.host, aEvent.request, this->now);
  if (aEvent.request.command == FenceCommand::TermBegan) {
    service.view.NoteTermBegan(
      aEvent.request.term, aEvent.request.areAllFenced, this->now);
  }
  if (service.view.IsFenced(this->now) != wasFenced) {
    this->AddDecision(
      LogEvent::FenceChanged,
      "",
      { { "service", service.name },
        { "promoter", aEvent.host },
        { "command", kFenceCommandNames.TextOf(aEvent.request.command) },
        { "term", std::to_string(aEvent.request.term) },
        { "acknowledged",
          FormatLogPoint(service.view.HighestAcknowledged()) } });
  }
  this->SendFenceReplies(service);
}

void
ProxyEngine::On(const FenceReplyArrived& aEvent)
{
  auto found = this->services.find(aEvent.reply.service);
  if (found == this->services.end()) {
    return;
  }
  ProxyService& service = found->second;
  PromotionPhase before = service.promotion.Phase();
  this->Perform(
    service,
    service.promotion.FenceReplied(
      service.view, this->roster, aEvent.host, aEvent.reply, this->now));
  this->LogPromotion(service, before);
}

/** Sends the replies to promoters that are due. */
void
ProxyEngine::SendFenceReplies(ProxyService& aService)
{
  ServiceView& view = aService.view;
  for (const auto& addressed : view.Fence().TakeReplies(
         view.HasOpenCommits(), view.HighestAcknowledged(), this->now)) {
    this->SendFenceReplyTo(addressed.host, addressed.reply);
  }
}

void
ProxyEngine::SendFenceReplyTo(const std::string& aHost,
                              const FenceReply& aReply)
{
  if (aHost == this->options.host) {
    this->On(FenceReplyArrived{ aHost, aReply });
  } else {
    this->Emit(SendFenceReply{ aHost, aReply });
  }
}

/** Sends a promoter's request; this host's own needs no message. */
void
ProxyEngine::SendFence(const ProxyService& aService, const FenceHost& aFence)
{
  FenceRequest request = aFence.request;
  request.service = aService.name;
  if (aFence.host == this->options.host) {
    this->On(FenceRequestArrived{ aFence.host, request });
  } else {
    this->Emit(SendFenceRequest{ aFence.host, request });
  }
}

/** This host is always on the roster, whether it is registered or not. */
void
ProxyEngine::UpdateRoster(const HostsCounted& aCounted)
{
  std::vector<std::string> names = aCounted.names;
  names.push_back(this->options.host);
  this->roster.SetRegistered(names, aCounted.areRegistrationsShort, this->now);
}

/**
 * Whether the session's COMMIT may be sent now. It waits for a proof that a
 * host may acknowledge it; if the host is fenced, the transaction is rolled
 * back.
 */
bool
ProxyEngine::MayCommit(ProxyService& aService, CallerSession& aSession)
{
  if (aService.view.MaySendCommits(this->now)) {
    return true;
  }
  if (!aService.view.IsFenced(this->now)) {
    aService.proofWanted = true;
    return false;
  }
  this->Dequeue(aSession);
  this->LeaveTransaction(aSession);
  this->AnswerFailure(
    aSession, FailureCode::Aborted, "the primary is being replaced");
  return false;
}

/**
 * Answers the caller of a commit that the primary has acknowledged, or lets it
 * wait until a replica has reported the commit.
 */
void
ProxyEngine::FinishCommit(ProxyService& aService,
                          CallerSession& aSession,
                          AcknowledgedCommit aCommit)
{
  PendingStatement& pending = *aSession.pending;
  ServiceView& view = aService.view;
  bool hasPosition = aCommit.reply.position.has_value();
  LogPoint point =
    aCommit.reply.position.value_or(LogPoint{ view.CurrentTerm(), 0 });
  // A right that begins while the commit waits says nothing of promotions that
  // were ordered before.
  bool hasWaited = pending.phase == StatementPhase::AwaitingReplica;
  CommitRight right = CommitRight::Denied;
  if (!hasWaited && view.MayAcknowledge(point.term, this->now)) {
    right = CommitRight::Granted;
  } else if (hasPosition) {
    right = view.RightByReplica(point, this->now);
  }
  if (right == CommitRight::Denied) {
    this->HideCommit(aService, aSession, point);
    return;
  }
  if (right == CommitRight::AwaitsReplica) {
    if (!hasWaited) {
      view.NoteUnreportedCommit(this->now);
    }
    pending.phase = StatementPhase::AwaitingReplica;
    pending.acknowledged = std::move(aCommit);
    aService.awaitingReplica.insert(aSession.id);
    return;
  }
  if (hasPosition) {
    aSession.lastCommit = point;
    if (aService.config.confirmedByReplica) {
      view.NoteAcknowledgedCommit(
        aCommit.upstream, point, pending.sent, this->now);
    }
  }
  this->Answer(aSession, std::move(aCommit.reply));
}

/** Answers the commits that a replica has reported meanwhile. */
void
ProxyEngine::ReviewAwaitingCommits(ProxyService& aService)
{
  Time newest = kInfinitePast;
  for (CallerId caller : std::exchange(aService.awaitingReplica, {})) {
    auto found = this->sessions.find(caller);
    bool isAwaiting =
      found != this->sessions.end() && found->second.pending &&
      found->second.pending->phase == StatementPhase::AwaitingReplica;
    if (isAwaiting) {
      auto& acknowledged = found->second.pending->acknowledged;
      newest = std::max(newest, acknowledged->since);
      this->FinishCommit(aService, found->second, std::move(*acknowledged));
    }
  }
  if (!aService.awaitingReplica.empty()) {
    this->RequestCommitReports(aService, this->now - newest);
  }
}

/**
 * Asks one recorded replica for the end of its log: the one with the longest
 * log that was not asked a moment ago. The longer the newest commit has waited,
 * the less likely it is that a replica which lacks it gets it soon, so the
 * pauses double.
 */
void
ProxyEngine::RequestCommitReports(ProxyService& aService, Duration aWaited)
{
  ServiceView& view = aService.view;
  Duration interval =
    std::max(detail::kCommitReportInterval, Duration{ aWaited.ms / 2 });
  std::optional<UpstreamIndex> best;
  for (UpstreamIndex i = 0; i < view.Size(); ++i) {
    const ProxyUpstream& upstream = view.At(i);
    if (!view.Members().IsRecorded(i) || view.Primary() == i) {
      continue;
    }
    Duration asked = this->now - upstream.lastAsked;
    if (upstream.reportRequestOpen && asked < detail::kCommitReportInterval) {
      return; // its report may suffice
    }
    bool mayAsk = asked >= interval && !upstream.reportRequestOpen &&
                  upstream.avoidUntil <= this->now;
    if (mayAsk && (!best || view.HasLongerLog(i, *best))) {
      best = i;
    }
  }
  if (best) {
    this->QueueCommand(aService, { *best });
  }
}

/**
 * Answers the caller of a commit that the primary has acknowledged, but that
 * the log of a new primary may lack.
 */
void
ProxyEngine::HideCommit(ProxyService& aService,
                        CallerSession& aSession,
                        const LogPoint& aEnd)
{
  bool hasWaited = aSession.pending->phase == StatementPhase::AwaitingReplica;
  aService.view.NoteUnreportedCommit(this->now);
  this->AddDecision(
    LogEvent::CommitHidden,
    aSession.pending->requestId,
    { { "service", aService.name },
      { "position", FormatLogPoint(aEnd) },
      { "term", std::to_string(aService.view.CurrentTerm()) },
      { "fenced", aService.view.IsFenced(this->now) ? "yes" : "no" },
      { "waited", hasWaited ? "yes" : "no" } });
  this->AnswerFailure(
    aSession, FailureCode::OutcomeUnknown, "the primary is being replaced");
}

} // namespace marigoldpitch
