#ifndef MARIGOLDPITCH_TEST_FAKES_PROMOTION_RUN_H
#define MARIGOLDPITCH_TEST_FAKES_PROMOTION_RUN_H

#include "fakes/group-faults.h"

#include <string>
#include <vector>

/** A simulation under reads and writes in which host 0 promotes upstreams. */
namespace marigoldpitch::fakes {

class PromotionRun
{
public:
  /** Three hosts that read the registry each second; host 0 has the lease. */
  static ProxySimulationOptions Options(uint32_t aSeed);

  explicit PromotionRun(const ProxySimulationOptions& aOptions);

  const Promotion& PromotionOf(size_t aHost);

  /** Sends writes to `writers` in turn, and reads to each of `readers`. */
  void WriteFor(Duration aSpan);

  /** Runs until host 0's promotion is in the phase; false: not within 8 s. */
  bool AwaitPhase(PromotionPhase aPhase);

  /** Runs until a promotion has taken effect; false: not within 8 s. */
  bool AwaitPromotion();

  /** The replicas get no log entries any more, so that commits wait. */
  void StopReplication();

  /** An upstream that is not registered yet follows the primary. */
  size_t StartUnlisted();

  /** The same, at the address of an upstream that has ended. */
  size_t StartUnlistedAt(size_t aEnded);

  /** A resume command of another promoter arrives. */
  void Resume(size_t aUpstream);

  /** The first lost commit or else violation; empty if there is none. */
  std::string Violation() const;

  /** `Violation` again, once all faults have ended and all hosts serve. */
  std::string ViolationAfterRecovery(const std::set<size_t>& aLost = {});

  ProxySimulation simulation;
  std::vector<size_t> writers{ 0, 1, 2 };
  std::vector<size_t> readers{ 0, 1, 2 };

private:
  void SubmitCalls();

  Time nextWrite = kInfinitePast;
  size_t writes = 0;
};

} // namespace marigoldpitch::fakes

#endif
