#include "marigoldpitch/transport/log.h"

#include "marigoldpitch/transport/json-log.h"

#include <memory>

namespace marigoldpitch {

namespace detail {

std::unique_ptr<JsonLog>&
ProcessLog()
{
  static std::unique_ptr<JsonLog> sLog;
  return sLog;
}

} // namespace detail

void
SetLogName(const std::string& aName)
{
  detail::ProcessLog() = std::make_unique<JsonLog>(aName);
}

void
Log(LogEvent aEvent, std::string_view aText)
{
  auto& log = detail::ProcessLog();
  if (log) {
    log->AddLine(aEvent, "", { { "text", std::string(aText) } });
    log->Flush();
  }
}

} // namespace marigoldpitch
