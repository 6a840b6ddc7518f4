#ifndef MARIGOLDPITCH_LOAD_PLAN_H
#define MARIGOLDPITCH_LOAD_PLAN_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/error.h"
#include "marigoldpitch/transport/command-line.h"

#include <cstdint>
#include <string>
#include <vector>

/** The workload to send, as given on the command line. */
namespace marigoldpitch::load {

struct LoadPlan
{
  std::vector<Endpoint> entries;
  std::vector<Endpoint> operators; // of the entries, to poll their readiness
  std::string group;
  Duration duration = Seconds(10);
  size_t sessions = 16;
  Duration pause = Millis(5); // of a session between two requests
  uint32_t seed = 1;
  bool quiet = false;
  bool readsOnly = false; // after one write in each session
};

Result<LoadPlan>
MakePlan(const CommandLine& aLine);

} // namespace marigoldpitch::load

#endif
