#ifndef MARIGOLDPITCH_COORDINATION_OWNER_SQL_CLASS_H
#define MARIGOLDPITCH_COORDINATION_OWNER_SQL_CLASS_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/outcome.h"

#include <string_view>

/** Classes of SQLSTATE codes, by how a failed statement has to be handled. */
namespace marigoldpitch {

enum class SqlErrorClass
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

constexpr NameTable<SqlErrorClass, 8> kSqlErrorClassNames{ {
  { SqlErrorClass::None, "none" },
  { SqlErrorClass::Duplicate, "duplicate" },
  { SqlErrorClass::Contention, "contention" },
  { SqlErrorClass::ReadOnly, "read-only" },
  { SqlErrorClass::Leaving, "leaving" },
  { SqlErrorClass::Full, "full" },
  { SqlErrorClass::Aborted, "aborted" },
  { SqlErrorClass::Other, "other" },
} };

/** `ClassifySqlState("23505")` is `SqlErrorClass::Duplicate`. */
SqlErrorClass
ClassifySqlState(std::string_view aSqlState);

/** The outcome of a request whose statement failed and was rolled back. */
Outcome
OutcomeOf(SqlErrorClass aFailure);

} // namespace marigoldpitch

#endif
