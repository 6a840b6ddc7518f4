#include "marigoldpitch/coordination/proxy/proxy-engine.h"

#include <algorithm>

// The setup of a connection: it gets the settings of the session whose
// statement it runs next, and what that statement executes.

namespace marigoldpitch {

namespace detail {

// A connection that was idle for longer is tested by a reset before a write,
// because a write whose answer is lost cannot be repeated.
constexpr Duration kTestAfterIdle = Millis(500);

} // namespace detail

/**
 * The state in which the upstream must be before the session's statement is
 * sent: the statement would run outside its transaction otherwise.
 */
SessionState
ProxyEngine::ExpectedState(const CallerSession& aSession)
{
  return aSession.pinned == 0 ? SessionState::Idle
                              : SessionState::InTransaction;
}

/**
 * Sends the setup statements that give the connection the session's settings
 * and prepare the statement there.
 */
void
ProxyEngine::SendSetup(ProxyLink& aLink, CallerSession& aSession)
{
  PendingStatement& pending = *aSession.pending;
  if (aSession.pinned == 0 && this->NeedsReset(aLink, aSession)) {
    aLink.needsReset = false;
    aLink.values.clear();
    aLink.prepared.Clear();
    this->SendSetupStatement(aLink, { StatementKind::Reset });
  }
  for (const auto& [name, value] : aSession.values) {
    auto found = aLink.values.find(name);
    if (found == aLink.values.end() || found->second != value) {
      aLink.values[name] = value;
      this->SendSetupStatement(aLink, { StatementKind::SetValue, name, value });
    }
  }
  if (pending.statement.kind == StatementKind::Execute) {
    this->SendPrepare(aLink, pending);
  }
}

/**
 * Whether the connection has settings that the session lacks, or must be tested
 * before a write.
 */
bool
ProxyEngine::NeedsReset(const ProxyLink& aLink,
                        const CallerSession& aSession) const
{
  bool needsTest = aSession.pending->writes &&
                   this->now - aLink.lastAnswer >= detail::kTestAfterIdle;
  bool hasForeignSettings = std::any_of(
    aLink.values.begin(), aLink.values.end(), [&](const auto& aSetting) {
      return aSession.values.count(aSetting.first) == 0;
    });
  return aLink.needsReset || needsTest || hasForeignSettings;
}

void
ProxyEngine::SendPrepare(ProxyLink& aLink, PendingStatement& aPending)
{
  auto placement =
    aLink.prepared.Use({ aPending.writes, aPending.statement.preparedText });
  aPending.preparedAs = placement.name;
  for (const std::string& name : placement.forgotten) {
    this->SendSetupStatement(aLink, { StatementKind::Forget, name });
  }
  if (placement.isNew) {
    SessionStatement prepare{ StatementKind::Prepare, placement.name };
    prepare.writes = aPending.writes;
    prepare.preparedText = aPending.statement.preparedText;
    this->SendSetupStatement(aLink, prepare);
  }
}

void
ProxyEngine::SendSetupStatement(ProxyLink& aLink,
                                const SessionStatement& aStatement)
{
  size_t bytes = aStatement.name.size() + aStatement.arguments.size() +
                 aStatement.preparedText.size();
  aLink.openSetups.push_back({ aStatement.kind, bytes });
  this->Emit(SendToUpstream{ aLink.id, "", aStatement, {} });
}

void
ProxyEngine::HandleSetupReply(ProxyLink& aLink,
                              CallerSession& aSession,
                              const StatementReply& aReply)
{
  OpenSetup setup = aLink.openSetups.front();
  aLink.openSetups.pop_front();
  if (aReply.failure) {
    this->LogRefusedSetup(aLink, *aSession.pending, setup, *aReply.failure);
    this->HandleRefusedSetup(aLink, aSession, setup, aReply);
  } else if (aReply.state != ExpectedState(aSession)) {
    this->Close(aLink.id, false);
  } else if (aLink.openSetups.empty()) {
    this->SendNext(aLink, aSession);
  }
}

void
ProxyEngine::LogRefusedSetup(const ProxyLink& aLink,
                             const PendingStatement& aPending,
                             const OpenSetup& aSetup,
                             const StatementFailure& aFailure)
{
  const ServiceView& view = this->ServiceOf(aLink.service).view;
  this->AddDecision(LogEvent::SetupRefused,
                    aPending.requestId,
                    { { "upstream", view.At(aLink.upstream).registration.id },
                      { "setup", kStatementKindNames.TextOf(aSetup.kind) },
                      { "bytes", std::to_string(aSetup.bytes) },
                      { "code", kFailureCodeNames.TextOf(aFailure.code) },
                      { "why", aFailure.text } });
}

/**
 * The upstream has refused a setup statement, so the session's statement did
 * not run. A text of the caller's that is invalid there is invalid at any
 * upstream. After any other failure it is not known what the connection has.
 */
void
ProxyEngine::HandleRefusedSetup(ProxyLink& aLink,
                                CallerSession& aSession,
                                const OpenSetup& aSetup,
                                const StatementReply& aReply)
{
  StatementFailure failure = *aReply.failure;
  bool isCallersText = aSetup.kind == StatementKind::SetValue ||
                       aSetup.kind == StatementKind::Prepare;
  bool isInvalid =
    failure.code == FailureCode::Invalid || failure.code == FailureCode::TooBig;
  if (!isCallersText || !isInvalid) {
    this->Close(aLink.id, false);
    return;
  }
  bool isCommit = aSession.pending->statement.kind == StatementKind::Commit;
  bool inTransaction = aSession.state == SessionState::InTransaction;
  aSession.pending->connection = 0;
  aSession.pinned = 0;
  this->Abandon(aLink, aReply.state);
  if (inTransaction) {
    aSession.state = isCommit ? SessionState::Idle : SessionState::Failed;
  }
  this->AnswerFailure(
    aSession, isCommit ? FailureCode::Aborted : failure.code, failure.text);
}

/**
 * Gives up the use of a connection that has taken only a part of its setup
 * statements. It is reset before its next use.
 */
void
ProxyEngine::Abandon(ProxyLink& aLink, SessionState aState)
{
  aLink.values.clear();
  aLink.prepared.Clear();
  aLink.needsReset = true;
  if (aLink.openSetups.empty()) {
    this->Release(aLink, aState);
    return;
  }
  aLink.use = LinkUse::Orphan;
  aLink.caller = 0;
  aLink.limit = this->now + kOrphanTimeout;
}

} // namespace marigoldpitch
