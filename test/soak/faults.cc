#include "soak/faults.h"

#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>

namespace marigoldpitch::soak {

namespace {

// A host counts as undisturbed this long after the end of a fault.
constexpr Duration kCalmAfter = Seconds(5);
constexpr int64_t kShortestPauseMs = 150;
constexpr int64_t kLongestPauseMs = 1200;
constexpr int64_t kShortestSpanMs = 200;
constexpr int64_t kLongestSpanMs = 3500;
constexpr size_t kUpstreams = 3;
// Long enough for a new host, which starts to serve only seconds after its
// start, to serve before the fault ends.
constexpr Duration kYoungSpan = Seconds(7);
constexpr Duration kYoungEach = Seconds(9);
// Every fourth seed injects planned events only, which must not close a
// connection with a pending request.
constexpr uint32_t kPlannedSeeds = 4;
// The seeds before those also start new hosts at a fixed interval. With all
// seeds, this would leave little time for other faults.
constexpr uint32_t kYoungRest = 3;
constexpr FaultKind kPlanned[] = { FaultKind::ProxyTerm,
                                   FaultKind::ProxyReload,
                                   FaultKind::ConfigChange };

} // namespace

Faults::Faults(Loop& aLoop, FaultTarget& aTarget, uint32_t aSeed)
  : loop(aLoop)
  , target(aTarget)
  , random(aSeed)
  , isPlanned(aSeed % kPlannedSeeds == 0)
  , isYoung(aSeed % kPlannedSeeds == kYoungRest)
  , hostDisturbed(aTarget.Hosts(), kInfinitePast)
{
}

void
Faults::Start(Duration aSpan)
{
  this->started = ReadBootClock();
  this->end = this->started + aSpan;
  this->Next();
}

bool
Faults::IsCalm(size_t aHost) const
{
  Time since = std::max(this->disturbed, this->hostDisturbed[aHost]);
  return ReadBootClock() - since >= kCalmAfter;
}

void
Faults::Disturb(Duration aSpan)
{
  this->disturbed = std::max(this->disturbed, ReadBootClock() + aSpan);
}

void
Faults::DisturbHost(size_t aHost, Duration aSpan)
{
  Time& until = this->hostDisturbed[aHost];
  until = std::max(until, ReadBootClock() + aSpan);
}

void
Faults::Log(FaultKind aKind, size_t aIndex, Duration aSpan) const
{
  fmt::print("{:6} ms {} {} for {} ms\n",
             (ReadBootClock() - this->started).ms,
             kFaultKindNames.TextOf(aKind),
             aIndex,
             aSpan.ms);
}

void
Faults::Next()
{
  if (ReadBootClock() >= this->end) {
    return;
  }
  size_t dice = this->random();
  FaultKind drawn = kFaultKindNames.rows[dice % kFaultKindNames.Size()].value;
  bool isDue = this->isYoung && ReadBootClock() >= this->youngDue &&
               ReadBootClock() >= this->upstreamBusy;
  if (this->isPlanned) {
    drawn = kPlanned[dice % std::size(kPlanned)];
  } else if (isDue) {
    this->youngDue = ReadBootClock() + kYoungEach;
    drawn = FaultKind::YoungHost;
  }
  this->Inject(drawn);
  std::uniform_int_distribution<int64_t> pause(kShortestPauseMs,
                                               kLongestPauseMs);
  this->loop.After(Millis(pause(this->random)), [this] { this->Next(); });
}

void
Faults::Inject(FaultKind aKind)
{
  std::uniform_int_distribution<int64_t> draw(kShortestSpanMs, kLongestSpanMs);
  Duration span = Millis(draw(this->random));
  if (aKind < FaultKind::UpstreamKill) {
    this->InjectHost(aKind, span);
  } else if (aKind < FaultKind::StoreDown) {
    bool isLong = aKind == FaultKind::YoungHost;
    this->InjectUpstream(aKind, isLong ? kYoungSpan : span);
  } else {
    this->InjectStore(aKind, span);
  }
}

void
Faults::InjectHost(FaultKind aKind, Duration aSpan)
{
  size_t host = this->random() % this->target.Hosts();
  this->Log(aKind, host, aSpan);
  ++this->counts[aKind];
  switch (aKind) {
    case FaultKind::ProxyKill:
      this->DisturbHost(host, Seconds(1));
      this->target.SignalHost(host, SIGKILL);
      return;
    case FaultKind::ProxyPause:
      this->DisturbHost(host, aSpan);
      this->target.SignalHost(host, SIGSTOP);
      this->loop.After(
        aSpan, [this, host] { this->target.SignalHost(host, SIGCONT); });
      return;
    case FaultKind::ProxyReload:
      this->target.SignalHost(host, SIGHUP);
      return;
    default:
      this->target.SignalHost(host, SIGTERM);
      return;
  }
}

/**
 * Commits need two upstreams that receive them, so only one upstream at a time
 * is unavailable or without replication: these faults exclude each other.
 */
void
Faults::InjectUpstream(FaultKind aKind, Duration aSpan)
{
  size_t upstream = this->random() % kUpstreams;
  bool isHard =
    aKind != FaultKind::UpstreamLag && aKind != FaultKind::AnswersLost &&
    aKind != FaultKind::UpstreamReset && aKind != FaultKind::UpstreamSilence &&
    aKind != FaultKind::UpstreamForgotten;
  if (isHard && ReadBootClock() < this->upstreamBusy) {
    return;
  }
  this->Log(aKind, upstream, aSpan);
  ++this->counts[aKind];
  this->Disturb(aSpan);
  if (isHard) {
    constexpr Duration kBetween = Millis(1500);
    this->upstreamBusy = ReadBootClock() + aSpan + kBetween;
  }
  auto control = [&](const char* aBegins, const char* aEnds, size_t aValue) {
    this->target.Control(fmt::format(R"({{"{}":{}}})", aBegins, aValue));
    std::string back = fmt::format(R"({{"{}":{}}})", aEnds, upstream);
    this->loop.After(aSpan, [this, back] { this->target.Control(back); });
  };
  auto relay = [&](const std::string& aOrder) {
    this->target.TellUpstreamRelay(upstream, aOrder);
    this->loop.After(aSpan, [this, upstream] {
      this->target.TellUpstreamRelay(upstream, "heal");
    });
  };
  switch (aKind) {
    case FaultKind::UpstreamKill:
      control("kill", "revive", upstream);
      return;
    case FaultKind::UpstreamDeaf:
      control("deafen", "hear", upstream);
      return;
    case FaultKind::UpstreamForgotten:
      control("forget", "recall", upstream);
      return;
    case FaultKind::YoungHost:
      this->InjectYoungHost(aSpan);
      return;
    case FaultKind::UpstreamLag:
      this->target.Control(
        fmt::format(R"({{"lag":{}}})", this->random() % 600));
      return;
    case FaultKind::UpstreamSilence:
      this->target.TellUpstreamRelay(upstream, "silence");
      return;
    case FaultKind::UpstreamReset:
      this->target.TellUpstreamRelay(upstream, "reset");
      return;
    case FaultKind::UpstreamDelay:
      relay(fmt::format("delay?{}", 5 + this->random() % 300));
      return;
    case FaultKind::UpstreamCut:
      relay("cut");
      return;
    case FaultKind::UpstreamApart:
      relay(
        fmt::format("cut-from?host-{}", this->random() % this->target.Hosts()));
      return;
    case FaultKind::AnswersLost:
      this->target.Control(
        fmt::format(R"({{"lose_answers":{}}})", 20 + this->random() % 60));
      this->loop.After(
        aSpan, [this] { this->target.Control(R"({"lose_answers":0})"); });
      return;
    default:
      relay("half");
      return;
  }
}

/**
 * Stops the replication of one replica, so that it lacks commits, then removes
 * the registration of a member, and then restarts hosts.
 */
void
Faults::InjectYoungHost(Duration aSpan)
{
  constexpr const char* kGoes[] = { R"({"forget":"primary"})",
                                    R"({"forget":"primary","kill":"primary"})",
                                    R"({"forget":"second-replica"})" };
  constexpr Duration kWrites = Millis(600);
  constexpr Duration kUnlisted = Millis(400);
  const char* goes = kGoes[this->random() % std::size(kGoes)];
  size_t host = this->random() % this->target.Hosts();
  this->target.Control(R"({"deafen":"first-replica"})");
  this->loop.After(kWrites, [this, goes] { this->target.Control(goes); });
  this->loop.After(kWrites + kUnlisted, [this, host] {
    for (size_t i = host; i < this->target.Hosts(); ++i) {
      this->DisturbHost(i, Seconds(1));
      this->target.SignalHost(i, SIGKILL);
    }
  });
  this->loop.After(aSpan, [this] {
    for (size_t i = 0; i < kUpstreams; ++i) {
      this->target.Control(
        fmt::format(R"({{"revive":{0},"hear":{0},"recall":{0}}})", i));
    }
  });
}

void
Faults::InjectStore(FaultKind aKind, Duration aSpan)
{
  size_t host = this->random() % this->target.Hosts();
  this->Log(aKind, host, aSpan);
  ++this->counts[aKind];
  auto control = [&](const std::string& aBegins, const std::string& aEnds) {
    this->Disturb(aSpan);
    this->target.Control(aBegins);
    this->loop.After(aSpan, [this, aEnds] { this->target.Control(aEnds); });
  };
  switch (aKind) {
    case FaultKind::StoreDown:
      control(R"({"down":true})", R"({"down":false})");
      return;
    case FaultKind::StoreSlow:
      control(fmt::format(R"({{"slow":{}}})", this->random() % 900),
              R"({"slow":0})");
      return;
    case FaultKind::StoreLoses:
      control(R"({"lose":["/v1/kv-txn"]})", R"({"lose":[]})");
      return;
    case FaultKind::StoreLapse:
      this->Disturb(aSpan);
      this->target.Control(R"({"lapse":true})");
      return;
    case FaultKind::StoreSilence:
      this->DisturbHost(host, aSpan);
      this->target.TellStoreRelay(host, "silence");
      return;
    case FaultKind::StoreCut:
      this->DisturbHost(host, aSpan);
      this->target.TellStoreRelay(host, "cut");
      this->loop.After(
        aSpan, [this, host] { this->target.TellStoreRelay(host, "heal"); });
      return;
    default:
      this->target.ChangeConfig();
      return;
  }
}

} // namespace marigoldpitch::soak
