#ifndef MARIGOLDPITCH_COORDINATION_SERVICE_VIEW_H
#define MARIGOLDPITCH_COORDINATION_SERVICE_VIEW_H

#include "marigoldpitch/coordination/group-membership.h"
#include "marigoldpitch/coordination/statement.h"
#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/freshness.h"
#include "marigoldpitch/state/proxy-config.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** One proxy's knowledge of a service's upstreams. */
namespace marigoldpitch {

/**
 * How long a replica's report that it is not held for a higher term proves that
 * the primary leads, counted from when the report was requested.
 */
constexpr Duration kLeadershipProofValidity = Millis(500);

/** After this long without an answer, a failing upstream counts as lost. */
constexpr Duration kSilenceTimeout = Millis(400);

/** How long a crashed upstream must be gone until it is not expected back. */
constexpr Duration kCrashedMemberTimeout = Seconds(10);

/** The same for an upstream that had announced its shutdown. */
constexpr Duration kLeavingMemberTimeout = Seconds(3);

/** The end of an upstream's log, and when the request for it was sent. */
struct ObservedLogEnd
{
  Time asked = kInfinitePast;
  LogPoint point;
};

/** An upstream with its last report, reachability, lag and load. */
struct ProxyUpstream
{
  RegisteredUpstream entry;
  std::optional<UpstreamReport> report;
  Time reportAsked = kInfinitePast; // when the report's request was sent
  bool reportWanted = true;
  bool reportRequestOpen = false;
  Time lastAsked = kInfinitePast;
  Time lastAnswer = kInfinitePast;
  uint32_t failures = 0; // since the last answer
  Time failingSince = kInfiniteFuture;
  // The first attempt that went unanswered while the outbound path worked.
  Time unansweredSince = kInfiniteFuture;
  Time avoidUntil = kInfinitePast;
  Time fullUntil = kInfinitePast; // accepts no more connections until then
  LogPoint behind;                // a point that its log did not reach
  Time behindUntil = kInfinitePast;
  double lagMs = 20; // estimate of its replication lag
  double latencyMs = 10;
  double minLatencyMs = 1000; // a slowly rising minimum of `latencyMs`
  double window = 0; // concurrent statements from this host; 0: unknown
  Time busyUntil = kInfinitePast;
};

/**
 * Keeps the upstreams of one service, the known primary and its term, the proof
 * that the primary leads, and samples of the log's end at known times.
 *
 * A commit of a group with `requiresReplicaAck` is acknowledged only after a
 * replica has confirmed it. A replica that is held for a term accepts nothing
 * from a primary of a lower term, so the report of one replica that is not held
 * above the current term proves that no newer primary had acknowledged anything
 * when the report was requested. The proof is valid for
 * `kLeadershipProofValidity` longer, because every proxy waits that long before
 * it uses a new primary.
 *
 * The clock also advances while the host is paused.
 */
class ServiceView
{
public:
  /** Applies all registry entries; returns the number of new upstreams. */
  size_t List(const std::vector<RegisteredUpstream>& aEntries, Time aNow);

  /** Applies the store's group record; returns the number of new upstreams. */
  size_t TakeRecord(const GroupRecord& aRecord, Time aNow);

  /** Whether a commit is acknowledged only once a replica holds it. */
  void SetRequiresReplicaAck(bool aIsRequired)
  {
    this->requiresReplicaAck = aIsRequired;
  }

  const GroupMembership& Members() const { return this->members; }

  /** Applies a report that was requested at `aAsked`. */
  void ApplyReport(UpstreamIndex aUpstream,
                   const UpstreamReport& aReport,
                   Time aAsked,
                   Time aNow);

  /** Applies the end of an upstream's log that came with an answer. */
  void ObserveLogEnd(UpstreamIndex aUpstream,
                     const LogPoint& aEnd,
                     Time aAsked);

  /**
   * The primary acknowledged a commit that was sent at `aAsked`, so a replica
   * has confirmed it.
   */
  void NoteConfirmedCommit(UpstreamIndex aUpstream,
                           const LogPoint& aEnd,
                           Time aAsked,
                           Time aNow);

  /** The highest log position that came with an acknowledged commit. */
  const LogPoint& HighestConfirmed() const { return this->highestConfirmed; }

  /** The newest end of its log that the current term's primary stated. */
  const ObservedLogEnd& PrimaryLogEnd() const { return this->primaryLogEnd; }

  /** Whether the upstream has been failing for at least `kSilenceTimeout`. */
  bool IsUnheard(UpstreamIndex aUpstream, Time aNow) const;

  /** Whether the upstream is unheard and not in the registry either. */
  bool IsMissing(UpstreamIndex aUpstream, Time aNow) const;

  /**
   * Since when the upstream is neither listed nor heard; `kInfiniteFuture` if
   * it is listed or heard.
   */
  Time GoneSince(UpstreamIndex aUpstream) const;

