#include "marigoldpitch/coordination/proxy/proxy-engine.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr Duration kReportInterval = Millis(100);
constexpr Duration kReportTimeout = Millis(400);
// A primary is sent a status request after this long without an answer from it
// or a request to it.
constexpr Duration kQuietPrimaryInterval = Millis(1000);
// The same for a promoter that does not serve the service, so that no statement
// would show it that the primary is silent.
constexpr Duration kUnusedPrimaryInterval = Millis(400);
// The same for a host that serves the service next; shorter than
// `kUnusedLinkTimeout`, so that its connection stays open.
constexpr Duration kStandbyInterval = Millis(600);
constexpr Duration kProofInterval = Millis(30);
constexpr Duration kBorrowedLinkTimeout = Millis(200);
// For this long after a replica read had no log point to wait for, reports are
// requested to get one.
constexpr Duration kPointDemandPeriod = Millis(500);
constexpr Duration kPointInterval = Millis(200);

} // namespace detail

void
ProxyEngine::On(const PromoterLeaseChanged& aEvent)
{
  bool isNew = aEvent.mayPromote && !this->MayPromote();
  this->mayPromote = aEvent.mayPromote;
  this->mayPromoteUntil = aEvent.until;
  if (!isNew) {
    return;
  }
  // The reports show what the former promoter has left to clean up.
  this->mayPromoteSince = this->now;
  for (auto& [name, service] : this->services) {
    service.view.RequestAllReports();
  }
}

void
ProxyEngine::On(const PromotionOrdered& aEvent)
{
  ProxyService& service = this->ServiceOf(aEvent.service);
  if (aEvent.accepted) {
    service.promotion.OrderAnswered(*aEvent.accepted, this->now);
  }
}

/**
 * Periodic work for one service: requests reports, runs the promotion, updates
 * the group record, cleans up after interrupted promotions and closes unneeded
 * connections. A service that this host has no part in is not followed.
 */
void
ProxyEngine::UpdateService(ProxyService& aService)
{
  ServiceView& view = aService.view;
  bool isFollowed = this->IsFollowed(aService);
  if (isFollowed && !aService.wasFollowed) {
    view.RequestAllReports();
  }
  aService.wasFollowed = isFollowed;
  if (!isFollowed) {
    this->LogFinishedDepartures(aService);
    this->CloseUnneededLinks(aService);
    return;
  }
  view.NotePathWorks(this->pathWorkedAt);
  // All upstreams are asked at once: their answers show whether the primary or
  // this host's outbound path has failed.
  bool isPrimaryInDoubt =
    !view.Primary() || view.At(*view.Primary()).failures > 0;
  if (isPrimaryInDoubt) {
    view.RequestAllReports();
  }
  Duration quietInterval = detail::kQuietPrimaryInterval;
  if (!aService.isServedHere) {
    quietInterval = this->MayPromote() ? detail::kUnusedPrimaryInterval
                                       : detail::kStandbyInterval;
  }
  if (!aService.isServedHere && view.HasUnconfirmedLogEnd()) {
    view.RequestReportsSince(this->now - detail::kPointInterval);
  }
  for (UpstreamIndex i = 0; i < view.Size(); ++i) {
    ProxyUpstream& upstream = view.At(i);
    Time lastContact = std::max(upstream.lastAnswer, upstream.lastAsked);
    bool isQuiet =
      view.Primary() == i && this->now - lastContact >= quietInterval;
    bool isDue = view.Members().MayConfirm(i, this->now) &&
                 (upstream.reportWanted || isQuiet) &&
                 !upstream.reportRequestOpen &&
                 upstream.avoidUntil <= this->now &&
                 this->now - upstream.lastAsked >= detail::kReportInterval;
    if (isDue) {
      this->QueueCommand(aService, { i });
    }
  }
  if (this->now - aService.logPointWantedAt <= detail::kPointDemandPeriod) {
    view.RequestReportsSince(this->now - detail::kPointInterval);
  }
  this->SendFenceReplies(aService);
  PromotionPhase before = aService.promotion.Phase();
  this->Perform(aService,
                aService.promotion.Update(
                  view, this->roster, this->MayPromote(), this->now));
  this->LogPromotion(aService, before);
  if (this->MayPromote()) {
    this->UpdateGroupRecord(aService);
  }
  this->CleanUpStaleStates(aService);
  this->LogFinishedDepartures(aService);
  this->CloseUnneededLinks(aService);
  this->SendQueuedCommands(aService);
}

/**
 * Asks the cheapest listed replica for a report if a statement waits for a
 * proof that the primary is still the primary. No further request is sent until
 * a report of any upstream of the service has arrived, or a connection that
 * opens or carries a command is lost.
 */
