#include "marigoldpitch/protocol/burn-report.h"
#include "marigoldpitch/protocol/documents.h"
#include "marigoldpitch/protocol/settings.h"
#include "marigoldpitch/transport/blocking-http.h"
#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/command-line.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>

// marigoldpitch-report: computes the burn rates of the service-level objectives
// from the metrics of all hosts.

namespace marigoldpitch {

namespace detail {

class BurnReport
{
public:
  BurnReport(Loop& aLoop, const CommandLine& aLine, const Endpoint& aStore)
    : http(aLoop)
    , line(aLine)
    , store(aStore)
  {
  }

  ExitCode Run()
  {
    auto ready = this->Prepare();
    if (!ready) {
      fmt::print(stderr, "{}\n", ready.error().ToString());
      return ExitCode::Failed;
    }
    int64_t count = std::atoll(this->line.Get("samples", "2").c_str());
    Duration interval =
      Millis(std::atoll(this->line.Get("every-ms", "1000").c_str()));
    for (int64_t i = 0; i < count; ++i) {
      if (i != 0) {
        this->http.Sleep(interval);
      }
      this->Collect();
    }
    return this->Print();
  }

private:
  Result<StoreValue> Get(const std::string& aKey)
  {
    return this->http.CallStore(
      this->store, StoreCall::Get, EncodeStoreGet(aKey));
  }

  Result<void> Prepare()
  {
    std::string key = ConfigurationKey(this->line.Get("group-set", "default"));
    BOOST_OUTCOME_TRY(auto document, this->Get(key));
    BOOST_OUTCOME_TRY(
      auto config,
      ParseConfiguration(document.text, document.position.revision, key));
    this->objectives = config.objectives;
    BOOST_OUTCOME_TRY(auto list, this->Get(kHostsKey));
    BOOST_OUTCOME_TRY(auto parsed,
                      ParseHostList(list.text, list.position.revision));
    this->hosts = std::move(parsed);
    return this->ReadHistory();
  }

  Result<void> ReadHistory()
  {
    std::ifstream file(this->line.Get("history"));
    std::string text;
    while (std::getline(file, text)) {
      BOOST_OUTCOME_TRY(auto sample, DecodeBurnSample(text));
      this->samples.push_back(sample);
    }
    return boost::outcome_v2::success();
  }

  void Collect()
  {
    std::vector<std::string> texts;
    for (const HostEntry& host : this->hosts.hosts) {
      for (const Endpoint& endpoint :
           { host.ownerOperators, host.entryOperators }) {
        auto reply = this->http.Get(endpoint, "/metrics");
        if (reply) {
          texts.push_back(reply.value().body);
        } else {
          ++this->failedRequests;
        }
      }
    }
    this->samples.push_back(
      MakeBurnSample(ReadWallClock(), texts, this->objectives));
    std::string path = this->line.Get("history");
    if (!path.empty()) {
      std::ofstream file(path, std::ios::app);
      file << EncodeBurnSample(this->samples.back()) << '\n';
    }
  }

  ExitCode Print()
  {
    std::vector<Duration> windows;
    std::istringstream list(this->line.Get("windows", "300,3600,21600"));
    std::string window;
    while (std::getline(list, window, ',')) {
      windows.push_back(Seconds(std::atoll(window.c_str())));
    }
    auto rows = ComputeBurn(this->samples, windows, this->objectives);
    fmt::print("{}", FormatBurnText(rows, this->objectives));
    std::string path = this->line.Get("html");
    if (!path.empty()) {
      std::ofstream file(path);
      file << FormatBurnHtml(rows, this->samples, this->objectives);
      if (!file) {
        fmt::print(stderr, "{}: cannot write the file\n", path);
        return ExitCode::Failed;
      }
    }
    if (this->failedRequests != 0) {
      fmt::print(
        stderr, "{} metrics requests got no answer\n", this->failedRequests);
      return ExitCode::Incomplete;
    }
    return ExitCode::Ok;
  }

  BlockingHttp http;
  const CommandLine& line;
  Endpoint store;
  Objectives objectives;
  HostList hosts;
  std::vector<BurnSample> samples;
  size_t failedRequests = 0;
};

} // namespace detail

} // namespace marigoldpitch

int
main(int aCount, char** aArguments)
{
  using namespace marigoldpitch;
  std::vector<CommandOption> options{
    { "store", "IP:PORT", "the platform's key-value service" },
    { "group-set", "NAME", "name of the configuration; default: default" },
    { "samples", "N", "number of samples to take; default: 2" },
    { "every-ms", "N", "time between two samples; default: 1000" },
    { "windows", "LIST", "comma-separated seconds; default: 300,3600,21600" },
    { "history", "FILE", "file to read samples from and append new ones to" },
    { "html", "FILE", "write the report to this file, in HTML" }
  };
  auto body = [](Loop& aLoop, const CommandLine& aLine) {
    auto store = ParseEndpoint(aLine.Get("store"));
    if (!store) {
      return FailWith(ExitCode::Usage, store.error());
    }
    return detail::BurnReport(aLoop, aLine, store.value()).Run();
  };
  return RunTool(aCount, aArguments, "--store IP:PORT", options, body);
}
