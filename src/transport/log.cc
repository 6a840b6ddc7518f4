#include "marigoldpitch/transport/log.h"

#include "marigoldpitch/state/names.h"

#include <fmt/format.h>

#include <cstdio>

namespace marigoldpitch {

namespace detail {

constexpr NameTable<Severity, 3> kSeverityNames{ {
  { Severity::Info, "info" },
  { Severity::Warning, "warning" },
  { Severity::Error, "error" },
} };

std::string&
LogName()
{
  static std::string sName;
  return sName;
}

} // namespace detail

void
SetLogName(std::string aName)
{
  detail::LogName() = std::move(aName);
}

void
Log(LogEvent aEvent, std::string_view aText)
{
  const LogEventRow& row = RowOf(aEvent);
  fmt::print(stderr,
             "{} E{} {} {}: {}\n",
             detail::LogName(),
             row.number,
             detail::kSeverityNames.NameOf(row.severity),
             row.name,
             aText);
}

} // namespace marigoldpitch
