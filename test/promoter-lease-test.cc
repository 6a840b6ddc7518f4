#include "marigoldpitch/coordination/proxy/host-registration.h"
#include "marigoldpitch/coordination/proxy/promoter-lease.h"
#include "marigoldpitch/coordination/proxy/promoter-records.h"

#include <criterion/criterion.h>

// Who holds the promoter lease, and when its holder may act.

using namespace marigoldpitch;

namespace {

constexpr Duration kStep = Millis(100);
// An order of a former holder may be in flight for this long.
constexpr Duration kMaxCallTime = Millis(500);
constexpr StorePosition kFormerToken{ 1, 7 };
constexpr StorePosition kNewToken{ 1, 9 };

/** Answers the lease's checks with `aPosition`, for one step. */
void
Step(PromoterLease& aLease, const StorePosition& aPosition, Time aNow)
{
  if (aLease.Next(aNow) == PromoterLeaseAction::Check) {
    aLease.Handle(LeaseChecked{ aPosition, aNow }, aNow);
  }
}

/** A lease that its host has taken at `aNow`, with nobody to wait for. */
PromoterLease
TakenLease(const StorePosition& aToken, Time aNow)
{
  PromoterLease lease;
  lease.Handle(LeaseObserved{ false }, aNow);
  lease.Next(aNow);
  lease.Handle(LeaseTaken{ aToken, true }, aNow);
  return lease;
}

/**
 * A holder is lost together with the store when its key is about to expire. Its
 * successor first sees the key missing `aMissed` later, and takes the lease
 * after `aDelay`.
 */
struct Handover
{
  Duration missed;
  Duration delay;
};

/** When the successor may promote, from the removal of the former one's key. */
Duration
TimeUntilSuccessorActs(const Handover& aHandover)
{
  Time removed{ 100000 };
  PromoterLease lease;
  lease.Handle(LeaseObserved{ true }, removed - Seconds(1));
  for (Time now = removed + aHandover.missed;; now = now + kStep) {
    if (!lease.IsTaken()) {
      lease.Handle(LeaseObserved{ false, { 1, 1 }, aHandover.delay }, now);
      if (lease.Next(now) == PromoterLeaseAction::Take) {
        lease.Handle(LeaseTaken{ kNewToken, false }, now);
      }
    } else {
      Step(lease, kNewToken, now);
    }
    if (lease.MayPromote(now)) {
      return now - removed;
    }
  }
}

} // namespace

// Guards against two holders: one acts while orders of another may be in
// flight.
Test(lease, new_holder_does_not_act_before_the_former_one_has_stopped)
{
  for (Duration missed : { Millis(0), Millis(400), Millis(1000) }) {
    for (Duration delay : { Millis(0), Millis(600), Millis(2400) }) {
      for (Duration run = Seconds(8); run < Seconds(10); run = run + kStep) {
        Time start{ 1000 };
        Time removed = start + run;
        PromoterLease former = TakenLease(kFormerToken, start);
        Time stopped = start;
        for (Time now = start; now < removed + Seconds(20); now = now + kStep) {
          if (now <= removed) {
            Step(former, kFormerToken, now);
          }
          stopped = former.MayPromote(now) ? now : stopped;
        }
        Time acts = removed + TimeUntilSuccessorActs({ missed, delay });
        cr_assert(acts > stopped + kMaxCallTime);
      }
    }
  }
}

// Guards against statements to a leaving primary, or no primary at all, because
// the holder was lost just when the primary announced its departure.
Test(lease, successor_of_a_lost_holder_acts_within_the_drain_time)
{
  constexpr Duration kDrainTime = Seconds(7);
  // Replicas are held, and the new primary leads.
  constexpr Duration kPromotionTime = Millis(700);
  constexpr Duration kKeyLifetime = Seconds(2);
  for (Duration missed : { Millis(0), Millis(400), Millis(1000) }) {
    for (Duration delay : { Millis(0), Millis(600), Millis(2400) }) {
      Duration acts = kKeyLifetime + TimeUntilSuccessorActs({ missed, delay });
      cr_assert_lt((acts + kPromotionTime).ms, kDrainTime.ms);
    }
  }
}

