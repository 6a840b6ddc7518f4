#ifndef MARIGOLDPITCH_COORDINATION_OWNER_STATEMENT_CHECK_H
#define MARIGOLDPITCH_COORDINATION_OWNER_STATEMENT_CHECK_H

#include <string_view>

/** Which SQL statements callers may send. */
namespace marigoldpitch {

/**
 * Whether the statement reads or changes data, judged by its first keyword.
 * Transaction control and session settings are left to the owner; a caller that
 * sent them could carry state from one transaction into the next on a shared
 * connection.
 *
 * Example: `IsDataStatement("COMMIT")` is false.
 */
bool
IsDataStatement(std::string_view aSql);

} // namespace marigoldpitch

#endif
