#ifndef MARIGOLDPITCH_COORDINATION_PROXY_PROMOTION_H
#define MARIGOLDPITCH_COORDINATION_PROXY_PROMOTION_H

#include "marigoldpitch/coordination/proxy/fencing-round.h"
#include "marigoldpitch/coordination/proxy/service-view.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

/** Failover: replaces a primary without losing acknowledged commits. */
namespace marigoldpitch {

/**
 * How long after it was sent a promotion order is expected to take effect, even
 * if the platform's answer to it was lost. Hosts stay fenced for longer.
 */
constexpr Duration kOrderExpiry = Millis(1200);

/**
 * How often the held replicas and the candidate are asked for a report until a
 * promotion has taken effect.
 */
constexpr Duration kHoldCheckInterval = Millis(50);

enum class PromotionPhase
{
  Idle,
  Holding,    // replicas are told to accept no more log from the old primary
  Verifying,  // each held replica is asked whether it is still held
  CatchingUp, // the candidate must receive all that the held replicas have
  Fencing,    // all hosts must stop acknowledging commits of the old primary
  Ordering,   // the platform is asked to promote the candidate
  Confirming, // waits until the candidate reports that it is the primary
};

constexpr NameTable<PromotionPhase, 7> kPromotionPhaseNames{ {
  { PromotionPhase::Idle, "idle" },
  { PromotionPhase::Holding, "holding" },
  { PromotionPhase::Verifying, "verifying" },
  { PromotionPhase::CatchingUp, "catching-up" },
  { PromotionPhase::Fencing, "fencing" },
  { PromotionPhase::Ordering, "ordering" },
  { PromotionPhase::Confirming, "confirming" },
} };

enum class PromotionReason
{
  PrimaryLeaving,
  PrimaryUnlisted, // it may still answer
  PrimarySilent,
  PrimaryUnknown,
  CommitsStalled, // no replica confirms the primary's commits
};

constexpr NameTable<PromotionReason, 5> kPromotionReasonNames{ {
  { PromotionReason::PrimaryLeaving, "primary-leaving" },
  { PromotionReason::PrimaryUnlisted, "primary-unlisted" },
  { PromotionReason::PrimarySilent, "primary-silent" },
  { PromotionReason::PrimaryUnknown, "primary-unknown" },
  { PromotionReason::CommitsStalled, "commits-stalled" },
} };

/** How a promotion attempt ended. */
enum class PromotionOutcome
{
  None,           // the attempt is still running
  Succeeded,      // the candidate reports that it is the primary
  NotNeeded,      // the reason for the promotion has passed
  CommitsMissing, // no log is known to contain every acknowledged commit
  NoCandidate,    // no replica is held
  LeaseLost,      // this host may not order promotions any more
  TimedOut,       // the whole attempt took too long
};

constexpr NameTable<PromotionOutcome, 7> kPromotionOutcomeNames{ {
  { PromotionOutcome::None, "none" },
  { PromotionOutcome::Succeeded, "led" },
  { PromotionOutcome::NotNeeded, "needless" },
  { PromotionOutcome::CommitsMissing, "lacking" },
  { PromotionOutcome::NoCandidate, "no-candidate" },
  { PromotionOutcome::LeaseLost, "not-ours" },
  { PromotionOutcome::TimedOut, "overdue" },
} };

/**
 * A status request, or a command of the promoter, for an upstream. The promoter
 * is the host that may order promotions.
 */
struct UpstreamCommand
{
  UpstreamIndex upstream = 0;
  StatementKind kind = StatementKind::Status;
  Term term = 0;
};

/** Asks the platform to make the upstream the primary. */
struct OrderPromotion
{
  UpstreamIndex upstream = 0;
};

/** How the promoter learned that a replica may not be held any more. */
enum class HoldLoss
{
  Reported,    // the replica reports that it is not held
  Unreachable, // it cannot be reached, so it may restart
};

constexpr NameTable<HoldLoss, 2> kHoldLossNames{ {
  { HoldLoss::Reported, "reported" },
  { HoldLoss::Unreachable, "unreachable" },
} };

/**
 * The candidate is resumed after the order, because an upstream that was held
 * may confirm commits again.
 */
struct CandidateReleased
{
  UpstreamIndex candidate = 0;
  UpstreamIndex upstream = 0; // whose hold is lost; may be the candidate
  HoldLoss loss = HoldLoss::Reported;
};

using PromotionAction =
  std::variant<UpstreamCommand, OrderPromotion, CandidateReleased, FenceHost>;
using PromotionActions = std::vector<PromotionAction>;

/** A replica that is held for a promotion, as it last reported. */
struct HeldReplica
{
  LogPoint logEnd;
  Time asked = kInfinitePast; // when the report was requested
  bool isVerified = false;    // it has reported since all were held
};

/**
 * Runs one promotion at a time for one service. Takes the time, the service's
 * view and a report or an answer, and returns the actions to perform.
 *
 * A promotion first holds the replicas: a held replica accepts no more log from
 * a primary of a lower term and confirms none of its commits. The candidate is
 * then the held replica with the longest log, and the promotion is ordered only
 * if `ContainsAllCommits` is true for that log.
 *
 * If the old primary has announced its shutdown, the candidate is chosen first
 * and is the only replica that is not held. The old primary keeps acknowledging
 * commits that the candidate confirms, so the candidate's log contains each of
 * them.
 *
 * Upstreams that this host does not know yet may confirm commits as well. So
 * before the order all hosts are fenced: none of them acknowledges commits of
 * the old primary to its callers any more, and the candidate's log must reach
 * the highest commit that one of them has acknowledged. Hosts stay fenced until
 * the promotion has taken effect; if none was ordered, the fences are reopened.
 *
 * A replica that restarts is not held any more. So before the order all held
 * replicas must report once more that they are held. From then on they are
 * asked again and again until the promotion has taken effect, since an order
 * cannot be taken back. When a hold is lost, or a held replica cannot be
 * reached and so may restart, the candidate is resumed: it then receives
 * whatever the old primary acknowledges until the promotion takes effect. A
 * replica that has lost its hold is held again.
 */
class Promotion
{
public:
  bool IsRunning() const { return this->phase != PromotionPhase::Idle; }
  PromotionPhase Phase() const { return this->phase; }
  PromotionReason Reason() const { return this->reason; }
  PromotionOutcome Outcome() const { return this->outcome; }

