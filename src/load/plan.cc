#include "plan.h"

#include "marigoldpitch/protocol/settings.h"
#include "marigoldpitch/transport/blocking-http.h"

#include <algorithm>
#include <cstdlib>

namespace marigoldpitch::load {

/** Parses a list such as `127.0.0.1:80,127.0.0.1:81`. */
Result<std::vector<Endpoint>>
ParseEndpoints(const std::string& aText, const std::string& aPlace)
{
  std::vector<Endpoint> entries;
  Findings findings(ErrorCode::BadSettings);
  size_t start = 0;
  while (start <= aText.size()) {
    size_t comma = std::min(aText.find(',', start), aText.size());
    std::string part = aText.substr(start, comma - start);
    auto endpoint = ParseEndpoint(part);
    if (endpoint) {
      entries.push_back(endpoint.value());
    } else {
      findings.Add(aPlace, endpoint.error().message);
    }
    start = comma + 1;
  }
  if (!findings.Empty()) {
    return findings.ToError("command line");
  }
  return entries;
}

Result<LoadPlan>
MakePlan(const CommandLine& aLine)
{
  LoadPlan plan;
  BOOST_OUTCOME_TRY(auto entries,
                    ParseEndpoints(aLine.Get("entries"), "--entries"));
  plan.entries = std::move(entries);
  if (aLine.Has("ready")) {
    BOOST_OUTCOME_TRY(auto operators,
                      ParseEndpoints(aLine.Get("ready"), "--ready"));
    plan.operators = std::move(operators);
  }
  if (!plan.operators.empty() && plan.operators.size() != plan.entries.size()) {
    return Error{ ErrorCode::BadSettings,
                  "--ready",
                  "must list one endpoint for each entry" };
  }
  plan.group = aLine.Get("group", "orders");
  plan.duration = Seconds(std::atoll(aLine.Get("seconds", "10").c_str()));
  plan.sessions =
    static_cast<size_t>(std::atoll(aLine.Get("sessions", "16").c_str()));
  plan.seed = static_cast<uint32_t>(std::atoll(aLine.Get("seed", "1").c_str()));
  plan.pause = Millis(std::atoll(aLine.Get("pause-ms", "5").c_str()));
  plan.quiet = aLine.Has("quiet");
  plan.readsOnly = aLine.Has("reads-only");
  if (plan.duration.ms <= 0 || plan.sessions == 0) {
    return Error{ ErrorCode::BadSettings,
                  "command line",
                  "--seconds and --sessions must be at least 1" };
  }
  return plan;
}

} // namespace marigoldpitch::load
