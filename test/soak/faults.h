#ifndef MARIGOLDPITCH_TEST_SOAK_FAULTS_H
#define MARIGOLDPITCH_TEST_SOAK_FAULTS_H

#include "soak/children.h"

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/transport/http-client.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

/** Injects random, overlapping faults from outside the programs under test. */
namespace marigoldpitch::soak {

// In groups: hosts, upstreams, then the store and the configuration. `Inject`
// relies on this order.
enum class FaultKind
{
  ProxyKill,
  ProxyTerm,
  ProxyPause,
  ProxyReload,
  UpstreamKill,
  UpstreamReplicationBlocked, // receives no replication
  UpstreamLag,
  UpstreamSilence, // its open connections carry no more data
  UpstreamReset,
  UpstreamDelay,
  UpstreamCut,
  UpstreamAnswersDropped, // receives statements, but its answers are dropped
  UpstreamCutFromHost,    // one host can't reach it
  UpstreamUnregistered,   // it serves, but its registration is missing
  AnswersLost,            // some statements run, but their answers are dropped
  // Hosts are killed and restart while the registration of a group member is
  // missing and a replica receives no replication.
  HostRestarts,
  StoreDown,
  StoreSlow,
  StoreAnswersLost,  // changes are applied, but not answered
  StoreLeasesExpire, // all leases expire
  StoreSilence,      // one host's open connections carry no more data
  StoreCut,          // one host can't reach the store
  ConfigChange,
  // The primary announces its departure and ends after its drain time, beside
  // faults of hosts and of the store. Never drawn: see `onlyDepartures`.
  PrimaryLeaves,
  // The store comes back from a copy some seconds old, and the operator writes
  // the configuration again. Never drawn: see `schedulesRestores`.
  StoreRestored,
};

constexpr NameTable<FaultKind, 25> kFaultKindNames{ {
  { FaultKind::ProxyKill, "proxy-kill" },
  { FaultKind::ProxyTerm, "proxy-term" },
  { FaultKind::ProxyPause, "proxy-pause" },
  { FaultKind::ProxyReload, "proxy-reload" },
  { FaultKind::UpstreamKill, "upstream-kill" },
  { FaultKind::UpstreamReplicationBlocked, "upstream-deaf" },
  { FaultKind::UpstreamLag, "upstream-lag" },
  { FaultKind::UpstreamSilence, "upstream-silence" },
  { FaultKind::UpstreamReset, "upstream-reset" },
  { FaultKind::UpstreamDelay, "upstream-delay" },
  { FaultKind::UpstreamCut, "upstream-cut" },
  { FaultKind::UpstreamAnswersDropped, "upstream-half" },
  { FaultKind::UpstreamCutFromHost, "upstream-apart" },
  { FaultKind::UpstreamUnregistered, "upstream-forgotten" },
  { FaultKind::AnswersLost, "answers-lost" },
  { FaultKind::HostRestarts, "young-host" },
  { FaultKind::StoreDown, "store-down" },
  { FaultKind::StoreSlow, "store-slow" },
  { FaultKind::StoreAnswersLost, "store-loses" },
  { FaultKind::StoreLeasesExpire, "store-lapse" },
  { FaultKind::StoreSilence, "store-silence" },
  { FaultKind::StoreCut, "store-cut" },
  { FaultKind::ConfigChange, "config-change" },
  { FaultKind::PrimaryLeaves, "primary-leaves" },
  { FaultKind::StoreRestored, "store-restored" },
} };

/** The operations on the site that faults are made of. */
class FaultTarget
{
public:
  virtual ~FaultTarget() = default;
  virtual size_t Hosts() const = 0;

  /** Sends commands to the stand-in of the platform; `aBody` is JSON. */
  virtual void Control(const std::string& aBody) = 0;
  virtual void CommandUpstreamRelay(size_t aUpstream,
                                    const std::string& aCommand) = 0;
  virtual void CommandStoreRelay(size_t aHost, const std::string& aCommand) = 0;
  virtual void SignalHost(size_t aHost, int aSignal) = 0;

  /** Publishes a new configuration that adds a database. */
  virtual void ChangeConfig() = 0;
};

/** Draws the faults, their times and their targets from a seed. */
class Faults
{
public:
  Faults(Loop& aLoop, FaultTarget& aTarget, uint32_t aSeed);

  void Start(Duration aDuration);

  /**
   * Whether the last fault that affects the host ended at least
   * `kUndisturbedAfter` ago. Maintenance events do not count.
   */
  bool IsUndisturbed(size_t aHost) const;
  const std::map<FaultKind, uint64_t>& Counts() const { return this->counts; }

private:
  void InjectNext();
  void Inject(FaultKind aKind);
  void InjectHost(FaultKind aKind, Duration aDuration);
  void InjectUpstream(FaultKind aKind, Duration aDuration);
  void InjectHostRestarts(Duration aDuration);
  void InjectDeparture();
  void InjectRestore();
  void KillHosts(size_t aFirst, size_t aCount);
  void PauseHosts(size_t aFirst, size_t aCount);
  void InjectStoreOrConfig(FaultKind aKind, Duration aDuration);
  void MarkDisturbed(Duration aDuration);
  void MarkHostDisturbed(size_t aHost, Duration aDuration);

  /** Logs what was drawn, also an index or duration that the fault ignores. */
  void Log(FaultKind aKind, size_t aIndex, Duration aDuration) const;

  Loop& loop;
  FaultTarget& target;
  std::mt19937 random;
  bool onlyMaintenance;
  bool schedulesHostRestarts;
  bool onlyDepartures;
  bool schedulesRestores;
  Time started = kInfinitePast;
  Time end = kInfinitePast;
  // The end of the faults that affect all hosts, then of the exclusive fault.
  Time disturbedUntil = kInfinitePast;
  Time exclusiveFaultUntil = kInfinitePast;
  Time nextHostRestarts = kInfinitePast; // of the next `HostRestarts`
  std::vector<Time> hostDisturbedUntil;  // by host: end of its faults
  std::map<FaultKind, uint64_t> counts;
};

} // namespace marigoldpitch::soak

#endif
