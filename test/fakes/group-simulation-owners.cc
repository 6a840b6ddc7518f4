#include "group-simulation.h"

#include "marigoldpitch/protocol/upstream-sql.h"

#include <algorithm>

namespace marigoldpitch::fakes {

// Owners.

void
GroupSimulation::TickOwner(size_t aOwner, uint64_t aIncarnation)
{
  if (this->owners[aOwner].incarnation != aIncarnation) {
    return;
  }
  this->HandleOwnerEvent(aOwner, Tick{});
  Duration next = this->owners[aOwner].engine->TickInterval();
  Time frozen = this->owners[aOwner].frozenUntil;
  if (this->Now() < frozen) {
    next = frozen - this->Now() + Millis(1);
  }
  this->After(next, [=] { this->TickOwner(aOwner, aIncarnation); });
}

void
GroupSimulation::HandleOwnerEvent(size_t aOwner, const GroupEvent& aEvent)
{
  Owner& owner = this->owners[aOwner];
  if (!owner.alive) {
    return;
  }
  if (this->Now() < owner.frozenUntil) {
    Duration left = owner.frozenUntil - this->Now();
    if (!std::holds_alternative<Tick>(aEvent)) {
      this->After(left, [=] { this->HandleOwnerEvent(aOwner, aEvent); });
    }
    return;
  }
  GroupActions actions = owner.engine->Handle(this->Now(), aEvent);
  for (const GroupAction& action : actions) {
    this->Perform(aOwner, action);
  }
}

void
GroupSimulation::Perform(size_t aOwner, const GroupAction& aAction)
{
  if (const auto* open = std::get_if<OpenConnection>(&aAction)) {
    this->OpenConnectionFor(aOwner, *open);
  } else if (const auto* close = std::get_if<CloseConnection>(&aAction)) {
    this->CloseConnectionFor(aOwner, close->connection);
  } else if (const auto* run = std::get_if<RunBatch>(&aAction)) {
    this->RunBatchFor(aOwner, *run);
  } else if (const auto* send = std::get_if<SendAnswer>(&aAction)) {
    auto found = this->ownerRequests.find(send->handle);
    if (found != this->ownerRequests.end()) {
      auto done = std::move(found->second);
      this->ownerRequests.erase(found);
      done(send->answer);
    }
  } else if (const auto* probe = std::get_if<ProbeUpstream>(&aAction)) {
    if (probe->useNewConnection) {
      this->owners[aOwner].silentAdminConnections.erase(probe->upstream);
    }
    this->RunAdminStatement(
      aOwner,
      probe->upstream,
      StatusSql(),
      [=, probe = *probe](const auto* aResult) {
        if (aResult == nullptr) {
          this->HandleOwnerEvent(aOwner,
                                 StatusFailed{ probe.upstream, probe.probe });
          return;
        }
        auto status = ParseStatus(aResult->rows);
        this->HandleOwnerEvent(
          aOwner,
          StatusAnswered{ probe.upstream, probe.probe, status.value() });
      });
  } else if (const auto* adopt = std::get_if<AdoptTerm>(&aAction)) {
    this->RunAdminStatement(
      aOwner,
      adopt->upstream,
      AdoptTermSql(adopt->term),
      [=, adopt = *adopt](const auto* aResult) {
        if (aResult == nullptr) {
          return;
        }
        if (!aResult->done) {
          Term current = std::stoull(aResult->message);
          this->HandleOwnerEvent(
            aOwner, TermRefused{ adopt.upstream, adopt.term, current });
          return;
        }
        auto log = ParseAdoptedLog(aResult->rows);
        this->HandleOwnerEvent(
          aOwner, TermAdopted{ adopt.upstream, adopt.term, log.value() });
      });
  } else if (const auto* promote = std::get_if<Promote>(&aAction)) {
    this->RunAdminStatement(
      aOwner,
      promote->upstream,
      PromoteSql(promote->term),
      [=, promote = *promote](const auto* aResult) {
        if (aResult == nullptr || !aResult->done) {
          this->HandleOwnerEvent(
            aOwner, PromotionFailed{ promote.upstream, promote.term });
          return;
        }
        auto start = ParsePromotionStart(aResult->rows);
        this->HandleOwnerEvent(
          aOwner, Promoted{ promote.upstream, promote.term, start.value() });
      });
  } else if (const auto* follow = std::get_if<Follow>(&aAction)) {
    const Endpoint& primary = this->config.upstreams[follow->primary].endpoint;
    this->RunAdminStatement(aOwner,
                            follow->upstream,
                            FollowSql(follow->term, primary),
                            [](const auto*) {});
  } else if (const auto* reserve = std::get_if<ReserveTerms>(&aAction)) {
    if (!this->storeDown) {
      Term first = std::max(reserve->above, this->lastReserved) + 1;
      this->lastReserved = first + 7;
      this->After(this->Latency() + this->Latency(), [=] {
        this->HandleOwnerEvent(aOwner, TermsGranted{ first, first + 7 });
      });
    }
  } else if (const auto* observe = std::get_if<Observe>(&aAction)) {
    this->retries += observe->observation == Observation::Retry ? 1 : 0;
  }
}

} // namespace marigoldpitch::fakes