Test(lease, holder_that_changed_meanwhile_is_waited_for_anew)
{
  PromoterLease lease;
  Time now{ 1000 };
  lease.Handle(LeaseObserved{ false, { 1, 1 }, Seconds(5) }, now);
  now = now + Seconds(5);
  // Another host has taken and lost the lease since the last read.
  lease.Handle(LeaseObserved{ false, { 1, 2 } }, now);
  cr_assert(lease.Next(now) == PromoterLeaseAction::Take);
  lease.Handle(LeaseTaken{ kNewToken, false }, now);
  Step(lease, kNewToken, now);
  now = now + Seconds(2);
  Step(lease, kNewToken, now);
  cr_assert_not(lease.MayPromote(now));
}

Test(lease, wait_ends_when_the_former_holder_turns_out_to_have_ended)
{
  PromoterLease lease;
  Time now{ 1000 };
  lease.Handle(LeaseObserved{ false }, now);
  lease.Next(now);
  lease.Handle(LeaseTaken{ kNewToken, false }, now);
  Step(lease, kNewToken, now);
  lease.Handle(FormerHolderEnded{}, now);
  cr_assert_not(lease.MayPromote(now + kMaxCallTime - kStep));
  Step(lease, kNewToken, now + kMaxCallTime);
  cr_assert(lease.MayPromote(now + kMaxCallTime));
}

Test(lease, former_holder_that_has_ended_is_not_waited_for)
{
  PromoterLease lease;
  Time now{ 1000 };
  lease.Handle(LeaseObserved{ false }, now);
  lease.Next(now);
  lease.Handle(LeaseTaken{ kFormerToken, true }, now);
  now = now + Millis(600);
  lease.Handle(LeaseChecked{ kFormerToken, now }, now);
  cr_assert(lease.MayPromote(now));
}

Test(lease, paused_holder_may_not_promote)
{
  PromoterLease lease;
  Time now{ 1000 };
  lease.Handle(LeaseObserved{ false }, now);
  lease.Next(now);
  lease.Handle(LeaseTaken{ kFormerToken, true }, now);
  now = now + Seconds(1);
  lease.Handle(LeaseChecked{ kFormerToken, now }, now);
  cr_assert(lease.MayPromote(now));
  // The clock includes the pause, in which the key was not checked.
  cr_assert_not(lease.MayPromote(now + Seconds(7)));
  // A check that was sent before the pause proves nothing after it.
  lease.Handle(LeaseChecked{ kFormerToken, now }, now + Seconds(7));
  cr_assert_not(lease.MayPromote(now + Seconds(7)));
}

Test(lease, lease_ends_when_its_key_is_gone)
{
  PromoterLease lease;
  Time now{ 1000 };
  lease.Handle(LeaseObserved{ false }, now);
  lease.Next(now);
  lease.Handle(LeaseTaken{ kFormerToken, true }, now);
  now = now + Seconds(1);
  lease.Handle(LeaseChecked{ kFormerToken, now }, now);
  lease.Handle(LeaseChecked{ {}, now }, now);
  cr_assert_not(lease.MayPromote(now));
  cr_assert_not(lease.IsTaken());
}

namespace {

/** The hosts as read from the store after the run `aRun` took the lease. */
ProxyHosts
HostsAfter(FormerHolders aFormerHolders, const std::string& aRun)
{
  ProxyHosts hosts;
  hosts.hosts = { { "front-1", "z", "front-1/b", {} },
                  { "front-2", "z", "front-2/a", {} } };
  hosts.lastHolder = FormatLastHolder({ 1, aFormerHolders, aRun });
  return hosts;
}

} // namespace

