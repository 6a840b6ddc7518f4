#include "transactions.h"

namespace marigoldpitch::fakes {

namespace {
constexpr int kMaxResolveAttempts = 20;
} // namespace

Transactions::Transactions(GroupSimulation& aSimulation,
                           size_t aSessions,
                           bool aInjectsFailures)
  : simulation(aSimulation)
  , injectsFailures(aInjectsFailures)
{
  for (size_t i = 0; i < aSessions; ++i) {
    Session session;
    session.name = "pair-" + std::to_string(i);
    this->sessions.push_back(session);
  }
}

Request
Transactions::MakeRequest(size_t aSession, Operation aOperation) const
{
  Request request;
  request.operation = aOperation;
  request.session = this->sessions[aSession].name;
  request.transaction = this->sessions[aSession].transaction;
  return request;
}

void
Transactions::Start()
{
  for (size_t i = 0; i < this->sessions.size(); ++i) {
    this->InsertRow(
      i, "a", [=] { this->InsertRow(i, "b", [=] { this->Begin(i); }); });
  }
  this->simulation.RunFor(Millis(500));
}

void
Transactions::InsertRow(size_t aSession,
                        const std::string& aRow,
                        std::function<void()> aThen)
{
  Request request = this->MakeRequest(aSession, Operation::Write);
  request.requestId = this->sessions[aSession].name + aRow;
  request.firstAttempt = true;
  request.statement = { "INSERT INTO pairs (key, value) VALUES ($1, $2)",
                        { request.requestId, std::string("0") } };
  this->simulation.SubmitRequest(0, request, [=](const Answer& aAnswer) {
    if (aAnswer.outcome != Outcome::Ok) {
      this->violations.push_back("inserting a row failed: " + aAnswer.message);
      return;
    }
    aThen();
  });
}

void
Transactions::ScheduleNext(size_t aSession)
{
  this->sessions[aSession].transaction.clear();
  if (!this->stopping) {
    this->simulation.After(Millis(5), [=] { this->Begin(aSession); });
  }
}

void
Transactions::Begin(size_t aSession)
{
  if (this->stopping) {
    return;
  }
  Request request = this->MakeRequest(aSession, Operation::Begin);
  this->simulation.SubmitRequest(
    this->simulation.Random(2), request, [=](const Answer& aAnswer) {
      if (aAnswer.outcome != Outcome::Ok) {
        ++this->notCommitted;
        this->ScheduleNext(aSession);
        return;
      }
      this->sessions[aSession].transaction = aAnswer.transaction;
      this->Increment(aSession, "a", [=] {
        this->Increment(aSession, "b", [=] { this->Commit(aSession); });
      });
    });
}

void
Transactions::Increment(size_t aSession,
                        const std::string& aRow,
                        std::function<void()> aThen)
{
  // Some sessions abandon their transaction or time out after 1 ms; the
  // transaction must then leave no effect.
  if (this->injectsFailures && this->simulation.Random(15) == 0) {
    ++this->notCommitted;
    this->ScheduleNext(aSession);
    return;
  }
  Request request = this->MakeRequest(aSession, Operation::Statement);
  request.timeout = Millis(
    this->injectsFailures && this->simulation.Random(10) == 0 ? 1 : 2000);
  request.statement = { "UPDATE pairs SET value = value + $2 WHERE key = $1",
                        { this->sessions[aSession].name + aRow,
                          std::string("1") } };
  this->simulation.SubmitRequest(
    this->simulation.Random(2), request, [=](const Answer& aAnswer) {
      if (aAnswer.outcome != Outcome::Ok) {
        ++this->failed;
        this->RollBack(aSession);
        return;
      }
      aThen();
    });
}

void
Transactions::RollBack(size_t aSession)
{
  ++this->notCommitted;
  Request request = this->MakeRequest(aSession, Operation::RollBack);
  this->simulation.SubmitRequest(
    this->simulation.Random(2), request, [=](const Answer&) {
      this->ScheduleNext(aSession);
    });
}

void
Transactions::Commit(size_t aSession)
{
  Session& session = this->sessions[aSession];
  Request request = this->MakeRequest(aSession, Operation::Commit);
  request.requestId = session.name + "-" + std::to_string(++session.commits);
  request.firstAttempt = true;
  session.requestId = request.requestId;
  this->simulation.SubmitRequest(
    this->simulation.Random(2), request, [=](const Answer& aAnswer) {
      this->CommitAnswered(aSession, aAnswer, 0);
    });
}

void
Transactions::CommitAnswered(size_t aSession,
                             const Answer& aAnswer,
                             int aAttempt)
{
  Session& session = this->sessions[aSession];
  if (aAnswer.outcome == Outcome::Ok) {
    ++session.acknowledged;
    ++this->committed;
  } else if (aAnswer.outcome == Outcome::Unknown &&
             aAttempt < kMaxResolveAttempts) {
    Request request = this->MakeRequest(aSession, Operation::Resolve);
    request.transaction.clear();
    request.requestId = session.requestId;
    this->simulation.SubmitRequest(
      this->simulation.Random(2), request, [=](const Answer& aNext) {
        this->CommitAnswered(aSession, aNext, aAttempt + 1);
      });
    return;
  } else if (aAnswer.outcome == Outcome::Unknown) {
    ++session.unknown;
  } else {
    ++this->notCommitted;
    ++this->failed;
  }
  this->ScheduleNext(aSession);
}

void
Transactions::Check()
{
  auto primary = this->simulation.ActualPrimary();
  for (const Session& session : this->sessions) {
    std::string a =
      this->simulation.Value(*primary, "pairs", session.name + "a");
    std::string b =
      this->simulation.Value(*primary, "pairs", session.name + "b");
    int64_t value = std::atoll(a.c_str());
    bool isConsistent = a == b && value >= session.acknowledged &&
                        value <= session.acknowledged + session.unknown;
    if (!isConsistent) {
      this->violations.push_back(session.name + ": rows a and b are " + a +
                                 " and " + b +
                                 "; expected equal values of at least " +
                                 std::to_string(session.acknowledged) +
                                 " (acknowledged commits), and at most one "
                                 "more per commit of unknown outcome");
    }
  }
}

} // namespace marigoldpitch::fakes
