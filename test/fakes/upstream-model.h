#ifndef MARIGOLDPITCH_TEST_FAKES_UPSTREAM_MODEL_H
#define MARIGOLDPITCH_TEST_FAKES_UPSTREAM_MODEL_H

#include "marigoldpitch/coordination/proxy/concurrency-limit.h"

#include <functional>
#include <map>
#include <vector>

/**
 * A queueing model of the upstreams of a service and the hosts that use it, for
 * `ConcurrencyLimits` alone: no sessions, connections or logs.
 */
namespace marigoldpitch::fakes {

/** Of a statement at an upstream of speed 1 with a free slot. */
constexpr double kMeanWorkMs = 12;
constexpr int64_t kModelObjectiveMs = 250;

using Course = std::map<int64_t, double>; // the value from a millisecond on

struct ModelUpstream
{
  size_t slots = 4;
  size_t line = 4; // statements that wait there; further ones are refused
  // Running statements up to which it keeps its speed; 0: all slots.
  size_t knee = 0;
  Course speed = { { 0, 1 } };
  Course errors = { { 0, 0 } }; // share of statements that fail at once
};

struct ModelOptions
{
  std::vector<ModelUpstream> upstreams;
  size_t hosts = 4;
  double mostInFlight = 4; // of one host at one upstream
  double arrivalsPerMs = 0.5;
  int64_t endMs = 20000;
  uint32_t seed = 1;
};

/** What the callers whose statements arrived in some time got. */
struct Served
{
  size_t offered = 0;
  size_t inTime = 0;
  double totalMs = 0; // of those in time

  double MeanMs() const
  {
    return this->inTime == 0
             ? 0
             : this->totalMs / static_cast<double>(this->inTime);
  }
};

struct ModelResult
{
  struct Outcome
  {
    int64_t arrived = 0;
    int64_t spentMs = -1; // -1: not answered successfully
  };
  std::vector<Outcome> outcomes;

  Served Between(int64_t aFrom, int64_t aTo) const;
};

/**
 * Runs the model. Without `aMake` an oracle places the statements that knows
 * what all hosts have in flight, the speeds, knees and errors.
 */
ModelResult
RunModel(const ModelOptions& aOptions,
         const std::function<std::unique_ptr<ConcurrencyLimits>()>& aMake);

} // namespace marigoldpitch::fakes

#endif
