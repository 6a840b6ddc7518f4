#ifndef MARIGOLDPITCH_COORDINATION_SQL_CLASS_H
#define MARIGOLDPITCH_COORDINATION_SQL_CLASS_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/outcome.h"

#include <string_view>

/** Classes of SQLSTATE codes, by how a failed statement has to be handled. */
namespace marigoldpitch {

enum class SqlClass
{
  None,
  Duplicate,  // unique constraint violation
  Contention, // rolled back because of concurrent transactions
  ReadOnly,   // the upstream accepts no writes
  Leaving,    // the upstream is shutting down
  Full,       // the upstream accepts no more connections
  Aborted,    // the transaction had already failed
  Other,      // the statement itself is invalid
};

constexpr NameTable<SqlClass, 8> kSqlClassNames{ {
  { SqlClass::None, "none" },
  { SqlClass::Duplicate, "duplicate" },
  { SqlClass::Contention, "contention" },
  { SqlClass::ReadOnly, "read-only" },
  { SqlClass::Leaving, "leaving" },
  { SqlClass::Full, "full" },
  { SqlClass::Aborted, "aborted" },
  { SqlClass::Other, "other" },
} };

/** `ClassOf("23505")` is `SqlClass::Duplicate`. */
SqlClass
ClassOf(std::string_view aSqlState);

/** The outcome of a request whose statement failed and was rolled back. */
Outcome
OutcomeOf(SqlClass aFailure);

} // namespace marigoldpitch

#endif
