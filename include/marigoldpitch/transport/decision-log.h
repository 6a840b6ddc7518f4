#ifndef MARIGOLDPITCH_TRANSPORT_DECISION_LOG_H
#define MARIGOLDPITCH_TRANSPORT_DECISION_LOG_H

#include "marigoldpitch/state/log-event.h"
#include "marigoldpitch/state/time.h"

#include <string>
#include <utility>
#include <vector>

/** One JSON object a line on standard output, bounded and never blocking. */
namespace marigoldpitch {

using LogFields = std::vector<std::pair<const char*, std::string>>;

/**
 * Events that come with each request share a rate; lines that nobody takes wait
 * in a buffer of bounded size. What is dropped is counted and said.
 */
class DecisionLog
{
public:
  explicit DecisionLog(std::string aHost);

  void Put(LogEvent aEvent,
           const std::string& aRequestId,
           const LogFields& aFields);

  /** Writes what standard output takes; called regularly. */
  void Flush();

private:
  bool MayPut(LogEvent aEvent);
  void Append(LogEvent aEvent,
              const std::string& aRequestId,
              const LogFields& aFields);

  std::string host;
  std::string buffer;
  uint64_t dropped = 0;
  Time saidDropped = kLongAgo;
  Time second = kLongAgo;
  uint32_t linesThisSecond = 0;
};

} // namespace marigoldpitch

#endif
