#include "history.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

constexpr int kResolveTries = 20;

int64_t
NumberIn(const Answer& aAnswer)
{
  bool hasCell = aAnswer.rows.rows.size() == 1 &&
                 aAnswer.rows.rows[0].size() == 1 && aAnswer.rows.rows[0][0];
  return hasCell ? std::atoll(aAnswer.rows.rows[0][0]->c_str()) : -1;
}

void
NoteGap(Time& aLast, Duration& aLongest, Time aNow)
{
  if (!(aLast == kInfinitePast)) {
    aLongest = std::max(aLongest, aNow - aLast);
  }
  aLast = aNow;
}

} // namespace

History::History(World& aWorld, const HistoryOptions& aOptions)
  : world(aWorld)
  , options(aOptions)
{
  for (size_t i = 0; i < aOptions.sessions; ++i) {
    Session session;
    session.name = "session-" + std::to_string(i);
    session.isReader = i % 3 == 2;
    this->sessions.push_back(session);
  }
}

Request
History::MakeRequest(const Session& aSession, Operation aOperation) const
{
  Request request;
  request.operation = aOperation;
  request.session = aSession.name;
  request.token = aSession.token;
  request.unresolved = aSession.unresolved;
  request.timeout = this->options.timeout;
  request.zone = "zone-1";
  return request;
}

size_t
History::AnyEntry()
{
  return this->world.Random(2);
}

void
History::Start()
{
  for (size_t i = 0; i < this->sessions.size(); ++i) {
    Request request = this->MakeRequest(this->sessions[i], Operation::Write);
    request.requestId = this->sessions[i].name + "-first";
    request.firstAttempt = true;
    request.statement = { "INSERT INTO counters (key, value) VALUES ($1, $2)",
                          { this->sessions[i].name, std::string("0") } };
    this->sessions[i].idle = false;
    this->world.Ask(this->AnyEntry(), request, [=](const Answer& aAnswer) {
      if (aAnswer.outcome != Outcome::Ok) {
        this->Violated("the first write failed: " + aAnswer.message);
        return;
      }
      this->sessions[i].token = aAnswer.token;
      this->Again(i);
    });
  }
  this->world.RunFor(Seconds(1));
}

void
History::Violated(const std::string& aWhat)
{
  this->violations.push_back(std::to_string(this->world.Now().ms) +
                             " ms: " + aWhat);
}

void
History::Again(size_t aSession)
{
  this->sessions[aSession].idle = true;
  this->world.After(this->options.pause, [=] { this->Next(aSession); });
}

void
History::Next(size_t aSession)
{
  Session& session = this->sessions[aSession];
  if (this->stopping || !session.idle) {
    return;
  }
  session.idle = false;
  bool isWrite =
    !session.isReader &&
    static_cast<int>(this->world.Random(100)) < this->options.writePercent;
  if (isWrite) {
    this->Write(aSession);
  } else {
    this->Read(aSession);
  }
}

void
History::Write(size_t aSession)
{
  Session& session = this->sessions[aSession];
  Request request = this->MakeRequest(session, Operation::Write);
  request.requestId = session.name + "-" + std::to_string(++session.requests);
  request.firstAttempt = true;
  request.statement = { "UPDATE counters SET value = value + $2 WHERE key = $1",
                        { session.name, std::string("1") } };
  session.openId = request.requestId;
  bool isLost = this->options.loseAnswers && this->world.Random(20) == 0;
  this->world.Ask(this->AnyEntry(), request, [=](const Answer& aAnswer) {
    if (isLost) {
      // The answer is lost: the caller does not know the outcome.
      this->sessions[aSession].unresolved = true;
      this->Resolve(aSession, 0);
      return;
    }
    this->WriteAnswered(aSession, aAnswer, 0);
  });
}

void
History::WriteAnswered(size_t aSession, const Answer& aAnswer, int aTry)
{
  Session& session = this->sessions[aSession];
  if (aAnswer.outcome == Outcome::Unknown) {
    ++this->writesUnknown;
    this->Resolve(aSession, aTry + 1);
    return;
  }
  session.unresolved = false;
  session.openId.clear();
  if (aAnswer.outcome != Outcome::Ok) {
    ++this->writesNotRun;
    this->Again(aSession);
    return;
  }
  if (aAnswer.rows.affected != 1) {
    this->Violated(session.name + ": a write affected " +
                   std::to_string(aAnswer.rows.affected) + " rows");
  }
  ++this->writesOk;
  ++session.done;
  session.token = aAnswer.token;
  Time now = this->world.Now();
  session.acknowledged.emplace_back(now, session.done);
  NoteGap(this->lastWrite, this->longestWriteGap, now);
  this->Again(aSession);
}

