#include "marigoldpitch/transport/entry-daemon.h"

// marigoldpitch-entry: accepts callers' requests and forwards them to owners.

int
main(int aCount, char** aArguments)
{
  using namespace marigoldpitch;
  return RunDaemon(aCount,
                   const_cast<const char**>(aArguments),
                   DaemonRole::Entry,
                   [](Loop& aLoop, Settings aSettings) {
                     return std::make_unique<EntryDaemon>(aLoop,
                                                          std::move(aSettings));
                   });
}
