#include "run.h"

#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>

#include <algorithm>

namespace marigoldpitch::load {

namespace detail {
constexpr Duration kProgress = Seconds(1);
constexpr size_t kChecksAtOnce = 16;
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
  Time end = ReadMonotonicClock() + this->plan.length;
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

void
LoadRun::Watch()
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
    this->checking = detail::kChecksAtOnce;
    for (size_t i = 0; i < detail::kChecksAtOnce; ++i) {
      this->CheckNext();
    }
    return;
  }
  this->loop.After(detail::kProgress, [this] { this->Watch(); });
}

void
LoadRun::CheckNext()
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

void
LoadRun::CheckKey(const std::string& aKey, WriteFate aFate, const Reply& aReply)
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
               "wrong: {}: the write was {} and the row is {}\n",
               aKey,
               kWriteFateNames.NameOf(aFate),
               isThere ? "there" : "missing");
  }
  if (aFate == WriteFate::Open) {
    ++this->open;
  }
}

int64_t
LoadRun::Percentile(int aPercent) const
{
  std::vector<int64_t> sorted = this->tally.latencies;
  if (sorted.empty()) {
    return 0;
  }
  std::sort(sorted.begin(), sorted.end());
  return sorted[(sorted.size() - 1) * static_cast<size_t>(aPercent) / 100];
}

void
LoadRun::Print() const
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

} // namespace marigoldpitch::load
