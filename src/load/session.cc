#include "session.h"

#include "marigoldpitch/state/outcome.h"
#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>

#include <array>

namespace marigoldpitch::load {

namespace detail {
constexpr int kResolveTries = 10;
constexpr Duration kResolvePause = Millis(50);
constexpr size_t kSessionsPerReader = 4;
} // namespace detail

Session::Session(Loop& aLoop,
                 Caller& aCaller,
                 const LoadPlan& aPlan,
                 Tally& aTally,
                 Ledger& aLedger,
                 size_t aIndex)
  : loop(aLoop)
  , caller(aCaller)
  , plan(aPlan)
  , tally(aTally)
  , ledger(aLedger)
  , random(aPlan.seed * 1000 + static_cast<uint32_t>(aIndex))
  , name(fmt::format("load-{}-{}", aPlan.seed, aIndex))
  , isReader(aPlan.readsOnly || aIndex % detail::kSessionsPerReader == 0)
{
}

void
Session::Start(Time aEnd)
{
  this->end = aEnd;
  this->Next();
}

void
Session::Next()
{
  if (this->plan.pause.ms == 0) {
    this->TakeStep();
    return;
  }
  this->loop.After(this->plan.pause, [this] { this->TakeStep(); });
}

void
Session::TakeStep()
{
  if (ReadMonotonicClock() >= this->end) {
    this->done = true;
    return;
  }
  this->entry = this->caller.Choose(this->random);
  switch (this->Draw()) {
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
Session::Draw()
{
  // One session in four only reads, so that a gap in writes does not appear as
  // a gap in reads.
  if (this->isReader && !this->lastKey.empty()) {
    return LoadStep::StockRead;
  }
  // Of 20 steps: 3 orders, 2 payments, 11 stock reads, 3 own reads and
  // 1 transaction, in the order of `LoadStep`.
  static constexpr std::array<int, 5> kShares{ 3, 2, 11, 3, 1 };
  int drawn = static_cast<int>(this->random() % 20);
  for (size_t i = 0; i < kShares.size(); ++i) {
    drawn -= kShares[i];
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
  return fmt::format("{}-{}", this->name, ++this->keys);
}

bool
Session::Count(const Reply& aReply)
{
  ++this->tally.requests;
  this->tally.latencies.push_back(aReply.tookMicros);
  if (!aReply.arrived) {
    ++this->tally.lost;
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
    ++this->tally.notRun;
  } else if (outcome == kOutcomeNames.NameOf(Outcome::Unknown)) {
    ++this->tally.unknown;
  } else {
    ++this->tally.refused;
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
Session::Wrong(const std::string& aWhat)
{
  ++this->tally.wrong;
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
  this->ledger.values[key] = value;
  this->ledger.writes[key] = WriteFate::Open;
  auto done = [this, key](const Reply& aReply) {
    this->WriteAnswered(key, aReply, 0);
  };
  this->caller.Call(this->entry, RpcMethod::Execute, request, done);
}

void
Session::WriteAnswered(const std::string& aKey, const Reply& aReply, int aTry)
{
  if (this->Count(aReply)) {
    if (aReply.answer.result().affected_rows() != 1 && aTry == 0) {
      this->Wrong("write of " + aKey + " did not affect exactly one row");
    }
    this->WriteDone(aKey);
    return;
  }
  if (IsNotRun(aReply)) {
    this->ledger.writes[aKey] = WriteFate::NotRun;
    this->Next();
    return;
  }
  this->Resolve(aKey, aTry + 1);
}

void
Session::WriteDone(const std::string& aKey)
{
  ++this->tally.correct;
  this->tally.writes.Succeeded(ReadMonotonicClock());
  this->ledger.writes[aKey] = WriteFate::Done;
  this->lastKey = aKey;
  this->Next();
}

void
Session::Resolve(const std::string& aKey, int aTry)
{
  if (aTry > detail::kResolveTries) {
    this->Next();
    return;
  }
  v1::ResolveRequest request;
  *request.mutable_context() = this->MakeContext("payment");
  request.set_request_id("id-" + aKey);
  auto done = [this, aKey, aTry](const Reply& aReply) {
    this->WriteAnswered(aKey, aReply, aTry);
  };
  this->loop.After(detail::kResolvePause, [this, request, done] {
    this->entry = this->caller.Choose(this->random);
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
    this->ReadAnswered(key, isTolerant, aReply);
  };
  this->caller.Call(this->entry, RpcMethod::Read, request, done);
}

void
Session::ReadAnswered(const std::string& aKey,
                      bool aTolerant,
                      const Reply& aReply)
{
  if (!this->Count(aReply)) {
    this->Next();
    return;
  }
  std::string value = ValueIn(aReply.answer);
  if (value != this->ledger.values[aKey]) {
    this->Wrong("read of " + aKey + " returned '" + value + "' from a " +
                aReply.answer.source());
  } else {
    ++this->tally.correct;
  }
  if (aTolerant) {
    this->tally.reads.Succeeded(ReadMonotonicClock());
    ++this->tally.tolerantReads;
    if (aReply.answer.source() == kSourceNames.NameOf(Source::Replica)) {
      ++this->tally.replicaReads;
    }
  }
  this->Next();
}

void
Session::Begin()
{
  v1::BeginRequest request;
  *request.mutable_context() = this->MakeContext("order");
  auto done = [this](const Reply& aReply) {
    if (!this->Count(aReply)) {
      this->Next();
      return;
    }
    ++this->tally.correct;
    this->transaction = aReply.answer.transaction();
    this->first = this->NewKey();
    this->second = this->NewKey();
    this->Insert(this->first, [this] {
      this->Insert(this->second, [this] { this->Commit(); });
    });
  };
  this->caller.Call(this->entry, RpcMethod::Begin, request, done);
}

void
Session::Insert(const std::string& aKey, const std::function<void()>& aThen)
{
  std::string value = "value of " + aKey;
  this->ledger.values[aKey] = value;
  this->ledger.writes[aKey] = WriteFate::NotRun;
  v1::StatementRequest request;
  *request.mutable_context() = this->MakeContext("order");
  request.set_transaction(this->transaction);
  request.set_sql("INSERT INTO orders (key, value) VALUES ($1, $2)");
  AddParameter(request.mutable_parameters(), aKey);
  AddParameter(request.mutable_parameters(), value);
  this->entry = this->caller.Choose(this->random);
  auto done = [this, aThen](const Reply& aReply) {
    if (!this->Count(aReply)) {
      this->RollBack();
      return;
    }
    ++this->tally.correct;
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
  auto done = [this](const Reply&) { this->Next(); };
  this->caller.Call(this->entry, RpcMethod::RollBack, request, done);
}

void
Session::Commit()
{
  this->ledger.writes[this->first] = WriteFate::Open;
  this->ledger.writes[this->second] = WriteFate::Open;
  v1::CommitRequest request;
  *request.mutable_context() = this->MakeContext("order");
  request.set_transaction(this->transaction);
  request.set_request_id("id-" + this->first);
  request.set_first_attempt(true);
  auto done = [this](const Reply& aReply) { this->CommitAnswered(aReply, 0); };
  this->caller.Call(this->entry, RpcMethod::Commit, request, done);
}

void
Session::CommitAnswered(const Reply& aReply, int aTry)
{
  bool isDone = this->Count(aReply);
  if (isDone || IsNotRun(aReply)) {
    WriteFate fate = isDone ? WriteFate::Done : WriteFate::NotRun;
    this->ledger.writes[this->second] = fate;
    this->ledger.writes[this->first] = fate;
    if (isDone) {
      this->WriteDone(this->first);
    } else {
      this->Next();
    }
    return;
  }
  if (aTry >= detail::kResolveTries) {
    this->Next();
    return;
  }
  v1::ResolveRequest request;
  *request.mutable_context() = this->MakeContext("payment");
  request.set_request_id("id-" + this->first);
  auto done = [this, aTry](const Reply& aNext) {
    this->CommitAnswered(aNext, aTry + 1);
  };
  this->caller.Call(this->entry, RpcMethod::Resolve, request, done);
}

} // namespace marigoldpitch::load
