#include "marigoldpitch/coordination/proxy/concurrency-limit.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace marigoldpitch {

namespace detail {

constexpr double kInitialWorkMs = 10;
// Weights of one answer in the averages.
constexpr double kSlownessWeight = 0.1;
constexpr double kFirstWeight = 0.5; // after a while without an answer
constexpr double kUnloadedWeight = 0.05;
constexpr double kWorkWeight = 0.02;
constexpr double kErrorWeight = 0.1;
// One answer counts as at most this multiple of the usual time.
constexpr double kMaxSlowness = 20;
// Latency as a multiple of the unloaded one, above which the limit shrinks.
constexpr double kCongestionFactor = 1.5;
constexpr double kInitialLimit = 2;    // hosts may start together
constexpr double kLimitGrowth = 0.3;   // per window of answers
constexpr double kMostShrinkage = 0.7; // at a time
constexpr double kUnusedDecay = 0.98;  // per answer, of a limit not half used
constexpr double kRefusalFactor = 0.8;
constexpr uint32_t kAnswersBetweenCuts = 5;
constexpr Duration kCutInterval = Millis(100);
// If the limit has been in use for this long, the latency at half of it is
// looked at again: for this many answers, and at most for `kLookTime`.
constexpr Duration kLookInterval = Millis(2000);
constexpr Duration kLookTime = Millis(300);
constexpr uint32_t kLookAnswers = 5;
// What is known of an upstream without answers fades from this time on.
constexpr Duration kMemory = Millis(1000);
constexpr double kFadingMs = 1000;     // per halving
constexpr double kQueueFadingMs = 250; // per halving, of its queue
// The expected cost of an error to the caller, in milliseconds.
constexpr double kErrorCostMs = 300;
constexpr double kMostErrors = 0.95;
// What a statement ahead costs even if there is a free slot, as a part of its
// time: it keeps hosts from all taking the same upstream.
constexpr double kSpreadFactor = 0.25;
constexpr Duration kLoadValidity = Millis(500);
constexpr double kAnswerCountDecay = 0.999;
constexpr size_t kMaxWorkClasses = 4096;
// A log line needs a change by this factor, and this time since the last one.
constexpr double kNotableChange = 2;
constexpr Duration kNotableInterval = Seconds(5);

double
HalvesSince(Time aTime, Duration aFrom, double aHalvingMs, Time aNow)
{
  auto beyondMs = static_cast<double>((aNow - aTime - aFrom).ms);
  return std::exp2(-std::max(beyondMs, 0.0) / aHalvingMs);
}

/** A gradient against the unloaded latency, see the design note. */
class LearnedLimits : public ConcurrencyLimits
{
public:
  void Resize(size_t aUpstreams) override
  {
    this->upstreams.resize(std::max(aUpstreams, this->upstreams.size()));
  }

  void Reset(UpstreamIndex aUpstream) override
  {
    this->upstreams[aUpstream] = {};
  }

  void NoteAnswer(const StatementTiming& aTiming, Time aNow) override;
  void NoteError(UpstreamIndex aUpstream, Time aNow) override;
  void NoteRefusal(UpstreamIndex aUpstream,
                   uint32_t aInFlight,
                   Time aNow) override;

  void NoteLoad(UpstreamIndex aUpstream, const UpstreamLoad& aLoad) override
  {
    this->upstreams[aUpstream].others = aLoad;
  }

  double LimitOf(UpstreamIndex aUpstream,
                 double aInitial,
                 Time aNow) const override;
  double ExpectedMs(UpstreamIndex aUpstream,
                    const WorkClass& aWork,
                    uint32_t aAhead,
                    Time aNow) const override;

  double ServiceMs(UpstreamIndex aUpstream, Time aNow) const override
  {
    return std::max(this->averageMs *
                      this->FadedSlowness(this->upstreams[aUpstream], aNow),
                    1.0);
  }

