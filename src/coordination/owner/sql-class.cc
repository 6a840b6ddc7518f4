#include "marigoldpitch/coordination/owner/sql-class.h"

namespace marigoldpitch {

namespace detail {

// SQLSTATE codes from the PostgreSQL documentation, appendix "Error Codes".
constexpr NameTable<SqlErrorClass, 13> kSqlStates{ {
  { SqlErrorClass::None, "00000" },
  { SqlErrorClass::Duplicate, "23505" },
  { SqlErrorClass::Contention, "40001" },
  { SqlErrorClass::Contention, "40P01" },
  { SqlErrorClass::Contention, "55P03" },
  { SqlErrorClass::ReadOnly, "25006" },
  { SqlErrorClass::Leaving, "57P01" },
  { SqlErrorClass::Leaving, "57P02" },
  { SqlErrorClass::Leaving, "57P03" },
  { SqlErrorClass::Full, "53300" },
  { SqlErrorClass::Aborted, "25P02" },
  { SqlErrorClass::Contention, "57014" },
  { SqlErrorClass::Other, "42601" },
} };

} // namespace detail

SqlErrorClass
ClassifySqlState(std::string_view aSqlState)
{
  return detail::kSqlStates.ValueOf(aSqlState).value_or(SqlErrorClass::Other);
}

Outcome
OutcomeOf(SqlErrorClass aFailure)
{
  bool isConflict = aFailure == SqlErrorClass::Contention ||
                    aFailure == SqlErrorClass::Duplicate ||
                    aFailure == SqlErrorClass::Aborted;
  return isConflict ? Outcome::Conflict : Outcome::Invalid;
}

} // namespace marigoldpitch
