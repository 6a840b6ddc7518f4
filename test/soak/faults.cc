#include "soak/faults.h"

#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>

namespace marigoldpitch::soak {

namespace {

// A host counts as undisturbed this long after the end of a fault.
constexpr Duration kUndisturbedAfter = Seconds(5);
constexpr int64_t kMinInjectionGapMs = 150;
constexpr int64_t kMaxInjectionGapMs = 1200;
constexpr int64_t kMinDurationMs = 200;
constexpr int64_t kMaxDurationMs = 3500;
constexpr size_t kUpstreams = 3;
// A restarted host serves only seconds after its start. This is long enough for
// it to serve before the fault ends.
constexpr Duration kHostRestartsDuration = Seconds(7);
constexpr Duration kHostRestartsInterval = Seconds(9);
// Every fourth seed injects only maintenance events: a stop, a reload or a new
// configuration. They must not close a connection with a pending request.
constexpr uint32_t kMaintenanceSeedInterval = 4;
// Seeds 3, 7, 11, ... also inject `HostRestarts` at a fixed interval. If every
// seed did so, little time would be left for other faults.
constexpr uint32_t kHostRestartsRemainder = 3;
// Seeds 5, 13, 21, ... inject only `PrimaryLeaves`. A host counts as
// undisturbed a while after the faults that go with it, before the upstream
// ends.
constexpr uint32_t kDepartureSeedInterval = 8;
constexpr uint32_t kDepartureRemainder = 5;
constexpr Duration kDepartureInterval = Seconds(13);
// The drain time of 7 s, and some time in which late statements can arrive.
constexpr Duration kDepartureTime = Seconds(11);
// Seeds 6, 14, 22, ... also inject `StoreRestored` at a fixed interval.
constexpr uint32_t kRestoreSeedInterval = 8;
constexpr uint32_t kRestoreRemainder = 6;
constexpr Duration kRestoreInterval = Seconds(5);
constexpr int64_t kMinCopyAgeMs = 500;
constexpr int64_t kMaxCopyAgeMs = 3500;
constexpr size_t kDrawnFaults = kFaultKindNames.Size() - 2;
constexpr FaultKind kMaintenanceEvents[] = { FaultKind::ProxyTerm,
                                             FaultKind::ProxyReload,
                                             FaultKind::ConfigChange };

} // namespace

Faults::Faults(Loop& aLoop, FaultTarget& aTarget, uint32_t aSeed)
  : loop(aLoop)
  , target(aTarget)
  , random(aSeed)
  , onlyMaintenance(aSeed % kMaintenanceSeedInterval == 0)
  , schedulesHostRestarts(aSeed % kMaintenanceSeedInterval ==
                          kHostRestartsRemainder)
  , onlyDepartures(aSeed % kDepartureSeedInterval == kDepartureRemainder)
  , schedulesRestores(aSeed % kRestoreSeedInterval == kRestoreRemainder)
  , hostDisturbedUntil(aTarget.Hosts(), kInfinitePast)
{
}

void
Faults::Start(Duration aDuration)
{
  this->started = ReadBootClock();
  this->end = this->started + aDuration;
  if (this->schedulesRestores) {
    this->InjectRestore();
  }
  this->InjectNext();
}

bool
Faults::IsUndisturbed(size_t aHost) const
{
  Time lastDisturbance =
    std::max(this->disturbedUntil, this->hostDisturbedUntil[aHost]);
  return ReadBootClock() - lastDisturbance >= kUndisturbedAfter;
}

void
Faults::MarkDisturbed(Duration aDuration)
{
  this->disturbedUntil =
    std::max(this->disturbedUntil, ReadBootClock() + aDuration);
}

void
Faults::MarkHostDisturbed(size_t aHost, Duration aDuration)
{
  Time& until = this->hostDisturbedUntil[aHost];
  until = std::max(until, ReadBootClock() + aDuration);
}

void
Faults::Log(FaultKind aKind, size_t aIndex, Duration aDuration) const
{
  fmt::print("{:6} ms {}, drawn: index {}, {} ms\n",
             (ReadBootClock() - this->started).ms,
             kFaultKindNames.TextOf(aKind),
             aIndex,
             aDuration.ms);
}

void
Faults::InjectNext()
{
  if (ReadBootClock() >= this->end) {
    return;
  }
  if (this->onlyDepartures) {
    this->InjectDeparture();
    this->loop.After(kDepartureInterval, [this] { this->InjectNext(); });
    return;
  }
  size_t randomNumber = this->random();
  FaultKind drawn = kFaultKindNames.rows[randomNumber % kDrawnFaults].value;
  bool areHostRestartsDue = this->schedulesHostRestarts &&
                            ReadBootClock() >= this->nextHostRestarts &&
                            ReadBootClock() >= this->exclusiveFaultUntil;
  if (this->onlyMaintenance) {
    drawn = kMaintenanceEvents[randomNumber % std::size(kMaintenanceEvents)];
  } else if (areHostRestartsDue) {
    this->nextHostRestarts = ReadBootClock() + kHostRestartsInterval;
    drawn = FaultKind::HostRestarts;
  }
  this->Inject(drawn);
  std::uniform_int_distribution<int64_t> injectionGapMs(kMinInjectionGapMs,
                                                        kMaxInjectionGapMs);
  this->loop.After(Millis(injectionGapMs(this->random)),
                   [this] { this->InjectNext(); });
}

void
Faults::Inject(FaultKind aKind)
{
  std::uniform_int_distribution<int64_t> durationMs(kMinDurationMs,
                                                    kMaxDurationMs);
  Duration duration = Millis(durationMs(this->random));
  if (aKind < FaultKind::UpstreamKill) {
    this->InjectHost(aKind, duration);
  } else if (aKind < FaultKind::StoreDown) {
    bool isLong = aKind == FaultKind::HostRestarts;
    this->InjectUpstream(aKind, isLong ? kHostRestartsDuration : duration);
  } else {
    this->InjectStoreOrConfig(aKind, duration);
  }
}

void
Faults::InjectHost(FaultKind aKind, Duration aDuration)
{
  size_t host = this->random() % this->target.Hosts();
  this->Log(aKind, host, aDuration);
  ++this->counts[aKind];
  switch (aKind) {
    case FaultKind::ProxyKill:
      this->MarkHostDisturbed(host, Seconds(1));
      this->target.SignalHost(host, SIGKILL);
      return;
    case FaultKind::ProxyPause:
      this->MarkHostDisturbed(host, aDuration);
      this->target.SignalHost(host, SIGSTOP);
      this->loop.After(
        aDuration, [this, host] { this->target.SignalHost(host, SIGCONT); });
      return;
    case FaultKind::ProxyReload:
      this->target.SignalHost(host, SIGHUP);
      return;
    default: // `ProxyTerm`
      this->target.SignalHost(host, SIGTERM);
      return;
  }
}

/**
 * Commits need two upstreams that receive them. Faults that may keep an
 * upstream from receiving, confirming or answering in time therefore exclude
 * each other; the faults listed in `isExclusive` may overlap.
 */
void
Faults::InjectUpstream(FaultKind aKind, Duration aDuration)
{
  size_t upstream = this->random() % kUpstreams;
  bool isExclusive =
    aKind != FaultKind::UpstreamLag && aKind != FaultKind::AnswersLost &&
    aKind != FaultKind::UpstreamReset && aKind != FaultKind::UpstreamSilence &&
    aKind != FaultKind::UpstreamUnregistered;
  if (isExclusive && ReadBootClock() < this->exclusiveFaultUntil) {
    return;
  }
  this->Log(aKind, upstream, aDuration);
  ++this->counts[aKind];
  this->MarkDisturbed(aDuration);
  if (isExclusive) {
    constexpr Duration kExclusiveFaultGap = Millis(1500);
    this->exclusiveFaultUntil =
      ReadBootClock() + aDuration + kExclusiveFaultGap;
  }
  auto runCommandPair = [&](const char* aStartCommand,
                            const char* aEndCommand,
                            size_t aTargetIndex) {
    this->target.Control(
      fmt::format(R"({{"{}":{}}})", aStartCommand, aTargetIndex));
    std::string endCommand =
      fmt::format(R"({{"{}":{}}})", aEndCommand, upstream);
    this->loop.After(aDuration,
                     [this, endCommand] { this->target.Control(endCommand); });
  };
  auto relay = [&](const std::string& aCommand) {
    this->target.CommandUpstreamRelay(upstream, aCommand);
    this->loop.After(aDuration, [this, upstream] {
      this->target.CommandUpstreamRelay(upstream, "heal");
    });
  };
  switch (aKind) {
    case FaultKind::UpstreamKill:
      runCommandPair("kill", "revive", upstream);
      return;
    case FaultKind::UpstreamReplicationBlocked:
      runCommandPair("deafen", "hear", upstream);
      return;
    case FaultKind::UpstreamUnregistered:
      runCommandPair("forget", "recall", upstream);
      return;
    case FaultKind::HostRestarts:
      this->InjectHostRestarts(aDuration);
      return;
    case FaultKind::UpstreamLag:
      this->target.Control(
        fmt::format(R"({{"lag":{}}})", this->random() % 600));
      return;
    case FaultKind::UpstreamSilence:
      this->target.CommandUpstreamRelay(upstream, "silence");
      return;
    case FaultKind::UpstreamReset:
      this->target.CommandUpstreamRelay(upstream, "reset");
      return;
    case FaultKind::UpstreamDelay:
      relay(fmt::format("delay?{}", 5 + this->random() % 300));
      return;
    case FaultKind::UpstreamCut:
      relay("cut");
      return;
    case FaultKind::UpstreamCutFromHost:
      relay(
        fmt::format("cut-from?host-{}", this->random() % this->target.Hosts()));
      return;
    case FaultKind::AnswersLost:
      this->target.Control(
        fmt::format(R"({{"lose_answers":{}}})", 20 + this->random() % 60));
      this->loop.After(
        aDuration, [this] { this->target.Control(R"({"lose_answers":0})"); });
      return;
    default: // `UpstreamAnswersDropped`
      relay("half");
      return;
  }
}

/**
 * Stops the replication of one replica, so that it lacks commits. Then removes
 * the registration of a member, in one variant also killing it, and then kills
 * hosts, which the soak run restarts.
 */
void
Faults::InjectHostRestarts(Duration aDuration)
{
  constexpr const char* kRemovals[] = {
    R"({"forget":"primary"})",
    R"({"forget":"primary","kill":"primary"})",
    R"({"forget":"second-replica"})"
  };
  constexpr Duration kWritesWhileBlocked = Millis(600);
  constexpr Duration kUnregisteredTime = Millis(400);
  const char* removal = kRemovals[this->random() % std::size(kRemovals)];
  size_t host = this->random() % this->target.Hosts();
  this->target.Control(R"({"deafen":"first-replica"})");
  this->loop.After(kWritesWhileBlocked,
                   [this, removal] { this->target.Control(removal); });
  this->loop.After(kWritesWhileBlocked + kUnregisteredTime, [this, host] {
    for (size_t i = host; i < this->target.Hosts(); ++i) {
      this->MarkHostDisturbed(i, Seconds(1));
      this->target.SignalHost(i, SIGKILL);
    }
  });
  this->loop.After(aDuration, [this] {
    for (size_t i = 0; i < kUpstreams; ++i) {
      this->target.Control(
        fmt::format(R"({{"revive":{0},"hear":{0},"recall":{0}}})", i));
    }
  });
}

void
Faults::KillHosts(size_t aFirst, size_t aCount)
{
  for (size_t i = 0; i < aCount; ++i) {
    size_t host = (aFirst + i) % this->target.Hosts();
    this->MarkHostDisturbed(host, Seconds(1));
    this->target.SignalHost(host, SIGKILL);
  }
}

/** Pauses hosts for longer than the store keeps their keys. */
void
Faults::PauseHosts(size_t aFirst, size_t aCount)
{
  constexpr Duration kPause = Seconds(6);
  for (size_t i = 0; i < aCount; ++i) {
    size_t host = (aFirst + i) % this->target.Hosts();
    this->MarkHostDisturbed(host, kPause);
    this->target.SignalHost(host, SIGSTOP);
    this->loop.After(kPause,
                     [this, host] { this->target.SignalHost(host, SIGCONT); });
  }
}

/**
 * The primary leaves. Beside it, as drawn: nothing; half of the hosts are
 * killed, or paused; its entry and all leases expire in an outage of the store;
 * or its entry expires and all hosts are killed. Half of the hosts include the
 * holder of the promoter lease in half of the cases.
 */
void
Faults::InjectDeparture()
{
  constexpr size_t kVariants = 5;
  constexpr Duration kLead = Millis(300);
  static constexpr Duration kStoreOutage = Seconds(2);
  size_t variant = this->random() % kVariants;
  size_t host = this->random() % this->target.Hosts();
  this->Log(FaultKind::PrimaryLeaves, variant, kDepartureTime);
  ++this->counts[FaultKind::PrimaryLeaves];
  if (variant == 1) {
    this->KillHosts(host, this->target.Hosts() / 2);
  } else if (variant == 2) {
    this->PauseHosts(host, this->target.Hosts() / 2);
  }
  this->loop.After(kLead, [this, variant, host] {
    this->target.Control(R"({"leave":"primary"})");
    if (variant < 3) {
      return;
    }
    // No host has read the announcement.
    this->target.Control(R"({"forget_leaving":true})");
    if (variant == 4) {
      this->KillHosts(host, this->target.Hosts());
      return;
    }
    this->MarkDisturbed(kStoreOutage);
    this->target.Control(R"({"lapse":true,"down":true})");
    this->loop.After(kStoreOutage,
                     [this] { this->target.Control(R"({"down":false})"); });
  });
}

/** Restores the store now and then, beside the faults that are drawn. */
void
Faults::InjectRestore()
{
  constexpr Duration kStoreOutage = Millis(300);
  if (ReadBootClock() + kRestoreInterval >= this->end) {
    return;
  }
  std::uniform_int_distribution<int64_t> copyAgeMs(kMinCopyAgeMs,
                                                   kMaxCopyAgeMs);
  Duration copyAge = Millis(copyAgeMs(this->random));
  this->Log(FaultKind::StoreRestored, 0, copyAge);
  ++this->counts[FaultKind::StoreRestored];
  this->target.Control(R"({"copy":true})");
  this->loop.After(copyAge, [this, kStoreOutage] {
    this->MarkDisturbed(kStoreOutage);
    this->target.Control(R"({"down":true})");
    this->loop.After(kStoreOutage, [this] {
      this->target.Control(R"({"restore":true,"down":false})");
      this->target.ChangeConfig();
    });
  });
  this->loop.After(kRestoreInterval, [this] { this->InjectRestore(); });
}

void
Faults::InjectStoreOrConfig(FaultKind aKind, Duration aDuration)
{
  size_t host = this->random() % this->target.Hosts();
  this->Log(aKind, host, aDuration);
  ++this->counts[aKind];
  auto runCommandPair = [&](const std::string& aStartCommand,
                            const std::string& aEndCommand) {
    this->MarkDisturbed(aDuration);
    this->target.Control(aStartCommand);
    this->loop.After(
      aDuration, [this, aEndCommand] { this->target.Control(aEndCommand); });
  };
  switch (aKind) {
    case FaultKind::StoreDown:
      runCommandPair(R"({"down":true})", R"({"down":false})");
      return;
    case FaultKind::StoreSlow:
      runCommandPair(fmt::format(R"({{"slow":{}}})", this->random() % 900),
                     R"({"slow":0})");
      return;
    case FaultKind::StoreAnswersLost:
      runCommandPair(R"({"lose":["/v1/kv-txn"]})", R"({"lose":[]})");
      return;
    case FaultKind::StoreLeasesExpire:
      this->MarkDisturbed(aDuration);
      this->target.Control(R"({"lapse":true})");
      return;
    case FaultKind::StoreSilence:
      this->MarkHostDisturbed(host, aDuration);
      this->target.CommandStoreRelay(host, "silence");
      return;
    case FaultKind::StoreCut:
      this->MarkHostDisturbed(host, aDuration);
      this->target.CommandStoreRelay(host, "cut");
      this->loop.After(aDuration, [this, host] {
        this->target.CommandStoreRelay(host, "heal");
      });
      return;
    default: // `ConfigChange`
      this->target.ChangeConfig();
      return;
  }
}

} // namespace marigoldpitch::soak