  LearnedUpstream Learned(UpstreamIndex aUpstream) const override
  {
    return this->upstreams[aUpstream].learned;
  }

private:
  struct Upstream
  {
    LearnedUpstream learned;
    double ahead = 0; // this host's statements at which `slowness` was seen
    Time answered = kInfinitePast;
    Time erred = kInfinitePast;
    Time unloadedSeen = kInfinitePast; // last answer to a statement at low load
    uint32_t lookAnswers = 0;          // of a look that is going on
    uint32_t answersSinceCut = 0;
    Time cut = kInfinitePast;
    UpstreamLoad others;
  };

  struct Work
  {
    double usualMs = kInitialWorkMs; // at an upstream of slowness 1
    uint32_t answers = 0;
  };

  double UsualMs(const WorkClass& aWork) const;
  double LeastSlowness(Time aNow) const;
  double FadedUnloaded(const Upstream& aUpstream, Time aNow) const;
  double FadedSlowness(const Upstream& aUpstream, Time aNow) const;
  double FadedErrors(const Upstream& aUpstream, Time aNow) const;
  static bool IsOverloaded(const Upstream& aUpstream,
                           double aInFlight,
                           Time aNow);
  static void NoteUnloaded(Upstream& aUpstream, double aSlowness, Time aNow);
  void Learn(Upstream& aUpstream, const StatementTiming& aTiming, Time aNow);
  static void Adapt(Upstream& aUpstream,
                    const StatementTiming& aTiming,
                    Time aNow);

