#ifndef MARIGOLDPITCH_TRANSPORT_LOG_H
#define MARIGOLDPITCH_TRANSPORT_LOG_H

#include "marigoldpitch/state/log-event.h"

#include <string>
#include <string_view>

/** One line on standard error for each numbered event. */
namespace marigoldpitch {

/** Names the process on each line from now on, such as `host-1/owner`. */
void
SetLogName(std::string aName);

void
Log(LogEvent aEvent, std::string_view aText);

} // namespace marigoldpitch

#endif
