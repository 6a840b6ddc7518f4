#include "marigoldpitch/transport/json-log.h"

#include "marigoldpitch/state/sizes.h"
#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

namespace marigoldpitch {

namespace detail {

constexpr size_t kMaxBufferedBytes = 64 * kKibibyte;
// Applies to the events that requests cause; all others are not rate-limited.
constexpr uint32_t kRateLimitedLinesPerSecond = 100;
// The longest value of a line that requests cause, in which callers' texts
// stand, and of any other line.
constexpr size_t kMaxRequestFieldBytes = 256;
constexpr size_t kMaxFieldBytes = 2 * kKibibyte;
constexpr std::string_view kCutMark = "...";

bool
IsRateLimited(LogEvent aEvent)
{
  return aEvent == LogEvent::StatementPlaced ||
         aEvent == LogEvent::StatementRetried ||
         aEvent == LogEvent::StatementRefused ||
         aEvent == LogEvent::SetupRefused ||
         aEvent == LogEvent::CallerRefused ||
         aEvent == LogEvent::RequestRefused || aEvent == LogEvent::KeyRefused ||
         aEvent == LogEvent::ConnectionReplaced ||
         aEvent == LogEvent::OverLimit || aEvent == LogEvent::CallerClosed ||
         aEvent == LogEvent::DatabaseUnknown;
}

bool
IsUtf8Continuation(char aByte)
{
  return (static_cast<unsigned char>(aByte) & 0xc0U) == 0x80U;
}

/** The text, cut between two characters if it is over the limit. */
std::string
CutText(const std::string& aText, size_t aMaxBytes)
{
  constexpr size_t kMaxContinuationBytes = 3;
  if (aText.size() <= aMaxBytes) {
    return aText;
  }
  size_t end = aMaxBytes;
  while (aMaxBytes - end < kMaxContinuationBytes &&
         IsUtf8Continuation(aText[end])) {
    --end;
  }
  return aText.substr(0, end).append(kCutMark);
}

} // namespace detail

JsonLog::JsonLog(std::string aHost)
  : host(std::move(aHost))
{
  int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool
JsonLog::ShouldLog(LogEvent aEvent)
{
  if (this->buffer.size() >= detail::kMaxBufferedBytes) {
    return false;
  }
  if (!detail::IsRateLimited(aEvent)) {
    return true;
  }
  Time now = ReadMonotonicClock();
  if (now - this->windowStart >= Seconds(1)) {
    this->windowStart = now;
    this->linesInWindow = 0;
  }
  return ++this->linesInWindow <= detail::kRateLimitedLinesPerSecond;
}

void
JsonLog::AddLine(LogEvent aEvent,
                 const std::string& aRequestId,
                 const LogFields& aFields)
{
  if (!this->ShouldLog(aEvent)) {
    ++this->dropped;
    return;
  }
  if (this->dropped != 0 &&
      ReadMonotonicClock() - this->lastDropReport >= Seconds(1)) {
    this->lastDropReport = ReadMonotonicClock();
    this->Append(
      LogEvent::LogDropped, "", { { "lines", std::to_string(this->dropped) } });
    this->dropped = 0;
  }
  this->Append(aEvent, aRequestId, aFields);
}

void
JsonLog::Append(LogEvent aEvent,
                const std::string& aRequestId,
                const LogFields& aFields)
{
  const LogEventRow& row = RowOf(aEvent);
  nlohmann::ordered_json line;
  line["ms"] = ReadMonotonicClock().ms;
  line["host"] = this->host;
  line["severity"] = kSeverityNames.TextOf(row.severity);
  line["event"] = fmt::format("E{}", row.number);
  line["name"] = row.name;
  if (!aRequestId.empty()) {
    line["request"] =
      detail::CutText(aRequestId, detail::kMaxRequestFieldBytes);
  }
  size_t limit = detail::IsRateLimited(aEvent) ? detail::kMaxRequestFieldBytes
                                               : detail::kMaxFieldBytes;
  for (const auto& [name, value] : aFields) {
    line[name] = detail::CutText(value, limit);
  }
  this->buffer +=
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  this->buffer += '\n';
}

void
JsonLog::Flush()
{
  while (!this->buffer.empty()) {
    ssize_t written =
      write(STDOUT_FILENO, this->buffer.data(), this->buffer.size());
    if (written <= 0) {
      return; // the rest stays in the buffer
    }
    this->buffer.erase(0, static_cast<size_t>(written));
  }
}

} // namespace marigoldpitch
