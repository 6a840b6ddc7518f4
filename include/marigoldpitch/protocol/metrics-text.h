#ifndef MARIGOLDPITCH_PROTOCOL_METRICS_TEXT_H
#define MARIGOLDPITCH_PROTOCOL_METRICS_TEXT_H

#include "marigoldpitch/state/metrics.h"

#include <map>
#include <string>

/** Metrics in the Prometheus text format. */
namespace marigoldpitch {

/** `aLabels` is put on each line, such as `peer="host-1/owner"`. */
std::string
FormatMetrics(const Metrics& aMetrics, const std::string& aLabels);

/** Sample name with its own labels (not `peer`) to value, summed over lines. */
std::map<std::string, double>
ParseMetrics(const std::string& aText);

} // namespace marigoldpitch

#endif
