#include "marigoldpitch.pb.h"
#include "marigoldpitch/protocol/rpc.h"
#include "marigoldpitch/transport/blocking-http.h"
#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/command-line.h"
#include "marigoldpitch/transport/http-client.h"
#include "marigoldpitch/transport/loop.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

// marigoldpitch-load: sends a described workload through several entries,
// moves its sessions between them, and checks every answer by its content.

namespace marigoldpitch {

namespace detail {

constexpr Duration kCallLimit = Seconds(4);
constexpr Duration kProgress = Seconds(1);
constexpr Duration kReadyInterval = Millis(50);
constexpr Duration kReadyLimit = Millis(500);
constexpr int kResolveTries = 10;
constexpr Duration kResolvePause = Millis(50);
constexpr size_t kSessionsPerReader = 4;
constexpr size_t kChecksAtOnce = 16;

/** What one session does next. */
enum class LoadStep
{
  Order,
  Payment,
  StockRead,
  OwnRead,
  Transaction,
};

constexpr NameTable<LoadStep, 5> kLoadStepNames{ {
  { LoadStep::Order, "order" },
  { LoadStep::Payment, "payment" },
  { LoadStep::StockRead, "stock read" },
  { LoadStep::OwnRead, "own read" },
  { LoadStep::Transaction, "transaction" },
} };

struct LoadPlan
{
  std::vector<Endpoint> entries;
  std::vector<Endpoint> operators; // of the entries, to ask who is ready
  std::string group;
  Duration length = Seconds(10);
  size_t sessions = 16;
  Duration pause = Millis(5); // of a session between two requests
  uint32_t seed = 1;
  bool quiet = false;
  bool readsOnly = false; // after one write of each session
};

/** Longest time between two correct answers of one kind. */
struct GapMeter
{
  void Succeeded(Time aNow)
  {
    if (!(this->last == kLongAgo)) {
      this->longest = std::max(this->longest, aNow - this->last);
    }
    this->last = aNow;
  }

  Time last = kLongAgo;
  Duration longest;
};

struct Tally
{
  uint64_t requests = 0;
  uint64_t correct = 0;
  uint64_t notRun = 0;
  uint64_t unknown = 0;
  uint64_t refused = 0; // stale, conflict and invalid
  uint64_t lost = 0;    // no answer of the entry
  uint64_t wrong = 0;
  uint64_t replicaReads = 0;
  uint64_t tolerantReads = 0;
  GapMeter writes;
  GapMeter reads;
  std::vector<int64_t> latencies; // microseconds
};

struct Reply
{
  bool arrived = false;
  bool hasError = false;
  v1::AnswerResponse answer;
  v1::ErrorResponse error;
  int64_t tookMicros = 0;
};

using ReplyDone = std::function<void(const Reply&)>;

/** Calls one method on one of the entries. */
class Caller
{
public:
  static Result<std::unique_ptr<Caller>> Create(Loop& aLoop,
                                                const LoadPlan& aPlan)
  {
    std::unique_ptr<Caller> caller(new Caller());
    for (const Endpoint& entry : aPlan.entries) {
      BOOST_OUTCOME_TRY(auto client, HttpClient::Create(aLoop, entry));
      caller->clients.push_back(std::move(client));
    }
    caller->ready.assign(caller->clients.size(), true);
    for (const Endpoint& endpoint : aPlan.operators) {
      BOOST_OUTCOME_TRY(auto client, HttpClient::Create(aLoop, endpoint));
      caller->operators.push_back(std::move(client));
    }
    caller->WatchReady(aLoop);
    return caller;
  }

  /** Any entry that says it is ready, as a balancer would choose it. */
  size_t Choose(std::mt19937& aRandom) const
  {
    std::vector<size_t> choices;
    for (size_t i = 0; i < this->ready.size(); ++i) {
      if (this->ready[i]) {
        choices.push_back(i);
      }
    }
    if (choices.empty()) {
      return aRandom() % this->clients.size();
    }
    return choices[aRandom() % choices.size()];
  }