  /** When the last order of this host can no longer take effect. */
  Time LastOrderExpiresAt() const;

  const FencingRound& Fencing() const { return this->fencing; }

  /** The held replicas. */
  const std::map<UpstreamIndex, HeldReplica>& Held() const
  {
    return this->held;
  }

  /**
   * Starts or continues a promotion; called periodically. A running attempt is
   * aborted if `aMayPromote` is false, that is if this host may not order
   * promotions any more, unless the platform has accepted the order already.
   */
  PromotionActions Update(const ServiceView& aView,
                          const HostRoster& aHosts,
                          bool aMayPromote,
                          Time aNow);

  /** Applies an upstream's report. */
  PromotionActions Answered(const ServiceView& aView,
                            const HostRoster& aHosts,
                            UpstreamIndex aUpstream,
                            const UpstreamReport& aReport,
                            Time aNow);

  /** Applies a host's reply to a request to fence a term. */
  PromotionActions FenceReplied(const ServiceView& aView,
                                const HostRoster& aHosts,
                                const std::string& aHost,
                                const FenceReply& aReply,
                                Time aNow);

  /** The platform accepted the order, or refused the upstream. */
  void OrderAnswered(bool aIsAccepted, Time aNow);

private:
  std::optional<PromotionReason> FindReason(const ServiceView& aView,
                                            Time aNow) const;
  static bool HaveAllReportedOrFailed(const ServiceView& aView, Time aNow);
  bool IsNoLongerNeeded(const ServiceView& aView, Time aNow) const;
  void Start(const ServiceView& aView, PromotionReason aReason, Time aNow);
  void RequestHolds(const ServiceView& aView,
                    PromotionActions& aActions,
                    Time aNow);
  void StartVerifying(Time aNow);
  void StartFencing(Time aNow);
  void DropFences(bool aMayPromote, Time aNow);
  void AnnounceTerm(const ServiceView& aView, bool aMayPromote, Time aNow);
  void RequestFences(const HostRoster& aHosts,
                     PromotionActions& aActions,
                     Time aNow);
  void RequestHeldReports(const ServiceView& aView,
                          PromotionActions& aActions,
                          Time aNow);
  void NoteHold(const ServiceView& aView,
                UpstreamIndex aUpstream,
                const UpstreamReport& aReport,
                PromotionActions& aActions,
                Time aNow);
  bool AreHoldsVerified(const ServiceView& aView, Time aNow) const;
  std::optional<UpstreamIndex> FindDoubtfulHold(const ServiceView& aView) const;
  void ReleaseCandidate(UpstreamIndex aUpstream,
                        HoldLoss aLoss,
                        PromotionActions& aActions,
                        Time aNow);
  void ResumeCandidate(PromotionActions& aActions, Time aNow);
  void Enter(PromotionPhase aPhase, Time aNow);

