#include "marigoldpitch/protocol/metrics-text.h"

#include <cstdlib>
#include <sstream>

namespace marigoldpitch {

namespace detail {

constexpr char kMetricPrefix[] = "marigoldpitch_";

void
WriteSample(std::ostream& aOut,
            std::string_view aName,
            const std::string& aLabels,
            double aValue)
{
  aOut << kMetricPrefix << aName << '{' << aLabels << "} " << aValue << '\n';
}

void
WriteHistogram(std::ostream& aOut,
               std::string_view aName,
               const std::string& aLabels,
               const Distribution& aDistribution)
{
  aOut << "# TYPE " << kMetricPrefix << aName << " histogram\n";
  const auto& histogram = aDistribution.histogram;
  // The underflow bin holds the values below the first edge, 1 ms.
  double cumulative = histogram.at(-1);
  for (int i = 0; i < kHistogramBins; ++i) {
    cumulative += histogram.at(i);
    std::ostringstream edge;
    edge << histogram.axis().bin(i).upper();
    WriteSample(aOut,
                std::string(aName) + "_bucket",
                aLabels + ",le=\"" + edge.str() + "\"",
                cumulative);
  }
  auto count = static_cast<double>(aDistribution.count);
  WriteSample(
    aOut, std::string(aName) + "_bucket", aLabels + ",le=\"+Inf\"", count);
  WriteSample(aOut, std::string(aName) + "_sum", aLabels, aDistribution.sumMs);
  WriteSample(aOut, std::string(aName) + "_count", aLabels, count);
}

/**
 * Removes the `peer` label, which names the daemon, so that `ParseMetrics` adds
 * up the samples of all daemons.
 */
std::string
RemovePeerLabel(const std::string& aSample)
{
  size_t start = aSample.find("peer=\"");
  if (start == std::string::npos) {
    return aSample;
  }
  size_t end = aSample.find('"', start + 6);
  std::string rest = aSample.substr(end + 1);
  if (!rest.empty() && rest[0] == ',') {
    rest.erase(0, 1);
  }
  return aSample.substr(0, start) + rest;
}

} // namespace detail

std::string
FormatMetrics(const Metrics& aMetrics, const std::string& aLabels)
{
  std::ostringstream out;
  out.precision(15);
  for (const auto& row : kCounterNames.rows) {
    out << "# TYPE " << detail::kMetricPrefix << row.name << " counter\n";
    detail::WriteSample(
      out, row.name, aLabels, static_cast<double>(aMetrics.Get(row.value)));
  }
  out << "# TYPE " << detail::kMetricPrefix << "requests_total counter\n";
  for (const auto& row : kOutcomeNames.rows) {
    std::string labels = aLabels + ",outcome=\"" + std::string(row.name) + "\"";
    detail::WriteSample(out,
                        "requests_total",
                        labels,
                        static_cast<double>(aMetrics.Get(row.value)));
  }
  for (const auto& row : kMeasureNames.rows) {
    detail::WriteHistogram(out, row.name, aLabels, aMetrics.Get(row.value));
  }
  return out.str();
}

std::string
FormatUpstreams(const std::vector<UpstreamMetrics>& aUpstreams,
                const std::string& aLabels)
{
  struct Gauge
  {
    const char* name;
    double (*value)(const UpstreamMetrics&);
  };
  constexpr Gauge kGauges[] = {
    { "upstream_limit",
      [](const UpstreamMetrics& aOne) { return aOne.learned.limit; } },
    { "upstream_share",
      [](const UpstreamMetrics& aOne) { return aOne.share; } },
    { "upstream_slowness",
      [](const UpstreamMetrics& aOne) { return aOne.learned.slowness; } },
    { "upstream_error_share",
      [](const UpstreamMetrics& aOne) { return aOne.learned.errorShare; } },
  };
  std::ostringstream out;
  for (const Gauge& gauge : kGauges) {
    out << "# TYPE " << detail::kMetricPrefix << gauge.name << " gauge\n";
    for (const UpstreamMetrics& one : aUpstreams) {
      std::string labels = aLabels + ",service=\"" + one.service +
                           "\",upstream=\"" + one.upstream + "\"";
      detail::WriteSample(out, gauge.name, labels, gauge.value(one));
    }
  }
  return out.str();
}

std::map<std::string, double>
ParseMetrics(const std::string& aText)
{
  std::map<std::string, double> samples;
  std::istringstream in(aText);
  std::string line;
  while (std::getline(in, line)) {
    size_t space = line.rfind(' ');
    if (line.empty() || line[0] == '#' || space == std::string::npos) {
      continue;
    }
    std::string name = detail::RemovePeerLabel(line.substr(0, space));
    samples[name] += std::strtod(line.c_str() + space, nullptr);
  }
  return samples;
}

} // namespace marigoldpitch
