#include "session.h"

#include "marigoldpitch/state/outcome.h"
#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>

#include <array>

namespace marigoldpitch::load {

namespace detail {
constexpr int kMaxResolveAttempts = 10;
constexpr Duration kResolveDelay = Millis(50);
constexpr size_t kSessionsPerReader = 4;
} // namespace detail

Session::Session(Loop& aLoop,
                 Caller& aCaller,
                 const LoadPlan& aPlan,
                 LoadStats& aStats,
                 WriteHistory& aHistory,
                 size_t aIndex)
  : loop(aLoop)
  , caller(aCaller)
  , plan(aPlan)
  , stats(aStats)
  , history(aHistory)
  , random(aPlan.seed * 1000 + static_cast<uint32_t>(aIndex))
  , name(fmt::format("load-{}-{}", aPlan.seed, aIndex))
  , isReader(aPlan.readsOnly || aIndex % detail::kSessionsPerReader == 0)
{
}

void
Session::Start(Time aEnd)
{
  this->end = aEnd;
  this->ScheduleStep();
}

void
Session::ScheduleStep()
{
  if (this->plan.pause.ms == 0) {
    this->RunStep();
    return;
  }
  this->loop.After(this->plan.pause, [this] { this->RunStep(); });
}

void
Session::RunStep()
{
  if (ReadMonotonicClock() >= this->end) {
    this->done = true;
    return;
  }
  this->entry = this->caller.ChooseEntry(this->random);
  switch (this->DrawStep()) {
    case LoadStep::Order:
      this->Write("order");
      return;
    case LoadStep::Payment:
      this->Write("payment");
      return;
    case LoadStep::StockRead:
      this->Read("stock");
      return;
    case LoadStep::OwnRead:
      this->Read("");
      return;
    case LoadStep::Transaction:
      this->Begin();
      return;
  }
}

LoadStep
Session::DrawStep()
{
  // One session in four only reads, so that a gap in writes does not appear as
  // a gap in reads.
  if (this->isReader && !this->lastKey.empty()) {
    return LoadStep::StockRead;
  }
  // Of 20 steps: 3 orders, 2 payments, 11 stock reads, 3 own reads and
  // 1 transaction, in the order of `LoadStep`.
  static constexpr std::array<int, 5> kStepWeights{ 3, 2, 11, 3, 1 };
  int drawn = static_cast<int>(this->random() % 20);
  for (size_t i = 0; i < kStepWeights.size(); ++i) {
    drawn -= kStepWeights[i];
    if (drawn < 0) {
      return static_cast<LoadStep>(i);
    }
  }
  return LoadStep::StockRead;
}

v1::Context
Session::MakeContext(const std::string& aService) const
{
  v1::Context context;
  context.set_group(this->plan.group);
  context.set_session(this->name);
  context.set_token(this->token);
  context.set_service(aService);
  return context;
}

std::string
Session::NewKey()
{
  return fmt::format("{}-{}", this->name, ++this->keyCount);
}

bool
Session::CountReply(const Reply& aReply)
{
  ++this->stats.requests;
  this->stats.latencies.push_back(aReply.latencyMicros);
  if (!aReply.isAnswered) {
    ++this->stats.lost;
    return false;
  }
  if (!aReply.hasError) {
    if (!aReply.answer.token().empty()) {
      this->token = aReply.answer.token();
    }
    return true;
  }
  const std::string& outcome = aReply.error.outcome();
  if (outcome == kOutcomeNames.NameOf(Outcome::NotRun)) {
    ++this->stats.notRun;
  } else if (outcome == kOutcomeNames.NameOf(Outcome::Unknown)) {
    ++this->stats.unknown;
  } else {
    ++this->stats.refused;
    fmt::print(stderr, "refused: {}: {}\n", outcome, aReply.error.message());
  }
  return false;
}

bool
Session::IsNotRun(const Reply& aReply)
{
  return aReply.hasError &&
         (aReply.error.outcome() == kOutcomeNames.NameOf(Outcome::NotRun) ||
          aReply.error.outcome() == kOutcomeNames.NameOf(Outcome::Conflict) ||
          aReply.error.outcome() == kOutcomeNames.NameOf(Outcome::Invalid));
}

void
Session::ReportWrong(const std::string& aWhat)
{
  ++this->stats.wrong;
  fmt::print(stderr, "wrong: {}: {}\n", this->name, aWhat);
}

void
Session::Write(const std::string& aService)
{
  std::string key = this->NewKey();
  std::string value = "value of " + key;
  v1::ExecuteRequest request;
  *request.mutable_context() = this->MakeContext(aService);
  request.set_request_id("id-" + key);
  request.set_first_attempt(true);
  request.set_sql("INSERT INTO orders (key, value) VALUES ($1, $2)");
  AddParameter(request.mutable_parameters(), key);
  AddParameter(request.mutable_parameters(), value);
  this->history.values[key] = value;
  this->history.writes[key] = WriteOutcome::Open;
  auto done = [this, key](const Reply& aReply) {
    this->HandleWriteReply(key, aReply, 0);
  };
  this->caller.Call(this->entry, RpcMethod::Execute, request, done);
}

void
Session::HandleWriteReply(const std::string& aKey,
                          const Reply& aReply,
                          int aAttempt)
{
  if (this->CountReply(aReply)) {
    if (aReply.answer.result().affected_rows() != 1 && aAttempt == 0) {
      this->ReportWrong("write of " + aKey + " did not affect exactly one row");
    }
    this->CompleteWrite(aKey);
    return;
  }
  if (IsNotRun(aReply)) {
    this->history.writes[aKey] = WriteOutcome::NotRun;
    this->ScheduleStep();
    return;
  }
  this->Resolve(aKey, aAttempt + 1);
}

void
Session::CompleteWrite(const std::string& aKey)
{
  ++this->stats.correct;
  this->stats.writes.RecordSuccess(ReadMonotonicClock());
  this->history.writes[aKey] = WriteOutcome::Done;
  this->lastKey = aKey;
  this->ScheduleStep();
}

void
Session::Resolve(const std::string& aKey, int aAttempt)
{
  if (aAttempt > detail::kMaxResolveAttempts) {
    this->ScheduleStep();
    return;
  }
  v1::ResolveRequest request;
  *request.mutable_context() = this->MakeContext("payment");
  request.set_request_id("id-" + aKey);
  auto done = [this, aKey, aAttempt](const Reply& aReply) {
    this->HandleWriteReply(aKey, aReply, aAttempt);
  };
  this->loop.After(detail::kResolveDelay, [this, request, done] {
    this->entry = this->caller.ChooseEntry(this->random);
    this->caller.Call(this->entry, RpcMethod::Resolve, request, done);
  });
}

void
Session::Read(const std::string& aService)
{
  if (this->lastKey.empty()) {
    this->Write("order");
    return;
  }
  std::string key = this->lastKey;
  bool isTolerant = !aService.empty();
  v1::ReadRequest request;
  *request.mutable_context() = this->MakeContext(aService);
  request.set_sql("SELECT value FROM orders WHERE key = $1");
  AddParameter(request.mutable_parameters(), key);
  auto done = [this, key, isTolerant](const Reply& aReply) {
    this->HandleReadReply(key, isTolerant, aReply);
  };
  this->caller.Call(this->entry, RpcMethod::Read, request, done);
}

void
Session::HandleReadReply(const std::string& aKey,
                         bool aIsTolerant,
                         const Reply& aReply)
{
  if (!this->CountReply(aReply)) {
    this->ScheduleStep();
    return;
  }
  std::string value = SingleValue(aReply.answer);
  if (value != this->history.values[aKey]) {
    this->ReportWrong("read of " + aKey + " returned '" + value + "' from a " +
                      aReply.answer.source());
  } else {
    ++this->stats.correct;
  }
  if (aIsTolerant) {
    this->stats.reads.RecordSuccess(ReadMonotonicClock());
    ++this->stats.tolerantReads;
    if (aReply.answer.source() == kSourceNames.NameOf(Source::Replica)) {
      ++this->stats.replicaReads;
    }
  }
  this->ScheduleStep();
}

void
Session::Begin()
{
  v1::BeginRequest request;
  *request.mutable_context() = this->MakeContext("order");
  auto done = [this](const Reply& aReply) {
    if (!this->CountReply(aReply)) {
      this->ScheduleStep();
      return;
    }
    ++this->stats.correct;
    this->transaction = aReply.answer.transaction();
    this->firstKey = this->NewKey();
    this->secondKey = this->NewKey();
    this->Insert(this->firstKey, [this] {
      this->Insert(this->secondKey, [this] { this->Commit(); });
    });
  };
  this->caller.Call(this->entry, RpcMethod::Begin, request, done);
}

void
Session::Insert(const std::string& aKey, const std::function<void()>& aThen)
{
  std::string value = "value of " + aKey;
  this->history.values[aKey] = value;
  this->history.writes[aKey] = WriteOutcome::NotRun;
  v1::StatementRequest request;
  *request.mutable_context() = this->MakeContext("order");
  request.set_transaction(this->transaction);
  request.set_sql("INSERT INTO orders (key, value) VALUES ($1, $2)");
  AddParameter(request.mutable_parameters(), aKey);
  AddParameter(request.mutable_parameters(), value);
  this->entry = this->caller.ChooseEntry(this->random);
  auto done = [this, aThen](const Reply& aReply) {
    if (!this->CountReply(aReply)) {
      this->RollBack();
      return;
    }
    ++this->stats.correct;
    aThen();
  };
  this->caller.Call(this->entry, RpcMethod::Statement, request, done);
}

void
Session::RollBack()
{
  v1::RollBackRequest request;
  *request.mutable_context() = this->MakeContext("order");
  request.set_transaction(this->transaction);
  auto done = [this](const Reply&) { this->ScheduleStep(); };
  this->caller.Call(this->entry, RpcMethod::RollBack, request, done);
}

void
Session::Commit()
{
  this->history.writes[this->firstKey] = WriteOutcome::Open;
  this->history.writes[this->secondKey] = WriteOutcome::Open;
  v1::CommitRequest request;
  *request.mutable_context() = this->MakeContext("order");
  request.set_transaction(this->transaction);
  request.set_request_id("id-" + this->firstKey);
  request.set_first_attempt(true);
  auto done = [this](const Reply& aReply) {
    this->HandleCommitReply(aReply, 0);
  };
  this->caller.Call(this->entry, RpcMethod::Commit, request, done);
}

void
Session::HandleCommitReply(const Reply& aReply, int aAttempt)
{
  bool isDone = this->CountReply(aReply);
  if (isDone || IsNotRun(aReply)) {
    WriteOutcome writeOutcome =
      isDone ? WriteOutcome::Done : WriteOutcome::NotRun;
    this->history.writes[this->secondKey] = writeOutcome;
    this->history.writes[this->firstKey] = writeOutcome;
    if (isDone) {
      this->CompleteWrite(this->firstKey);
    } else {
      this->ScheduleStep();
    }
    return;
  }
  if (aAttempt >= detail::kMaxResolveAttempts) {
    this->ScheduleStep();
    return;
  }
  v1::ResolveRequest request;
  *request.mutable_context() = this->MakeContext("payment");
  request.set_request_id("id-" + this->firstKey);
  auto done = [this, aAttempt](const Reply& aNext) {
    this->HandleCommitReply(aNext, aAttempt + 1);
  };
  this->caller.Call(this->entry, RpcMethod::Resolve, request, done);
}

} // namespace marigoldpitch::load
