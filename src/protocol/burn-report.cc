#include "marigoldpitch/protocol/burn-report.h"

#include "marigoldpitch/protocol/metrics-text.h"
#include "marigoldpitch/state/outcome.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace marigoldpitch {

namespace detail {

using MetricMap = std::map<std::string, double>;

double
MetricValue(const MetricMap& aSamples, const std::string& aName)
{
  auto found = aSamples.find("marigoldpitch_" + aName);
  return found == aSamples.end() ? 0 : found->second;
}

double
RequestCount(const MetricMap& aSamples, Outcome aOutcome)
{
  return MetricValue(aSamples,
                     "requests_total{outcome=\"" +
                       kOutcomeNames.TextOf(aOutcome) + "\"}");
}

/**
 * Lower bound on the failovers with a gap within `aLimit`: the count of the
 * highest histogram bucket that does not exceed it.
 */
double
FailoversWithin(const MetricMap& aSamples, Duration aLimit)
{
  const std::string prefix = "marigoldpitch_failover_gap_ms_bucket{le=\"";
  double within = 0;
  for (const auto& [name, value] : aSamples) {
    bool isBucket =
      name.rfind(prefix, 0) == 0 && name.find("+Inf") == std::string::npos;
    if (!isBucket) {
      continue;
    }
    double edge = std::strtod(name.c_str() + prefix.size(), nullptr);
    if (edge <= static_cast<double>(aLimit.ms)) {
      within = std::max(within, value);
    }
  }
  return within;
}

std::string
FormatWindow(Duration aWindow)
{
  int64_t seconds = aWindow.ms / 1000;
  if (seconds % 3600 == 0) {
    return fmt::format("{} h", seconds / 3600);
  }
  if (seconds % 60 == 0) {
    return fmt::format("{} min", seconds / 60);
  }
  return fmt::format("{} s", seconds);
}

std::string
Percent(double aShare)
{
  return fmt::format("{:.3f} %", aShare * 100);
}

struct PlotSeries
{
  std::string title;
  std::string unit;
  std::vector<double> values; // one per interval between two samples
  std::optional<double> objective;
};

constexpr double kPlotWidth = 720;
constexpr double kPlotHeight = 140;
constexpr double kPlotMargin = 24;

std::string
RenderPlot(const PlotSeries& aSeries)
{
  double maxValue = std::max(aSeries.objective.value_or(0), 1e-9);
  for (double value : aSeries.values) {
    maxValue = std::max(maxValue, value);
  }
  auto yOf = [&](double aValue) {
    double usable = kPlotHeight - 2 * kPlotMargin;
    return kPlotHeight - kPlotMargin - aValue / maxValue * usable;
  };
  size_t last = aSeries.values.size() > 1 ? aSeries.values.size() - 1 : 1;
  std::string points;
  for (size_t i = 0; i < aSeries.values.size(); ++i) {
    double x = kPlotMargin + static_cast<double>(i) *
                               (kPlotWidth - 2 * kPlotMargin) /
                               static_cast<double>(last);
    points += fmt::format("{:.1f},{:.1f} ", x, yOf(aSeries.values[i]));
  }
  std::string caption =
    fmt::format("scale maximum: {:.2f} {}", maxValue, aSeries.unit);
  std::string objective;
  if (aSeries.objective) {
    caption += fmt::format(
      "; dashed: objective, {:.2f} {}", *aSeries.objective, aSeries.unit);
    objective = fmt::format("<line class=\"objective\" x1=\"{0}\" x2=\"{1}\" "
                            "y1=\"{2:.1f}\" y2=\"{2:.1f}\"/>\n",
                            kPlotMargin,
                            kPlotWidth - kPlotMargin,
                            yOf(*aSeries.objective));
  }
  return fmt::format(
    "<h2>{0}</h2>\n"
    "<svg viewBox=\"0 0 {1} {2}\" role=\"img\" aria-label=\"{0}\">\n"
    "{3}<polyline points=\"{4}\"/>\n<text x=\"{5}\" y=\"14\">{6}</text>\n"
    "</svg>\n",
    aSeries.title,
    kPlotWidth,
    kPlotHeight,
    objective,
    points,
    kPlotMargin,
    caption);
}

std::vector<PlotSeries>
MakePlotSeries(const std::vector<BurnSample>& aSamples,
               const Objectives& aObjectives)
{
  PlotSeries burn{ "Burn rate of the availability objective", "times", {}, 1 };
  PlotSeries share{ "Replica share of reads that accept stale data",
                    "%",
                    {},
                    aObjectives.replicaShare * 100 };
  PlotSeries rate{ "Requests answered", "per second", {}, std::nullopt };
  for (size_t i = 1; i < aSamples.size(); ++i) {
    std::vector<BurnSample> pair{ aSamples[i - 1], aSamples[i] };
    Duration span = aSamples[i].at - aSamples[i - 1].at;
    std::vector<BurnRow> rows = ComputeBurn(pair, { span }, aObjectives);
    burn.values.push_back(rows[0].burnRate);
    share.values.push_back(rows[0].replicaShare * 100);
    double seconds = std::max(static_cast<double>(span.ms), 1.0) / 1000;
    rate.values.push_back(rows[0].requests / seconds);
  }
  return { burn, share, rate };
}

constexpr char kPageHead[] =
  "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n"
  "<title>marigoldpitch: service-level burn</title>\n<style>\n"
  "body{font:16px/1.5 sans-serif;max-width:52rem;margin:2rem auto;"
  "padding:0 1rem;color:#222}\n"
  "table{border-collapse:collapse;width:100%}\n"
  "th,td{padding:.3rem .6rem;text-align:right;border-bottom:1px solid #ccc}\n"
  "th:first-child,td:first-child{text-align:left}\n"
  "td.over{color:#a00;font-weight:bold}\n"
  "svg{width:100%;background:#fafafa}\n"
  "polyline{fill:none;stroke:#b36b00;stroke-width:2}\n"
  "line.objective{stroke:#666;stroke-dasharray:6 4}\n"
  "svg text{font:12px sans-serif;fill:#444}\n"
  "h2{font-size:1rem;margin:1.5rem 0 .3rem}\n</style>\n</head>\n<body>\n"
  "<h1>Service-level burn</h1>\n";

std::string
TableCell(const std::string& aText, bool aIsOver)
{
  return fmt::format("<td{}>{}</td>", aIsOver ? " class=\"over\"" : "", aText);
}

std::string
TableRow(const BurnRow& aRow, const Objectives& aObjectives)
{
  bool isBelowObjective = aRow.replicaShare < aObjectives.replicaShare;
  return "<tr>" + TableCell(FormatWindow(aRow.window), false) +
         TableCell(fmt::format("{:.0f}", aRow.requests), false) +
         TableCell(Percent(aRow.availability),
                   aRow.availability < aObjectives.availability) +
         TableCell(fmt::format("{:.2f}", aRow.burnRate), aRow.burnRate > 1) +
         TableCell(Percent(aRow.freshness), false) +
         TableCell(Percent(aRow.replicaShare), isBelowObjective) +
         TableCell(fmt::format("{:.0f}", aRow.failovers), false) +
         TableCell(fmt::format("{:.0f}", aRow.slowFailovers),
                   aRow.slowFailovers > 0) +
         "</tr>\n";
}

} // namespace detail

