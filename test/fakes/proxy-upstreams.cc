#include "fakes/proxy-world.h"

#include <algorithm>

// The upstreams of `ProxyWorld`: statements, replication and promotion.

namespace marigoldpitch::fakes {

namespace {

constexpr Duration kPromoteSpan = Millis(300);
constexpr Duration kOrderSpan = Millis(1);

} // namespace

LogPoint
ProxyWorld::EndOf(const FakeUpstream& aUpstream, size_t aCount) const
{
  size_t count =
    aUpstream.role == Role::Primary ? aUpstream.log.size() : aCount;
  return { aUpstream.term, count };
}

bool
ProxyWorld::Holds(const FakeUpstream& aUpstream, const LogPoint& aPoint) const
{
  size_t shown =
    aUpstream.role == Role::Primary ? aUpstream.log.size() : aUpstream.applied;
  return aPoint.term <= aUpstream.term && shown >= aPoint.position;
}

UpstreamReport
ProxyWorld::Report(FakeUpstream& aUpstream, const SendToUpstream& aAction)
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
  report.received = { aUpstream.term, aUpstream.log.size() };
  report.held = aUpstream.held;
  return report;
}

void
ProxyWorld::CheckValues(const FakeLink& aLink, FakeRequest& aRequest) const
{
  if (aLink.values != aRequest.values) {
    aRequest.wrong = "ran with another session's values";
  }
}

StatementReply
ProxyWorld::Execute(FakeLink& aLink, const SendToUpstream& aAction)
{
  StatementReply reply;
  reply.state = aLink.state;
  const SessionStatement& statement = aAction.statement;
  bool writes = statement.writes && (statement.kind == StatementKind::Write ||
                                     statement.kind == StatementKind::Execute);
  switch (statement.kind) {
    case StatementKind::Reset:
      aLink.values.clear();
      aLink.prepared.clear();
      return reply;
    case StatementKind::SetValue:
      aLink.values[statement.name] = statement.arguments;
      return reply;
    case StatementKind::Prepare:
      aLink.prepared[statement.name] = { statement.writes, statement.shape };
      return reply;
    case StatementKind::RollBack:
      aLink.written.clear();
      aLink.state = SessionState::Idle;
      reply.state = aLink.state;
      return reply;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
      if (aAction.after &&
          !this->Holds(this->upstreams[aLink.upstream], *aAction.after)) {
        reply.refusal = Refusal{ RefusalCode::Behind, "" };
        return reply;
      }
      aLink.readOnly = statement.kind == StatementKind::BeginReadOnly;
      if (!aLink.readOnly &&
          this->upstreams[aLink.upstream].role != Role::Primary) {
        reply.refusal = Refusal{ RefusalCode::ReadOnly, "" };
        return reply;
      }
      aLink.state = SessionState::InTransaction;
      reply.state = aLink.state;
      return reply;
    case StatementKind::Commit:
      return this->Commit(aLink, aAction);
    default:
      return writes ? this->Write(aLink, aAction) : this->Read(aLink, aAction);
  }
}

StatementReply
ProxyWorld::Read(FakeLink& aLink, const SendToUpstream& aAction)
{
  StatementReply reply;
  reply.state = aLink.state;
  FakeUpstream& upstream = this->upstreams[aLink.upstream];
  if (aAction.after && !this->Holds(upstream, *aAction.after)) {
    reply.refusal = Refusal{ RefusalCode::Behind, "" };
    return reply;
  }
  FakeRequest& request = *this->Find(aAction.requestId);
  ++request.runs;
  this->CheckValues(aLink, request);
  size_t shown =
    upstream.role == Role::Primary ? upstream.log.size() : upstream.applied;
  if (shown < request.mustShow) {
    request.wrong = "read a log that lacks an acknowledged commit";
  }
  for (size_t i = 0; i < request.mustShow && i < shown; ++i) {
    if (upstream.log[i].value != this->acknowledged[i].value) {
      request.wrong = "read a log with another history";
    }
  }
  reply.rows = { std::to_string(shown) };
  reply.signature = "s-" + aAction.requestId;
  return reply;
}