Test(lease, holder_that_ended_while_unsettled_shortens_no_wait)
{
  // The process of front-1 has restarted since, that of front-2 has not.
  auto settled = HostsAfter(FormerHolders::Ended, "front-1/a");
  cr_assert(HaveFormerHoldersEnded(settled, "front-3/a"));
  auto unsettled = HostsAfter(FormerHolders::MayAct, "front-1/a");
  cr_assert_not(HaveFormerHoldersEnded(unsettled, "front-3/a"));
  cr_assert_not(HaveFormerHoldersEnded(unsettled, "front-1/a"));
  auto running = HostsAfter(FormerHolders::Ended, "front-2/a");
  cr_assert_not(HaveFormerHoldersEnded(running, "front-3/a"));
  cr_assert(HaveFormerHoldersEnded(running, "front-2/a"));
}

// A copy may name a holder that ended long ago as the last one, while the real
// one still acts by its last check.
Test(restored, new_holder_waits_until_the_one_of_the_earlier_era_has_stopped)
{
  for (Duration learnedAfter : { Millis(0), Millis(250), Millis(2000) }) {
    Time restored{ 60000 };
    PromoterLease former = TakenLease(kFormerToken, restored - Seconds(5));
    for (Time now = restored - Seconds(5); now < restored; now = now + kStep) {
      Step(former, kFormerToken, now);
    }
    PromoterLease next;
    Time learned = restored + learnedAfter;
    next.Handle(StoreEraBegan{}, learned);
    StorePosition token{ 2, 4 }; // a lower revision than the former one's
    for (Time now = learned; now < learned + Seconds(4); now = now + kStep) {
      if (next.IsTaken()) {
        Step(next, token, now);
      } else {
        next.Handle(LeaseObserved{ false, { 2, 3 } }, now);
        if (next.Next(now) == PromoterLeaseAction::Take) {
          next.Handle(LeaseTaken{ token, true }, now);
          next.Handle(FormerHolderEnded{}, now);
        }
      }
      bool mayOrderArrive = former.MayPromote(now - kMaxCallTime);
      cr_assert_not(next.MayPromote(now) && mayOrderArrive);
    }
    cr_assert(next.MayPromote(learned + Millis(3900)));
  }
}

Test(restored, host_lost_while_it_waits_holds_up_nobody)
{
  Time learned{ 1000 };
  PromoterLease lease;
  lease.Handle(StoreEraBegan{}, learned);
  for (Time now = learned; now < learned + Millis(2500); now = now + kStep) {
    lease.Handle(LeaseObserved{ false, { 2, 3 } }, now);
    cr_assert(lease.Next(now) == PromoterLeaseAction::None);
  }
}

Test(restored, holder_stops_at_once_also_if_the_copy_has_its_key)
{
  Time now{ 1000 };
  PromoterLease lease = TakenLease(kFormerToken, now);
  now = now + Millis(600);
  Step(lease, kFormerToken, now);
  cr_assert(lease.MayPromote(now));
  lease.Handle(StoreEraBegan{}, now);
  cr_assert_not(lease.MayPromote(now));
  // The answer to a check that was sent before.
  lease.Handle(LeaseChecked{ kFormerToken, now }, now);
  cr_assert_not(lease.MayPromote(now));
}

Test(restored, settled_record_of_the_present_era_needs_no_wait)
{
  Time now{ 1000 };
  PromoterLease lease;
  lease.Handle(StoreEraBegan{}, now);
  lease.Handle(LeaseObserved{ false, { 2, 3 }, Millis(0), true }, now);
  cr_assert(lease.Next(now) == PromoterLeaseAction::Take);
  lease.Handle(LeaseTaken{ kNewToken, true }, now);
  now = now + kMaxCallTime + kStep;
  Step(lease, kNewToken, now);
  cr_assert(lease.MayPromote(now));
}

Test(restored, record_of_an_earlier_era_settles_nothing)
{
  std::string settled = FormatLastHolder({ 1, FormerHolders::Ended, "f/a" });
  cr_assert(HaveEarlierErasEnded(settled, 1));
  cr_assert_not(HaveEarlierErasEnded(settled, 2));
  cr_assert_not(HaveEarlierErasEnded("f/a", 1), "of a build without eras");
  cr_assert_not(HaveEarlierErasEnded("", 1));
  std::string waiting = FormatLastHolder({ 2, FormerHolders::MayAct, "f/a" });
  cr_assert_not(HaveEarlierErasEnded(waiting, 2));
}

