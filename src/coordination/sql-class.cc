#include "marigoldpitch/coordination/sql-class.h"

namespace marigoldpitch {

namespace detail {

// SQLSTATE codes from the PostgreSQL documentation, appendix "Error Codes".
constexpr NameTable<SqlClass, 13> kSqlStates{ {
  { SqlClass::None, "00000" },
  { SqlClass::Duplicate, "23505" },
  { SqlClass::Contention, "40001" },
  { SqlClass::Contention, "40P01" },
  { SqlClass::Contention, "55P03" },
  { SqlClass::ReadOnly, "25006" },
  { SqlClass::Leaving, "57P01" },
  { SqlClass::Leaving, "57P02" },
  { SqlClass::Leaving, "57P03" },
  { SqlClass::Full, "53300" },
  { SqlClass::Aborted, "25P02" },
  { SqlClass::Contention, "57014" },
  { SqlClass::Other, "42601" },
} };

} // namespace detail

SqlClass
ClassOf(std::string_view aSqlState)
{
  return detail::kSqlStates.ValueOf(aSqlState).value_or(SqlClass::Other);
}

Outcome
OutcomeOf(SqlClass aFailure)
{
  bool isConflict = aFailure == SqlClass::Contention ||
                    aFailure == SqlClass::Duplicate ||
                    aFailure == SqlClass::Aborted;
  return isConflict ? Outcome::Conflict : Outcome::Invalid;
}

} // namespace marigoldpitch
