#ifndef MARIGOLDPITCH_STATE_UPSTREAM_STATUS_H
#define MARIGOLDPITCH_STATE_UPSTREAM_STATUS_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/position.h"
#include "marigoldpitch/state/time.h"

#include <string>

/** The status that an upstream reports about itself. */
namespace marigoldpitch {

enum class Role
{
  Primary,
  Replica,
  Detached, // adopted a term but follows no primary yet
};

constexpr NameTable<Role, 3> kRoleNames{ {
  { Role::Primary, "primary" },
  { Role::Replica, "replica" },
  { Role::Detached, "detached" },
} };

struct UpstreamStatus
{
  Role role = Role::Detached;
  Term term = 0;                // highest term adopted
  Term followedTerm = 0;        // term whose primary its log was copied from
  Term lastTerm = 0;            // term of the last entry in its log
  Position termStart = 0;       // where the term `followedTerm` began
  Position received = 0;        // end of its durable log
  Position replayed = 0;        // visible to reads
  Duration sincePrimaryContact; // time since the last message from its primary
  bool leaving = false;

  /** The end of its log, which decides the choice of a new primary. */
  LogPoint LogEnd() const { return { this->lastTerm, this->received }; }

  /** The part of its log that reads see. */
  LogProgress VisibleProgress() const
  {
    return { this->followedTerm, this->termStart, this->replayed };
  }
};

} // namespace marigoldpitch

#endif
