#ifndef MARIGOLDPITCH_COORDINATION_PROXY_SERVICE_VIEW_H
#define MARIGOLDPITCH_COORDINATION_PROXY_SERVICE_VIEW_H

#include "marigoldpitch/coordination/proxy/commit-fence.h"
#include "marigoldpitch/coordination/proxy/commit-right.h"
#include "marigoldpitch/coordination/proxy/departures.h"
#include "marigoldpitch/coordination/proxy/group-membership.h"
#include "marigoldpitch/coordination/proxy/host-registration.h"
#include "marigoldpitch/coordination/proxy/opening-pace.h"
#include "marigoldpitch/coordination/proxy/statement.h"
#include "marigoldpitch/coordination/proxy/unsettled-samples.h"
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
 * How long attempts to reach an upstream must have failed, with no answer in
 * between, before `IsFailingLong` is true. `IsSilent` requires it as well.
 */
constexpr Duration kFailureTimeout = Millis(400);

/**
 * How long an upstream must be both unlisted and failing until it is taken for
 * crashed and not expected back.
 */
constexpr Duration kCrashedMemberTimeout = Seconds(10);

/** The same for an upstream that had announced its shutdown. */
constexpr Duration kLeavingMemberTimeout = Seconds(3);

/** The end of an upstream's log, and when the request for it was sent. */
struct ObservedLogEnd
{
  Time asked = kInfinitePast;
  LogPoint point;
};

/** What a read of the registry has changed. */
struct RegistryChanges
{
  size_t added = 0;                    // new upstreams
  std::vector<UpstreamIndex> departed; // upstreams that turned out to leave
};

/** An upstream with its last report, reachability, lag and load. */
struct ProxyUpstream
{
  RegisteredUpstream registration;
  std::optional<UpstreamReport> report;
  Time reportAsked = kInfinitePast; // when the report's request was sent
  bool reportWanted = true;
  bool reportRequestOpen = false;
  Time lastAsked = kInfinitePast;
  Time lastAnswer = kInfinitePast;
  uint32_t failures = 0; // since the last answer
  // The first failure since the last answer; `kInfiniteFuture`: not failing.
  Time failingSince = kInfiniteFuture;
  // The first attempt that went unanswered while the outbound path worked.
  Time unansweredSince = kInfiniteFuture;
  Time avoidUntil = kInfinitePast;
  OpeningPace pace;               // of this host's new connections
  uint32_t openedSinceReport = 0; // connections of this host
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
 * that it is still the primary, and samples: log points that cover all commits
 * acknowledged before a known time.
 *
 * A commit of a group with `requiresReplicaConfirmation` is acknowledged only
 * after a replica has confirmed it. A replica that is held for a term accepts
 * no log from a primary of a lower term, so the report of one recorded replica
 * that is not held above the current term proves that no newer primary had
 * acknowledged anything when the report was requested; that of another replica
 * does so only while this host may acknowledge commits. The proof is valid for
 * `kPrimaryProofValidity` longer, because every proxy waits that long before it
 * uses a new primary, unless all hosts that promoters know of were fenced.
 * While such a proof is valid, the primary is called proved.
 *
 * Several conditions say that an upstream is not there:
 *
 * - failing: the last attempt failed, and there was no answer since;
 *   `IsFailingLong` if this has lasted for `kFailureTimeout`;
 * - unlisted: the registry has no entry of it, or this process has not seen it
 *   (`GroupMembership::IsListed`);
 * - unlisted and `IsFailingLong`: `IsUnlistedAndFailingLong`;
 * - unlisted and failing for any time: since `UnlistedAndFailingSince`;
 * - unlisted or failing for any time: `IsUnlistedOrFailing`;
 * - `IsSilent`: `IsFailingLong` while this host's own outbound path is known to
 *   work.
 *
 * The clock also advances while the host is paused.
 */
class ServiceView
{
public:
  /** Leaving upstreams serve for `aDrainTime` after their announcement. */
  explicit ServiceView(Duration aDrainTime)
    : departures(aDrainTime)
  {
  }

  /** The store had no newer registrations than the last ones at `aAsOf`. */
  void ConfirmRegistrations(Time aAsOf);

  /** Applies all registrations. */
  RegistryChanges ApplyRegistrations(
    const std::vector<RegisteredUpstream>& aRegistrations,
    Time aNow);

  /** Applies the store's group record; returns the number of new upstreams. */
  size_t ApplyRecord(const GroupRecord& aRecord, Time aNow);