StatementReply
ProxyWorld::Write(FakeLink& aLink, const SendToUpstream& aAction)
{
  StatementReply reply;
  reply.state = aLink.state;
  FakeUpstream& upstream = this->upstreams[aLink.upstream];
  if (upstream.role != Role::Primary) {
    reply.refusal = Refusal{ RefusalCode::ReadOnly, "" };
    return reply;
  }
  FakeRequest& request = *this->Find(aAction.requestId);
  ++request.runs;
  this->CheckValues(aLink, request);
  LogEntry entry{ upstream.term,
                  aAction.statement.name,
                  aAction.statement.arguments };
  reply.signature = "s-" + aAction.requestId;
  if (aLink.state == SessionState::InTransaction) {
    aLink.written.push_back(entry);
    return reply;
  }
  bool isConfirmed = this->Append(upstream, { entry });
  ++request.effects;
  if (!isConfirmed) {
    reply.signature = "none";
  }
  return reply;
}

StatementReply
ProxyWorld::Commit(FakeLink& aLink, const SendToUpstream& aAction)
{
  StatementReply reply;
  aLink.state = SessionState::Idle;
  reply.signature = "s-" + aAction.requestId;
  std::vector<LogEntry> written = std::exchange(aLink.written, {});
  if (written.empty()) {
    return reply;
  }
  FakeUpstream& upstream = this->upstreams[aLink.upstream];
  if (upstream.role != Role::Primary) {
    reply.refusal = Refusal{ RefusalCode::ReadOnly, "" };
    return reply;
  }
  FakeRequest& request = *this->Find(aAction.requestId);
  ++request.effects;
  if (!this->Append(upstream, written)) {
    reply.signature = "none";
  }
  return reply;
}

/**
 * Appends to the log and replicates. Returns false if no replica received the
 * entries, so that the commit is not acknowledged.
 */
bool
ProxyWorld::Append(FakeUpstream& aPrimary,
                   const std::vector<LogEntry>& aEntries)
{
  aPrimary.log.insert(aPrimary.log.end(), aEntries.begin(), aEntries.end());
  bool isConfirmed = false;
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    FakeUpstream& replica = this->upstreams[i];
    bool follows = replica.role == Role::Replica && replica.isAlive &&
                   !replica.isDeaf && replica.held <= aPrimary.term &&
                   replica.term <= aPrimary.term;
    if (!follows) {
      continue;
    }
    replica.log = aPrimary.log;
    replica.term = aPrimary.term;
    isConfirmed = true;
    size_t end = replica.log.size();
    this->queue.After(replica.lag, [this, i, end] {
      FakeUpstream& late = this->upstreams[i];
      late.applied = std::max(late.applied, std::min(end, late.log.size()));
    });
  }
  if (isConfirmed) {
    // Checked now, as `acknowledged` is replaced by this log in the next line.
    this->lost += this->LostFrom(aPrimary);
    this->acknowledged = aPrimary.log;
    this->acknowledgedAt.resize(aPrimary.log.size(), this->Now());
  }
  return isConfirmed;
}

/** Returns a line for each acknowledged commit that the log lacks. */
std::string
ProxyWorld::LostFrom(const FakeUpstream& aPrimary) const
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
ProxyWorld::Promote(const RequestPromotion& aAction, size_t aHost)
{
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    if (this->upstreams[i].entry.id == aAction.upstream) {
      this->queue.After(kPromoteSpan, [this, i] { this->Lead(i); });
    }
  }
  std::string service = aAction.service;
  this->After(aHost, kOrderSpan, [this, aHost, service] {
    this->Send(aHost, PromotionOrdered{ service, true });
  });
}

