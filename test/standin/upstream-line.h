#ifndef MARIGOLDPITCH_TEST_STANDIN_UPSTREAM_LINE_H
#define MARIGOLDPITCH_TEST_STANDIN_UPSTREAM_LINE_H

#include "marigoldpitch/coordination/proxy/statement.h"

#include <optional>
#include <string>
#include <string_view>

/**
 * How an upstream reads the lines of a proxy, written independently of the code
 * that writes them. Fields stand between single blanks; the last field of a
 * line goes up to its end.
 */
namespace marigoldpitch::standin {

/** The longest line that an upstream accepts, without its line break. */
constexpr size_t kMaxUpstreamLineBytes = 1024 * 1024;

/** A statement as the upstream understands it. */
struct UpstreamLine
{
  std::string requestId; // `-` for the proxy's own statements
  std::optional<LogPoint> after;
  SessionStatement statement;
};

/** Unset if the line, which comes without its line break, is invalid. */
std::optional<UpstreamLine>
ReadUpstreamLine(std::string_view aLine);

/** The text of a read, write, commit or execution, as its caller wrote it. */
std::string
TextOf(const SessionStatement& aStatement);

} // namespace marigoldpitch::standin

#endif
