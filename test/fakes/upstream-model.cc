#include "fakes/upstream-model.h"

#include <algorithm>
#include <deque>
#include <random>

namespace marigoldpitch::fakes {

namespace {

constexpr int64_t kRetryMs = 8; // after a refusal
constexpr double kErrorMs = 1;  // until a statement fails
constexpr double kAwaitCostMs = 5;

struct Statement
{
  size_t number = 0;
  size_t host = 0;
  double workMs = 0;
  double leftMs = 0;
  int64_t notBefore = 0;
  int64_t sent = 0;
  uint32_t inFlight = 0;
  bool fails = false;
};

double
At(const Course& aCourse, int64_t aMs)
{
  return std::prev(aCourse.upper_bound(aMs))->second;
}

/** Steps of one millisecond; within one, statements are served in parts. */
class Model
{
public:
  Model(const ModelOptions& aOptions,
        const std::function<std::unique_ptr<ConcurrencyLimits>()>& aMake)
    : options(aOptions)
    , arrivals(aOptions.seed)
    , random(aOptions.seed + 1)
    , running(aOptions.upstreams.size())
    , waiting(aOptions.upstreams.size())
    , queues(aOptions.hosts)
    , inFlight(aOptions.hosts,
               std::vector<uint32_t>(aOptions.upstreams.size(), 0))
  {
    for (size_t i = 0; aMake && i < aOptions.hosts; ++i) {
      this->limits.push_back(aMake());
      this->limits.back()->Resize(aOptions.upstreams.size());
    }
  }

  ModelResult Run()
  {
    for (this->now = 0; this->now < this->options.endMs + kModelObjectiveMs;
         ++this->now) {
      if (this->now < this->options.endMs) {
        this->Arrive();
      }
      for (size_t host = 0; host < this->queues.size(); ++host) {
        this->Dispatch(host);
      }
      for (size_t i = 0; i < this->running.size(); ++i) {
        this->Serve(i);
      }
    }
    return std::move(this->result);
  }

private:
  static double Random(std::mt19937& aSource)
  {
    return std::uniform_real_distribution<>()(aSource);
  }

  void Arrive()
  {
    std::poisson_distribution<int> count(this->options.arrivalsPerMs);
    for (int i = count(this->arrivals); i > 0; --i) {
      Statement statement;
      statement.number = this->result.outcomes.size();
      // Hosts get uneven shares of the callers.
      double where = Random(this->arrivals);
      statement.host = static_cast<size_t>(
        where * where * static_cast<double>(this->options.hosts));
      statement.workMs = kMeanWorkMs * (0.5 + Random(this->arrivals));
      this->queues[statement.host].push_back(statement);
      this->result.outcomes.push_back({ this->now, -1 });
    }
  }

  void Dispatch(size_t aHost)
  {
    std::vector<uint32_t> awaiting(this->running.size(), 0);
    std::deque<Statement> left;
    for (Statement& statement : this->queues[aHost]) {
      int64_t age = this->now - this->result.outcomes[statement.number].arrived;
      if (age > kModelObjectiveMs) {
        continue;
      }
      size_t upstream = 0;
      bool isSent = statement.notBefore <= this->now &&
                    this->Choose(statement, awaiting, upstream);
      if (isSent) {
        this->Send(statement, upstream);
      } else {
        left.push_back(statement);
      }
    }
    left.insert(left.end(), this->refused.begin(), this->refused.end());
    this->refused.clear();
    this->queues[aHost] = std::move(left);
  }

  /** As `ProxyEngine::ChooseUpstream` does with the learned limits. */
  bool Choose(const Statement& aStatement,
              std::vector<uint32_t>& aAwaiting,
              size_t& aUpstream)
  {
    double best = 1e9;
    bool mustWait = true;
    for (size_t i = 0; i < this->running.size(); ++i) {
      uint32_t busy = this->inFlight[aStatement.host][i];
      bool isFree = false;
      double cost = 0;
      if (this->limits.empty()) {
        isFree = this->IsFreeByOracle(i);
        cost = this->OracleMs(i) + (isFree ? 0 : 1e6);
      } else {
        const ConcurrencyLimits& learned = *this->limits[aStatement.host];
        isFree = busy < this->options.mostInFlight &&
                 busy < learned.LimitOf(
                          i, this->options.mostInFlight, Time{ this->now });
        cost = learned.ExpectedMs(
          i, this->work, busy + aAwaiting[i], Time{ this->now });
        cost += isFree ? 0 : kAwaitCostMs;
      }
      if (cost < best) {
        best = cost;
        aUpstream = i;
        mustWait = !isFree;
      }
    }
    aAwaiting[aUpstream] += mustWait ? 1 : 0;
    return !mustWait;
  }