void
ProxyEngine::RequestProof(ProxyService& aService)
{
  ServiceView& view = aService.view;
  if (!aService.proofWanted || aService.proofRequestOpen || !view.Primary()) {
    return;
  }
  // See `ServiceView::NoteNotHeld`.
  bool isKnown = view.MayAcknowledge(view.CurrentTerm(), this->now);
  std::optional<UpstreamIndex> best;
  for (UpstreamIndex i = 0; i < view.Size(); ++i) {
    const ProxyUpstream& upstream = view.At(i);
    bool mayProve = view.Members().IsRecorded(i) || isKnown;
    bool mayAsk = mayProve && view.Primary() != i &&
                  view.Members().IsListed(i) && !upstream.reportRequestOpen &&
                  upstream.avoidUntil <= this->now &&
                  this->now - upstream.lastAsked >= detail::kProofInterval;
    if (mayAsk &&
        (!best || this->CostOf(aService, i) < this->CostOf(aService, *best))) {
      best = i;
    }
  }
  if (best) {
    aService.proofRequestOpen = true;
    aService.proofWanted = false;
    this->QueueCommand(aService, { *best });
  }
}

/**
 * Queues one command for the upstream. A status request does not replace a
 * queued command, and any other command does.
 */
void
ProxyEngine::QueueCommand(ProxyService& aService,
                          const UpstreamCommand& aCommand)
{
  auto waiting = aService.queuedCommands.find(aCommand.upstream);
  bool isStatusRequest = aCommand.kind == StatementKind::Status;
  if (waiting == aService.queuedCommands.end() || !isStatusRequest) {
    aService.queuedCommands[aCommand.upstream] = aCommand;
  }
  aService.view.At(aCommand.upstream).reportRequestOpen = true;
  this->SendQueuedCommands(aService);
}

/** Sends each waiting command for which a connection is idle. */
void
ProxyEngine::SendQueuedCommands(ProxyService& aService)
{
  for (auto it = aService.queuedCommands.begin();
       it != aService.queuedCommands.end();) {
    UpstreamCommand command = it->second;
    // The next holder of the lease may rely on the replica being held.
    if (command.kind == StatementKind::Resume && !this->MayPromote()) {
      command = { command.upstream };
    }
    if (!aService.view.Members().MayConfirm(command.upstream, this->now)) {
      aService.view.At(command.upstream).reportRequestOpen = false;
      it = aService.queuedCommands.erase(it);
      continue;
    }
    std::optional<ConnectionId> idle;
    bool isOpening =
      aService.connections.UsageOf(command.upstream).opening != 0;
    for (ConnectionId id :
         aService.connections.ConnectionsOf(command.upstream)) {
      const ProxyLink& link = this->links.at(id);
      bool isFree = !link.isOpening && link.use == LinkUse::None;
      idle = isFree ? id : idle;
    }
    if (!idle) {
      if (!isOpening && this->MayOpen(aService, command.upstream)) {
        this->Open(aService, command.upstream);
      }
      ++it;
      continue;
    }
    it = aService.queuedCommands.erase(it);
    ProxyLink& link = this->links.at(*idle);
    link.use = LinkUse::Command;
    link.commandKind = command.kind;
    link.sequence = aService.connections.StartBatch(*idle, this->now);
    link.asked = this->now;
    link.limit = this->now + detail::kReportTimeout;
    aService.view.NoteAttempt(command.upstream, this->now);
    aService.view.At(command.upstream).lastAsked = this->now;
    SessionStatement statement{ command.kind };
    statement.term = command.term;
    this->Emit(SendToUpstream{ *idle, "", statement, {} });
  }
}

/**
 * Closes at most one idle connection per upstream: to an upstream that is no
 * longer a member, beyond this host's share and unused for
 * `kBorrowedLinkTimeout`, or, except for the last one of a service that this
 * host serves, unused for `kUnusedLinkTimeout`. An upstream keeps the
 * connections of a crashed host open for a while. Idle connections of the other
 * hosts would then leave no room for the host that replaces it.
 */
void
ProxyEngine::CloseUnneededLinks(ProxyService& aService)
{
  for (UpstreamIndex i = 0; i < aService.view.Size(); ++i) {
    bool mayNotConfirm = !aService.view.Members().MayConfirm(i, this->now);
    uint32_t open = aService.connections.UsageOf(i).open;
    bool isOverShare = open > aService.share;
    bool isWithinKept = open <= this->KeptConnections(aService);
    for (ConnectionId id : this->LinksByUse(aService, i)) {
      const ProxyLink& link = this->links.at(id);
      bool isIdle = !link.isOpening && link.use == LinkUse::None;
      Duration unused = this->now - LastUse(link);
      bool isUnneeded =
        (isOverShare && unused >= detail::kBorrowedLinkTimeout) ||
        ((open > 1 || !aService.isServedHere) &&
         unused >= this->UnusedTimeout(link, isWithinKept)) ||
        this->IsOfRemovedCustomer(link);
      if (isIdle && (mayNotConfirm || isUnneeded)) {
        this->Close(id, false);
        break;
      }
    }
  }
}

