#include "marigoldpitch/coordination/proxy-engine.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr Duration kAskInterval = Millis(100);
constexpr Duration kAskLimit = Millis(400);
// A primary that sent nothing for this long is sent a status request.
constexpr Duration kQuietPrimary = Millis(1000);
constexpr Duration kProofInterval = Millis(30);
constexpr Duration kUnusedSpan = Millis(700);
// How long members are asked for a log point after a read lacked one.
constexpr Duration kPointDemand = Millis(500);
constexpr Duration kPointInterval = Millis(200);

} // namespace detail

void
ProxyEngine::On(const DutyChanged& aEvent)
{
  bool isNew = aEvent.mayAct && !this->mayAct;
  this->mayAct = aEvent.mayAct;
  if (!isNew) {
    return;
  }
  // The reports show what the former promoter has left to clean up.
  this->actsSince = this->now;
  for (auto& [name, service] : this->services) {
    service.view.AskAll();
  }
}

void
ProxyEngine::On(const PromotionOrdered& aEvent)
{
  ProxyService& service = this->ServiceOf(aEvent.service);
  if (aEvent.taken) {
    service.promotion.Ordered(*aEvent.taken, this->now);
  }
}

void
ProxyEngine::On(const GroupsRead& aEvent)
{
  for (const GroupRecord& record : aEvent.groups) {
    ProxyService& service = this->ServiceOf(record.service);
    size_t added = service.view.TakeRecord(record, this->now);
    service.connections.AddUpstreams(added);
  }
}

void
ProxyEngine::KeepRecord(ProxyService& aService)
{
  auto record = aService.recorder.Step(aService.view, this->now);
  if (record) {
    record->service = aService.name;
    this->Emit(RecordGroup{ *record });
  }
}

/**
 * Periodic work for one service: requests reports, steps the promotion, updates
 * the group record, cleans up after interrupted promotions and closes unneeded
 * connections.
 */
void
ProxyEngine::Watch(ProxyService& aService)
{
  ServiceView& view = aService.view;
  view.PathProved(this->pathProved);
  // All upstreams are asked at once: their answers show whether the primary or
  // this host's outbound path has failed.
  bool isDoubtful = !view.Primary() || view.At(*view.Primary()).failures > 0;
  if (isDoubtful) {
    view.AskAll();
  }
  for (UpstreamIndex i = 0; i < view.Size(); ++i) {
    ProxyUpstream& upstream = view.At(i);
    Time heard = std::max(upstream.lastAnswer, upstream.lastAsked);
    bool isQuiet =
      view.Primary() == i && this->now - heard >= detail::kQuietPrimary;
    bool isDue = view.Members().MayConfirm(i, this->now) &&
                 (upstream.askWanted || isQuiet) && !upstream.askOpen &&
                 upstream.avoidUntil <= this->now &&
                 this->now - upstream.lastAsked >= detail::kAskInterval;
    if (isDue) {
      this->Ask(aService, { i });
    }
  }
  if (this->now - aService.pointWantedAt <= detail::kPointDemand) {
    view.WantPointSince(this->now - detail::kPointInterval);
  }
  PromotionPhase before = aService.promotion.Phase();
  this->Perform(aService,
                aService.promotion.Step(view, this->mayAct, this->now));
  this->ReportPromotion(aService, before);
  if (this->mayAct) {
    this->KeepRecord(aService);
  }
  this->MendLeftovers(aService);
  this->CloseSurplus(aService);
  this->AskWanted(aService);
}

/**
 * Asks the cheapest listed replica for a report if a statement waits for a
 * proof that the primary still leads. One such request is open at a time.
 */
void
ProxyEngine::AskProof(ProxyService& aService)
{
  ServiceView& view = aService.view;
  if (!aService.proofWanted || aService.proofOpen || !view.Primary()) {
    return;
  }
  std::optional<UpstreamIndex> best;
  for (UpstreamIndex i = 0; i < view.Size(); ++i) {
    const ProxyUpstream& upstream = view.At(i);
    bool mayAsk = view.Primary() != i && view.Members().IsListed(i) &&
                  !upstream.askOpen && upstream.avoidUntil <= this->now &&
                  this->now - upstream.lastAsked >= detail::kProofInterval;
    if (mayAsk &&
        (!best || this->CostOf(aService, i) < this->CostOf(aService, *best))) {
      best = i;
    }
  }
  if (best) {
    aService.proofOpen = true;
    aService.proofWanted = false;
    this->Ask(aService, { *best });
  }
}

void
ProxyEngine::Ask(ProxyService& aService, const AskUpstream& aAsk)
{
  auto waiting = aService.wanted.find(aAsk.upstream);
  bool isPlain = aAsk.kind == StatementKind::Status;
  if (waiting == aService.wanted.end() || !isPlain) {
    aService.wanted[aAsk.upstream] = aAsk;
  }
  aService.view.At(aAsk.upstream).askOpen = true;
  this->AskWanted(aService);
}

