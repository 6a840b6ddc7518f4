#ifndef MARIGOLDPITCH_TEST_FAKES_UPSTREAM_MODEL_H
#define MARIGOLDPITCH_TEST_FAKES_UPSTREAM_MODEL_H

#include "marigoldpitch/coordination/proxy/concurrency-limit.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <vector>

/** Hosts and upstreams around `ConcurrencyLimits`, without sessions and logs.
 */
namespace marigoldpitch::fakes {

constexpr int64_t kEndMs = 24000;
constexpr double kMeanWorkMs =
  12; // of a statement, at speed 1 with a free slot
constexpr int64_t kObjectiveMs = 250;
// What has waited for longer would be late; hosts refuse it.
constexpr int64_t kLongestWaitMs = kObjectiveMs * 8 / 10;
constexpr int64_t kRetryMs = 8;       // after a refusal
constexpr double kAwaitCostMs = 5;    // as in `ProxyEngine::ChooseUpstream`
constexpr double kErrorCostMs = 1000; // to the oracle

using Course = std::map<int64_t, double>; // the value from a millisecond on

inline double
At(const Course& aCourse, int64_t aMs)
{
  return std::prev(aCourse.upper_bound(aMs))->second;
}

struct ModelUpstream
{
  size_t slots = 4;
  size_t line = 4; // statements that wait there; further ones are refused
  size_t knee = 4; // running statements up to which it keeps its speed
  Course speed = { { 0, 1 } };
  Course errors = { { 0, 0 } }; // share of statements that fail at once
};

struct ModelOptions
{
  std::vector<ModelUpstream> upstreams;
  double arrivalsPerMs = 0;
  size_t hosts = 4;
  double mostInFlight = 4; // of one host at one upstream
};

struct ModelStatement
{
  size_t host = 0;
  int64_t arrived = 0;
  double leftMs = 0;
  int64_t notBefore = 0;
  int64_t sent = 0;
  uint32_t inFlight = 0;
  bool fails = false;
};

/** What the callers got whose statements arrived between two times. */
struct Served
{
  size_t inTime = 0;
  double totalMs = 0;

  double MeanMs() const
  {
    return this->totalMs / static_cast<double>(this->inTime);
  }
};

/**
 * A queueing model of the hosts and upstreams of a service, in steps of one
 * millisecond. Without `aMake` an oracle places the statements that knows what
 * all hosts have in flight, the speeds, knees and errors.
 */
class Model
{
public:
  Model(ModelOptions aOptions,
        const std::function<std::unique_ptr<ConcurrencyLimits>()>& aMake)
    : options(std::move(aOptions))
    , running(this->options.upstreams.size())
    , queues(this->options.hosts)
    , inFlight(this->options.hosts, std::vector<uint32_t>(running.size(), 0))
  {
    for (size_t i = 0; aMake && i < this->options.hosts; ++i) {
      this->limits.push_back(aMake());
      this->limits.back()->Resize(this->running.size());
    }
    for (; this->now < kEndMs + kObjectiveMs; ++this->now) {
      this->Arrive();
      for (size_t host = 0; host < this->queues.size(); ++host) {
        this->Dispatch(this->queues[host]);
      }
      for (size_t i = 0; i < this->running.size(); ++i) {
        this->Serve(i);
      }
    }
  }

  Served Between(int64_t aFrom, int64_t aTo) const
  {
    Served served;
    for (auto [arrived, spent] : this->answers) {
      bool counts = arrived >= aFrom && arrived < aTo && spent <= kObjectiveMs;
      served.inTime += counts ? 1 : 0;
      served.totalMs += counts ? static_cast<double>(spent) : 0;
    }
    return served;
  }

private:
  static double Random(std::mt19937& aSource)
  {
    return std::uniform_real_distribution<>()(aSource);
  }

  void Arrive()
  {
    std::poisson_distribution<int> count(this->options.arrivalsPerMs);
    for (int i = this->now < kEndMs ? count(this->arrivals) : 0; i > 0; --i) {
      // Hosts get uneven shares of the callers.
      double where = std::pow(Random(this->arrivals), 2);
      auto host =
        static_cast<size_t>(where * static_cast<double>(this->options.hosts));
      double work = kMeanWorkMs * (0.5 + Random(this->arrivals));
      this->queues[host].push_back({ host, this->now, work });
    }
  }

  void Dispatch(std::vector<ModelStatement>& aQueue)
  {
    std::vector<uint32_t> awaiting(this->running.size(), 0);
    std::vector<ModelStatement> left;
    for (ModelStatement& statement : aQueue) {
      bool isLate = this->now - statement.arrived > kLongestWaitMs;
      bool isPlaced = isLate || (statement.notBefore <= this->now &&
                                 this->Place(statement, awaiting));
      if (!isPlaced) {
        left.push_back(statement);
      }
    }
    aQueue = std::move(left);
  }

