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

bool
IsRateLimited(LogEvent aEvent)
{
  return aEvent == LogEvent::StatementPlaced ||
         aEvent == LogEvent::StatementRetried ||
         aEvent == LogEvent::StatementRefused ||
         aEvent == LogEvent::SetupRefused ||
         aEvent == LogEvent::CallerRefused ||
         aEvent == LogEvent::RequestRefused ||
         aEvent == LogEvent::DatabaseUnknown;
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
    line["request"] = aRequestId;
  }
  for (const auto& [name, value] : aFields) {
    line[name] = value;
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
