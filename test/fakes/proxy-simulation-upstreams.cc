#include "fakes/proxy-simulation.h"

#include <algorithm>

// The upstreams of `ProxySimulation`: statements and promotion.

namespace marigoldpitch::fakes {

namespace {

constexpr Duration kPromotionRequestDelay = Millis(1);

} // namespace

/** The end of a primary's log; of a replica's, the point after `aCount`. */
LogPoint
ProxySimulation::LogPointAfter(const FakeUpstream& aUpstream,
                               size_t aCount) const
{
  size_t count =
    aUpstream.role == Role::Primary ? aUpstream.log.size() : aCount;
  return { aUpstream.term, count };
}

bool
ProxySimulation::HasApplied(const FakeUpstream& aUpstream,
                            const LogPoint& aPoint) const
{
  size_t shown =
    aUpstream.role == Role::Primary ? aUpstream.log.size() : aUpstream.applied;
  return aPoint.term <= aUpstream.term && shown >= aPoint.position;
}

UpstreamReport
ProxySimulation::Report(FakeUpstream& aUpstream, const SendToUpstream& aAction)
{
  const SessionStatement& statement = aAction.statement;
  bool isReplica = aUpstream.role == Role::Replica;
  if (statement.kind == StatementKind::Hold && isReplica &&
      statement.term > aUpstream.term) {
    aUpstream.held = statement.term;
  } else if (statement.kind == StatementKind::Resume) {
    aUpstream.held = 0;
    this->Follow(aUpstream);
  } else if (statement.kind == StatementKind::Demote && !isReplica &&
             aUpstream.term < statement.term) {
    this->StepDown(aUpstream);
  }
  UpstreamReport report;
  report.role = aUpstream.role;
  report.term = aUpstream.term;
  report.logEnd = { aUpstream.term, aUpstream.log.size() };
  report.held = aUpstream.held;
  report.connections =
    static_cast<uint32_t>(this->OpenLinks(&aUpstream - this->upstreams.data()));
  return report;
}

/** Statements of a transaction that has read or written before may be late. */
void
ProxySimulation::CheckDeparture(const FakeLink& aLink,
                                FakeRequest& aRequest) const
{
  const FakeUpstream& upstream = this->upstreams[aLink.upstream];
  bool isLate = this->Now() > upstream.departed + kDrainTime;
  if (isLate && !aLink.hasRun) {
    aRequest.violation = "reached a leaving upstream after its drain time";
  }
}

void
ProxySimulation::CheckSettings(const FakeLink& aLink,
                               FakeRequest& aRequest) const
{
  if (aLink.settings != aRequest.settings) {
    aRequest.violation = "ran with another session's settings";
  }
}

void
ProxySimulation::CheckText(const FakeLink& aLink,
                           const SessionStatement& aStatement,
                           FakeRequest& aRequest) const
{
  const SessionStatement& sent = aRequest.statement;
  bool isSame = !aRequest.isInvalid && sent.kind == aStatement.kind &&
                sent.arguments == aStatement.arguments;
  if (aStatement.kind != StatementKind::Execute) {
    isSame = isSame && sent.name == aStatement.name;
  } else {
    const PreparedStatement& run = aLink.prepared.at(aStatement.name);
    isSame = isSame && aRequest.prepared &&
             aRequest.prepared->writes == run.writes &&
             aRequest.prepared->preparedText == run.preparedText;
  }
  if (!isSame) {
    aRequest.violation = "ran with another text";
  }
}

StatementReply
ProxySimulation::Execute(FakeLink& aLink, const SendToUpstream& aAction)
{
  StatementReply reply;
  reply.state = aLink.state;
  const SessionStatement& statement = aAction.statement;
  bool writes = statement.kind == StatementKind::Write;
  if (statement.kind == StatementKind::Execute) {
    auto prepared = aLink.prepared.find(statement.name);
    if (prepared == aLink.prepared.end()) {
      reply.failure = StatementFailure{ FailureCode::NoStatement, "" };
      return reply;
    }
    writes = prepared->second.writes;
  }
  FakeRequest* request = this->Find(aAction.requestId);
  if (request != nullptr) {
    this->CheckText(aLink, statement, *request);
  }
  switch (statement.kind) {
    case StatementKind::Reset:
      aLink.settings.clear();
      aLink.prepared.clear();
      return reply;
    case StatementKind::SetValue:
      aLink.settings[statement.name] = statement.arguments;
      return reply;
    case StatementKind::Prepare:
      aLink.prepared[statement.name] = { statement.writes,
                                         statement.preparedText };
      this->mostPrepared = std::max(this->mostPrepared, aLink.prepared.size());
      return reply;
    case StatementKind::Forget:
      aLink.prepared.erase(statement.name);
      return reply;
    case StatementKind::RollBack:
      aLink.pendingWrites.clear();
      aLink.hasRun = false;
      aLink.state = SessionState::Idle;
      reply.state = aLink.state;
      return reply;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
      if (aAction.after &&
          !this->HasApplied(this->upstreams[aLink.upstream], *aAction.after)) {
        reply.failure = StatementFailure{ FailureCode::Behind, "" };
        return reply;
      }
      aLink.readOnly = statement.kind == StatementKind::BeginReadOnly;
      if (!aLink.readOnly &&
          this->upstreams[aLink.upstream].role != Role::Primary) {
        reply.failure = StatementFailure{ FailureCode::ReadOnly, "" };
        return reply;
      }
      aLink.state = SessionState::InTransaction;
      aLink.hasRun = false;
      reply.state = aLink.state;
      return reply;
    case StatementKind::Commit:
      aLink.hasRun = false;
      return this->Commit(aLink, aAction);
    default:
      aLink.hasRun = aLink.state == SessionState::InTransaction;
      return writes ? this->Write(aLink, aAction) : this->Read(aLink, aAction);
  }
}

StatementReply
ProxySimulation::Read(FakeLink& aLink, const SendToUpstream& aAction)
{
  StatementReply reply;
  reply.state = aLink.state;
  FakeUpstream& upstream = this->upstreams[aLink.upstream];
  if (aAction.after && !this->HasApplied(upstream, *aAction.after)) {
    reply.failure = StatementFailure{ FailureCode::Behind, "" };
    return reply;
  }
  FakeRequest& request = *this->Find(aAction.requestId);
  ++request.runs;
  this->CheckSettings(aLink, request);
  size_t shown =
    upstream.role == Role::Primary ? upstream.log.size() : upstream.applied;
  if (shown < request.requiredEntries) {
    request.violation = "read a log that lacks an acknowledged commit";
  }
  for (size_t i = 0; i < request.requiredEntries && i < shown; ++i) {
    if (upstream.log[i].value != this->acknowledged[i].value) {
      request.violation = "read a log with another history";
    }
  }
  reply.rows = { std::to_string(shown) };
  reply.signature = "s-" + aAction.requestId;
  return reply;
}

StatementReply
ProxySimulation::Write(FakeLink& aLink, const SendToUpstream& aAction)
{
  StatementReply reply;
  reply.state = aLink.state;
  FakeUpstream& upstream = this->upstreams[aLink.upstream];
  if (upstream.role != Role::Primary) {
    reply.failure = StatementFailure{ FailureCode::ReadOnly, "" };
    return reply;
  }
  FakeRequest& request = *this->Find(aAction.requestId);
  ++request.runs;
  this->CheckSettings(aLink, request);
  LogEntry entry{ upstream.term,
                  aAction.statement.name,
                  aAction.statement.arguments };
  reply.signature = "s-" + aAction.requestId;
  if (aLink.state == SessionState::InTransaction) {
    aLink.pendingWrites.push_back(entry);
    return reply;
  }
  bool isConfirmed = this->Append(upstream, { entry });
  this->NoteCommit(request, aLink.upstream);
  ++request.effects;
  if (!isConfirmed) {
    reply.signature = "none";
  }
  return reply;
}

StatementReply
ProxySimulation::Commit(FakeLink& aLink, const SendToUpstream& aAction)
{
  StatementReply reply;
  aLink.state = SessionState::Idle;
  reply.signature = "s-" + aAction.requestId;
  std::vector<LogEntry> pendingWrites = std::exchange(aLink.pendingWrites, {});
  FakeRequest* sender = this->Find(aAction.requestId);
  if (sender != nullptr &&
      pendingWrites.size() <
        this->openWrites[{ sender->host, sender->caller }]) {
    sender->violation = "commits without a write of its transaction";
  }
  if (pendingWrites.empty()) {
    return reply;
  }
  FakeUpstream& upstream = this->upstreams[aLink.upstream];
  if (upstream.role != Role::Primary) {
    reply.failure = StatementFailure{ FailureCode::ReadOnly, "" };
    return reply;
  }
  FakeRequest& request = *this->Find(aAction.requestId);
  ++request.effects;
  if (!this->Append(upstream, pendingWrites)) {
    reply.signature = "none";
  }
  this->NoteCommit(request, aLink.upstream);
  return reply;
}

/** The request's writes are the last entries of the upstream's log. */
void
ProxySimulation::NoteCommit(FakeRequest& aRequest, size_t aUpstream) const
{
  const FakeUpstream& primary = this->upstreams[aUpstream];
  aRequest.committed = primary.log.back();
  aRequest.committedAt = aUpstream;
  aRequest.commitEnd = primary.log.size();
}

/**
 * The caller has been told that its commit is kept, and so is all that lies
 * before it. The log of the newest primary must have it, whether that one was
 * promoted before or after.
 */
void
ProxySimulation::NoteAcknowledged(const FakeRequest& aRequest)
{
  const FakeUpstream& leader = this->upstreams[this->PrimaryIndex()];
  size_t end = aRequest.commitEnd;
  bool isKept = end <= leader.log.size() &&
                leader.log[end - 1].value == aRequest.committed.value &&
                leader.log[end - 1].term == aRequest.committed.term;
  if (!isKept) {
    this->lost +=
      "an acknowledged commit is lost: " + aRequest.committed.value + "\n";
    return;
  }
  while (this->acknowledged.size() < end) {
    this->acknowledged.push_back(leader.log[this->acknowledged.size()]);
    this->acknowledgedAt.push_back(this->Now());
  }
}

/** Returns a line for each acknowledged commit that the log lacks. */
std::string
ProxySimulation::LostCommits(const FakeUpstream& aPrimary) const
{
  std::string text;
  for (size_t i = 0; i < this->acknowledged.size(); ++i) {
    const std::string& value = this->acknowledged[i].value;
    bool isHeld = i < aPrimary.log.size() && aPrimary.log[i].value == value;
    if (!isHeld) {
      text += "an acknowledged commit is lost: " + value + "\n";
    }
  }
  return text;
}

void
ProxySimulation::Promote(const RequestPromotion& aAction, size_t aHost)
{
  bool isAccepted = true;
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    if (this->upstreams[i].entry.id == aAction.upstream) {
      isAccepted = this->upstreams[i].isAlive || !this->options.refusesEnded;
      this->queue.After(this->options.promotionTime,
                        [this, i] { this->BecomePrimary(i); });
    }
  }
  std::string service = aAction.service;
  this->After(aHost, kPromotionRequestDelay, [=] {
    this->Send(aHost, PromotionOrdered{ service, isAccepted });
  });
}