  bool Place(ModelStatement& aStatement, std::vector<uint32_t>& aAwaiting)
  {
    size_t best = 0;
    double bestCost = std::numeric_limits<double>::max();
    bool mustWait = true;
    for (size_t i = 0; i < this->running.size(); ++i) {
      const ModelUpstream& upstream = this->options.upstreams[i];
      uint32_t busy = this->inFlight[aStatement.host][i];
      bool isFree = this->running[i].size() < upstream.knee;
      double cost = kMeanWorkMs / At(upstream.speed, this->now) +
                    At(upstream.errors, this->now) * kErrorCostMs +
                    (isFree ? 0 : kObjectiveMs);
      if (!this->limits.empty()) {
        const ConcurrencyLimits& learned = *this->limits[aStatement.host];
        double most = this->options.mostInFlight;
        isFree = busy < std::min(most, learned.LimitOf(i, most, { this->now }));
        cost =
          learned.ExpectedMs(i, this->work, busy + aAwaiting[i], { this->now });
        cost += isFree ? 0 : kAwaitCostMs;
      }
      if (cost < bestCost) {
        best = i;
        bestCost = cost;
        mustWait = !isFree;
      }
    }
    aAwaiting[best] += mustWait ? 1 : 0;
    return !mustWait && this->Send(aStatement, best);
  }

  bool Send(ModelStatement& aStatement, size_t aUpstream)
  {
    const ModelUpstream& upstream = this->options.upstreams[aUpstream];
    uint32_t& busy = this->inFlight[aStatement.host][aUpstream];
    if (this->running[aUpstream].size() >= upstream.slots + upstream.line) {
      aStatement.notBefore = this->now + kRetryMs;
      if (!this->limits.empty()) {
        this->limits[aStatement.host]->NoteRefusal(
          aUpstream, busy + 1, { this->now });
      }
      return false;
    }
    aStatement.inFlight = ++busy;
    aStatement.sent = this->now;
    aStatement.fails = Random(this->chance) < At(upstream.errors, this->now);
    aStatement.leftMs = aStatement.fails ? 1 : aStatement.leftMs;
    this->running[aUpstream].push_back(aStatement);
    return true;
  }

  void Serve(size_t aUpstream)
  {
    const ModelUpstream& upstream = this->options.upstreams[aUpstream];
    std::vector<ModelStatement>& all = this->running[aUpstream];
    size_t served = std::min(all.size(), upstream.slots);
    // Beyond the knee, running statements also hinder each other.
    double crowd =
      static_cast<double>(served) / static_cast<double>(upstream.knee);
    double speed =
      At(upstream.speed, this->now) / std::pow(std::max(crowd, 1.0), 2);
    std::vector<ModelStatement> left;
    for (size_t i = 0; i < all.size(); ++i) {
      all[i].leftMs -= i < served ? speed : 0;
      if (all[i].leftMs <= 0) {
        this->Finish(all[i], aUpstream);
      } else {
        left.push_back(all[i]);
      }
    }
    all = std::move(left);
  }

  void Finish(const ModelStatement& aStatement, size_t aUpstream)
  {
    --this->inFlight[aStatement.host][aUpstream];
    Time answered{ this->now + 1 };
    if (!aStatement.fails) {
      this->answers.emplace_back(aStatement.arrived,
                                 answered.ms - aStatement.arrived);
    }
    if (this->limits.empty()) {
      return;
    }
    ConcurrencyLimits& learned = *this->limits[aStatement.host];
    if (aStatement.fails) {
      learned.NoteError(aUpstream, answered);
      return;
    }
    auto elapsedMs = static_cast<double>(answered.ms - aStatement.sent);
    learned.NoteAnswer({ aUpstream,
                         this->work,
                         elapsedMs,
                         aStatement.inFlight,
                         this->options.mostInFlight },
                       answered);
  }

  ModelOptions options;
  std::mt19937 arrivals{ 1 }; // of its own, so that all runs get the same ones
  std::mt19937 chance{ 2 };
  int64_t now = 0;
  WorkClass work{ "shop", WorkKind::Read };
  std::vector<std::vector<ModelStatement>> running; // and waiting, in order
  std::vector<std::vector<ModelStatement>> queues;
  std::vector<std::vector<uint32_t>> inFlight; // by host and upstream
  std::vector<std::unique_ptr<ConcurrencyLimits>> limits; // empty: the oracle
  std::vector<std::pair<int64_t, int64_t>> answers; // when arrived, time spent
};

} // namespace marigoldpitch::fakes

#endif
