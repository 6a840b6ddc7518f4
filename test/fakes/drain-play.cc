#include "fakes/drain-play.h"

namespace marigoldpitch::fakes {

namespace {

constexpr Duration kWarmUp = Millis(500);
constexpr Duration kMinDrainTime = Millis(2500); // of the process
constexpr Duration kLastSecond = Millis(5000);   // since the SIGTERM

} // namespace

DrainPlay::DrainPlay(const DrainPlayOptions& aOptions)
  : simulation(aOptions.simulation)
  , options(aOptions)
  , random(aOptions.simulation.seed)
{
  this->simulation.RunFor(kWarmUp);
  for (size_t i = 0; i < aOptions.callers; ++i) {
    PlayCaller caller;
    caller.host = aOptions.host;
    caller.id = this->simulation.OpenSession(caller.host);
    caller.next = this->simulation.Now() + this->Below(Millis(50));
    this->callers.push_back(caller);
  }
}

Duration
DrainPlay::Below(Duration aSpan)
{
  std::uniform_int_distribution<int64_t> distribution(0, aSpan.ms);
  return Duration{ distribution(this->random) };
}

void
DrainPlay::RunFor(Duration aSpan)
{
  for (int64_t i = 0; i < aSpan.ms; ++i) {
    this->Step();
  }
}

void
DrainPlay::Stop()
{
  this->signalled = this->simulation.Now();
  this->simulation.Send(this->options.host, ProxyDrainRequested{ kPlayGrace });
  while (!this->HasExited()) {
    this->Step();
    Duration spent = this->simulation.Now() - this->signalled;
    bool isDrained = this->simulation.Host(this->options.host).IsDrained() &&
                     spent >= kMinDrainTime;
    if (!isDrained && spent < kPlayExit) {
      continue;
    }
    this->exited = this->simulation.Now();
    for (const PlayCaller& caller : this->callers) {
      for (const auto& request : caller.open) {
        this->cut += request->reply ? 0 : 1;
      }
    }
    this->simulation.ReplaceHost(this->options.host);
  }
  this->RunFor(Seconds(1));
}

void
DrainPlay::Step()
{
  for (size_t i = 0; i < this->simulation.Upstreams(); ++i) {
    this->simulation.Upstream(i).executionTime =
      Millis(1) + this->Below(this->options.longestStatement);
  }
  this->simulation.RunFor(Millis(1));
  for (PlayCaller& caller : this->callers) {
    this->Step(caller);
  }
}

bool
DrainPlay::IsUnread(const PlayCaller& aCaller) const
{
  return this->HasExited() ||
         this->simulation.endedSessions.count(aCaller.id) != 0 ||
         this->simulation.unreadSessions.count(aCaller.id) != 0;
}

void
DrainPlay::Step(PlayCaller& aCaller)
{
  Time now = this->simulation.Now();
  if (aCaller.arrives <= now) {
    this->Arrive(aCaller);
  }
  bool isEnded = this->simulation.endedSessions.count(aCaller.id) != 0;
  if (isEnded && aCaller.ended == kInfiniteFuture) {
    aCaller.ended = now;
  }
  while (!aCaller.open.empty() && aCaller.open.front()->reply) {
    bool isLast = aCaller.open.size() == 1;
    bool isFailed = aCaller.open.front()->reply->failure.has_value();
    aCaller.left = isFailed ? 0 : aCaller.left;
    aCaller.open.erase(aCaller.open.begin());
    ++this->answered;
    if (isLast) {
      Duration pause = aCaller.left > 0
                         ? this->options.transactionPause
                         : this->Below(this->options.longestPause);
      aCaller.next = now + this->options.wire + pause;
    }
  }
  // The caller gets what ended its session a moment later.
  bool knows = isEnded && now >= aCaller.ended + this->options.wire;
  bool isWaiting =
    aCaller.open.size() > this->options.unanswered || !aCaller.batch.empty();
  if (!isWaiting && !knows && !this->HasExited() && aCaller.next <= now) {
    this->SendNext(aCaller);
  }
}

void
DrainPlay::Arrive(PlayCaller& aCaller)
{
  aCaller.arrives = kInfiniteFuture;
  size_t count = aCaller.splitAt == 0 ? aCaller.batch.size() : aCaller.splitAt;
  if (this->IsUnread(aCaller)) {
    this->crossed += aCaller.batch.size();
    bool isEarly = this->simulation.Now() < this->signalled + kLastSecond &&
                   aCaller.open.empty();
    this->crossedEarly += isEarly ? aCaller.batch.size() : 0;
    aCaller.batch.clear();
    return;
  }
  for (size_t i = 0; i < count; ++i) {
    aCaller.open.push_back(this->simulation.SubmitStatement(
      aCaller.host, aCaller.id, aCaller.batch[i], i + 1 < count));
  }
  auto first = aCaller.batch.begin();
  aCaller.batch.erase(first, first + static_cast<std::ptrdiff_t>(count));
  aCaller.splitAt = 0;
  if (!aCaller.batch.empty()) {
    aCaller.arrives = this->simulation.Now() + Millis(1);
  }
}

void
DrainPlay::SendNext(PlayCaller& aCaller)
{
  size_t most = this->options.pipelined;
  std::uniform_int_distribution<size_t> sizes(1, most);
  size_t size = sizes(this->random);
  for (size_t i = 0; i < size; ++i) {
    aCaller.batch.push_back(this->NextStatement(aCaller));
  }
  std::uniform_int_distribution<size_t> splits(0, size - 1);
  aCaller.splitAt = splits(this->random);
  aCaller.arrives = this->simulation.Now() + this->options.wire;
}

SessionStatement
DrainPlay::NextStatement(PlayCaller& aCaller)
{
  std::string item = "i" + std::to_string(++this->lastItem);
  std::uniform_int_distribution<int> kinds(0, 3);
  int kind = kinds(this->random);
  if (aCaller.left > 0) {
    --aCaller.left;
    return aCaller.left == 0 ? StatementOf(StatementKind::Commit)
           : kind == 0       ? ReadStatement(item)
                             : WriteStatement(item, "v");
  }
  std::uniform_real_distribution<double> shares(0, 1);
  if (shares(this->random) < this->options.transactions) {
    aCaller.left = this->options.transactionStatements + 1;
    return StatementOf(StatementKind::Begin);
  }
  // The simulation takes what is acknowledged when an execution is sent.
  if (kind == 0 && this->options.pipelined == 1) {
    SessionStatement prepare{ StatementKind::Prepare, "s" };
    prepare.writes = true;
    prepare.preparedText = "WRITE item";
    if (std::exchange(aCaller.hasPrepared, true)) {
      return { StatementKind::Execute, "s", item + " v" };
    }
    return prepare;
  }
  return kind == 1 ? WriteStatement(item, "v") : ReadStatement(item);
}

} // namespace marigoldpitch::fakes