Test(restored, key_of_an_earlier_era_is_free)
{
  std::string key = FormatPromoterKey({ 1, "front-1/a" });
  cr_assert(IsPromoterKeyHeld(key, 1));
  cr_assert_not(IsPromoterKeyHeld(key, 2));
  cr_assert(IsPromoterKeyHeld("front-1/a", 2), "of a build without eras");
}

Test(restored, fencing_tokens_rise_and_are_exact)
{
  std::vector<StorePosition> positions{
    { 0, 1 }, { 0, kMaxFencingRevision },      { 1, 1 }, { 1, 7 },
    { 2, 3 }, { kMaxEra, kMaxFencingRevision }
  };
  uint64_t last = 0;
  for (const StorePosition& position : positions) {
    auto token = FencingTokenOf(position);
    cr_assert(token && *token > last);
    auto asDouble = static_cast<double>(*token);
    cr_assert_eq(static_cast<uint64_t>(asDouble), *token);
    last = *token;
  }
  cr_assert_not(FencingTokenOf({}));
  cr_assert_not(FencingTokenOf({ kMaxEra + 1, 1 }));
  cr_assert_not(FencingTokenOf({ 1, kMaxFencingRevision + 1 }));
}

namespace {

/** What a build without eras makes of the last holder's record. */
bool
WouldOldBuildWait(const std::string& aRecord)
{
  return !aRecord.empty() &&
         (aRecord.rfind("unsettled ", 0) == 0 ||
          aRecord.substr(0, aRecord.find('/')) != "front-1");
}

} // namespace

Test(upgrade, builds_without_eras_wait_for_holders_of_this_one)
{
  for (FormerHolders former : { FormerHolders::Ended, FormerHolders::MayAct }) {
    for (const char* run : { "front-1/a", "" }) {
      cr_assert(WouldOldBuildWait(FormatLastHolder({ 1, former, run })));
    }
  }
}

Test(upgrade, records_of_builds_without_eras_are_read)
{
  LastHolder settled = ParseLastHolder("front-1/a");
  cr_assert_eq(settled.run, "front-1/a");
  cr_assert(settled.formerHolders == FormerHolders::Ended);
  LastHolder waiting = ParseLastHolder("unsettled front-1/a");
  cr_assert_eq(waiting.run, "front-1/a");
  cr_assert(waiting.formerHolders == FormerHolders::MayAct);
  cr_assert(ParseLastHolder("").run.empty());
}

namespace {

/** How often the hosts renew their registrations, all together. */
double
RenewalsPerSecond(size_t aHosts)
{
  double renewals = 0;
  for (size_t rank = 0; rank < aHosts; ++rank) {
    renewals +=
      1000.0 / static_cast<double>(RegistrationTermsOf(rank).renewInterval.ms);
  }
  return renewals;
}

} // namespace

Test(registration, candidates_for_the_promoter_lease_keep_short_leases)
{
  cr_assert_eq(RegistrationTermsOf(0).lifetime.ms, 2000);
  cr_assert_eq(RegistrationTermsOf(kPromoterCandidates - 1).lifetime.ms, 2000);
  cr_assert_gt(RegistrationTermsOf(kPromoterCandidates).lifetime.ms, 2000);
}

Test(registration, renewals_of_large_fleets_are_rare)
{
  // With the same terms for all: 8.3, 50, 197, 500 and 8,080 a second.
  cr_assert_leq(RenewalsPerSecond(5), 8.4);
  cr_assert_leq(RenewalsPerSecond(30), 19);
  cr_assert_leq(RenewalsPerSecond(118), 41);
  cr_assert_leq(RenewalsPerSecond(300), 87);
  cr_assert_leq(RenewalsPerSecond(4848), 1224);
}
