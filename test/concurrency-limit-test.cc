#include "marigoldpitch/coordination/proxy/concurrency-limit.h"

#include "fakes/proxy-simulation.h"
#include "fakes/upstream-model.h"

#include <criterion/criterion.h>

#include <algorithm>

// What hosts learn of upstreams that differ in speed, against an oracle that
// knows their speeds and against the former window behind the same interface.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr double kOracleShare = 0.95; // of its goodput
constexpr double kMostWait = 1.3;     // times the former window's
constexpr int64_t kChangeMs = 8000;
constexpr int64_t kFollowMs = 5000; // within this time a change is followed

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

/** Upstreams of four slots; `aLoad` of what `aCapacity` slots carry. */
ModelOptions
Options(size_t aUpstreams, double aCapacity, double aLoad)
{
  ModelOptions options;
  options.upstreams.resize(aUpstreams);
  options.arrivalsPerMs = aCapacity * aLoad / kMeanWorkMs;
  return options;
}

/** Goodput against the oracle's before and after the change. */
void
CheckAgainstOracle(const ModelOptions& aOptions, const char* aName)
{
  Model learned(aOptions, MakeLearnedLimits);
  Model former(aOptions, MakeFormerWindow);
  Model oracle(aOptions, nullptr);
  for (auto [from, to] : { std::pair{ int64_t{ 2000 }, kChangeMs },
                           std::pair{ kChangeMs + kFollowMs, kEndMs } }) {
    Served got = learned.Between(from, to);
    Served best = oracle.Between(from, to);
    Served before = former.Between(from, to);
    cr_log_info("%s from %ld ms: in time %zu, mean %.1f ms; former "
                "%zu, %.1f ms; oracle %zu, %.1f ms",
                aName,
                static_cast<long>(from),
                got.inTime,
                got.MeanMs(),
                before.inTime,
                before.MeanMs(),
                best.inTime,
                best.MeanMs());
    cr_expect_leq(got.MeanMs(),
                  before.MeanMs() * kMostWait,
                  "%s from %ld ms: %g ms, with the former window %g",
                  aName,
                  static_cast<long>(from),
                  got.MeanMs(),
                  before.MeanMs());
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
  ModelOptions options = Options(2, 4 + 1, 0.93);
  options.upstreams[1].speed = { { 0, 0.25 } };
  CheckAgainstOracle(options, "two");
}

Test(concurrency_limit, one_of_three_slows_down_and_recovers)
{
  ModelOptions options = Options(3, 8 + 1, 0.93);
  options.upstreams[2].speed = { { 0, 0.25 }, { kChangeMs, 1 } };
  CheckAgainstOracle(options, "recovers");
  options.upstreams[2].speed = { { 0, 1 }, { kChangeMs, 0.25 } };
  CheckAgainstOracle(options, "slows");
}

Test(concurrency_limit, many_upstreams)
{
  ModelOptions options = Options(12, 36, 0.93);
  for (size_t i = 0; i < 12; ++i) {
    options.upstreams[i].speed = { { 0, 0.5 + static_cast<double>(i % 3) / 4 },
                                   { kChangeMs, i % 3 == 0 ? 1 : 0.7 } };
  }
  CheckAgainstOracle(options, "many");
}

Test(concurrency_limit, one_slows_at_a_third_of_its_slots)
{
  ModelOptions options = Options(3, 12 + 12 + 4, 0.88);
  for (ModelUpstream& upstream : options.upstreams) {
    upstream.slots = upstream.knee = 12;
  }
  options.upstreams[0].knee = 4;
  options.mostInFlight = 12;
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
  Served former = Model(options, MakeFormerWindow).Between(2000, kChangeMs);
  Served oracle = Model(options, nullptr).Between(2000, kChangeMs);
  cr_expect_lt(static_cast<double>(former.inTime),
               static_cast<double>(oracle.inTime) * kOracleShare,
               "the check must fail for the former window");
}

Test(concurrency_limit, long_statements_are_not_slowness)
{
  auto limits = MakeLearnedLimits();
  limits->Resize(2);
  Time now{ 0 };
  for (int i = 0; i < 400; ++i) {
    now = now + Millis(10);
    bool isLong = i % 2 == 0;
    UpstreamIndex upstream = isLong ? 1 : 0;
    auto inFlight = static_cast<uint32_t>(limits->LimitOf(upstream, 4, now));
    limits->NoteAnswer({ upstream,
                         { isLong ? "reports" : "shop", WorkKind::Read },
                         isLong ? 200.0 : 5.0,
                         inFlight,
                         4 },
                       now);
  }
  cr_expect_leq(limits->Learned(1).slowness, limits->Learned(0).slowness * 1.5);
  cr_expect_geq(limits->LimitOf(1, 4, now), 3.5);
  cr_expect_geq(limits->LimitOf(0, 4, now), 3.5);
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
  cr_expect_eq(limits->LimitOf(0, 4, now), 2, "as at the start");
  cr_expect_eq(limits->Learned(0).answers, 0);
}

namespace {

/** Sends a read each 5 ms; returns the share answered within 30 ms. */
double
Read(ProxySimulation& aSimulation, Duration aSpan)
{
  std::vector<std::shared_ptr<FakeRequest>> requests;
  Time end = aSimulation.Now() + aSpan;
  while (aSimulation.Now() < end) {
    CallerId caller = aSimulation.OpenSession(0);
    requests.push_back(
      aSimulation.SubmitStatement(0, caller, ReadStatement("a")));
    aSimulation.RunFor(Millis(5));
  }
  aSimulation.RunFor(Millis(300));
  auto isQuick = [](const auto& aRequest) {
    return IsOk(aRequest) && aRequest->answered - aRequest->sent <= Millis(30);
  };
  auto quick = std::count_if(requests.begin(), requests.end(), isQuick);
  return static_cast<double>(quick) / static_cast<double>(requests.size());
}

} // namespace

Test(concurrency_limit, proxy_leaves_a_slow_upstream_and_returns_to_it)
{
  ProxySimulationOptions options;
  options.hosts = 1;
  options.freshness = Freshness::Bounded;
  ProxySimulation simulation(options);
  simulation.SetPromoterLease(0, true);
  simulation.RunFor(Millis(1500));
  const auto& limits = simulation.Host(0).Services().at("service").limits;
  Read(simulation, Seconds(2));
  size_t slow = 0;
  for (size_t i = 1; i < simulation.Upstreams(); ++i) {
    slow =
      limits->Learned(i).answers > limits->Learned(slow).answers ? i : slow;
  }
  simulation.Upstream(slow).extraDelay = Millis(90);
  Read(simulation, Seconds(1));
  cr_expect_geq(Read(simulation, Seconds(5)), 0.95);
  simulation.Upstream(slow).extraDelay = Millis(0);
  Read(simulation, Seconds(5));
  double before = limits->Learned(slow).answers;
  cr_expect_geq(Read(simulation, Seconds(2)), 0.95);
  cr_expect_geq(limits->Learned(slow).answers, before + 50, "it is used again");
  cr_expect_eq(simulation.Violations(), "");
}
