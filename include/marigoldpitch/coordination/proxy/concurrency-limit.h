#ifndef MARIGOLDPITCH_COORDINATION_PROXY_CONCURRENCY_LIMIT_H
#define MARIGOLDPITCH_COORDINATION_PROXY_CONCURRENCY_LIMIT_H

#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

/**
 * How many statements of this host each upstream of a service takes well, and
 * how long a statement is expected to take there, learned from answers.
 */
namespace marigoldpitch {

/** Statements of one database and kind are expected to take alike. */
enum class WorkKind
{
  Read,
  Write,            // acknowledged as a commit
  TransactionWrite, // of an open transaction
  Commit,
};

constexpr NameTable<WorkKind, 4> kWorkKindNames{ {
  { WorkKind::Read, "read" },
  { WorkKind::Write, "write" },
  { WorkKind::TransactionWrite, "transaction-write" },
  { WorkKind::Commit, "commit" },
} };

using WorkClass = std::pair<std::string, WorkKind>; // with the database

/** Work of which nothing is known, so that the average of all counts. */
inline WorkClass
AnyWork()
{
  return { "", WorkKind::Read };
}

/** A statement that an upstream has run without an error. */
struct StatementTiming
{
  UpstreamIndex upstream = 0;
  WorkClass work;
  double elapsedMs = 0;    // from when it was sent on a prepared connection
  uint32_t inFlight = 0;   // of this host, when it was sent, with itself
  double mostInFlight = 1; // that the host's connections allow
};

/** What all hosts together have running at an upstream, as it reported. */
struct UpstreamLoad
{
  uint32_t running = 0; // statements of other hosts
  uint32_t slots = 0;   // statements that it runs at once; 0: not known
  Time asked = kInfinitePast;
};

/** What is known of an upstream, for metrics and log lines. */
struct LearnedUpstream
{
  double limit = 0;    // 0: not known yet
  double slowness = 1; // its answers' time over the usual time of their kind
  double unloadedSlowness = 1;
  double errorShare = 0;
  double answers = 0; // a decaying count, to compare upstreams
};

/** Decides for one service; takes the time, does no I/O. */
class ConcurrencyLimits
{
public:
  virtual ~ConcurrencyLimits() = default;

  /** There are at least this many upstreams. */
  virtual void Resize(size_t aUpstreams) = 0;

  /** The upstream's process is another one: nothing is known of it. */
  virtual void Reset(UpstreamIndex aUpstream) = 0;

  virtual void NoteAnswer(const StatementTiming& aTiming, Time aNow) = 0;

  /** The upstream ran a statement with an error, or gave no answer. */
  virtual void NoteError(UpstreamIndex aUpstream, Time aNow) = 0;

  /** It refused a statement because it has no capacity. */
  virtual void NoteRefusal(UpstreamIndex aUpstream,
                           uint32_t aInFlight,
                           Time aNow) = 0;

  virtual void NoteLoad(UpstreamIndex aUpstream, const UpstreamLoad& aLoad) = 0;

  /**
   * How many statements of this host may run there, at least 1; `aInitial`
   * while nothing is known.
   */
  virtual double LimitOf(UpstreamIndex aUpstream,
                         double aInitial,
                         Time aNow) const = 0;

  /**
   * How many milliseconds a statement is expected to take until a successful
   * answer, if this host has `aAhead` others running or waiting there.
   */
  virtual double ExpectedMs(UpstreamIndex aUpstream,
                            const WorkClass& aWork,
                            uint32_t aAhead,
                            Time aNow) const = 0;

  /** The time that the average statement takes there when the limit is used. */
  virtual double ServiceMs(UpstreamIndex aUpstream, Time aNow) const = 0;

  virtual LearnedUpstream Learned(UpstreamIndex aUpstream) const = 0;
};

std::unique_ptr<ConcurrencyLimits>
MakeLearnedLimits();

/** A limit that changed much since it was last noted. */
struct LimitChange
{
  double before = 0;
  double after = 0;
};

/** Finds changes of one upstream's limit that are worth a log line. */
class LimitChangeDetector
{
public:
  /** Unset if the limit is not known, or close to the last one returned. */
  std::optional<LimitChange> Take(double aLimit, Time aNow);

private:
  double lastLimit = 0;
  Time lastTaken = kInfinitePast;
};

} // namespace marigoldpitch

#endif