BurnSample
MakeBurnSample(Time aAt,
               const std::vector<std::string>& aMetricsTexts,
               const Objectives& aObjectives)
{
  BurnSample sample;
  sample.at = aAt;
  for (const std::string& text : aMetricsTexts) {
    detail::MetricMap samples = ParseMetrics(text);
    // Entry daemons count requests as callers see them.
    if (text.find("/entry\"") != std::string::npos) {
      for (const auto& row : kOutcomeNames.rows) {
        bool isCallerError = row.value == Outcome::Invalid;
        sample.answered +=
          isCallerError ? 0 : detail::RequestCount(samples, row.value);
      }
      sample.good += detail::RequestCount(samples, Outcome::Ok) +
                     detail::RequestCount(samples, Outcome::Conflict);
      sample.stale += detail::RequestCount(samples, Outcome::Stale);
      continue;
    }
    sample.replicaReads +=
      detail::MetricValue(samples, "replica_reads_total{}");
    sample.tolerantReads +=
      detail::MetricValue(samples, "replica_reads_total{}") +
      detail::MetricValue(samples, "fallback_reads_total{}");
    double failovers = detail::MetricValue(samples, "failovers_total{}");
    sample.failovers += failovers;
    sample.slowFailovers +=
      failovers - detail::FailoversWithin(samples, aObjectives.failoverGap);
  }
  return sample;
}