  /** Whether this attempt has begun to close the fences. */
  bool IsFencing() const
  {
    return this->fencing.IsClosing() &&
           this->fencing.Since() >= this->startedAt;
  }

  /** Whether the attempt has got as far as the order. */
  bool IsOrdered() const
  {
    return this->phase == PromotionPhase::Ordering ||
           this->phase == PromotionPhase::Confirming;
  }
  void Advance(const ServiceView& aView,
               const HostRoster& aHosts,
               PromotionActions& aActions,
               Time aNow);
  void AdvanceFencing(const ServiceView& aView,
                      const HostRoster& aHosts,
                      PromotionActions& aActions,
                      Time aNow);
  void AdvanceVerifying(const ServiceView& aView,
                        PromotionActions& aActions,
                        Time aNow);
  void AdvanceCatchingUp(const ServiceView& aView,
                         const HostRoster& aHosts,
                         PromotionActions& aActions,
                         Time aNow);
  void AdvanceOrdered(const ServiceView& aView,
                      const HostRoster& aHosts,
                      PromotionActions& aActions,
                      Time aNow);
  void Abort(PromotionOutcome aOutcome, PromotionActions& aActions, Time aNow);
  void Finish(const ServiceView& aView,
              const HostRoster& aHosts,
              PromotionActions& aActions,
              Time aNow);
  bool MustBeHeld(const ServiceView& aView,
                  UpstreamIndex aUpstream,
                  Time aNow) const;
  bool AreAllHeld(const ServiceView& aView, Time aNow) const;
  bool ContainsAllCommits(const ServiceView& aView,
                          const LogPoint& aPoint,
                          Time aNow) const;
  LogPoint LongestHeldLogEnd() const;
  void ChooseLongestLog(const ServiceView& aView);
  static bool IsLessPreferred(const ServiceView& aView,
                              UpstreamIndex aUpstream);
  static std::optional<UpstreamIndex> BestReplica(const ServiceView& aView,
                                                  Time aNow);

  PromotionPhase phase = PromotionPhase::Idle;
  PromotionReason reason = PromotionReason::PrimarySilent;
  PromotionOutcome outcome = PromotionOutcome::None; // of the last attempt
  Term term = 0;                                     // of the new primary
  std::optional<UpstreamIndex> oldPrimary; // the old primary, if known
  // Chosen before the holds if the old primary has announced its shutdown, else
  // by the reports of the held replicas.
  std::optional<UpstreamIndex> candidate;
  bool holdsCandidate = true; // whether the candidate is held as well
  // When the candidate, which was held, was released; set until it reports that
  // it is not held any more.
  std::optional<Time> candidateReleasedAt;
  FencingRound fencing;
  std::map<UpstreamIndex, HeldReplica> held;
  std::map<UpstreamIndex, Time> lastAskedAt; // time of the last command to each
  std::set<UpstreamIndex> unheldAtStart;     // not held when the attempt began
  Time phaseSince = kInfinitePast;
  Time startedAt = kInfinitePast;
  Time lastOrder = kInfinitePast;
  Time nextOrder = kInfinitePast;
  Time nextAttempt = kInfinitePast;
  Time primaryUnknownSince = kInfiniteFuture; // since when no primary is known
};

} // namespace marigoldpitch

#endif
