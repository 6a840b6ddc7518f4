#include "fakes/proxy-simulation.h"

#include <algorithm>

// The callers of `ProxySimulation`: their sessions, statements and replies.

namespace marigoldpitch::fakes {

CallerId
ProxySimulation::OpenSession(size_t aHost,
                             const std::string& aDatabase,
                             const KeyHash& aKey)
{
  CallerId caller = ++this->lastCaller;
  this->keys[caller] = aKey;
  this->Send(aHost, SessionOpened{ caller, aDatabase, aKey });
  return caller;
}

void
ProxySimulation::CloseSession(size_t aHost, CallerId aCaller)
{
  this->openRequests.erase({ aHost, aCaller });
  this->Send(aHost, SessionClosed{ aCaller });
}

std::shared_ptr<FakeRequest>
ProxySimulation::AddRequest(size_t aHost,
                            CallerId aCaller,
                            const SessionStatement& aStatement)
{
  auto request = std::make_shared<FakeRequest>();
  request->host = aHost;
  request->caller = aCaller;
  request->statement = aStatement;
  request->sent = this->Now();
  Time from = this->Now();
  if (this->options.freshness != Freshness::Newest) {
    from = from - this->options.maxAge;
  }
  for (Time at : this->acknowledgedAt) {
    request->requiredEntries += at < from ? 1 : 0;
  }
  request->customer = this->HolderOf(aHost, this->keys[aCaller]);
  request->settings = this->settings[{ aHost, aCaller }];
  const auto& named = this->prepared[{ aHost, aCaller }];
  auto found = named.find(aStatement.name);
  if (aStatement.kind == StatementKind::Execute && found != named.end()) {
    request->prepared = found->second;
  }
  request->id = "r" + std::to_string(this->requests.size());
  this->requests.push_back(request);
  this->byId[request->id] = request;
  this->openRequests[{ aHost, aCaller }].push_back(request);
  return request;
}

std::shared_ptr<FakeRequest>
ProxySimulation::SubmitStatement(size_t aHost,
                                 CallerId aCaller,
                                 const SessionStatement& aStatement,
                                 bool aIsFollowed)
{
  auto request = this->AddRequest(aHost, aCaller, aStatement);
  this->Send(
    aHost,
    StatementArrived{ aCaller, request->id, aStatement, {}, aIsFollowed });
  return request;
}

std::shared_ptr<FakeRequest>
ProxySimulation::SubmitText(size_t aHost,
                            CallerId aCaller,
                            const std::string& aText,
                            const std::optional<SessionStatement>& aMeaning)
{
  auto request =
    this->AddRequest(aHost, aCaller, aMeaning.value_or(SessionStatement{}));
  request->isInvalid = !aMeaning;
  this->Send(aHost,
             this->options.path->FromCaller(aCaller, request->id, aText));
  return request;
}

/** The session has what the reply acknowledges. */
void
ProxySimulation::NoteReply(FakeRequest& aRequest, const StatementReply& aReply)
{
  aRequest.reply = aReply;
  aRequest.answered = this->Now();
  if (aReply.failure) {
    return;
  }
  if (aRequest.commitEnd != 0) {
    this->NoteAcknowledged(aRequest);
  }
  const SessionStatement& statement = aRequest.statement;
  std::pair<size_t, CallerId> session{ aRequest.host, aRequest.caller };
  bool writes = statement.kind == StatementKind::Write ||
                (aRequest.prepared && aRequest.prepared->writes);
  if (aReply.state != SessionState::InTransaction) {
    this->openWrites[session] = 0;
  } else if (writes) {
    ++this->openWrites[session];
  }
  if (statement.kind == StatementKind::SetValue) {
    this->settings[session][statement.name] = statement.arguments;
  } else if (statement.kind == StatementKind::Prepare) {
    this->prepared[session][statement.name] = { statement.writes,
                                                statement.preparedText };
  } else if (statement.kind == StatementKind::Forget) {
    this->prepared[session].erase(statement.name);
  }
}

std::shared_ptr<FakeRequest>
ProxySimulation::SubmitAndWait(size_t aHost,
                               CallerId aCaller,
                               const SessionStatement& aStatement)
{
  auto request = this->SubmitStatement(aHost, aCaller, aStatement);
  for (int i = 0; i < 3000 && !request->reply; ++i) {
    this->RunFor(Millis(1));
  }
  return request;
}

FakeRequest*
ProxySimulation::Find(const std::string& aRequestId)
{
  auto found = this->byId.find(aRequestId);
  return found == this->byId.end() ? nullptr : found->second.get();
}

size_t
ProxySimulation::Placed(const std::string& aRole) const
{
  auto found = this->placed.find(aRole);
  return found == this->placed.end() ? 0 : found->second;
}

} // namespace marigoldpitch::fakes
