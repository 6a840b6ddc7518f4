#ifndef MARIGOLDPITCH_COORDINATION_PROXY_FORMER_HOLDER_H
#define MARIGOLDPITCH_COORDINATION_PROXY_FORMER_HOLDER_H

#include "marigoldpitch/state/proxy-config.h"

#include <string>

/**
 * The record of the promoter lease's last holder. It does not expire, so it
 * outlives the holder's process.
 */
namespace marigoldpitch {

/** Whether holders of the lease before the recorded one may still act. */
enum class FormerHolders
{
  MayAct, // an earlier holder may still act
  Ended,  // no earlier holder can act
};

constexpr NameTable<FormerHolders, 2> kFormerHoldersNames{ {
  { FormerHolders::MayAct, "unsettled" },
  { FormerHolders::Ended, "settled" },
} };

/**
 * The text that a run of the proxy's process stores when it takes the lease,
 * and again when no earlier holder can act any more.
 */
std::string
FormatLastHolder(FormerHolders aFormerHolders, const std::string& aRun);

/**
 * Whether no former holder of the lease can act any more, so that the run named
 * `aSelf` can take the lease without waiting.
 */
bool
HaveFormerHoldersEnded(const ProxyHosts& aHosts, const std::string& aSelf);

} // namespace marigoldpitch

#endif
