#ifndef MARIGOLDPITCH_COORDINATION_PROXY_COMMIT_RIGHT_H
#define MARIGOLDPITCH_COORDINATION_PROXY_COMMIT_RIGHT_H

#include "marigoldpitch/state/names.h"

/** Whether a host may tell a caller that its commit has succeeded. */
namespace marigoldpitch {

enum class CommitRight
{
  Granted,
  // Only once a recorded replica has reported that its log has the commit.
  AwaitsReplica,
  Denied, // the log of the next primary may lack the commit
};

constexpr NameTable<CommitRight, 3> kCommitRightNames{ {
  { CommitRight::Granted, "granted" },
  { CommitRight::AwaitsReplica, "awaits-replica" },
  { CommitRight::Denied, "denied" },
} };

} // namespace marigoldpitch

#endif
