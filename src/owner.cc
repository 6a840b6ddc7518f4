#include "marigoldpitch/transport/owner-daemon.h"

// marigoldpitch-owner: coordinates its database groups and runs their requests
// on upstreams.

int
main(int aCount, char** aArguments)
{
  using namespace marigoldpitch;
  return RunDaemon(aCount,
                   const_cast<const char**>(aArguments),
                   DaemonRole::Owner,
                   [](Loop& aLoop, Settings aSettings) {
                     return std::make_unique<OwnerDaemon>(aLoop,
                                                          std::move(aSettings));
                   });
}
