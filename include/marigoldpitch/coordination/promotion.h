#ifndef MARIGOLDPITCH_COORDINATION_PROMOTION_H
#define MARIGOLDPITCH_COORDINATION_PROMOTION_H

#include "marigoldpitch/coordination/service-view.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

/** Replacing the primary of a service without losing what it acknowledged. */
namespace marigoldpitch {

/** Until an order whose call was given up has taken effect, or never will. */
constexpr Duration kOrderSpan = Millis(1200);

enum class PromotionPhase
{
  Idle,
  Holding,    // replicas are told to receive nothing more
  CatchingUp, // the candidate must hold all that the held ones hold
  Ordering,   // the platform is asked to promote
  Confirming, // until the candidate says that it leads
};

constexpr NameTable<PromotionPhase, 5> kPromotionPhaseNames{ {
  { PromotionPhase::Idle, "idle" },
  { PromotionPhase::Holding, "holding" },
  { PromotionPhase::CatchingUp, "catching-up" },
  { PromotionPhase::Ordering, "ordering" },
  { PromotionPhase::Confirming, "confirming" },
} };

enum class PromotionReason
{
  PrimaryLeaving,
  PrimarySilent,
  PrimaryUnknown,
  CommitsStalled, // no replica confirms what the primary commits
};

constexpr NameTable<PromotionReason, 4> kPromotionReasonNames{ {
  { PromotionReason::PrimaryLeaving, "primary-leaving" },
  { PromotionReason::PrimarySilent, "primary-silent" },
  { PromotionReason::PrimaryUnknown, "primary-unknown" },
  { PromotionReason::CommitsStalled, "commits-stalled" },
} };

/** How an attempt ended. */
enum class PromotionOutcome
{
  None, // it has not ended
  Led,  // the candidate says that it leads
  Needless,
  Lacking, // no log is known to hold all that was acknowledged
  NoCandidate,
  NotOurs, // this host may not act any more
  Overdue,
};

constexpr NameTable<PromotionOutcome, 7> kPromotionOutcomeNames{ {
  { PromotionOutcome::None, "none" },
  { PromotionOutcome::Led, "led" },
  { PromotionOutcome::Needless, "needless" },
  { PromotionOutcome::Lacking, "lacking" },
  { PromotionOutcome::NoCandidate, "no-candidate" },
  { PromotionOutcome::NotOurs, "not-ours" },
  { PromotionOutcome::Overdue, "overdue" },
} };

/** A statement of the promoter's own for an upstream. */
struct AskUpstream
{
  UpstreamIndex upstream = 0;
  StatementKind kind = StatementKind::Status;
  Term term = 0;
};

/** The call that makes the upstream the primary. */
struct OrderPromotion
{
  UpstreamIndex upstream = 0;
};

using PromotionStep = std::variant<AskUpstream, OrderPromotion>;
using PromotionSteps = std::vector<PromotionStep>;

/**
 * One promotion at a time for one service: (now, event) in, steps out.
 *
 * A primary that leaves keeps acknowledging through the candidate, the only
 * replica that is not held; so whatever it acknowledges, the candidate holds.
 */
class Promotion
{
public:
  bool IsRunning() const { return this->phase != PromotionPhase::Idle; }
  PromotionPhase Phase() const { return this->phase; }
  PromotionReason Reason() const { return this->reason; }
  PromotionOutcome Outcome() const { return this->outcome; }

  /** From when on no order of ours may take effect any more. */
  Time OrdersOverAt() const;

  /** Where the logs of the held replicas end. */
  const std::map<UpstreamIndex, LogPoint>& Held() const { return this->held; }

  /** Called regularly while this host may act; `aMayAct` false gives up. */
  PromotionSteps Step(const ServiceView& aView, bool aMayAct, Time aNow);

  /** An upstream answered one of our questions. */
  PromotionSteps Answered(const ServiceView& aView,
                          UpstreamIndex aUpstream,
                          const UpstreamReport& aReport,
                          Time aNow);

  /** The platform answered the order; false when it refused the upstream. */
  void Ordered(bool aTaken, Time aNow);

private:
  std::optional<PromotionReason> Need(const ServiceView& aView,
                                      Time aNow) const;
  static bool IsEveryoneHeardOrLost(const ServiceView& aView, Time aNow);
  bool IsNeedless(const ServiceView& aView, Time aNow) const;
  void Start(const ServiceView& aView, PromotionReason aReason, Time aNow);
  void AskHolds(const ServiceView& aView, PromotionSteps& aSteps, Time aNow);
  void Advance(const ServiceView& aView, PromotionSteps& aSteps, Time aNow);
  void GiveUp(PromotionOutcome aOutcome, PromotionSteps& aSteps, Time aNow);
  void Finish(const ServiceView& aView, PromotionSteps& aSteps, Time aNow);
  bool MustBeHeld(const ServiceView& aView,
                  UpstreamIndex aUpstream,
                  Time aNow) const;
  bool IsEveryoneHeld(const ServiceView& aView, Time aNow) const;
  bool HoldsAllCommits(const ServiceView& aView,
                       const LogPoint& aPoint,
                       Time aNow) const;
  LogPoint HighestHeld() const;
  void ChooseHighest(const ServiceView& aView);
  static bool IsWorse(const ServiceView& aView, UpstreamIndex aUpstream);
  static std::optional<UpstreamIndex> BestReplica(const ServiceView& aView,
                                                  Time aNow);

  PromotionPhase phase = PromotionPhase::Idle;
  PromotionReason reason = PromotionReason::PrimarySilent;
  PromotionOutcome outcome = PromotionOutcome::None; // of the last attempt
  Term term = 0;                                     // of the new primary
  std::optional<UpstreamIndex> replaced;
  std::optional<UpstreamIndex> candidate; // chosen before the holds, or by them
  bool holdsCandidate = true;
  std::map<UpstreamIndex, LogPoint> held;
  std::map<UpstreamIndex, Time> asked;
  std::set<UpstreamIndex> wasFree; // not held when the attempt began
  Time phaseSince = kLongAgo;
  Time startedAt = kLongAgo;
  Time lastOrder = kLongAgo;
  Time nextOrder = kLongAgo;
  Time nextAttempt = kLongAgo;
  Time unknownSince = kNever;
};

} // namespace marigoldpitch

#endif
