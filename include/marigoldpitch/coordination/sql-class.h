#ifndef MARIGOLDPITCH_COORDINATION_SQL_CLASS_H
#define MARIGOLDPITCH_COORDINATION_SQL_CLASS_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/outcome.h"

#include <string_view>

/** What the failure of a statement means for the decisions. */
namespace marigoldpitch {

enum class SqlClass
{
  None,
  Duplicate,  // a unique key exists already
  Contention, // rolled back because of other transactions
  ReadOnly,   // this upstream takes no writes
  Leaving,    // this upstream is shutting down
  Full,       // this upstream takes no more connections
  Aborted,    // the transaction had failed before
  Other,      // the statement is at fault
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