  /** The store's record of the group is missing from a read in this era. */
  void NoteMissingRecord(uint64_t aEra)
  {
    this->members.NoteMissingRecord(aEra);
  }

  void SetRegistration(const RegistrationSpan& aRegistration)
  {
    this->registration = aRegistration;
  }

  /** Whether a commit is acknowledged only once a replica has confirmed it. */
  void SetRequiresReplicaConfirmation(bool aIsRequired)
  {
    this->requiresReplicaConfirmation = aIsRequired;
  }

  const GroupMembership& Members() const { return this->members; }

  /**
   * Whether the upstream's log may lack commits that it has confirmed: it was
   * cut back within a term; or the upstream has restarted, has not been found
   * complete since, and is behind the log of a member that has not restarted.
   */
  bool MayLackCommits(UpstreamIndex aUpstream) const;

  const Departure& DepartureOf(UpstreamIndex aUpstream) const
  {
    return this->departures.Of(aUpstream);
  }

  /** Whether the registry shows that the upstream is gone. */
  bool IsGone(UpstreamIndex aUpstream) const
  {
    return this->departures.IsGone(aUpstream);
  }

  /** A statement is being sent to an upstream that is not serving. */
  void NoteStatementToLeaving(UpstreamIndex aUpstream, Time aNow)
  {
    this->departures.NoteStatement(aUpstream, aNow);
  }

  /**
   * The departure of an upstream that now is unlisted and failing, or no member
   * any more, and to which statements were sent meanwhile. Each is returned
   * once.
   */
  std::optional<Departure> TakeFinishedDeparture(UpstreamIndex aUpstream,
                                                 Time aNow);

  /** Applies a report that was requested at `aAsked`. */
  void ApplyReport(UpstreamIndex aUpstream,
                   const UpstreamReport& aReport,
                   Time aAsked,
                   Time aNow);

  /** Applies the end of an upstream's log that came with an answer. */
  void ApplyLogEnd(UpstreamIndex aUpstream,
                   const LogPoint& aEnd,
                   Time aAsked,
                   Time aNow);

  /**
   * The primary acknowledged a commit that was sent at `aAsked`, so a replica
   * has confirmed it.
   */
  void NoteAcknowledgedCommit(UpstreamIndex aUpstream,
                              const LogPoint& aEnd,
                              Time aAsked,
                              Time aNow);

  /** Whether the upstream has reported a longer log than the other. */
  bool HasLongerLog(UpstreamIndex aUpstream, UpstreamIndex aOther) const;

  /** The fences that promoters have closed for this service. */
  CommitFence& Fence() { return this->fence; }

  /**
   * Whether any commit of the term that the primary has acknowledged may be
   * acknowledged to its caller, whoever has confirmed it: no promotion to a
   * higher term can have been ordered. Requires that no fence hides it, contact
   * with the store within `kCommitLease`, and a registration that promoters
   * know of, so that they fence this host or wait for it (or no record of the
   * group, without which none promotes). A new process may have lost its fence,
   * so it acknowledges none while a held replica shows that an order may still
   * take effect.
   */
  bool MayAcknowledge(Term aTerm, Time aNow) const;

  /**
   * The right of a host that promoters may not know of, without
   * `MayAcknowledge`: a commit that the primary has acknowledged may be
   * acknowledged to its caller once a recorded replica has reported that its
   * log has the commit. A promoter holds that replica before it orders a
   * promotion, and the log that it promotes has all that the held ones have. So
   * this needs neither a registration, nor contact with the store, nor a
   * promoter that knows this host.
   */
  CommitRight RightByReplica(const LogPoint& aCommit, Time aNow) const;

  /**
   * Whether a commit that is sent to the primary now may be acknowledged, if it
   * is answered soon and nothing happens meanwhile.
   */
  bool MaySendCommits(Time aNow) const;

  /** Whether the fence below the present term's successor is closed. */
  bool IsFenced(Time aNow) const
  {
    return this->fence.IsClosedFor(this->term, aNow);
  }

  /** A commit was acknowledged that is not passed on to its caller now. */
  void NoteUnreportedCommit(Time aNow) { this->lastAcknowledged = aNow; }
  Time LastAcknowledged() const { return this->lastAcknowledged; }

  /** Whether any commit sent by this host has no answer yet. */
  bool HasOpenCommits() const { return !this->unansweredCommits.empty(); }