  std::vector<Upstream> upstreams;
  std::map<WorkClass, Work> works;
  double averageMs = kInitialWorkMs; // of the usual times of recent statements
};

double
LearnedLimits::UsualMs(const WorkClass& aWork) const
{
  auto found = this->works.find(aWork);
  return found == this->works.end() ? this->averageMs : found->second.usualMs;
}

/** Of the upstreams that answered lately, or of all if none did. */
double
LearnedLimits::LeastSlowness(Time aNow) const
{
  Time newest = kInfinitePast;
  for (const Upstream& upstream : this->upstreams) {
    newest = std::max(newest, upstream.answered);
  }
  if (newest == kInfinitePast) {
    return 1;
  }
  Time since = std::min(newest, aNow) - kMemory;
  double least = kMaxSlowness;
  for (const Upstream& upstream : this->upstreams) {
    if (upstream.answered >= since) {
      least = std::min(least, upstream.learned.unloadedSlowness);
    }
  }
  return least;
}

/**
 * An upstream that has not answered for a while may have recovered, so the
 * estimate approaches that of the fastest one.
 */
double
LearnedLimits::FadedUnloaded(const Upstream& aUpstream, Time aNow) const
{
  double slowness = aUpstream.learned.unloadedSlowness;
  if (aNow - aUpstream.answered <= kMemory) {
    return slowness;
  }
  double least = std::min(this->LeastSlowness(aNow), slowness);
  return least + (slowness - least) *
                   HalvesSince(aUpstream.answered, kMemory, kFadingMs, aNow);
}

/** The queue that was seen shrinks while nothing is heard of it. */
double
LearnedLimits::FadedSlowness(const Upstream& aUpstream, Time aNow) const
{
  double queue =
    aUpstream.learned.slowness - aUpstream.learned.unloadedSlowness;
  return this->FadedUnloaded(aUpstream, aNow) +
         queue *
           HalvesSince(aUpstream.answered, Millis(0), kQueueFadingMs, aNow);
}

double
LearnedLimits::FadedErrors(const Upstream& aUpstream, Time aNow) const
{
  Time last = std::max(aUpstream.answered, aUpstream.erred);
  return aUpstream.learned.errorShare *
         HalvesSince(last, kMemory, kFadingMs, aNow);
}

/** Whether all hosts together have more there than it runs at once. */
bool
LearnedLimits::IsOverloaded(const Upstream& aUpstream,
                            double aInFlight,
                            Time aNow)
{
  const UpstreamLoad& load = aUpstream.others;
  return load.slots != 0 && aNow - load.asked <= kLoadValidity &&
         load.running + aInFlight > load.slots;
}

/** A look at the unloaded latency goes on until it has enough answers. */
void
LearnedLimits::NoteUnloaded(Upstream& aUpstream, double aSlowness, Time aNow)
{
  double& unloaded = aUpstream.learned.unloadedSlowness;
  unloaded += (aSlowness - unloaded) * kUnloadedWeight;
  bool isLook = aNow - aUpstream.unloadedSeen >= kLookInterval;
  if (isLook && ++aUpstream.lookAnswers < kLookAnswers) {
    return;
  }
  aUpstream.lookAnswers = 0;
  aUpstream.unloadedSeen = aNow;
}

void
LearnedLimits::Learn(Upstream& aUpstream,
                     const StatementTiming& aTiming,
                     Time aNow)
{
  LearnedUpstream& learned = aUpstream.learned;
  if (this->works.size() >= kMaxWorkClasses) {
    this->works.clear();
  }
  Work& work = this->works[aTiming.work];
  bool isFirst = aUpstream.answered == kInfinitePast;
  bool isAfterPause = !isFirst && aNow - aUpstream.answered > kMemory;
  if (isAfterPause) {
    double unloaded = this->FadedUnloaded(aUpstream, aNow);
    learned.slowness = this->FadedSlowness(aUpstream, aNow);
    learned.unloadedSlowness = unloaded;
    learned.errorShare = this->FadedErrors(aUpstream, aNow);
  }
  if (work.answers == 0) {
    work.usualMs = std::max(aTiming.elapsedMs / learned.slowness, 1.0);
  }
  ++work.answers;
  double slowness =
    std::clamp(aTiming.elapsedMs / work.usualMs, 0.0, kMaxSlowness);
  double weight = isFirst || isAfterPause ? kFirstWeight : kSlownessWeight;
  learned.slowness += (slowness - learned.slowness) * weight;
  aUpstream.ahead += (aTiming.inFlight - 1 - aUpstream.ahead) * weight;
  bool isLow = aTiming.inFlight <= std::max(learned.limit / 2, 1.0) &&
               !IsOverloaded(aUpstream, aTiming.inFlight, aNow);
  if (isFirst || isAfterPause) {
    learned.unloadedSlowness +=
      (slowness - learned.unloadedSlowness) * kFirstWeight;
    aUpstream.unloadedSeen = aNow;
  } else if (isLow) {
    NoteUnloaded(aUpstream, slowness, aNow);
  }
  // Early answers of a kind count more: its time is not known yet.
  double workWeight = std::max(kWorkWeight, 1.0 / (work.answers + 1.0));
  work.usualMs +=
    (aTiming.elapsedMs / std::max(learned.slowness, 0.1) - work.usualMs) *
    workWeight;
  work.usualMs = std::max(work.usualMs, 1.0);
  this->averageMs += (work.usualMs - this->averageMs) * kWorkWeight;
  learned.errorShare *= 1 - kErrorWeight;
  learned.answers = learned.answers * kAnswerCountDecay + 1;
  aUpstream.answered = aNow;
}

void
LearnedLimits::Adapt(Upstream& aUpstream,
                     const StatementTiming& aTiming,
                     Time aNow)
{
  LearnedUpstream& learned = aUpstream.learned;
  if (learned.limit == 0) {
    learned.limit = kInitialLimit;
  }
  ++aUpstream.answersSinceCut;
  double accepted = learned.unloadedSlowness * kCongestionFactor;
  bool isCongested = learned.slowness > accepted;
  bool isOverloaded = IsOverloaded(aUpstream, aTiming.inFlight, aNow);
  if (isCongested) {
    bool isDue = aUpstream.answersSinceCut >= kAnswersBetweenCuts &&
                 aNow - aUpstream.cut >= kCutInterval;
    if (isDue) {
      learned.limit *= std::max(accepted / learned.slowness, kMostShrinkage);
      aUpstream.answersSinceCut = 0;
      aUpstream.cut = aNow;
    }
  } else if (!isOverloaded && aTiming.inFlight + 1 > learned.limit) {
    learned.limit += kLimitGrowth / learned.limit;
  } else if (aTiming.inFlight < learned.limit / 2) {
    learned.limit =
      std::max(learned.limit * kUnusedDecay, std::min(learned.limit, 2.0));
  }
  learned.limit =
    std::clamp(learned.limit, 1.0, std::max(aTiming.mostInFlight, 1.0));
}

void
LearnedLimits::NoteAnswer(const StatementTiming& aTiming, Time aNow)
{
  Upstream& upstream = this->upstreams[aTiming.upstream];
  this->Learn(upstream, aTiming, aNow);
  Adapt(upstream, aTiming, aNow);
}

void
LearnedLimits::NoteError(UpstreamIndex aUpstream, Time aNow)
{
  Upstream& upstream = this->upstreams[aUpstream];
  double share = this->FadedErrors(upstream, aNow);
  upstream.learned.errorShare = share + (1 - share) * kErrorWeight;
  upstream.erred = aNow;
}

void
LearnedLimits::NoteRefusal(UpstreamIndex aUpstream,
                           uint32_t aInFlight,
                           Time aNow)
{
  Upstream& upstream = this->upstreams[aUpstream];
  upstream.learned.limit = std::max(aInFlight * kRefusalFactor, 1.0);
  upstream.answersSinceCut = 0;
  upstream.cut = aNow;
}

double
LearnedLimits::LimitOf(UpstreamIndex aUpstream,
                       double aInitial,
                       Time aNow) const
{
  const Upstream& upstream = this->upstreams[aUpstream];
  double limit = upstream.learned.limit;
  if (limit == 0) {
    return std::clamp(aInitial, 1.0, kInitialLimit);
  }
  bool isForgotten = aNow - upstream.answered > kMemory &&
                     upstream.learned.unloadedSlowness >
                       this->LeastSlowness(aNow) * kCongestionFactor;
  if (isForgotten) {
    return 1; // one statement shows whether it has recovered
  }
  int64_t sinceMs = (aNow - upstream.unloadedSeen).ms;
  bool isLooking =
    sinceMs >= kLookInterval.ms && sinceMs % kLookInterval.ms < kLookTime.ms;
  return isLooking ? std::max(std::floor(limit / 2), 1.0) : limit;
}

double
LearnedLimits::ExpectedMs(UpstreamIndex aUpstream,
                          const WorkClass& aWork,
                          uint32_t aAhead,
                          Time aNow) const
{
  const Upstream& upstream = this->upstreams[aUpstream];
  double unloaded = this->FadedUnloaded(upstream, aNow);
  // Other hosts send as many, so that each one ahead takes a slot.
  double slowness =
    this->FadedSlowness(upstream, aNow) + unloaded * (aAhead - upstream.ahead);
  if (IsOverloaded(upstream, aAhead + 1.0, aNow)) {
    const UpstreamLoad& load = upstream.others;
    double queued = load.running + aAhead + 1.0 - load.slots;
    slowness = std::max(slowness, unloaded * (1 + queued / load.slots));
  }
  slowness = std::max(slowness, unloaded) + unloaded * aAhead * kSpreadFactor;
  double errors = std::min(this->FadedErrors(upstream, aNow), kMostErrors);
  return this->UsualMs(aWork) * slowness / (1 - errors) + errors * kErrorCostMs;
}

} // namespace detail

std::unique_ptr<ConcurrencyLimits>
MakeLearnedLimits()
{
  return std::make_unique<detail::LearnedLimits>();
}

std::optional<LimitChange>
LimitChangeDetector::Take(double aLimit, Time aNow)
{
  if (aLimit == 0) {
    return std::nullopt;
  }
  if (this->lastLimit == 0) {
    this->lastLimit = aLimit;
  }
  double ratio = aLimit / this->lastLimit;
  bool isNotable =
    ratio >= detail::kNotableChange || ratio <= 1 / detail::kNotableChange;
  if (!isNotable || aNow - this->lastTaken < detail::kNotableInterval) {
    return std::nullopt;
  }
  LimitChange change{ this->lastLimit, aLimit };
  this->lastLimit = aLimit;
  this->lastTaken = aNow;
  return change;
}

} // namespace marigoldpitch