void
History::Resolve(size_t aSession, int aTry)
{
  Session& session = this->sessions[aSession];
  if (aTry > kResolveTries) {
    return; // `Settle` accepts either outcome
  }
  Request request = this->MakeRequest(session, Operation::Resolve);
  request.requestId = session.openId;
  this->world.Ask(this->AnyEntry(), request, [=](const Answer& aAnswer) {
    this->WriteAnswered(aSession, aAnswer, aTry);
  });
}

void
History::Read(size_t aSession)
{
  Session& session = this->sessions[aSession];
  size_t target =
    session.isReader
      ? this->world.Random(static_cast<uint32_t>(this->sessions.size()))
      : aSession;
  bool isTolerant = session.isReader || this->world.Random(4) != 0;
  Request request = this->MakeRequest(session, Operation::Read);
  if (isTolerant) {
    request.maxAge = this->options.maxAge;
    request.priority = Priority::Tolerant;
  }
  request.statement = { "SELECT value FROM counters WHERE key = $1",
                        { this->sessions[target].name } };
  Time asked = this->world.Now();
  bool isOracles = isTolerant && this->options.countsOracle &&
                   this->HasTrulyFreshReplica(session);
  this->oracleReads += isOracles ? 1 : 0;
  this->world.Ask(this->AnyEntry(), request, [=](const Answer& aAnswer) {
    this->ReadAnswered(aSession, target, asked, isTolerant, aAnswer);
  });
}

bool
History::HasTrulyFreshReplica(const Session& aSession) const
{
  for (size_t i = 0; i < this->world.config.upstreams.size(); ++i) {
    auto age = this->world.TrueAge(i);
    if (age && *age <= this->options.maxAge &&
        this->world.VisibleProgress(i).Covers(aSession.token)) {
      return true;
    }
  }
  return false;
}

void
History::ReadAnswered(size_t aSession,
                      size_t aTarget,
                      Time aAsked,
                      bool aTolerant,
                      const Answer& aAnswer)
{
  Session& session = this->sessions[aSession];
  this->tolerantReads += aTolerant ? 1 : 0;
  if (aAnswer.outcome != Outcome::Ok) {
    ++this->readsRefused;
    this->Again(aSession);
    return;
  }
  ++this->readsOk;
  this->replicaReads += aAnswer.source == Source::Replica ? 1 : 0;
  bool isReplicas = aTolerant && aAnswer.source == Source::Replica;
  this->tolerantReplicaReads += isReplicas ? 1 : 0;
  int64_t value = NumberIn(aAnswer);
  const Session& target = this->sessions[aTarget];
  // The row of another session may not exist yet, which counts as 0.
  if (aSession != aTarget) {
    value = std::max<int64_t>(value, 0);
  }
  if (aSession == aTarget) {
    if (value < session.done) {
      this->Violated(session.name + " wrote " + std::to_string(session.done) +
                     " and read " + std::to_string(value));
    }
    if (value < session.seen) {
      this->Violated(session.name + " saw " + std::to_string(session.seen) +
                     " and then " + std::to_string(value));
    }
    session.seen = std::max(session.seen, value);
  }
  // A read must show every write that was acknowledged longer ago than the
  // maximum age.
  Duration age = aTolerant ? this->options.maxAge : Duration{};
  Time horizon = aAsked - age;
  int64_t due = 0;
  for (const auto& [at, done] : target.acknowledged) {
    if (at <= horizon) {
      due = done;
    }
  }
  if (value < due) {
    this->Violated(session.name + " read " + std::to_string(value) + " of " +
                   target.name + ", but " + std::to_string(due) +
                   " was acknowledged longer ago than the maximum age");
  }
  if (!aAnswer.token.IsUnset()) {
    session.token = aAnswer.token;
  }
  // Only readers count: sessions that write also wait while there is no
  // primary.
  if (session.isReader) {
    NoteGap(this->lastRead, this->longestReadGap, this->world.Now());
  }
  this->Again(aSession);
}

void
History::Settle(Duration aLimit)
{
  this->Stop();
  this->world.RunFor(aLimit);
  auto primary = this->world.TruePrimary();
  if (!primary) {
    this->Violated("no primary at the end");
    return;
  }
  for (const Session& session : this->sessions) {
    int64_t value =
      std::atoll(this->world.Value(*primary, "counters", session.name).c_str());
    int64_t most = session.done + (session.openId.empty() ? 0 : 1);
    if (value < session.done || value > most) {
      this->Violated(session.name + " has " + std::to_string(value) +
                     " but should have " + std::to_string(session.done) +
                     " to " + std::to_string(most) + " by its answers");
    }
  }
}

} // namespace marigoldpitch::fakes