  /**
   * A promotion to the term has taken effect. `areAllFenced`: no host uses the
   * old primary any more, so the new one may be used at once.
   */
  void NoteTermBegan(Term aTerm, bool aAreAllFenced, Time aNow);

  /** The highest log point that came with an acknowledged commit. */
  const LogPoint& HighestAcknowledged() const
  {
    return this->highestAcknowledged;
  }

  /** The end of its log that the current term's primary last reported. */
  const ObservedLogEnd& PrimaryLogEnd() const { return this->primaryLogEnd; }

  /**
   * Whether the upstream has been failing for at least `kFailureTimeout`,
   * whether it is listed or not. The cause may be this host's own network.
   */
  bool IsFailingLong(UpstreamIndex aUpstream, Time aNow) const;

  /** Whether the upstream is unlisted and `IsFailingLong`. */
  bool IsUnlistedAndFailingLong(UpstreamIndex aUpstream, Time aNow) const;

  /**
   * Since when the upstream has been both unlisted and failing;
   * `kInfiniteFuture` if it is listed or not failing.
   */
  Time UnlistedAndFailingSince(UpstreamIndex aUpstream) const;

  /**
   * Whether a log that ends at `aPoint` contains every commit that the member
   * may have confirmed. This is so if the primary of the current term reported
   * the end of its log at least `kCrashedMemberTimeout`
   * (`kLeavingMemberTimeout` for a member that had announced its shutdown)
   * after `UnlistedAndFailingSince`, and `aPoint` is not behind that end. A
   * shorter absence may be due to this host's own network.
   */
  bool CoversCommitsOf(UpstreamIndex aUpstream, const LogPoint& aPoint) const;

  /** A commit was sent; it was answered, or its connection was lost. */
  void CommitSent(ConnectionId aConnection, Time aNow);
  void CommitEnded(ConnectionId aConnection);

  /**
   * How long the oldest unanswered commit has waited, counted from the last
   * acknowledged commit if that is later.
   */
  Duration CommitStall(Time aNow) const;

  /**
   * For how long a log end that the primary has reported has been missing from
   * all members that can be asked. It needs no commits of this host.
   */
  Duration ReplicationStall(Time aNow) const;

  /** Whether the primary has reported a log end that no member has yet. */
  bool HasUnconfirmedLogEnd() const
  {
    return this->unconfirmedLogEnd.has_value();
  }

  /**
   * The upstream refused a write as read-only, or reports another role: it is
   * not the primary any more.
   */
  void NoteNoLongerPrimary(UpstreamIndex aUpstream);

  /** An upstream of any service answered a request sent at `aAsked`. */
  void NotePathWorks(Time aAsked);

  /** A connection or a status request to the upstream is being sent. */
  void NoteAttempt(UpstreamIndex aUpstream, Time aNow);

  /**
   * Whether the upstream is `IsFailingLong` and did not answer an attempt that
   * was made while other upstreams answered this host. A host that is
   * partitioned or overloaded gets no answers at all and cannot tell which
   * upstream is down.
   */
  bool IsSilent(UpstreamIndex aUpstream, Time aNow) const;

  /** The upstream answered, so it is not failing. */
  void Answered(UpstreamIndex aUpstream, Time aNow);

  /** An attempt to reach the upstream failed. */
  void Failed(UpstreamIndex aUpstream, Time aNow);

  /** The known primary, even if statements may not be sent to it yet. */
  std::optional<UpstreamIndex> Primary() const { return this->primary; }
  Term CurrentTerm() const { return this->term; }

  /** Whether new work may be sent to the upstream, a replica. */
  bool IsUsable(UpstreamIndex aUpstream, Time aNow) const;
  bool IsPrimaryUsable(Time aNow) const;

  /**
   * Whether the known primary may get no more work because it leaves or has
   * left; see `Departures::MayTakeNewWork`.
   */
  bool HasPrimaryLeft(Time aNow) const;

  /** From when on the known primary may be used, as far as its term goes. */
  Time PrimaryUsableFrom() const
  {
    return this->primary ? this->primaryUsableFrom : kInfiniteFuture;
  }

  /**
   * Whether it is proved that the primary was still the primary at `aTime`: no
   * newer primary had acknowledged anything before then. A proof is valid for
   * `kPrimaryProofValidity` only if promoters know of this host, so that they
   * fence it or wait for it; else it says nothing of the time since it was
   * requested. Nothing is proved of the time since this host has replied to a
   * fence.
   */
  bool IsPrimaryProvedAt(Time aTime, Time aNow) const;

