#include "load/run.h"
#include "marigoldpitch/transport/blocking-http.h"

// marigoldpitch-load: sends a described workload through several entries,
// moves its sessions between them, and checks every answer by its content.

int
main(int aCount, char** aArguments)
{
  using namespace marigoldpitch;
  std::vector<CommandOption> options{
    { "entries", "LIST", "callers' ports of the entries, by commas" },
    { "ready", "LIST", "operators' ports of the same, to ask who is ready" },
    { "group", "NAME", "database group; default: orders" },
    { "seconds", "N", "how long to send; default: 10" },
    { "sessions", "N", "sessions at once; default: 16" },
    { "pause-ms", "N", "a session's pause between requests; default: 5" },
    { "seed", "N", "seed of the workload; default: 1" },
    { "reads-only", "", "only reads, after one write of each session" },
    { "quiet", "", "no progress" }
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
