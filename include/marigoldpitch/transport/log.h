#ifndef MARIGOLDPITCH_TRANSPORT_LOG_H
#define MARIGOLDPITCH_TRANSPORT_LOG_H

#include "marigoldpitch/state/log-event.h"

#include <string>
#include <string_view>

/** The log of a process that has one engine's events and its own. */
namespace marigoldpitch {

/** Begins the log; each line names the process, such as `host-1/owner`. */
void
SetLogName(const std::string& aName);

/** One structured line on standard output; nothing before `SetLogName`. */
void
Log(LogEvent aEvent, std::string_view aText);

} // namespace marigoldpitch

#endif
