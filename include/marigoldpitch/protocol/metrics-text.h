#ifndef MARIGOLDPITCH_PROTOCOL_METRICS_TEXT_H
#define MARIGOLDPITCH_PROTOCOL_METRICS_TEXT_H

#include "marigoldpitch/coordination/proxy/concurrency-limit.h"
#include "marigoldpitch/state/metrics.h"

#include <map>
#include <string>
#include <vector>

/** Metrics in the Prometheus text format. */
namespace marigoldpitch {

/** Adds `aLabels` to each sample, for example `peer="host-1/owner"`. */
std::string
FormatMetrics(const Metrics& aMetrics, const std::string& aLabels);

/** What a host has learned of an upstream. */
struct UpstreamMetrics
{
  std::string service;
  std::string upstream;
  LearnedUpstream learned;
  double share = 0; // of the service's recent answers
};

/** Adds limit, share, slowness and share of errors of each upstream. */
std::string
FormatUpstreams(const std::vector<UpstreamMetrics>& aUpstreams,
                const std::string& aLabels);

/**
 * Maps each sample name, with its labels except `peer`, to the sum of its
 * values.
 */
std::map<std::string, double>
ParseMetrics(const std::string& aText);

} // namespace marigoldpitch

#endif
