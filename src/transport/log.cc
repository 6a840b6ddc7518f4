#include "marigoldpitch/transport/log.h"

#include "marigoldpitch/transport/decision-log.h"

#include <memory>

namespace marigoldpitch {

namespace detail {

std::unique_ptr<DecisionLog>&
ProcessLog()
{
  static std::unique_ptr<DecisionLog> sLog;
  return sLog;
}

} // namespace detail

void
SetLogName(const std::string& aName)
{
  detail::ProcessLog() = std::make_unique<DecisionLog>(aName);
}

void
Log(LogEvent aEvent, std::string_view aText)
{
  auto& log = detail::ProcessLog();
  if (log) {
    log->Put(aEvent, "", { { "text", std::string(aText) } });
    log->Flush();
  }
}

} // namespace marigoldpitch
