#include "marigoldpitch/coordination/proxy/concurrency-limit.h"

#include "fakes/upstream-model.h"

#include <criterion/criterion.h>

// What hosts learn of upstreams that differ in speed, against an oracle that
// knows their speeds and against the former window behind the same interface.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr double kOracleShare = 0.95; // of its goodput
constexpr int64_t kChangeMs = 8000;
constexpr int64_t kFollowMs = 5000; // within this time a change is followed
constexpr int64_t kEndMs = 24000;

/** The window before: one average latency against its rising minimum. */
class FormerWindow : public ConcurrencyLimits
{
public:
  void Resize(size_t aUpstreams) override { this->all.resize(aUpstreams); }
  void Reset(UpstreamIndex aUpstream) override { this->all[aUpstream] = {}; }
  void NoteError(UpstreamIndex, Time) override {}
  void NoteLoad(UpstreamIndex, const UpstreamLoad&) override {}

  void NoteAnswer(const StatementTiming& aTiming, Time) override
  {
    State& state = this->all[aTiming.upstream];
    state.latencyMs += (aTiming.elapsedMs - state.latencyMs) * 0.1;
    state.minLatencyMs = std::min(state.minLatencyMs * 1.001, state.latencyMs);
    bool isCongested = state.latencyMs > state.minLatencyMs * 2.5;
    double window = state.window == 0 ? aTiming.mostInFlight : state.window;
    window += isCongested ? -0.05 : 0.2 / window;
    state.window = std::clamp(window, 1.0, aTiming.mostInFlight);
  }

  void NoteRefusal(UpstreamIndex aUpstream, uint32_t aInFlight, Time) override
  {
    this->all[aUpstream].window = std::max(aInFlight * 0.8, 1.0);
  }

  double LimitOf(UpstreamIndex aUpstream, double aInitial, Time) const override
  {
    double window = this->all[aUpstream].window;
    return window == 0 ? aInitial : window;
  }

  double ExpectedMs(UpstreamIndex aUpstream,
                    const WorkClass&,
                    uint32_t aAhead,
                    Time) const override
  {
    return this->all[aUpstream].latencyMs * (1.0 + aAhead);
  }

  double ServiceMs(UpstreamIndex aUpstream, Time) const override
  {
    return this->all[aUpstream].latencyMs;
  }

  LearnedUpstream Learned(UpstreamIndex aUpstream) const override
  {
    LearnedUpstream learned;
    learned.limit = this->all[aUpstream].window;
    return learned;
  }

private:
  struct State
  {
    double latencyMs = 10;
    double minLatencyMs = 1000;
    double window = 0;
  };
  std::vector<State> all;
};

std::unique_ptr<ConcurrencyLimits>
MakeFormerWindow()
{
  return std::make_unique<FormerWindow>();
}

/** Three upstreams of four slots; six hosts; `aLoad` of the capacity. */
ModelOptions
Options(size_t aUpstreams, double aCapacity, double aLoad)
{
  ModelOptions options;
  options.upstreams.resize(aUpstreams);
  options.arrivalsPerMs = aCapacity * aLoad / kMeanWorkMs;
  options.endMs = kEndMs;
  return options;
}

/** Goodput against the oracle's before and after the change. */
void
CheckAgainstOracle(const ModelOptions& aOptions, const char* aName)
{
  ModelResult learned = RunModel(aOptions, MakeLearnedLimits);
  ModelResult former = RunModel(aOptions, MakeFormerWindow);
  ModelResult oracle = RunModel(aOptions, nullptr);
  for (auto [from, to] : { std::pair{ int64_t{ 2000 }, kChangeMs },
                           std::pair{ kChangeMs + kFollowMs, kEndMs } }) {
    Served got = learned.Between(from, to);
    Served best = oracle.Between(from, to);
    Served before = former.Between(from, to);
    printf("%s from %ld ms: learned %zu/%zu wait %.1f, former %zu wait %.1f, "
           "oracle %zu wait %.1f\n",
           aName,
           static_cast<long>(from),
           got.inTime,
           got.offered,
           got.MeanMs(),
           before.inTime,
           before.MeanMs(),
           best.inTime,
           best.MeanMs());
    cr_expect_geq(static_cast<double>(got.inTime),
                  static_cast<double>(best.inTime) * kOracleShare,
                  "%s from %ld ms: %zu of the oracle's %zu",
                  aName,
                  static_cast<long>(from),
                  got.inTime,
                  best.inTime);
  }
}

} // namespace

