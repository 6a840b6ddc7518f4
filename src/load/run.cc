#include "run.h"

#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>

#include <algorithm>

namespace marigoldpitch::load {

namespace detail {
constexpr Duration kProgressInterval = Seconds(1);
constexpr size_t kConcurrentChecks = 16;
} // namespace detail

LoadRun::LoadRun(Loop& aLoop, const LoadPlan& aPlan, Caller& aCaller)
  : loop(aLoop)
  , plan(aPlan)
  , caller(aCaller)
{
}

ExitCode
LoadRun::Execute()
{
  Time end = ReadMonotonicClock() + this->plan.duration;
  for (size_t i = 0; i < this->plan.sessions; ++i) {
    this->sessions.push_back(std::make_unique<Session>(
      this->loop, this->caller, this->plan, this->stats, this->history, i));
    this->sessions.back()->Start(end);
  }
  this->CheckProgress();
  this->loop.Run();
  this->Print();
  bool isGood = this->stats.wrong == 0 && this->stats.correct != 0;
  return isGood ? ExitCode::Ok : ExitCode::Failed;
}

void
LoadRun::CheckProgress()
{
  bool isDone =
    std::all_of(this->sessions.begin(),
                this->sessions.end(),
                [](const auto& aSession) { return aSession->IsDone(); });
  if (!this->plan.quiet) {
    fmt::print(stderr,
               "{} requests, {} correct, {} not run, {} unknown, {} wrong\n",
               this->stats.requests,
               this->stats.correct,
               this->stats.notRun,
               this->stats.unknown,
               this->stats.wrong);
  }
  if (isDone) {
    this->nextWrite = this->history.writes.begin();
    this->openChecks = detail::kConcurrentChecks;
    for (size_t i = 0; i < detail::kConcurrentChecks; ++i) {
      this->CheckNext();
    }
    return;
  }
  this->loop.After(detail::kProgressInterval,
                   [this] { this->CheckProgress(); });
}

void
LoadRun::CheckNext()
{
  if (this->nextWrite == this->history.writes.end()) {
    if (--this->openChecks == 0) {
      this->loop.Stop();
    }
    return;
  }
  std::string key = this->nextWrite->first;
  WriteOutcome writeOutcome = this->nextWrite->second;
  ++this->nextWrite;
  v1::ReadRequest request;
  request.mutable_context()->set_group(this->plan.group);
  request.mutable_context()->set_session("load-check");
  request.set_sql("SELECT value FROM orders WHERE key = $1");
  AddParameter(request.mutable_parameters(), key);
  auto callback = [this, key, writeOutcome](const Reply& aReply) {
    this->CheckKey(key, writeOutcome, aReply);
    this->CheckNext();
  };
  this->caller.Call(
    this->caller.ChooseEntry(this->random), RpcMethod::Read, request, callback);
}

void
LoadRun::CheckKey(const std::string& aKey,
                  WriteOutcome aOutcome,
                  const Reply& aReply)
{
  if (!aReply.isAnswered || aReply.hasError) {
    ++this->uncheckedKeys;
    return;
  }
  bool isPresent = !SingleValue(aReply.answer).empty();
  bool isWrong = (aOutcome == WriteOutcome::Done && !isPresent) ||
                 (aOutcome == WriteOutcome::NotRun && isPresent);
  if (isWrong) {
    ++this->stats.wrong;
    fmt::print(stderr,
               "wrong: {}: the write was {} and the row is {}\n",
               aKey,
               kWriteOutcomeNames.NameOf(aOutcome),
               isPresent ? "there" : "missing");
  }
  if (aOutcome == WriteOutcome::Open) {
    ++this->unknownWrites;
  }
}

int64_t
LoadRun::Percentile(int aPercent) const
{
  std::vector<int64_t> sorted = this->stats.latencies;
  if (sorted.empty()) {
    return 0;
  }
  std::sort(sorted.begin(), sorted.end());
  return sorted[(sorted.size() - 1) * static_cast<size_t>(aPercent) / 100];
}

void
LoadRun::Print() const
{
  const LoadStats& t = this->stats;
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
  fmt::print("writes_still_unknown {} count\n", this->unknownWrites);
  fmt::print("keys_checked {} count\n",
             this->history.writes.size() - this->uncheckedKeys);
  fmt::print("keys_not_checked {} count\n", this->uncheckedKeys);
  fmt::print("replica_share {:.1f} percent\n", share);
  fmt::print("gap_reads {} ms\n", t.reads.longest.ms);
  fmt::print("gap_writes {} ms\n", t.writes.longest.ms);
  fmt::print("latency_median {} us\n", this->Percentile(50));
  fmt::print("latency_p99 {} us\n", this->Percentile(99));
}

} // namespace marigoldpitch::load
