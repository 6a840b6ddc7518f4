#ifndef MARIGOLDPITCH_COORDINATION_FORMER_HOLDER_H
#define MARIGOLDPITCH_COORDINATION_FORMER_HOLDER_H

#include "marigoldpitch/state/proxy-config.h"

#include <string>

/** What the store keeps of who held the duty last, beyond that one's lease. */
namespace marigoldpitch {

/** Whether the holders before the named one have ended. */
enum class Succession
{
  Unsettled, // one of them may still act
  Settled,
};

constexpr NameTable<Succession, 2> kSuccessionNames{ {
  { Succession::Unsettled, "unsettled" },
  { Succession::Settled, "settled" },
} };

/** The word that a run leaves when it takes the duty, or has settled in it. */
std::string
FormatFormerHolder(Succession aSuccession, const std::string& aRun);

/**
 * Whether nobody who held the duty before can act any more, so that the run
 * named `aSelf` need not wait when it takes it.
 */
bool
HaveFormerHoldersEnded(const ProxyHosts& aHosts, const std::string& aSelf);

} // namespace marigoldpitch

#endif
