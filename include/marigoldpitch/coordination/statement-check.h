#ifndef MARIGOLDPITCH_COORDINATION_STATEMENT_CHECK_H
#define MARIGOLDPITCH_COORDINATION_STATEMENT_CHECK_H

#include <string_view>

/** Which statements callers may send. */
namespace marigoldpitch {

/**
 * Only data statements pass: transaction control and session state belong to
 * the owner, or a connection could carry one transaction into another.
 *
 * Example: `IsDataStatement("COMMIT")` is false.
 */
bool
IsDataStatement(std::string_view aSql);

} // namespace marigoldpitch

#endif