  /** When the request that gave the newest proof was sent. */
  Time NewestProofAsked() const { return this->newestProofAsked; }

  /**
   * Whether no promotion to `aTerm` has taken effect: every member has reported
   * a term below `aTerm` in a report that was requested at `aSince` or later.
   * Members that have been unlisted and failing for `kCrashedMemberTimeout` are
   * left out.
   */
  bool IsTermUnused(Term aTerm, Time aSince, Time aNow) const;

  /**
   * Requests a new report of each upstream whose last report was requested
   * before `aTime`.
   */
  void RequestReportsSince(Time aTime);

  /** Whoever had confirmed commits by then is listed, if it runs. */
  Time ListedUntil() const { return this->unsettledSamples.ListedUntil(); }

  /** A log point that covers all commits acknowledged before `aTime`. */
  std::optional<FreshnessSample> PointSince(Time aTime) const
  {
    return this->samples.OldestSince(aTime);
  }

  /** Whether a sample of that time is known, but not settled yet. */
  bool HasUnsettledSince(Time aTime) const
  {
    return this->unsettledSamples.HasSince(aTime);
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
  /** The end of the primary's log, requested at `asked`. */
  struct Sample
  {
    Time asked;
    LogPoint point;
  };

  void SetPrimary(UpstreamIndex aUpstream, Term aTerm, Time aNow);

  /** Whether the upstream is unlisted or failing, each for any time. */
  bool IsUnlistedOrFailing(UpstreamIndex aUpstream) const;
  void StartTerm(Term aTerm);
  bool MayHaveLostFence(Time aNow) const;
  bool IsTermOpen(Term aTerm, Time aNow) const;
  bool IsKnownToPromoters(Time aNow) const;
  void NoteNotHeld(UpstreamIndex aUpstream, Time aAsked, Time aNow);
  void ApplyProof(Time aAsked, Time aNow);
  void PublishProvedSamples(Time aNow);
  void NoteLogEnd(const LogPoint& aEnd, Time aAsked);
  void SampleAllButOne(Time aNow);
  std::vector<bool> MembersAt(Time aNow) const;
  void TakeBackSamplesIfAdded(const std::vector<bool>& aBefore, Time aNow);
  void NoteCompleteLogs(Time aNow);
  void RequestReportIfUnverified(UpstreamIndex aUpstream);
  std::optional<UpstreamIndex> Find(const std::string& aId) const;

  UpstreamIndex Add(const RegisteredUpstream& aRegistration);
  void NoteReplacements();

  std::vector<ProxyUpstream> upstreams;
  GroupMembership members;
  Departures departures;
  CommitFence fence;
  RegistrationSpan registration;    // of this host
  Time storeSeenAt = kInfinitePast; // the store was read then or later
  Time storeFirstSeenAt = kInfiniteFuture;
  // When the newest report of a recorded replica that is not held was
  // requested.
  Time memberProofAsked = kInfinitePast;
  bool hasRegistry = false;
  bool requiresReplicaConfirmation = false;
  std::optional<UpstreamIndex> primary;
  Term term = 0;
  // The newest term whose primary has been seen. Statements may be sent to that
  // primary from `primaryUsableFrom`.
  Term lastPrimaryTerm = 0;
  Term fencedTerm = 0; // the newest that began while all hosts were fenced
  Time primaryUsableFrom = kInfiniteFuture;
  Time newestProofAsked = kInfinitePast;
  // When each commit that has no answer yet was sent.
  std::map<ConnectionId, Time> unansweredCommits;
  Time lastAcknowledged = kInfinitePast; // when a commit was last acknowledged
  // When the newest request that an upstream of any service answered was sent.
  Time pathWorkedAt = kInfinitePast;
  // The oldest end of the primary's log that no other member has reported.
  std::optional<ObservedLogEnd> unconfirmedLogEnd;
  std::optional<LogPoint> firstLogEnd; // that it reported in the current term
  LogPoint highestAcknowledged;
  ObservedLogEnd primaryLogEnd;
  // Samples of the current term, oldest first, for which it is not proved yet
  // that `primary` was the primary at that time.
  std::deque<Sample> unprovedSamples;
  UnsettledSamples unsettledSamples;
  FreshnessTracker samples;
};

} // namespace marigoldpitch

#endif