/** Sends each waiting command for which a connection is free. */
void
ProxyEngine::AskWanted(ProxyService& aService)
{
  for (auto it = aService.wanted.begin(); it != aService.wanted.end();) {
    AskUpstream ask = it->second;
    if (!aService.view.Members().MayConfirm(ask.upstream, this->now)) {
      aService.view.At(ask.upstream).askOpen = false;
      it = aService.wanted.erase(it);
      continue;
    }
    std::optional<ConnectionId> idle;
    bool isOpening = aService.connections.UsageOf(ask.upstream).opening != 0;
    for (ConnectionId id : aService.connections.ConnectionsOf(ask.upstream)) {
      const ProxyLink& link = this->links.at(id);
      bool isFree = !link.isOpening && link.use == LinkUse::None;
      idle = isFree ? id : idle;
    }
    if (!idle) {
      if (!isOpening && aService.connections.CanOpen(ask.upstream)) {
        this->Open(aService, ask.upstream);
      }
      ++it;
      continue;
    }
    it = aService.wanted.erase(it);
    ProxyLink& link = this->links.at(*idle);
    link.use = LinkUse::Report;
    link.question = ask.kind;
    link.sequence = aService.connections.StartBatch(*idle, this->now);
    link.asked = this->now;
    link.limit = this->now + detail::kAskLimit;
    aService.view.Tried(ask.upstream, this->now);
    aService.view.At(ask.upstream).lastAsked = this->now;
    SessionStatement statement{ ask.kind };
    statement.term = ask.term;
    this->Emit(AskLink{ *idle, "", statement, {} });
  }
}

/**
 * Closes idle connections: to upstreams that are no members any more, beyond
 * this host's share, or unused for `kUnusedSpan`. Connections of a lost host
 * stay open at the upstream for a while, and unused ones would leave no room
 * for the host that replaces it.
 */