void
ProxyEngine::On(const LinkReported& aEvent)
{
  auto found = this->links.find(aEvent.connection);
  if (found == this->links.end() || found->second.use != LinkUse::Command) {
    return;
  }
  ProxyLink& link = found->second;
  ProxyService& service = this->ServiceOf(link.service);
  ServiceView& view = service.view;
  UpstreamIndex index = link.upstream;
  this->NoteAnswer(link);
  ProxyUpstream& upstream = view.At(index);
  upstream.reportRequestOpen = false;
  service.proofRequestOpen = false;
  if (aEvent.report) {
    auto before = view.Primary();
    Term termBefore = view.CurrentTerm();
    upstream.reportWanted = false;
    upstream.openedSinceReport = 0;
    view.ApplyReport(index, *aEvent.report, link.asked, this->now);
    if (aEvent.report->role == Role::Primary) {
      view.ApplyLogEnd(index, aEvent.report->logEnd, link.asked, this->now);
    }
    this->LogPrimary(service, before, termBefore);
    PromotionPhase phaseBefore = service.promotion.Phase();
    this->Perform(service,
                  service.promotion.Answered(
                    view, this->roster, index, *aEvent.report, this->now));
    this->LogPromotion(service, phaseBefore);
    this->NoteStaleState(service, index, *aEvent.report);
  }
  this->Release(link, SessionState::Idle);
}

/**
 * Records what has to be undone if the report shows a superseded primary, or a
 * replica that is held for a term that has not begun.
 */
void
ProxyEngine::NoteStaleState(ProxyService& aService,
                            UpstreamIndex aUpstream,
                            const UpstreamReport& aReport)
{
  Term term = aService.view.CurrentTerm();
  bool isSuperseded = aReport.role == Role::Primary && aReport.term < term;
  bool isHeld = aReport.role == Role::Replica && aReport.held > term;
  if (!isSuperseded && !isHeld) {
    aService.staleStates.erase(aUpstream);
    return;
  }
  StatementKind kind =
    isSuperseded ? StatementKind::Demote : StatementKind::Resume;
  StaleState& staleState = aService.staleStates[aUpstream];
  bool isNew =
    staleState.command.kind != kind || staleState.held != aReport.held;
  staleState.command = { aUpstream, kind, isSuperseded ? term : 0 };
  staleState.held = aReport.held;
  staleState.since = isNew ? this->now : staleState.since;
}

/**
 * Whether the stale state may be undone now. Requests the reports that are
 * still needed to decide this. A superseded primary may always be demoted. A
 * held replica may be resumed only if the promotion that it was held for has
 * not taken effect and no longer can, because a resumed replica confirms
 * commits of the old primary again. So every order of this or an earlier
 * promoter must have expired, and after that every member must have reported a
 * term below the one that the replica is held for.
 */
bool
ProxyEngine::MayCleanUp(ProxyService& aService,
                        const StaleState& aStaleState) const
{
  if (aStaleState.command.kind != StatementKind::Resume) {
    return true;
  }
  ServiceView& view = aService.view;
  if (aStaleState.held <= view.CurrentTerm()) {
    return false;
  }
  Time since = std::max({ aStaleState.since,
                          aService.promotion.LastOrderExpiresAt(),
                          this->mayPromoteSince + kOrderExpiry });
  if (this->now < since) {
    return false;
  }
  view.RequestReportsSince(since);
  return view.IsTermUnused(aStaleState.held, since, this->now);
}

void
ProxyEngine::CleanUpStaleStates(ProxyService& aService)
{
  if (!this->MayPromote() || aService.promotion.IsRunning()) {
    return;
  }
  for (auto& [upstream, staleState] : aService.staleStates) {
    bool isDue = aService.view.Members().MayConfirm(upstream, this->now) &&
                 this->now - staleState.lastCommand >= detail::kReportInterval;
    if (isDue && this->MayCleanUp(aService, staleState)) {
      staleState.lastCommand = this->now;
      this->QueueCommand(aService, staleState.command);
    }
  }
}

void
ProxyEngine::Perform(ProxyService& aService, const PromotionActions& aActions)
{
  for (const PromotionAction& action : aActions) {
    if (const auto* command = std::get_if<UpstreamCommand>(&action)) {
      this->QueueCommand(aService, *command);
      continue;
    }
    if (const auto* fence = std::get_if<FenceHost>(&action)) {
      this->SendFence(aService, *fence);
      continue;
    }
    if (const auto* released = std::get_if<CandidateReleased>(&action)) {
      this->LogReleasedCandidate(aService, *released);
      continue;
    }
    UpstreamIndex chosen = std::get<OrderPromotion>(action).upstream;
    const ProxyUpstream& upstream = aService.view.At(chosen);
    this->AddDecision(
      LogEvent::PromotionOrdered,
      "",
      { { "service", aService.name },
        { "upstream", upstream.registration.id },
        { "why", kPromotionReasonNames.TextOf(aService.promotion.Reason()) },
        { "term", std::to_string(aService.view.CurrentTerm() + 1) },
        { "members", this->DescribeMembers(aService) } });
    this->Emit(RequestPromotion{ aService.name, upstream.registration.id });
  }
}

} // namespace marigoldpitch