std::string
EncodeBurnSample(const BurnSample& aSample)
{
  nlohmann::json line{ { "at_ms", aSample.at.ms },
                       { "answered", aSample.answered },
                       { "good", aSample.good },
                       { "stale", aSample.stale },
                       { "replica_reads", aSample.replicaReads },
                       { "tolerant_reads", aSample.tolerantReads },
                       { "failovers", aSample.failovers },
                       { "slow_failovers", aSample.slowFailovers } };
  return line.dump();
}

Result<BurnSample>
DecodeBurnSample(const std::string& aLine)
{
  Error bad{ ErrorCode::BadMessage, "history", "not a burn sample" };
  auto value = nlohmann::json::parse(aLine, nullptr, false);
  if (!value.is_object()) {
    return bad;
  }
  try {
    BurnSample sample;
    sample.at = { value.at("at_ms").get<int64_t>() };
    sample.answered = value.at("answered").get<double>();
    sample.good = value.at("good").get<double>();
    sample.stale = value.at("stale").get<double>();
    sample.replicaReads = value.at("replica_reads").get<double>();
    sample.tolerantReads = value.at("tolerant_reads").get<double>();
    sample.failovers = value.at("failovers").get<double>();
    sample.slowFailovers = value.at("slow_failovers").get<double>();
    return sample;
  } catch (const nlohmann::json::exception& error) {
    bad.message = error.what();
    return bad;
  }
}

std::string
FormatBurnText(const std::vector<BurnRow>& aRows, const Objectives& aObjectives)
{
  std::string text = fmt::format(
    "objectives: availability {}, replica share {}, failover gap {} ms\n"
    "{:<8} {:>10} {:>13} {:>9} {:>11} {:>14} {:>9} {:>5}\n",
    detail::Percent(aObjectives.availability),
    detail::Percent(aObjectives.replicaShare),
    aObjectives.failoverGap.ms,
    "window",
    "requests",
    "availability",
    "burn",
    "freshness",
    "replica share",
    "failovers",
    "slow");
  for (const BurnRow& row : aRows) {
    text += fmt::format(
      "{:<8} {:>10.0f} {:>13} {:>9.2f} {:>11} {:>14} {:>9.0f} {:>5.0f}\n",
      detail::FormatWindow(row.window),
      row.requests,
      detail::Percent(row.availability),
      row.burnRate,
      detail::Percent(row.freshness),
      detail::Percent(row.replicaShare),
      row.failovers,
      row.slowFailovers);
  }
  return text;
}

std::string
FormatBurnHtml(const std::vector<BurnRow>& aRows,
               const std::vector<BurnSample>& aSamples,
               const Objectives& aObjectives)
{
  std::string page = detail::kPageHead;
  page += fmt::format(
    "<p>Objectives: availability {}, replica share of reads that accept stale "
    "data {}, failover gap {} ms. A burn rate of 1 spends exactly the error "
    "budget of the availability objective.</p>\n<table>\n<tr><th>window</th>"
    "<th>requests</th><th>availability</th><th>burn rate</th>"
    "<th>freshness</th><th>replica share</th><th>failovers</th>"
    "<th>slow failovers</th></tr>\n",
    detail::Percent(aObjectives.availability),
    detail::Percent(aObjectives.replicaShare),
    aObjectives.failoverGap.ms);
  for (const BurnRow& row : aRows) {
    page += detail::TableRow(row, aObjectives);
  }
  page += "</table>\n";
  for (const detail::PlotSeries& series :
       detail::MakePlotSeries(aSamples, aObjectives)) {
    page += detail::RenderPlot(series);
  }
  return page + "</body>\n</html>\n";
}

} // namespace marigoldpitch
