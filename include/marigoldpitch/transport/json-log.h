#ifndef MARIGOLDPITCH_TRANSPORT_JSON_LOG_H
#define MARIGOLDPITCH_TRANSPORT_JSON_LOG_H

#include "marigoldpitch/state/log-event.h"
#include "marigoldpitch/state/time.h"

#include <string>
#include <utility>
#include <vector>

/** A structured log: one JSON object per line on standard output. */
namespace marigoldpitch {

using LogFields = std::vector<std::pair<const char*, std::string>>;

/**
 * Never blocks: lines that standard output cannot take yet wait in a buffer of
 * bounded size. The events that requests cause share a rate limit. Lines that
 * exceed either limit are dropped, and their number is logged. Long values are
 * cut, since some are texts of callers.
 */
class JsonLog
{
public:
  explicit JsonLog(std::string aHost);

  void AddLine(LogEvent aEvent,
               const std::string& aRequestId,
               const LogFields& aFields);

  /** Writes as much as standard output takes; must be called regularly. */
  void Flush();

private:
  /**
   * Whether the buffer has room and the rate limit allows the event, which is
   * counted against that limit.
   */
  bool ShouldLog(LogEvent aEvent);
  void Append(LogEvent aEvent,
              const std::string& aRequestId,
              const LogFields& aFields);

  std::string host;
  std::string buffer;
  uint64_t dropped = 0;
  Time lastDropReport = kInfinitePast;
  Time windowStart = kInfinitePast;
  uint32_t linesInWindow = 0;
};

} // namespace marigoldpitch

#endif
