#include "marigoldpitch/coordination/proxy/proxy-engine.h"

// A host that is to end ends its callers' sessions one after the other, at a
// moment when nothing that was read from them is open. A caller that has just
// been answered has not sent its next statement yet, so that is the best one.

namespace marigoldpitch {

namespace detail {

// A caller that has been silent for this long after an answer is unlikely to
// send its next statement just now.
constexpr Duration kSilentTime = Millis(100);
constexpr char kShutDownText[] = "this host is shutting down";

} // namespace detail

void
ProxyEngine::On(const ProxyDrainRequested& aEvent)
{
  if (this->IsDraining()) {
    return;
  }
  this->drain.Start(this->now, aEvent.grace);
  this->AddDecision(LogEvent::DrainStarted,
                    "",
                    { { "sessions", std::to_string(this->sessions.size()) } });
}

/**
 * Whether it is the session's turn to be ended. Sessions of other hosts end
 * with their statement or transaction.
 */
bool
ProxyEngine::MayEndSession(const CallerSession& aSession) const
{
  if (aSession.state != SessionState::Idle) {
    return this->CurrentDrainStage() >= DrainStage::EndingTransactions;
  }
  return !aSession.origin && this->drain.MayEndOneMore(this->now,
                                                       this->OwnSessions(),
                                                       this->endedSessions);
}

/** Ends sessions that have just been answered and whose turn it is. */
void
ProxyEngine::EndAnsweredSessions()
{
  for (CallerId id : std::exchange(this->answeredSessions, {})) {
    auto found = this->sessions.find(id);
    if (found == this->sessions.end()) {
      continue;
    }
    CallerSession& session = found->second;
    bool isBusy =
      session.pending || !session.inbox.empty() || session.isFollowed;
    if (!session.isLeaving && !this->MayEndSession(session)) {
      continue;
    }
    if (isBusy) {
      this->LeaveAfterAnswers(session);
    } else {
      this->EndDrainedSession(id);
    }
  }
}

/** Ends sessions that are silent, or lets them end with their next answer. */
void
ProxyEngine::DrainSessions()
{
  DrainStage stage = this->CurrentDrainStage();
  if (stage < DrainStage::Ending) {
    return;
  }
  if (stage == DrainStage::Over) {
    this->EndAllSessions();
    return;
  }
  std::vector<CallerId> ids;
  for (const auto& [id, session] : this->sessions) {
    ids.push_back(id);
  }
  for (CallerId id : ids) {
    this->DrainSession(this->sessions.at(id));
  }
}

void
ProxyEngine::DrainSession(CallerSession& aSession)
{
  bool isBusy = aSession.pending || !aSession.inbox.empty();
  bool isSilent = this->now - aSession.lastActive >= detail::kSilentTime;
  if (isBusy) {
    bool isLast = this->CurrentDrainStage() > DrainStage::Ending;
    if (isLast && !aSession.origin && this->MayEndSession(aSession)) {
      this->LeaveAfterAnswers(aSession);
    }
  } else if (isSilent && this->MayEndSession(aSession)) {
    this->EndDrainedSession(aSession.id);
  }
}

void
ProxyEngine::LeaveAfterAnswers(CallerSession& aSession)
{
  if (!std::exchange(aSession.isLeaving, true)) {
    ++this->endedSessions;
    this->Emit(StopReading{ aSession.id });
  }
}

/** Ends a session of which nothing is open. */
void
ProxyEngine::EndDrainedSession(CallerId aCaller)
{
  auto found = this->sessions.find(aCaller);
  bool isRelayed = found != this->sessions.end() && found->second.origin;
  if (!isRelayed) {
    bool isCounted = found != this->sessions.end() && found->second.isLeaving;
    this->endedSessions += isCounted ? 0 : 1;
    this->Emit(
      EndSession{ aCaller, { FailureCode::Aborted, detail::kShutDownText } });
  }
  this->On(SessionClosed{ aCaller });
}

/**
 * Answers what is still open with what is true of it, and ends all sessions.
 * What was read behind an open statement begins once that is answered, and is
 * then given up as well.
 */
void
ProxyEngine::EndAllSessions()
{
  for (const SessionOpened& opened :
       std::exchange(this->sessionsAwaitingConfig, {})) {
    this->EndDrainedSession(opened.caller);
  }
  std::vector<CallerId> ids;
  for (const auto& [id, session] : this->sessions) {
    ids.push_back(id);
  }
  for (CallerId id : ids) {
    CallerSession& session = this->sessions.at(id);
    while (session.pending) {
      this->CancelPermit(session);
      this->GiveUp(session, detail::kShutDownText);
    }
    this->EndDrainedSession(id);
  }
}

} // namespace marigoldpitch
