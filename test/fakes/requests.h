#ifndef MARIGOLDPITCH_TEST_FAKES_REQUESTS_H
#define MARIGOLDPITCH_TEST_FAKES_REQUESTS_H

#include "group-simulation.h"

/** Simulation options and requests shared by the tests of `GroupEngine`. */
namespace marigoldpitch::fakes {

constexpr uint32_t kSeeds = 30;

inline GroupSimulationOptions
ThreeOwnerOptions(uint32_t aSeed)
{
  GroupSimulationOptions options;
  options.seed = aSeed;
  options.owners = 3;
  return options;
}

inline Request
MakeWrite(const std::string& aId, const std::string& aKey)
{
  Request request;
  request.operation = Operation::Write;
  request.session = "s";
  request.requestId = aId;
  request.firstAttempt = true;
  request.statement = { "INSERT INTO rows (key, value) VALUES ($1, $2)",
                        { aKey, std::string("v") } };
  return request;
}

inline Request
MakeRead(const std::string& aKey, std::optional<Duration> aMaxAge)
{
  Request request;
  request.operation = Operation::Read;
  request.session = "reader";
  request.maxAge = aMaxAge;
  request.statement = { "SELECT value FROM rows WHERE key = $1", { aKey } };
  return request;
}

} // namespace marigoldpitch::fakes

#endif