void
ProxySimulation::BecomePrimary(size_t aUpstream)
{
  FakeUpstream& leader = this->upstreams[aUpstream];
  if (leader.role == Role::Primary || !leader.isAlive) {
    return;
  }
  ++this->promotions;
  Term highest = 0;
  for (const FakeUpstream& other : this->upstreams) {
    highest = std::max(highest, other.term);
  }
  leader.role = Role::Primary;
  leader.term = highest + 1;
  leader.held = 0;
  leader.applied = leader.log.size();
  this->lost += this->LostCommits(leader);
  for (FakeUpstream& other : this->upstreams) {
    // Without replication an upstream does not learn of the new term either.
    if (!other.isReplicationBlocked &&
        this->AreConnected(this->IndexOf(other), aUpstream)) {
      other.held = 0;
    }
    this->Follow(other);
  }
  this->StepDownLater();
}

void
ProxySimulation::Kill(size_t aUpstream)
{
  this->upstreams[aUpstream].isAlive = false;
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    this->Reset(host, aUpstream);
  }
}

void
ProxySimulation::Reset(size_t aHost, size_t aUpstream)
{
  std::vector<LinkKey> lost;
  for (const auto& [key, link] : this->links) {
    if (key.first == aHost && link.upstream == aUpstream) {
      lost.push_back(key);
    }
  }
  for (const LinkKey& key : lost) {
    this->links.erase(key);
    this->Send(key.first, LinkLost{ key.second, {} });
  }
}

