#include "history.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

constexpr int kMaxResolveAttempts = 20;

int64_t
CounterValue(const Answer& aAnswer)
{
  bool hasCell = aAnswer.rows.rows.size() == 1 &&
                 aAnswer.rows.rows[0].size() == 1 && aAnswer.rows.rows[0][0];
  return hasCell ? std::atoll(aAnswer.rows.rows[0][0]->c_str()) : -1;
}

void
UpdateLongestGap(Time& aLast, Duration& aLongest, Time aNow)
{
  if (!(aLast == kInfinitePast)) {
    aLongest = std::max(aLongest, aNow - aLast);
  }
  aLast = aNow;
}

} // namespace

History::History(GroupSimulation& aSimulation, const HistoryOptions& aOptions)
  : simulation(aSimulation)
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
History::RandomEntry()
{
  return this->simulation.Random(2);
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
    this->simulation.SubmitRequest(
      this->RandomEntry(), request, [=](const Answer& aAnswer) {
        if (aAnswer.outcome != Outcome::Ok) {
          this->AddViolation("the first write failed: " + aAnswer.message);
          return;
        }
        this->sessions[i].token = aAnswer.token;
        this->ScheduleNext(i);
      });
  }
  this->simulation.RunFor(Seconds(1));
}

void
History::AddViolation(const std::string& aWhat)
{
  this->violations.push_back(std::to_string(this->simulation.Now().ms) +
                             " ms: " + aWhat);
}

void
History::ScheduleNext(size_t aSession)
{
  this->sessions[aSession].idle = true;
  this->simulation.After(this->options.pause, [=] { this->Next(aSession); });
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
    static_cast<int>(this->simulation.Random(100)) < this->options.writePercent;
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
  session.pendingRequestId = request.requestId;
  bool isLost = this->options.loseAnswers && this->simulation.Random(20) == 0;
  this->simulation.SubmitRequest(
    this->RandomEntry(), request, [=](const Answer& aAnswer) {
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
History::WriteAnswered(size_t aSession, const Answer& aAnswer, int aAttempt)
{
  Session& session = this->sessions[aSession];
  if (aAnswer.outcome == Outcome::Unknown) {
    ++this->writesUnknown;
    this->Resolve(aSession, aAttempt + 1);
    return;
  }
  session.unresolved = false;
  session.pendingRequestId.clear();
  if (aAnswer.outcome != Outcome::Ok) {
    ++this->writesNotRun;
    this->ScheduleNext(aSession);
    return;
  }
  if (aAnswer.rows.affected != 1) {
    this->AddViolation(session.name + ": a write affected " +
                       std::to_string(aAnswer.rows.affected) + " rows");
  }
  ++this->writesOk;
  ++session.done;
  session.token = aAnswer.token;
  Time now = this->simulation.Now();
  session.acknowledged.emplace_back(now, session.done);
  UpdateLongestGap(this->lastWrite, this->longestWriteGap, now);
  this->ScheduleNext(aSession);
}

void
History::Resolve(size_t aSession, int aAttempt)
{
  Session& session = this->sessions[aSession];
  if (aAttempt > kMaxResolveAttempts) {
    return; // `CheckFinalState` accepts either outcome
  }
  Request request = this->MakeRequest(session, Operation::Resolve);
  request.requestId = session.pendingRequestId;
  this->simulation.SubmitRequest(
    this->RandomEntry(), request, [=](const Answer& aAnswer) {
      this->WriteAnswered(aSession, aAnswer, aAttempt);
    });
}

void
History::Read(size_t aSession)
{
  Session& session = this->sessions[aSession];
  size_t target =
    session.isReader
      ? this->simulation.Random(static_cast<uint32_t>(this->sessions.size()))
      : aSession;
  bool isTolerant = session.isReader || this->simulation.Random(4) != 0;
  Request request = this->MakeRequest(session, Operation::Read);
  if (isTolerant) {
    request.maxAge = this->options.maxAge;
    request.priority = Priority::Tolerant;
  }
  request.statement = { "SELECT value FROM counters WHERE key = $1",
                        { this->sessions[target].name } };
  Time asked = this->simulation.Now();
  bool isOracleRead = isTolerant && this->options.countOracleReads &&
                      this->HasFreshReplica(session);
  this->oracleReads += isOracleRead ? 1 : 0;
  this->simulation.SubmitRequest(
    this->RandomEntry(), request, [=](const Answer& aAnswer) {
      this->ReadAnswered(aSession, target, asked, isTolerant, aAnswer);
    });
}

bool
History::HasFreshReplica(const Session& aSession) const
{
  for (size_t i = 0; i < this->simulation.config.upstreams.size(); ++i) {
    auto age = this->simulation.ActualAge(i);
    if (age && *age <= this->options.maxAge &&
        this->simulation.VisibleProgress(i).Covers(aSession.token)) {
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
    this->ScheduleNext(aSession);
    return;
  }
  ++this->readsOk;
  this->replicaReads += aAnswer.source == Source::Replica ? 1 : 0;
  bool isReplicaRead = aTolerant && aAnswer.source == Source::Replica;
  this->tolerantReplicaReads += isReplicaRead ? 1 : 0;
  int64_t value = CounterValue(aAnswer);
  const Session& target = this->sessions[aTarget];
  // The row of another session may not exist yet, which counts as 0.
  if (aSession != aTarget) {
    value = std::max<int64_t>(value, 0);
  }
  if (aSession == aTarget) {
    if (value < session.done) {
      this->AddViolation(session.name + " wrote " +
                         std::to_string(session.done) + " and read " +
                         std::to_string(value));
    }
    if (value < session.seen) {
      this->AddViolation(session.name + " saw " + std::to_string(session.seen) +
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
    this->AddViolation(session.name + " read " + std::to_string(value) +
                       " of " + target.name + ", but " + std::to_string(due) +
                       " was acknowledged longer ago than the maximum age");
  }
  if (!aAnswer.token.IsUnset()) {
    session.token = aAnswer.token;
  }
  // Only readers count: sessions that write also wait while there is no
  // primary.
  if (session.isReader) {
    UpdateLongestGap(
      this->lastRead, this->longestReadGap, this->simulation.Now());
  }
  this->ScheduleNext(aSession);
}

void
History::CheckFinalState(Duration aLimit)
{
  this->Stop();
  this->simulation.RunFor(aLimit);
  auto primary = this->simulation.ActualPrimary();
  if (!primary) {
    this->AddViolation("no primary at the end");
    return;
  }
  for (const Session& session : this->sessions) {
    int64_t value = std::atoll(
      this->simulation.Value(*primary, "counters", session.name).c_str());
    int64_t most = session.done + (session.pendingRequestId.empty() ? 0 : 1);
    if (value < session.done || value > most) {
      this->AddViolation(session.name + " has " + std::to_string(value) +
                         " but should have " + std::to_string(session.done) +
                         " to " + std::to_string(most) + " by its answers");
    }
  }
}

} // namespace marigoldpitch::fakes