void
ProxyEngine::CloseSurplus(ProxyService& aService)
{
  for (UpstreamIndex i = 0; i < aService.view.Size(); ++i) {
    bool isGone = !aService.view.Members().MayConfirm(i, this->now);
    uint32_t open = aService.connections.UsageOf(i).open;
    bool isOverShare = open > aService.share;
    for (ConnectionId id : aService.connections.ConnectionsOf(i)) {
      const ProxyLink& link = this->links.at(id);
      bool isIdle = !link.isOpening && link.use == LinkUse::None;
      bool isUnused =
        open > 1 && this->now - link.lastAnswer >= detail::kUnusedSpan;
      if (isIdle && (isGone || isOverShare || isUnused)) {
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
  if (found == this->links.end() || found->second.use != LinkUse::Report) {
    return;
  }
  ProxyLink& link = found->second;
  ProxyService& service = this->ServiceOf(link.service);
  ServiceView& view = service.view;
  UpstreamIndex index = link.upstream;
  this->Heard(link);
  ProxyUpstream& upstream = view.At(index);
  upstream.askOpen = false;
  service.proofOpen = false;
  if (aEvent.report) {
    auto before = view.Primary();
    Term termBefore = view.CurrentTerm();
    upstream.askWanted = false;
    view.Learn(index, *aEvent.report, link.asked, this->now);
    if (aEvent.report->role == Role::Primary) {
      view.Saw(index, aEvent.report->received, link.asked);
    }
    this->ReportLeader(service, before, termBefore);
    PromotionPhase phaseBefore = service.promotion.Phase();
    this->Perform(
      service,
      service.promotion.Answered(view, index, *aEvent.report, this->now));
    this->ReportPromotion(service, phaseBefore);
    this->NoteLeftover(service, index, *aEvent.report);
  }
  this->Release(link, SessionState::Idle);
}

void
ProxyEngine::ReportPromotion(const ProxyService& aService,
                             PromotionPhase aBefore)
{
  const Promotion& promotion = aService.promotion;
  bool wasRunning = aBefore != PromotionPhase::Idle;
  if (wasRunning == promotion.IsRunning()) {
    return;
  }
  std::vector<std::pair<const char*, std::string>> fields{
    { "service", aService.name },
    { "why", kPromotionReasonNames.TextOf(promotion.Reason()) },
    { "term", std::to_string(aService.view.CurrentTerm()) }
  };
  LogEvent event = LogEvent::FailoverStarted;
  if (wasRunning) {
    bool isWell = promotion.Outcome() == PromotionOutcome::Led ||
                  promotion.Outcome() == PromotionOutcome::Needless;
    event = isWell ? LogEvent::FailoverFinished : LogEvent::FailoverFailed;
    fields.emplace_back("outcome",
                        kPromotionOutcomeNames.TextOf(promotion.Outcome()));
    fields.emplace_back("members", this->DescribeMembers(aService));
  }
  this->Decide(event, "", std::move(fields));
}

/** Each member with the last known end of its log, for log events. */
std::string
ProxyEngine::DescribeMembers(const ProxyService& aService) const
{
  const auto& held = aService.promotion.Held();
  std::string text;
  for (UpstreamIndex i = 0; i < aService.view.Size(); ++i) {
    if (!aService.view.Members().MayConfirm(i, this->now)) {
      continue;
    }
    const ProxyUpstream& upstream = aService.view.At(i);
    auto found = held.find(i);
    text += (text.empty() ? "" : " ") + upstream.entry.id + "=";
    if (found != held.end()) {
      text += "held@" + FormatLogPoint(found->second);
    } else if (upstream.report) {
      text += "last@" + FormatLogPoint(upstream.report->received) + "/" +
              std::to_string((this->now - upstream.reportAsked).ms) + "ms";
    } else {
      text += "unheard";
    }
    text += aService.view.Members().IsListed(i) ? "" : "(unlisted)";
  }
  return text;
}

void
ProxyEngine::ReportLeader(ProxyService& aService,
                          std::optional<UpstreamIndex> aBefore,
                          Term aTermBefore)
{
  auto primary = aService.view.Primary();
  if (primary == aBefore && aService.view.CurrentTerm() == aTermBefore) {
    return;
  }
  std::string id = primary ? aService.view.At(*primary).entry.id : "none";
  this->Decide(LogEvent::PrimarySeen,
               "",
               { { "service", aService.name },
                 { "upstream", id },
                 { "term", std::to_string(aService.view.CurrentTerm()) } });
}

/**
 * Records what has to be undone if the report shows a superseded primary, or a
 * replica that is held for a term that has not begun.
 */
void
ProxyEngine::NoteLeftover(ProxyService& aService,
                          UpstreamIndex aUpstream,
                          const UpstreamReport& aReport)
{
  Term term = aService.view.CurrentTerm();
  bool isSuperseded = aReport.role == Role::Primary && aReport.term < term;
  bool isHeld = aReport.role == Role::Replica && aReport.held > term;
  if (!isSuperseded && !isHeld) {
    aService.leftovers.erase(aUpstream);
    return;
  }
  StatementKind kind =
    isSuperseded ? StatementKind::Demote : StatementKind::Resume;
  Leftover& leftover = aService.leftovers[aUpstream];
  bool isNew = leftover.ask.kind != kind || leftover.held != aReport.held;
  leftover.ask = { aUpstream, kind, isSuperseded ? term : 0 };
  leftover.held = aReport.held;
  leftover.since = isNew ? this->now : leftover.since;
}

/**
 * Whether the stale state may be undone now. A superseded primary may always
 * be demoted. A held replica may be resumed only if the promotion that it was
 * held for has not taken effect and no longer can, because a resumed replica
 * confirms commits of the old primary again. So every order of this or an
 * earlier promoter must have expired, and after that every member must have
 * reported a term below the one that the replica is held for.
 */
bool
ProxyEngine::MayMend(ProxyService& aService, const Leftover& aLeftover) const
{
  if (aLeftover.ask.kind != StatementKind::Resume) {
    return true;
  }
  ServiceView& view = aService.view;
  if (aLeftover.held <= view.CurrentTerm()) {
    return false;
  }
  Time since = std::max({ aLeftover.since,
                          aService.promotion.OrdersOverAt(),
                          this->actsSince + kOrderSpan });
  if (this->now < since) {
    return false;
  }
  view.WantPointSince(since);
  return view.IsTermUnused(aLeftover.held, since, this->now);
}

void
ProxyEngine::MendLeftovers(ProxyService& aService)
{
  if (!this->mayAct || aService.promotion.IsRunning()) {
    return;
  }
  for (const auto& [upstream, leftover] : aService.leftovers) {
    const ProxyUpstream& target = aService.view.At(upstream);
    bool isDue = aService.view.Members().MayConfirm(upstream, this->now) &&
                 !target.askOpen &&
                 this->now - target.lastAsked >= detail::kAskInterval;
    if (isDue && this->MayMend(aService, leftover)) {
      this->Ask(aService, leftover.ask);
    }
  }
}

void
ProxyEngine::Perform(ProxyService& aService, const PromotionSteps& aSteps)
{
  for (const PromotionStep& step : aSteps) {
    if (const auto* ask = std::get_if<AskUpstream>(&step)) {
      this->Ask(aService, *ask);
      continue;
    }
    UpstreamIndex chosen = std::get<OrderPromotion>(step).upstream;
    const ProxyUpstream& upstream = aService.view.At(chosen);
    this->Decide(
      LogEvent::PromotionOrdered,
      "",
      { { "service", aService.name },
        { "upstream", upstream.entry.id },
        { "why", kPromotionReasonNames.TextOf(aService.promotion.Reason()) },
        { "term", std::to_string(aService.view.CurrentTerm() + 1) },
        { "members", this->DescribeMembers(aService) } });
    this->Emit(RequestPromotion{ aService.name, upstream.entry.id });
  }
}

} // namespace marigoldpitch