  /**
   * Whether a log that ends at `aPoint` holds every commit that the missing
   * member may have confirmed. This is so if the primary of the current term
   * stated the end of its log at least `kCrashedMemberTimeout`
   * (`kLeavingMemberTimeout` for a member that had announced its shutdown)
   * after the member was gone, and `aPoint` is not behind that end. A shorter
   * absence may be due to this host's own network.
   */
  bool CoversCommitsOf(UpstreamIndex aUpstream, const LogPoint& aPoint) const;

  /** A commit was sent; it was answered, or its connection was lost. */
  void CommitSent(ConnectionId aConnection, Time aNow);
  void CommitEnded(ConnectionId aConnection);

  /** How long the oldest open commit waits with no commit acknowledged. */
  Duration CommitStall(Time aNow) const;

  /** The upstream refused a write as read-only, or reports another role. */
  void NoteLeadershipLost(UpstreamIndex aUpstream);

  /** An upstream of any service answered a request sent at `aAsked`. */
  void NotePathWorks(Time aAsked);

  /** A connection or a status request to the upstream is being sent. */
  void NoteAttempt(UpstreamIndex aUpstream, Time aNow);

  /**
   * Whether the upstream answers nothing while other upstreams answer this
   * host. A host that is partitioned or overloaded gets no answers at all and
   * cannot tell which upstream is down.
   */
  bool IsSilent(UpstreamIndex aUpstream, Time aNow) const;

  void Answered(UpstreamIndex aUpstream, Time aNow);
  void Failed(UpstreamIndex aUpstream, Time aNow);

  /** The known primary, even if statements may not be sent to it yet. */
  std::optional<UpstreamIndex> Primary() const { return this->primary; }
  Term CurrentTerm() const { return this->term; }

  /** Whether new work may be sent to the upstream. */
  bool IsUsable(UpstreamIndex aUpstream, Time aNow) const;
  bool IsPrimaryUsable(Time aNow) const;

  /** Whether no newer primary had acknowledged anything before `aTime`. */
  bool IsLeaderProvedAt(Time aTime) const
  {
    return this->term != 0 &&
           this->provedAsked + kLeadershipProofValidity > aTime;
  }
  Time ProvedAsked() const { return this->provedAsked; }

  /**
   * Whether no promotion to `aTerm` has taken effect: every member has reported
   * a term below `aTerm` in a report that was requested at `aSince` or later.
   * Members that have been gone for `kCrashedMemberTimeout` are left out.
   */
  bool IsTermUnused(Term aTerm, Time aSince, Time aNow) const;

  /**
   * Requests a new report of each upstream whose last report was requested
   * before `aTime`, to get a log point for that time.
   */
  void RequestPointSince(Time aTime);

  /** A log point that covers all commits acknowledged before `aTime`. */
  std::optional<FreshnessSample> PointSince(Time aTime) const
  {
    return this->samples.OldestSince(aTime);
  }

  /** Requests a report of every upstream: the primary may have changed. */
  void RequestAllReports();

  size_t Size() const { return this->upstreams.size(); }
  ProxyUpstream& At(UpstreamIndex aUpstream)
  {
    return this->upstreams[aUpstream];
  }
  const ProxyUpstream& At(UpstreamIndex aUpstream) const
  {
    return this->upstreams[aUpstream];
  }

private:
  struct Sample
  {
    Time asked;
    LogPoint point;
  };

  void SetPrimary(UpstreamIndex aUpstream, Term aTerm, Time aNow);
  bool IsLost(UpstreamIndex aUpstream) const;
  void StartTerm(Term aTerm);
  void Prove(Time aAsked);
  void TakeProvedSamples();
  void SampleQuorum(Time aNow);
  void NoteHolds(Time aNow);
  std::optional<UpstreamIndex> Find(const std::string& aId) const;

  UpstreamIndex Add(const RegisteredUpstream& aEntry);
  void NoteReplacements();

  std::vector<ProxyUpstream> upstreams;
  GroupMembership members;
  bool requiresReplicaAck = false;
  std::optional<UpstreamIndex> primary;
  Term term = 0;
  Term usableTerm = 0; // its primary may be used from `usableFrom`
  Time usableFrom = kInfiniteFuture;
  // Since when every replica is held, so that none can prove `term` any more.
  Time allHeldSince = kInfiniteFuture;
  Time provedAsked = kInfinitePast;
  std::map<ConnectionId, Time> openCommits; // when each was sent
  Time lastConfirmed = kInfinitePast;
  Time pathWorkedAt = kInfinitePast;
  LogPoint highestConfirmed;
  ObservedLogEnd primaryLogEnd;
  std::deque<Sample> unprovedSamples; // of the current term, oldest first
  FreshnessTracker samples;
};

} // namespace marigoldpitch

#endif
