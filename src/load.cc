#include "load/run.h"
#include "marigoldpitch/transport/blocking-http.h"

// marigoldpitch-load: sends a workload through several entries, spreads the
// requests of each session over them, and checks the content of every answer.

int
main(int aCount, char** aArguments)
{
  using namespace marigoldpitch;
  std::vector<CommandOption> options{
    { "entries", "LIST", "comma-separated endpoints of entries for callers" },
    { "ready", "LIST", "their endpoints for operators, to poll readiness" },
    { "group", "NAME", "database group; default: orders" },
    { "seconds", "N", "duration of the workload; default: 10" },
    { "sessions", "N", "number of concurrent sessions; default: 16" },
    { "pause-ms", "N", "pause of a session between requests; default: 5" },
    { "seed", "N", "seed of the workload; default: 1" },
    { "reads-only", "", "only reads, after one write in each session" },
    { "quiet", "", "do not print the progress" }
  };
  auto body = [](Loop& aLoop, const CommandLine& aLine) {
    auto plan = load::MakePlan(aLine);
    if (!plan) {
      return FailWith(ExitCode::Usage, plan.error());
    }
    auto caller = load::Caller::Create(aLoop, plan.value());
    if (!caller) {
      return FailWith(ExitCode::Failed, caller.error());
    }
    return load::LoadRun(aLoop, plan.value(), *caller.value()).Execute();
  };
  return RunTool(
    aCount, aArguments, "--entries IP:PORT,... [--group NAME]", options, body);
}
