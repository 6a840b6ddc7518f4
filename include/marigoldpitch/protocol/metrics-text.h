#ifndef MARIGOLDPITCH_PROTOCOL_METRICS_TEXT_H
#define MARIGOLDPITCH_PROTOCOL_METRICS_TEXT_H

#include "marigoldpitch/state/metrics.h"

#include <map>
#include <string>

/** Metrics in the Prometheus text format. */
namespace marigoldpitch {

/** Adds `aLabels` to each sample, for example `peer="host-1/owner"`. */
std::string
FormatMetrics(const Metrics& aMetrics, const std::string& aLabels);

/**
 * Maps each sample name, with its labels except `peer`, to the sum of its
 * values.
 */
std::map<std::string, double>
ParseMetrics(const std::string& aText);

} // namespace marigoldpitch

#endif
