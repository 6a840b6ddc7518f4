#include "marigoldpitch/coordination/proxy/proxy-engine.h"

// Log lines about promotions, primaries and leaving upstreams.

namespace marigoldpitch {

void
ProxyEngine::LogPromotion(const ProxyService& aService, PromotionPhase aBefore)
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
    bool isSuccess = promotion.Outcome() == PromotionOutcome::Succeeded ||
                     promotion.Outcome() == PromotionOutcome::NotNeeded;
    event = isSuccess ? LogEvent::FailoverFinished : LogEvent::FailoverFailed;
    fields.emplace_back("outcome",
                        kPromotionOutcomeNames.TextOf(promotion.Outcome()));
    fields.emplace_back("members", this->DescribeMembers(aService));
  }
  this->AddDecision(event, "", std::move(fields));
}

/** Each member with the last known end of its replication log, as text. */
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
    text += (text.empty() ? "" : " ") + upstream.registration.id + "=";
    if (found != held.end()) {
      text += "held@" + FormatLogPoint(found->second.logEnd);
    } else if (upstream.report) {
      text += "last@" + FormatLogPoint(upstream.report->logEnd) + "/" +
              std::to_string((this->now - upstream.reportAsked).ms) + "ms";
    } else {
      text += "unheard";
    }
    text += aService.view.Members().IsListed(i) ? "" : "(unlisted)";
  }
  return text;
}

/** Logs how this host has learned that the upstream leaves or has left. */
void
ProxyEngine::LogDeparture(const ProxyService& aService,
                          UpstreamIndex aUpstream,
                          const std::string& aPeer)
{
  const Departure& departure = aService.view.DepartureOf(aUpstream);
  this->AddDecision(
    LogEvent::UpstreamLeaving,
    "",
    { { "service", aService.name },
      { "upstream", aService.view.At(aUpstream).registration.id },
      { "as", aService.view.Primary() == aUpstream ? "primary" : "replica" },
      { "departure", kDepartureStateNames.TextOf(departure.state) },
      { "from", aPeer.empty() ? "store" : aPeer },
      { "serving_ms", this->DescribeAge(departure.lastServing) } });
}

void
ProxyEngine::LogFinishedDepartures(ProxyService& aService)
{
  for (UpstreamIndex i = 0; i < aService.view.Size(); ++i) {
    auto departure = aService.view.TakeFinishedDeparture(i, this->now);
    if (!departure) {
      continue;
    }
    Time since =
      departure->WasSeenServing() ? departure->lastServing : departure->learned;
    Duration span = departure->lastStatement - since;
    this->Emit(ObserveDeparture{ span });
    this->AddDecision(
      LogEvent::UpstreamLeft,
      "",
      { { "service", aService.name },
        { "upstream", aService.view.At(i).registration.id },
        { "departure", kDepartureStateNames.TextOf(departure->state) },
        { "last_statement_ms", std::to_string(span.ms) },
        { "was_seen_serving", departure->WasSeenServing() ? "yes" : "no" } });
  }
}

void
ProxyEngine::LogPrimary(ProxyService& aService,
                        std::optional<UpstreamIndex> aBefore,
                        Term aTermBefore)
{
  auto primary = aService.view.Primary();
  if (primary == aBefore && aService.view.CurrentTerm() == aTermBefore) {
    return;
  }
  std::string id =
    primary ? aService.view.At(*primary).registration.id : "none";
  this->AddDecision(
    LogEvent::PrimarySeen,
    "",
    { { "service", aService.name },
      { "upstream", id },
      { "term", std::to_string(aService.view.CurrentTerm()) } });
}

/** Logs that the candidate is resumed after the order, and why. */
void
ProxyEngine::LogReleasedCandidate(const ProxyService& aService,
                                  const CandidateReleased& aReleased)
{
  const ServiceView& view = aService.view;
  this->AddDecision(
    LogEvent::CandidateReleased,
    "",
    { { "service", aService.name },
      { "upstream", view.At(aReleased.candidate).registration.id },
      { "for", view.At(aReleased.upstream).registration.id },
      { "hold", kHoldLossNames.TextOf(aReleased.loss) },
      { "members", this->DescribeMembers(aService) } });
}

std::set<std::string>
ProxyEngine::ServedServices() const
{
  std::set<std::string> served;
  for (const auto& [name, service] : this->services) {
    if (service.isServedHere) {
      served.insert(name);
    }
  }
  return served;
}

/** Logs what another list of hosts has changed in what this host serves. */
void
ProxyEngine::LogServing(const std::set<std::string>& aBefore)
{
  std::set<std::string> after = this->ServedServices();
  if (after == aBefore) {
    return;
  }
  size_t kept = 0;
  for (const std::string& name : after) {
    kept += aBefore.count(name);
  }
  this->AddDecision(LogEvent::ServingChanged,
                    "",
                    { { "hosts", std::to_string(this->hosts) },
                      { "services", std::to_string(this->services.size()) },
                      { "served", std::to_string(after.size()) },
                      { "begun", std::to_string(after.size() - kept) },
                      { "ended", std::to_string(aBefore.size() - kept) } });
}

} // namespace marigoldpitch