void
ProxyWorld::Lead(size_t aUpstream)
{
  FakeUpstream& leader = this->upstreams[aUpstream];
  if (leader.role == Role::Primary || !leader.isAlive) {
    return;
  }
  ++this->promotions;
  Term highest = 0;
  for (const FakeUpstream& one : this->upstreams) {
    highest = std::max(highest, one.term);
  }
  leader.role = Role::Primary;
  leader.term = highest + 1;
  leader.held = 0;
  leader.applied = leader.log.size();
  for (FakeUpstream& one : this->upstreams) {
    // Without replication an upstream does not learn of the new term either.
    if (!one.isDeaf) {
      one.held = 0;
    }
    this->Follow(one);
  }
  this->StepDownLater();
}

/** Copies the primary's term and log, if the replica may follow it. */
void
ProxyWorld::Follow(FakeUpstream& aReplica)
{
  const FakeUpstream& leader = this->upstreams[this->PrimaryIndex()];
  bool follows = leader.role == Role::Primary && leader.isAlive &&
                 aReplica.role == Role::Replica && aReplica.isAlive &&
                 !aReplica.isDeaf && aReplica.held <= leader.term &&
                 aReplica.term <= leader.term;
  if (follows) {
    aReplica.term = leader.term;
    aReplica.log = leader.log;
    aReplica.applied = leader.log.size();
  }
}

/** Makes a replaced primary a replica of its successor, if it reaches it. */
void
ProxyWorld::StepDown(FakeUpstream& aPrimary)
{
  const FakeUpstream& leader = this->upstreams[this->PrimaryIndex()];
  bool mayFollow = leader.isAlive && aPrimary.isAlive && !aPrimary.isDeaf &&
                   aPrimary.role == Role::Primary;
  if (mayFollow && leader.term > aPrimary.term) {
    aPrimary.role = Role::Replica;
    this->Follow(aPrimary);
  }
}

/** Schedules `StepDown` for each replaced primary. */
void
ProxyWorld::StepDownLater()
{
  if (!this->options.stepsDownAfter) {
    return;
  }
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    if (this->upstreams[i].role == Role::Primary && this->PrimaryIndex() != i) {
      this->queue.After(*this->options.stepsDownAfter,
                        [this, i] { this->StepDown(this->upstreams[i]); });
    }
  }
}

void
ProxyWorld::SetDeaf(size_t aUpstream, bool aIsDeaf)
{
  this->upstreams[aUpstream].isDeaf = aIsDeaf;
  this->Follow(this->upstreams[aUpstream]);
  this->StepDownLater();
}

void
ProxyWorld::Kill(size_t aUpstream)
{
  this->upstreams[aUpstream].isAlive = false;
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    this->Reset(host, aUpstream);
  }
}

void
ProxyWorld::Reset(size_t aHost, size_t aUpstream)
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
ProxyWorld::AddUpstream()
{
  size_t index = this->upstreams.size();
  this->upstreams.push_back(this->NewUpstream(index));
  this->Follow(this->upstreams[index]);
  return index;
}

void
ProxyWorld::Restart(size_t aUpstream)
{
  FakeUpstream& upstream = this->upstreams[aUpstream];
  upstream.isAlive = true;
  upstream.held = 0;
  this->StepDown(upstream);
  for (FakeUpstream& one : this->upstreams) {
    this->Follow(one);
  }
  this->StepDownLater();
}

void
ProxyWorld::RestartEmpty(size_t aUpstream)
{
  FakeUpstream& upstream = this->upstreams[aUpstream];
  upstream.role = Role::Replica;
  upstream.term = 0;
  upstream.log.clear();
  upstream.applied = 0;
  this->Restart(aUpstream);
}

void
ProxyWorld::Silence(size_t aHost, size_t aUpstream)
{
  for (auto& [key, link] : this->links) {
    if (key.first == aHost && link.upstream == aUpstream) {
      link.isSilent = true;
    }
  }
}

} // namespace marigoldpitch::fakes
