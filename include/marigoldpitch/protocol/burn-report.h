#ifndef MARIGOLDPITCH_PROTOCOL_BURN_REPORT_H
#define MARIGOLDPITCH_PROTOCOL_BURN_REPORT_H

#include "marigoldpitch/state/burn.h"
#include "marigoldpitch/state/error.h"

#include <string>
#include <vector>

/** The burn-rate report, as text and as an HTML page. */
namespace marigoldpitch {

/** Sums the metrics texts of all daemons into one sample. */
BurnSample
MakeBurnSample(Time aAt,
               const std::vector<std::string>& aMetricsTexts,
               const Objectives& aObjectives);

/** One line of JSON, as kept in a history file. */
std::string
EncodeBurnSample(const BurnSample& aSample);
Result<BurnSample>
DecodeBurnSample(const std::string& aLine);

std::string
FormatBurnText(const std::vector<BurnRow>& aRows,
               const Objectives& aObjectives);

/** A self-contained page: styles and plots are inline. */
std::string
FormatBurnHtml(const std::vector<BurnRow>& aRows,
               const std::vector<BurnSample>& aSamples,
               const Objectives& aObjectives);

} // namespace marigoldpitch

#endif
