#ifndef MARIGOLDPITCH_TRANSPORT_LOG_H
#define MARIGOLDPITCH_TRANSPORT_LOG_H

#include "marigoldpitch/state/log-event.h"

#include <string>
#include <string_view>

/** The process-wide log of the entry daemon and the owner daemon. */
namespace marigoldpitch {

/** Opens the log; each line contains `aName`, such as `host-1/owner`. */
void
SetLogName(const std::string& aName);

/** Logs a line to standard output; does nothing before `SetLogName`. */
void
Log(LogEvent aEvent, std::string_view aText);

} // namespace marigoldpitch

#endif