size_t
ProxySimulation::AddUpstream()
{
  size_t index = this->upstreams.size();
  this->upstreams.push_back(this->NewUpstream(index));
  this->Follow(this->upstreams[index]);
  return index;
}

void
ProxySimulation::Restart(size_t aUpstream)
{
  FakeUpstream& upstream = this->upstreams[aUpstream];
  ++upstream.entry.incarnation;
  upstream.isAlive = true;
  upstream.held = 0;
  this->StepDown(upstream);
  for (FakeUpstream& other : this->upstreams) {
    this->Follow(other);
  }
  this->StepDownLater();
}

void
ProxySimulation::RestartEmpty(size_t aUpstream)
{
  FakeUpstream& upstream = this->upstreams[aUpstream];
  upstream.role = Role::Replica;
  upstream.term = 0;
  upstream.log.clear();
  upstream.applied = 0;
  this->Restart(aUpstream);
}

void
ProxySimulation::EndTransactions()
{
  for (auto& [key, link] : this->links) {
    link.state = SessionState::Idle;
    link.pendingWrites.clear();
  }
}

void
ProxySimulation::Silence(size_t aHost, size_t aUpstream)
{
  for (auto& [key, link] : this->links) {
    if (key.first == aHost && link.upstream == aUpstream) {
      link.isSilent = true;
    }
  }
}

} // namespace marigoldpitch::fakes