  /** Asks again and again for as long as the loop runs. */
  void WatchReady(Loop& aLoop)
  {
    for (size_t i = 0; i < this->operators.size(); ++i) {
      auto done = [this, i](const Result<HttpReply>& aReply) {
        this->ready[i] = aReply && aReply.value().status == 200;
      };
      this->operators[i]->Get("/ready", kReadyLimit, done);
    }
    aLoop.After(kReadyInterval, [this, &aLoop] { this->WatchReady(aLoop); });
  }

  void Call(size_t aEntry,
            RpcMethod aMethod,
            const google::protobuf::Message& aMessage,
            const ReplyDone& aDone)
  {
    int64_t start = ReadClockMicros();
    auto done = [aDone, start](const Result<HttpReply>& aReply) {
      Reply reply;
      reply.tookMicros = ReadClockMicros() - start;
      if (aReply && aReply.value().status == 200) {
        reply.arrived = reply.answer.ParseFromString(aReply.value().body);
      } else if (aReply) {
        reply.hasError = reply.error.ParseFromString(aReply.value().body);
        reply.arrived = reply.hasError;
      }
      aDone(reply);
    };
    this->clients[aEntry]->Post(kRpcMethodNames.TextOf(aMethod),
                                "application/proto",
                                aMessage.SerializeAsString(),
                                kCallLimit,
                                done);
  }

private:
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::vector<std::unique_ptr<HttpClient>> operators;
  std::vector<bool> ready;
};

/** What became of each write, to be checked by content at the end. */
enum class WriteFate
{
  Done,
  NotRun,
  Open, // still unknown
};

constexpr NameTable<WriteFate, 3> kWriteFateNames{ {
  { WriteFate::Done, "done" },
  { WriteFate::NotRun, "not-run" },
  { WriteFate::Open, "open" },
} };

struct Ledger
{
  std::map<std::string, WriteFate> writes; // by key, in the table `orders`
  std::map<std::string, std::string> values;
};

void
AddParameter(google::protobuf::RepeatedPtrField<v1::Value>* aList,
             const std::string& aText)
{
  aList->Add()->set_text(aText);
}

std::string
ValueIn(const v1::AnswerResponse& aAnswer)
{
  const v1::ResultSet& result = aAnswer.result();
  bool hasCell = result.rows_size() == 1 && result.rows(0).cells_size() == 1;
  return hasCell ? result.rows(0).cells(0).text() : std::string();
}

/** One closed-loop session: one request at a time. */
class Session
{
public:
  Session(Loop& aLoop,
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
    , isReader(aPlan.readsOnly || aIndex % kSessionsPerReader == 0)
  {
  }

  void Start(Time aEnd)
  {
    this->end = aEnd;
    this->Next();
  }

  bool IsDone() const { return this->done; }

private:
  void Next()
  {
    if (this->plan.pause.ms == 0) {
      this->TakeStep();
      return;
    }
    this->loop.After(this->plan.pause, [this] { this->TakeStep(); });
  }

  void TakeStep()
  {
    if (ReadClock() >= this->end) {
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

  LoadStep Draw()
  {
    // One session in four only reads, so that its gap is not that of writes.
    if (this->isReader && !this->lastKey.empty()) {
      return LoadStep::StockRead;
    }
    // Of 20 steps: 3 orders, 2 payments, 11 stock reads, 3 own, 1 transaction.
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

  v1::Context MakeContext(const std::string& aService) const
  {
    v1::Context context;
    context.set_group(this->plan.group);
    context.set_session(this->name);
    context.set_token(this->token);
    context.set_service(aService);
    return context;
  }

  std::string NewKey()
  {
    return fmt::format("{}-{}", this->name, ++this->keys);
  }

  bool Count(const Reply& aReply)
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

  static bool IsNotRun(const Reply& aReply)
  {
    return aReply.hasError &&
           (aReply.error.outcome() == kOutcomeNames.NameOf(Outcome::NotRun) ||
            aReply.error.outcome() == kOutcomeNames.NameOf(Outcome::Conflict) ||
            aReply.error.outcome() == kOutcomeNames.NameOf(Outcome::Invalid));
  }

  void Wrong(const std::string& aWhat)
  {
    ++this->tally.wrong;
    fmt::print(stderr, "wrong: {}: {}\n", this->name, aWhat);
  }

  // Writes.

  void Write(const std::string& aService)
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

  void WriteAnswered(const std::string& aKey, const Reply& aReply, int aTry)
  {
    if (this->Count(aReply)) {
      if (aReply.answer.result().affected_rows() != 1 && aTry == 0) {
        this->Wrong("write of " + aKey + " affected no row");
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

  void WriteDone(const std::string& aKey)
  {
    ++this->tally.correct;
    this->tally.writes.Succeeded(ReadClock());
    this->ledger.writes[aKey] = WriteFate::Done;
    this->lastKey = aKey;
    this->Next();
  }

  void Resolve(const std::string& aKey, int aTry)
  {
    if (aTry > kResolveTries) {
      this->Next();
      return;
    }
    v1::ResolveRequest request;
    *request.mutable_context() = this->MakeContext("payment");
    request.set_request_id("id-" + aKey);
    auto done = [this, aKey, aTry](const Reply& aReply) {
      this->WriteAnswered(aKey, aReply, aTry);
    };
    this->loop.After(kResolvePause, [this, request, done] {
      this->entry = this->caller.Choose(this->random);
      this->caller.Call(this->entry, RpcMethod::Resolve, request, done);
    });
  }

  // Reads: of the session's own newest key, whose value it must see.

  void Read(const std::string& aService)
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

  void ReadAnswered(const std::string& aKey,
                    bool aTolerant,
                    const Reply& aReply)
  {
    if (!this->Count(aReply)) {
      this->Next();
      return;
    }
    std::string value = ValueIn(aReply.answer);
    if (value != this->ledger.values[aKey]) {
      this->Wrong("read of " + aKey + " gave '" + value + "' from a " +
                  aReply.answer.source());
    } else {
      ++this->tally.correct;
    }
    if (aTolerant) {
      this->tally.reads.Succeeded(ReadClock());
      ++this->tally.tolerantReads;
      if (aReply.answer.source() == kSourceNames.NameOf(Source::Replica)) {
        ++this->tally.replicaReads;
      }
    }
    this->Next();
  }

  // A transaction of two inserts that stand or fall together.

  void Begin()
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

  void Insert(const std::string& aKey, const std::function<void()>& aThen)
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

  void RollBack()
  {
    v1::RollBackRequest request;
    *request.mutable_context() = this->MakeContext("order");
    request.set_transaction(this->transaction);
    auto done = [this](const Reply&) { this->Next(); };
    this->caller.Call(this->entry, RpcMethod::RollBack, request, done);
  }

  void Commit()
  {
    this->ledger.writes[this->first] = WriteFate::Open;
    this->ledger.writes[this->second] = WriteFate::Open;
    v1::CommitRequest request;
    *request.mutable_context() = this->MakeContext("order");
    request.set_transaction(this->transaction);
    request.set_request_id("id-" + this->first);
    request.set_first_attempt(true);
    auto done = [this](const Reply& aReply) {
      this->CommitAnswered(aReply, 0);
    };
    this->caller.Call(this->entry, RpcMethod::Commit, request, done);
  }

  void CommitAnswered(const Reply& aReply, int aTry)
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
    if (aTry >= kResolveTries) {
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

  Loop& loop;
  Caller& caller;
  const LoadPlan& plan;
  Tally& tally;
  Ledger& ledger;
  std::mt19937 random;
  std::string name;
  bool isReader;
  std::string token;
  std::string lastKey;
  std::string transaction;
  std::string first;
  std::string second;
  size_t entry = 0;
  uint64_t keys = 0;
  Time end;
  bool done = false;
};

/** Runs the plan, then reads every key back and prints the table. */
class LoadRun
{
public:
  LoadRun(Loop& aLoop, const LoadPlan& aPlan, Caller& aCaller)
    : loop(aLoop)
    , plan(aPlan)
    , caller(aCaller)
  {
  }

  ExitCode Execute()
  {
    Time end = ReadClock() + this->plan.length;
    for (size_t i = 0; i < this->plan.sessions; ++i) {
      this->sessions.push_back(std::make_unique<Session>(
        this->loop, this->caller, this->plan, this->tally, this->ledger, i));
      this->sessions.back()->Start(end);
    }
    this->Watch();
    this->loop.Run();
    this->Print();
    bool isGood = this->tally.wrong == 0 && this->tally.correct != 0;
    return isGood ? ExitCode::Ok : ExitCode::Failed;
  }

private:
  void Watch()
  {
    bool isDone =
      std::all_of(this->sessions.begin(),
                  this->sessions.end(),
                  [](const auto& aSession) { return aSession->IsDone(); });
    if (!this->plan.quiet) {
      fmt::print(stderr,
                 "{} requests, {} correct, {} not run, {} unknown, {} wrong\n",
                 this->tally.requests,
                 this->tally.correct,
                 this->tally.notRun,
                 this->tally.unknown,
                 this->tally.wrong);
    }
    if (isDone) {
      this->next = this->ledger.writes.begin();
      this->checking = kChecksAtOnce;
      for (size_t i = 0; i < kChecksAtOnce; ++i) {
        this->CheckNext();
      }
      return;
    }
    this->loop.After(kProgress, [this] { this->Watch(); });
  }

  void CheckNext()
  {
    if (this->next == this->ledger.writes.end()) {
      if (--this->checking == 0) {
        this->loop.Stop();
      }
      return;
    }
    std::string key = this->next->first;
    WriteFate fate = this->next->second;
    ++this->next;
    v1::ReadRequest request;
    request.mutable_context()->set_group(this->plan.group);
    request.mutable_context()->set_session("load-check");
    request.set_sql("SELECT value FROM orders WHERE key = $1");
    AddParameter(request.mutable_parameters(), key);
    auto done = [this, key, fate](const Reply& aReply) {
      this->CheckKey(key, fate, aReply);
      this->CheckNext();
    };
    this->caller.Call(
      this->caller.Choose(this->random), RpcMethod::Read, request, done);
  }

  void CheckKey(const std::string& aKey, WriteFate aFate, const Reply& aReply)
  {
    if (!aReply.arrived || aReply.hasError) {
      ++this->unchecked;
      return;
    }
    bool isThere = !ValueIn(aReply.answer).empty();
    bool isWrong = (aFate == WriteFate::Done && !isThere) ||
                   (aFate == WriteFate::NotRun && isThere);
    if (isWrong) {
      ++this->tally.wrong;
      fmt::print(stderr,
                 "wrong: {} was {} and is {}\n",
                 aKey,
                 kWriteFateNames.NameOf(aFate),
                 isThere ? "there" : "missing");
    }
    if (aFate == WriteFate::Open) {
      ++this->open;
    }
  }

  int64_t Percentile(int aPercent) const
  {
    std::vector<int64_t> sorted = this->tally.latencies;
    if (sorted.empty()) {
      return 0;
    }
    std::sort(sorted.begin(), sorted.end());
    return sorted[(sorted.size() - 1) * static_cast<size_t>(aPercent) / 100];
  }

  void Print() const
  {
    const Tally& t = this->tally;
    double share = t.tolerantReads == 0
                     ? 0
                     : 100.0 * static_cast<double>(t.replicaReads) /
                         static_cast<double>(t.tolerantReads);
    fmt::print("requests {} count\n", t.requests);
    fmt::print("answered_correctly {} count\n", t.correct);
    fmt::print("not_run {} count\n", t.notRun);
    fmt::print("unknown {} count\n", t.unknown);
    fmt::print("stale_conflict_invalid {} count\n", t.refused);
    fmt::print("no_answer {} count\n", t.lost);
    fmt::print("wrong {} count\n", t.wrong);
    fmt::print("writes_still_unknown {} count\n", this->open);
    fmt::print("keys_checked {} count\n",
               this->ledger.writes.size() - this->unchecked);
    fmt::print("keys_not_checked {} count\n", this->unchecked);
    fmt::print("replica_share {:.1f} percent\n", share);
    fmt::print("gap_reads {} ms\n", t.reads.longest.ms);
    fmt::print("gap_writes {} ms\n", t.writes.longest.ms);
    fmt::print("latency_median {} us\n", this->Percentile(50));
    fmt::print("latency_p99 {} us\n", this->Percentile(99));
  }

  Loop& loop;
  const LoadPlan& plan;
  Caller& caller;
  Tally tally;
  Ledger ledger;
  std::vector<std::unique_ptr<Session>> sessions;
  std::map<std::string, WriteFate>::iterator next;
  std::mt19937 random;
  size_t checking = 0;
  uint64_t unchecked = 0;
  uint64_t open = 0;
};

/** `127.0.0.1:80,127.0.0.1:81` */
Result<std::vector<Endpoint>>
ParseEndpoints(const std::string& aText, const std::string& aPlace)
{
  std::vector<Endpoint> entries;
  Findings findings(ErrorCode::BadSettings);
  size_t start = 0;
  while (start <= aText.size()) {
    size_t comma = std::min(aText.find(',', start), aText.size());
    std::string part = aText.substr(start, comma - start);
    auto endpoint = ParseEndpoint(part);
    if (endpoint) {
      entries.push_back(endpoint.value());
    } else {
      findings.Add(aPlace, endpoint.error().message);
    }
    start = comma + 1;
  }
  if (!findings.Empty()) {
    return findings.ToError("command line");
  }
  return entries;
}

Result<LoadPlan>
MakePlan(const CommandLine& aLine)
{
  LoadPlan plan;
  BOOST_OUTCOME_TRY(auto entries,
                    ParseEndpoints(aLine.Get("entries"), "--entries"));
  plan.entries = std::move(entries);
  if (aLine.Has("ready")) {
    BOOST_OUTCOME_TRY(auto operators,
                      ParseEndpoints(aLine.Get("ready"), "--ready"));
    plan.operators = std::move(operators);
  }
  if (!plan.operators.empty() && plan.operators.size() != plan.entries.size()) {
    return Error{ ErrorCode::BadSettings,
                  "--ready",
                  "must name one port for each entry" };
  }
  plan.group = aLine.Get("group", "orders");
  plan.length = Seconds(std::atoll(aLine.Get("seconds", "10").c_str()));
  plan.sessions =
    static_cast<size_t>(std::atoll(aLine.Get("sessions", "16").c_str()));
  plan.seed = static_cast<uint32_t>(std::atoll(aLine.Get("seed", "1").c_str()));
  plan.pause = Millis(std::atoll(aLine.Get("pause-ms", "5").c_str()));
  plan.quiet = aLine.Has("quiet");
  plan.readsOnly = aLine.Has("reads-only");
  if (plan.length.ms <= 0 || plan.sessions == 0) {
    return Error{ ErrorCode::BadSettings,
                  "command line",
                  "--seconds and --sessions must be at least 1" };
  }
  return plan;
}

} // namespace detail

} // namespace marigoldpitch

int
main(int aCount, char** aArguments)
{
  using namespace marigoldpitch;
  auto fail = [](const Error& aError, ExitCode aCode) {
    fmt::print(stderr, "{}\n", aError.ToString());
    return static_cast<int>(aCode);
  };
  auto line = ParseCommandLine(
    aCount,
    const_cast<const char**>(aArguments),
    "--entries IP:PORT,... [--group NAME]",
    { { "entries", "LIST", "callers' ports of the entries, by commas" },
      { "ready", "LIST", "operators' ports of the same, to ask who is ready" },
      { "group", "NAME", "database group; default: orders" },
      { "seconds", "N", "how long to send; default: 10" },
      { "sessions", "N", "sessions at once; default: 16" },
      { "pause-ms", "N", "a session's pause between requests; default: 5" },
      { "seed", "N", "seed of the workload; default: 1" },
      { "reads-only", "", "only reads, after one write of each session" },
      { "quiet", "", "no progress" } });
  if (!line) {
    return fail(line.error(), ExitCode::Usage);
  }
  if (line.value().isDone) {
    return static_cast<int>(ExitCode::Ok);
  }
  auto plan = detail::MakePlan(line.value());
  if (!plan) {
    return fail(plan.error(), ExitCode::Usage);
  }
  auto loop = Loop::Create();
  if (!loop) {
    return fail(loop.error(), ExitCode::Failed);
  }
  auto caller = detail::Caller::Create(*loop.value(), plan.value());
  if (!caller) {
    return fail(caller.error(), ExitCode::Failed);
  }
  detail::LoadRun run(*loop.value(), plan.value(), *caller.value());
  return static_cast<int>(run.Execute());
}