  size_t Useful(size_t aUpstream) const
  {
    const ModelUpstream& upstream = this->options.upstreams[aUpstream];
    return upstream.knee == 0 ? upstream.slots : upstream.knee;
  }

  bool IsFreeByOracle(size_t aUpstream) const
  {
    return this->running[aUpstream].size() < this->Useful(aUpstream);
  }

  double OracleMs(size_t aUpstream) const
  {
    const ModelUpstream& upstream = this->options.upstreams[aUpstream];
    double errors = At(upstream.errors, this->now);
    return kMeanWorkMs / At(upstream.speed, this->now) + errors * 1000;
  }

  void Send(Statement aStatement, size_t aUpstream)
  {
    const ModelUpstream& upstream = this->options.upstreams[aUpstream];
    uint32_t& busy = this->inFlight[aStatement.host][aUpstream];
    if (this->waiting[aUpstream].size() >= upstream.line) {
      if (!this->limits.empty()) {
        this->limits[aStatement.host]->NoteRefusal(
          aUpstream, busy + 1, Time{ this->now });
      }
      aStatement.notBefore = this->now + kRetryMs;
      this->refused.push_back(aStatement);
      return;
    }
    aStatement.inFlight = ++busy;
    aStatement.sent = this->now;
    aStatement.fails = Random(this->random) < At(upstream.errors, this->now);
    aStatement.leftMs = aStatement.fails ? kErrorMs : aStatement.workMs;
    this->waiting[aUpstream].push_back(aStatement);
    this->Fill(aUpstream);
  }

  void Fill(size_t aUpstream)
  {
    std::deque<Statement>& line = this->waiting[aUpstream];
    while (!line.empty() && this->running[aUpstream].size() <
                              this->options.upstreams[aUpstream].slots) {
      this->running[aUpstream].push_back(line.front());
      line.pop_front();
    }
  }

  void Serve(size_t aUpstream)
  {
    std::vector<Statement>& all = this->running[aUpstream];
    auto useful = static_cast<double>(this->Useful(aUpstream));
    // Beyond the knee, running statements also hinder each other.
    double crowd = std::max(static_cast<double>(all.size()) / useful, 1.0);
    double speed =
      At(this->options.upstreams[aUpstream].speed, this->now) / (crowd * crowd);
    std::vector<Statement> left;
    for (Statement& statement : all) {
      statement.leftMs -= speed;
      if (statement.leftMs <= 0) {
        this->Finish(statement, aUpstream);
      } else {
        left.push_back(statement);
      }
    }
    all = std::move(left);
    this->Fill(aUpstream);
  }

  void Finish(Statement aStatement, size_t aUpstream)
  {
    --this->inFlight[aStatement.host][aUpstream];
    ModelResult::Outcome& outcome = this->result.outcomes[aStatement.number];
    Time answered{ this->now + 1 };
    if (!aStatement.fails) {
      outcome.spentMs = answered.ms - outcome.arrived;
    }
    if (this->limits.empty()) {
      return;
    }
    ConcurrencyLimits& learned = *this->limits[aStatement.host];
    if (aStatement.fails) {
      learned.NoteError(aUpstream, answered);
      return;
    }
    learned.NoteAnswer({ aUpstream,
                         this->work,
                         static_cast<double>(answered.ms - aStatement.sent),
                         aStatement.inFlight,
                         this->options.mostInFlight },
                       answered);
  }

  const ModelOptions& options;
  std::mt19937 arrivals; // of its own, so that all runs get the same ones
  std::mt19937 random;
  int64_t now = 0;
  WorkClass work{ "shop", WorkKind::Read };
  std::vector<std::vector<Statement>> running;
  std::vector<std::deque<Statement>> waiting;
  std::vector<std::deque<Statement>> queues;
  std::vector<Statement> refused;
  std::vector<std::vector<uint32_t>> inFlight; // by host and upstream
  std::vector<std::unique_ptr<ConcurrencyLimits>> limits; // empty: the oracle
  ModelResult result;
};

} // namespace

Served
ModelResult::Between(int64_t aFrom, int64_t aTo) const
{
  Served served;
  for (const Outcome& outcome : this->outcomes) {
    if (outcome.arrived < aFrom || outcome.arrived >= aTo) {
      continue;
    }
    ++served.offered;
    if (outcome.spentMs >= 0 && outcome.spentMs <= kModelObjectiveMs) {
      ++served.inTime;
      served.totalMs += static_cast<double>(outcome.spentMs);
    }
  }
  return served;
}

ModelResult
RunModel(const ModelOptions& aOptions,
         const std::function<std::unique_ptr<ConcurrencyLimits>()>& aMake)
{
  return Model(aOptions, aMake).Run();
}

} // namespace marigoldpitch::fakes