Test(concurrency_limit, two_upstreams_of_different_speed)
{
  ModelOptions options = Options(2, 4 + 1, 0.85);
  options.upstreams[1].speed = { { 0, 0.25 } };
  CheckAgainstOracle(options, "two");
}

Test(concurrency_limit, one_of_three_slows_down_and_recovers)
{
  ModelOptions options = Options(3, 8 + 1, 0.85);
  options.upstreams[2].speed = { { 0, 0.25 }, { kChangeMs, 1 } };
  CheckAgainstOracle(options, "recovers");
  options.upstreams[2].speed = { { 0, 1 }, { kChangeMs, 0.25 } };
  CheckAgainstOracle(options, "slows");
}

Test(concurrency_limit, many_upstreams)
{
  ModelOptions options = Options(12, 36, 0.85);
  for (size_t i = 0; i < 12; ++i) {
    options.upstreams[i].speed = { { 0, 0.5 + static_cast<double>(i % 3) / 4 },
                                   { kChangeMs, i % 3 == 0 ? 1 : 0.7 } };
  }
  CheckAgainstOracle(options, "many");
}

Test(concurrency_limit, one_slows_at_a_third_of_its_slots)
{
  ModelOptions options = Options(3, 12 + 12 + 4, 0.85);
  for (ModelUpstream& upstream : options.upstreams) {
    upstream.slots = 12;
  }
  options.upstreams[0].knee = 4;
  options.mostInFlight = 6;
  CheckAgainstOracle(options, "knee");
}

Test(concurrency_limit, all_slow_at_once)
{
  ModelOptions options = Options(3, 12 * 0.5, 0.8);
  for (ModelUpstream& upstream : options.upstreams) {
    upstream.speed = { { 0, 1 }, { kChangeMs, 0.5 } };
  }
  CheckAgainstOracle(options, "all");
}

Test(concurrency_limit, quick_errors_do_not_attract_work)
{
  ModelOptions options = Options(3, 8, 0.8);
  options.upstreams[1].errors = { { 0, 0.6 }, { kChangeMs, 0 } };
  CheckAgainstOracle(options, "errors");
}

Test(concurrency_limit, long_statements_are_not_slowness)
{
  auto limits = MakeLearnedLimits();
  limits->Resize(2);
  Time now{ 0 };
  for (int i = 0; i < 400; ++i) {
    now = now + Millis(10);
    bool isLong = i % 2 == 0;
    limits->NoteAnswer({ isLong ? 1u : 0u,
                         { isLong ? "reports" : "shop", WorkKind::Read },
                         isLong ? 200.0 : 5.0,
                         1,
                         4 },
                       now);
  }
  cr_expect_leq(limits->Learned(1).slowness, limits->Learned(0).slowness * 1.5);
  cr_expect_geq(limits->LimitOf(1, 4, now), 3);
}

Test(concurrency_limit, load_of_other_hosts_and_restarts_count)
{
  auto limits = MakeLearnedLimits();
  limits->Resize(1);
  Time now{ 0 };
  WorkClass work{ "shop", WorkKind::Read };
  for (int i = 0; i < 100; ++i) {
    now = now + Millis(10);
    limits->NoteAnswer({ 0, work, 10, 1, 4 }, now);
  }
  double idle = limits->ExpectedMs(0, work, 0, now);
  limits->NoteLoad(0, { 8, 4, now });
  cr_expect_geq(limits->ExpectedMs(0, work, 0, now), idle * 2);
  now = now + Seconds(1);
  cr_expect_leq(limits->ExpectedMs(0, work, 0, now), idle * 1.1, "outdated");
  limits->NoteRefusal(0, 1, now);
  cr_expect_eq(limits->LimitOf(0, 4, now), 1);
  limits->Reset(0);
  cr_expect_eq(limits->LimitOf(0, 4, now), 4);
}
