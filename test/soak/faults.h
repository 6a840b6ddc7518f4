#ifndef MARIGOLDPITCH_TEST_SOAK_FAULTS_H
#define MARIGOLDPITCH_TEST_SOAK_FAULTS_H

#include "soak/children.h"

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/transport/http-client.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

/** Faults from outside the programs, drawn from a seed; they overlap. */
namespace marigoldpitch::soak {

enum class FaultKind
{
  ProxyKill,
  ProxyTerm,
  ProxyPause,
  ProxyReload,
  UpstreamKill,
  UpstreamDeaf,
  UpstreamLag,
  UpstreamSilence,
  UpstreamReset,
  UpstreamDelay,
  UpstreamCut,
  UpstreamHalf,      // questions arrive, answers do not
  UpstreamApart,     // one host cannot reach it
  UpstreamForgotten, // the registry lacks it while it serves
  AnswersLost,       // after their statements ran
  YoungHost, // starts while a member's entry is missing and a replica is deaf
  StoreDown,
  StoreSlow,
  StoreLoses, // changes take effect without an answer
  StoreLapse, // all leases end
  StoreSilence,
  StoreCut, // from one host
  ConfigChange,
};

constexpr NameTable<FaultKind, 23> kFaultKindNames{ {
  { FaultKind::ProxyKill, "proxy-kill" },
  { FaultKind::ProxyTerm, "proxy-term" },
  { FaultKind::ProxyPause, "proxy-pause" },
  { FaultKind::ProxyReload, "proxy-reload" },
  { FaultKind::UpstreamKill, "upstream-kill" },
  { FaultKind::UpstreamDeaf, "upstream-deaf" },
  { FaultKind::UpstreamLag, "upstream-lag" },
  { FaultKind::UpstreamSilence, "upstream-silence" },
  { FaultKind::UpstreamReset, "upstream-reset" },
  { FaultKind::UpstreamDelay, "upstream-delay" },
  { FaultKind::UpstreamCut, "upstream-cut" },
  { FaultKind::UpstreamHalf, "upstream-half" },
  { FaultKind::UpstreamApart, "upstream-apart" },
  { FaultKind::UpstreamForgotten, "upstream-forgotten" },
  { FaultKind::AnswersLost, "answers-lost" },
  { FaultKind::YoungHost, "young-host" },
  { FaultKind::StoreDown, "store-down" },
  { FaultKind::StoreSlow, "store-slow" },
  { FaultKind::StoreLoses, "store-loses" },
  { FaultKind::StoreLapse, "store-lapse" },
  { FaultKind::StoreSilence, "store-silence" },
  { FaultKind::StoreCut, "store-cut" },
  { FaultKind::ConfigChange, "config-change" },
} };

/** What a fault needs of the site. */
class FaultTarget
{
public:
  virtual ~FaultTarget() = default;
  virtual size_t Hosts() const = 0;

  /** An order for the stand-in of the platform, in JSON. */
  virtual void Control(const std::string& aBody) = 0;
  virtual void TellUpstreamRelay(size_t aUpstream,
                                 const std::string& aOrder) = 0;
  virtual void TellStoreRelay(size_t aHost, const std::string& aOrder) = 0;
  virtual void SignalHost(size_t aHost, int aSignal) = 0;

  /** One more configuration, with a database more. */
  virtual void ChangeConfig() = 0;
};

class Faults
{
public:
  Faults(Loop& aLoop, FaultTarget& aTarget, uint32_t aSeed);

  void Start(Duration aSpan);

  /** Whether nothing but a planned shutdown touched the host of late. */
  bool IsCalm(size_t aHost) const;
  const std::map<FaultKind, uint64_t>& Counts() const { return this->counts; }

private:
  void Next();
  void Inject(FaultKind aKind);
  void InjectHost(FaultKind aKind, Duration aSpan);
  void InjectUpstream(FaultKind aKind, Duration aSpan);
  void InjectYoungHost(Duration aSpan);
  void InjectStore(FaultKind aKind, Duration aSpan);
  void Disturb(Duration aSpan);
  void DisturbHost(size_t aHost, Duration aSpan);
  void Log(FaultKind aKind, size_t aIndex, Duration aSpan) const;

  Loop& loop;
  FaultTarget& target;
  std::mt19937 random;
  bool isPlanned;
  bool isYoung;
  Time started = kInfinitePast;
  Time end = kInfinitePast;
  Time disturbed = kInfinitePast; // until then, all hosts
  Time upstreamBusy = kInfinitePast;
  Time youngDue = kInfinitePast; // the next one
  std::vector<Time> hostDisturbed;
  std::map<FaultKind, uint64_t> counts;
};

} // namespace marigoldpitch::soak

#endif
