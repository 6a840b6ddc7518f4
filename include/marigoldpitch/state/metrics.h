#ifndef MARIGOLDPITCH_STATE_METRICS_H
#define MARIGOLDPITCH_STATE_METRICS_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/outcome.h"
#include "marigoldpitch/state/request.h"
#include "marigoldpitch/state/time.h"

#include <boost/histogram.hpp>

#include <array>
#include <cstdint>

/** Counters and histograms of one daemon. */
namespace marigoldpitch {

enum class Counter
{
  ReplicaReads,
  PrimaryReads,
  FallbackReads, // run on the primary though stale data was accepted
  Failovers,
  ConnectionsOpened,
  ConnectionsLost,
  Retries,
  StoreCalls,
  FramesRefused,
  ReadsUnproved,       // refused: no log point to prove a replica fresh enough
  SetupsRefused,       // statements that prepare a connection
  CallerErrors,        // invalid statements
  StatementsToLeaving, // sent to an upstream known to be leaving or unlisted
  StatementsRelayed,   // sent to the host that serves the service
  StoreRestores,       // the store came back from an old copy
  KeysRefused,         // sessions and statements without a known key
  ConnectionsReplaced, // closed for another customer's statement
  ConnectionsRefused,  // by upstreams that have reached their limit
  ServingChanges,      // another list of hosts changed what this host serves
  PermitsGranted,      // to operations of customers with a rate limit
  PermitsAwaited,      // of these, after waiting for a reply
  OverLimit,           // operations refused over their customer's limit
  NoCounter,           // refused: no host that counts was reached
  LimitRequests,       // sent to other hosts about limits
  LimitMessagesUnsent, // about limits: the host is not listed, or no room
  CallersClosed,       // for what they hold, or do not send or read in time
  CallersNotAccepted,  // closed at once, for lack of memory or descriptors
};

constexpr NameTable<Counter, 27> kCounterNames{ {
  { Counter::ReplicaReads, "replica_reads_total" },
  { Counter::PrimaryReads, "primary_reads_total" },
  { Counter::FallbackReads, "fallback_reads_total" },
  { Counter::Failovers, "failovers_total" },
  { Counter::ConnectionsOpened, "connections_opened_total" },
  { Counter::ConnectionsLost, "connections_lost_total" },
  { Counter::Retries, "retries_total" },
  { Counter::StoreCalls, "store_calls_total" },
  { Counter::FramesRefused, "frames_refused_total" },
  { Counter::ReadsUnproved, "reads_unproved_total" },
  { Counter::SetupsRefused, "setups_refused_total" },
  { Counter::CallerErrors, "caller_errors_total" },
  { Counter::StatementsToLeaving, "statements_to_leaving_total" },
  { Counter::StatementsRelayed, "statements_relayed_total" },
  { Counter::StoreRestores, "store_restores_total" },
  { Counter::KeysRefused, "keys_refused_total" },
  { Counter::ConnectionsReplaced, "connections_replaced_total" },
  { Counter::ConnectionsRefused, "connections_refused_total" },
  { Counter::ServingChanges, "serving_changes_total" },
  { Counter::PermitsGranted, "permits_granted_total" },
  { Counter::PermitsAwaited, "permits_awaited_total" },
  { Counter::OverLimit, "over_limit_total" },
  { Counter::NoCounter, "limit_unchecked_total" },
  { Counter::LimitRequests, "limit_requests_total" },
  { Counter::LimitMessagesUnsent, "limit_messages_unsent_total" },
  { Counter::CallersClosed, "callers_closed_total" },
  { Counter::CallersNotAccepted, "callers_not_accepted_total" },
} };

enum class Measure
{
  Latency,
  ReadAge,
  FailoverGap,
  LastStatement, // from a departure to the last statement sent
};

constexpr NameTable<Measure, 4> kMeasureNames{ {
  { Measure::Latency, "request_latency_ms" },
  { Measure::ReadAge, "read_age_ms" },
  { Measure::FailoverGap, "failover_gap_ms" },
  { Measure::LastStatement, "departure_to_last_statement_ms" },
} };

/** Upper edge of the last histogram bin, in milliseconds. */
constexpr double kHistogramMaxMs = 16384;
constexpr int kHistogramBins = 14;

using Histogram = decltype(boost::histogram::make_histogram(
  boost::histogram::axis::regular<double,
                                  boost::histogram::axis::transform::log>(
    kHistogramBins,
    1.0,
    kHistogramMaxMs)));

/** Histogram in milliseconds, with the sum and count of its values. */
struct Distribution
{
  Distribution();

  void Add(Duration aValue);

  Histogram histogram;
  double sumMs = 0;
  uint64_t count = 0;
};

class Metrics
{
public:
  void Count(Counter aCounter) { ++this->counters[Index(aCounter)]; }
  void CountOutcome(Outcome aOutcome) { ++this->outcomes[Index(aOutcome)]; }
  void Add(Measure aMeasure, Duration aValue)
  {
    this->distributions[Index(aMeasure)].Add(aValue);
  }

  uint64_t Get(Counter aCounter) const
  {
    return this->counters[Index(aCounter)];
  }
  uint64_t Get(Outcome aOutcome) const
  {
    return this->outcomes[Index(aOutcome)];
  }
  const Distribution& Get(Measure aMeasure) const
  {
    return this->distributions[Index(aMeasure)];
  }

private:
  template<typename E>
  static size_t Index(E aValue)
  {
    return static_cast<size_t>(aValue);
  }

  std::array<uint64_t, kCounterNames.Size()> counters{};
  std::array<uint64_t, kOutcomeNames.Size()> outcomes{};
  std::array<Distribution, kMeasureNames.Size()> distributions;
};

} // namespace marigoldpitch

#endif
