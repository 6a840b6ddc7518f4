#include "marigoldpitch/transport/decision-log.h"

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
constexpr uint32_t kRequestLinesPerSecond = 100;

bool
ComesWithRequests(LogEvent aEvent)
{
  return aEvent == LogEvent::StatementPlaced ||
         aEvent == LogEvent::StatementRetried ||
         aEvent == LogEvent::StatementRefused ||
         aEvent == LogEvent::RequestRefused ||
         aEvent == LogEvent::DatabaseUnknown;
}

} // namespace detail

DecisionLog::DecisionLog(std::string aHost)
  : host(std::move(aHost))
{
  int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool
DecisionLog::MayPut(LogEvent aEvent)
{
  if (this->buffer.size() >= detail::kMaxBufferedBytes) {
    return false;
  }
  if (!detail::ComesWithRequests(aEvent)) {
    return true;
  }
  Time now = ReadClock();
  if (now - this->second >= Seconds(1)) {
    this->second = now;
    this->linesThisSecond = 0;
  }
  return ++this->linesThisSecond <= detail::kRequestLinesPerSecond;
}

void
DecisionLog::Put(LogEvent aEvent,
                 const std::string& aRequestId,
                 const LogFields& aFields)
{
  if (!this->MayPut(aEvent)) {
    ++this->dropped;
    return;
  }
  if (this->dropped != 0 && ReadClock() - this->saidDropped >= Seconds(1)) {
    this->saidDropped = ReadClock();
    this->Append(
      LogEvent::LogDropped, "", { { "lines", std::to_string(this->dropped) } });
    this->dropped = 0;
  }
  this->Append(aEvent, aRequestId, aFields);
}

void
DecisionLog::Append(LogEvent aEvent,
                    const std::string& aRequestId,
                    const LogFields& aFields)
{
  const LogEventRow& row = RowOf(aEvent);
  nlohmann::ordered_json line;
  line["ms"] = ReadClock().ms;
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
DecisionLog::Flush()
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
