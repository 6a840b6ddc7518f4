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

/** What one proxy knows of a service's upstreams. */
namespace marigoldpitch {

/** How long a replica's word that a primary leads may be relied on. */
constexpr Duration kLeadershipSpan = Millis(500);

/** How long an upstream answers nothing until it counts as lost. */
constexpr Duration kSilence = Millis(400);

/** How long one that crashed must be gone until it is not expected back. */
constexpr Duration kGoneForGood = Seconds(10);

/** The same of one that had said that it leaves. */
constexpr Duration kGoneLeaving = Seconds(3);

/** A log's end, and when it was asked for. */
struct SeenEnd
{
  Time asked = kLongAgo;
  LogPoint point;
};

struct ProxyUpstream
{
  RegisteredUpstream entry;
  std::optional<UpstreamReport> report;
  Time reportAsked = kLongAgo; // when the question was sent
  bool askWanted = true;
  bool askOpen = false;
  Time lastAsked = kLongAgo;
  Time lastAnswer = kLongAgo;
  uint32_t failures = 0; // since the last answer
  Time failingSince = kNever;
  Time triedInVain = kNever; // since then, while the way out worked
  Time avoidUntil = kLongAgo;
  Time fullUntil = kLongAgo; // it takes no more connections
  LogPoint behind;           // a point that it lacked
  Time behindUntil = kLongAgo;
  double lagMs = 20; // how long it lacked such points
  double latencyMs = 10;
  double leastMs = 1000; // the least that `latencyMs` was of late
  double window = 0; // questions it takes at once from this host; 0: not known
  Time busyUntil = kLongAgo;
};

/**
 * Upstreams, the primary, the proof that it leads, and the log points that a
 * primary had at known times.
 *
 * Times count pauses of the host.
 */
class ServiceView
{
public:
  /** Takes the whole registry of the service; returns the new upstreams. */
  size_t List(const std::vector<RegisteredUpstream>& aEntries, Time aNow);

  /** Takes the store's record of the group; returns the new upstreams. */
  size_t TakeRecord(const GroupRecord& aRecord, Time aNow);

  /** Whether a commit is acknowledged only once a replica holds it. */
  void SetConfirmedByReplica(bool aIsConfirmed)
  {
    this->isConfirmedByReplica = aIsConfirmed;
  }

  const GroupMembership& Members() const { return this->members; }

  void Learn(UpstreamIndex aUpstream,
             const UpstreamReport& aReport,
             Time aAsked,
             Time aNow);

  /** The end of an upstream's log, as of an answer to a question. */
  void Saw(UpstreamIndex aUpstream, const LogPoint& aEnd, Time aAsked);

  /** The primary had a replica confirm a commit that was sent at `aAsked`. */
  void Confirmed(UpstreamIndex aUpstream,
                 const LogPoint& aEnd,
                 Time aAsked,
                 Time aNow);

  /** The highest end of a log that an acknowledgement came with. */
  const LogPoint& HighestConfirmed() const { return this->highestConfirmed; }

  /** The newest word of the present primary about its log. */
  const SeenEnd& PrimaryEnd() const { return this->primaryEnd; }

  /** Whether nothing is heard from it over any connection. */
  bool IsUnheard(UpstreamIndex aUpstream, Time aNow) const;

  /** The same of one that is not listed either. */
  bool IsMissing(UpstreamIndex aUpstream, Time aNow) const;

  /** Since when it is neither listed nor heard; `kNever` if it is either. */
  Time GoneSince(UpstreamIndex aUpstream) const;

  /**
   * Whether a log that ends there has all that a missing member may have
   * confirmed: the primary spoke of its own log long after it was gone. Shorter
   * silence may be this host's alone.
   */
  bool IsMadeGood(UpstreamIndex aUpstream, const LogPoint& aPoint) const;

  /** A commit was sent, or is not waited for any more. */
  void CommitSent(ConnectionId aConnection, Time aNow);
  void CommitEnded(ConnectionId aConnection);

  /** How long commits have been waiting with none acknowledged. */
  Duration CommitStall(Time aNow) const;

  /** The upstream refused what only a primary does. */
  void LostLead(UpstreamIndex aUpstream);

  /** Some upstream, of whatever service, answered what was sent then. */
  void PathProved(Time aAsked);

  /** Another attempt at the upstream begins. */
  void Tried(UpstreamIndex aUpstream, Time aNow);

  /**
   * Whether the upstream answers nothing while others do. A host that is cut
   * off or choked hears from nobody, and cannot tell who is lost.
   */
  bool IsSilent(UpstreamIndex aUpstream, Time aNow) const;

  void Answered(UpstreamIndex aUpstream, Time aNow);
  void Failed(UpstreamIndex aUpstream, Time aNow);

  /** The known primary, whether or not it may be used yet. */
  std::optional<UpstreamIndex> Primary() const { return this->primary; }
  Term CurrentTerm() const { return this->term; }

  /** Whether new work may be sent to the upstream. */
  bool IsUsable(UpstreamIndex aUpstream, Time aNow) const;
  bool IsPrimaryUsable(Time aNow) const;

  /** Whether no other primary had acknowledged anything before `aTime`. */
  bool IsLeaderProvedAt(Time aTime) const
  {
    return this->term != 0 && this->provedAsked + kLeadershipSpan > aTime;
  }
  Time ProvedAsked() const { return this->provedAsked; }

  /**
   * Whether every member that is not gone for good, asked since `aSince`,
   * stated a term below `aTerm`: no promotion to it has taken effect.
   */
  bool IsTermUnused(Term aTerm, Time aSince, Time aNow) const;

  /** Asks all again if too few were asked since `aTime` for a point. */
  void WantPointSince(Time aTime);

  /** A point that covers all that was acknowledged before `aTime`. */
  std::optional<FreshPoint> PointSince(Time aTime) const
  {
    return this->samples.OldestSince(aTime);
  }

  /** Ask every upstream again: the primary is not known for sure. */
  void AskAll();

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
  void NoteSuccessors();

  std::vector<ProxyUpstream> upstreams;
  GroupMembership members;
  bool isConfirmedByReplica = false;
  std::optional<UpstreamIndex> primary;
  Term term = 0;
  Term usableTerm = 0; // whose primary may be used from `usableFrom`
  Time usableFrom = kNever;
  Time allHeldSince = kNever; // no replica vouches for `term` after this
  Time provedAsked = kLongAgo;
  std::map<ConnectionId, Time> openCommits; // when they were sent
  Time lastConfirmed = kLongAgo;
  Time pathProved = kLongAgo;
  LogPoint highestConfirmed;
  SeenEnd primaryEnd;
  std::deque<Sample> unproved; // of the present term, oldest first
  FreshnessTracker samples;
};

} // namespace marigoldpitch

#endif
