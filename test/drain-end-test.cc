#include "fakes/drain-play.h"

#include "marigoldpitch/coordination/proxy/drain-schedule.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

// The end of a process after SIGTERM: all that it has read is answered, and
// its sessions end one after the other.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

DrainPlayOptions
Options(uint32_t aSeed = 1)
{
  DrainPlayOptions options;
  options.simulation.seed = aSeed;
  options.callers = 24;
  options.simulation.connections = 6;
  return options;
}

void
CheckAnswered(const DrainPlay& aPlay)
{
  cr_assert_gt(aPlay.answered, 0);
  cr_assert_eq(aPlay.cut, 0, "%zu statements were cut off", aPlay.cut);
  cr_assert_eq(aPlay.simulation.Violations(), "");
}

/** How many sessions ended in the span, since the SIGTERM. */
size_t
EndedBetween(const DrainPlay& aPlay, Duration aFrom, Duration aUntil)
{
  size_t count = 0;
  for (const PlayCaller& caller : aPlay.callers) {
    bool isWithin = caller.ended >= aPlay.signalled + aFrom &&
                    caller.ended < aPlay.signalled + aUntil;
    count += isWithin ? 1 : 0;
  }
  return count;
}

} // namespace

Test(drain_end, busy_sessions_are_not_cut_off_at_the_end)
{
  for (int64_t pause = 0; pause <= 50; pause += 10) {
    DrainPlayOptions options = Options();
    options.longestPause = Millis(pause);
    options.longestStatement = Millis(60);
    DrainPlay play(options);
    play.RunFor(Millis(500));
    play.Stop();
    CheckAnswered(play);
    cr_assert_eq(play.crossed, 0, "%zu at %zd ms", play.crossed, pause);
    cr_assert_lt((play.exited - play.signalled).ms, 4500);
  }
}

Test(drain_end, sessions_end_one_after_the_other)
{
  for (Duration pause : { Millis(10), Seconds(60) }) {
    DrainPlayOptions options = Options();
    options.callers = 70;
    options.longestPause = pause;
    options.longestStatement = Millis(4);
    options.simulation.connections = 24;
    DrainPlay play(options);
    play.RunFor(Seconds(1));
    play.Stop();
    CheckAnswered(play);
    cr_assert_eq(EndedBetween(play, Millis(0), Millis(2200)), 0);
    for (int64_t from = 2200; from < 3600; from += 200) {
      size_t ended = EndedBetween(play, Millis(from), Millis(from + 200));
      cr_assert(
        ended >= 7 && ended <= 13, "%zu ended from %zd ms on", ended, from);
    }
    cr_assert_eq(EndedBetween(play, Millis(0), Millis(3800)), 70);
  }
}

Test(drain_end, transactions_get_their_time)
{
  DrainPlayOptions options = Options();
  options.callers = 8;
  options.transactions = 1;
  options.transactionPause = Millis(40);
  options.transactionStatements = 11;
  options.longestStatement = Millis(10);
  options.simulation.connections = 40;
  DrainPlay play(options);
  play.RunFor(Millis(500));
  play.Stop();
  CheckAnswered(play);
  cr_assert_eq(play.crossed, 0);
  for (const auto& request : play.simulation.Requests()) {
    bool isRefused = request->reply && request->reply->failure;
    cr_assert(
      !isRefused, "%s", isRefused ? request->reply->failure->text.c_str() : "");
  }
}

Test(drain_end, transaction_of_a_silent_caller_is_rolled_back)
{
  DrainPlayOptions options = Options();
  options.callers = 3;
  options.transactions = 1;
  options.transactionPause = Seconds(60);
  DrainPlay play(options);
  play.RunFor(Millis(500));
  play.Stop();
  cr_assert_eq(EndedBetween(play, Millis(0), Millis(3000)), 0);
  cr_assert_eq(EndedBetween(play, Millis(0), Millis(4500)), 3);
  CheckAnswered(play);
}

// Statements that take longer than the host has left: their outcome is unknown
// or they have not run, and the answer says so.
Test(drain_end, what_is_open_at_the_end_is_answered_with_what_is_true)
{
  for (uint32_t seed = 1; seed <= 10; ++seed) {
    DrainPlayOptions options = Options(seed);
    options.transactions = 0.3;
    options.longestStatement = Millis(3000);
    options.simulation.timeout = Millis(4000);
    DrainPlay play(options);
    play.RunFor(Millis(500));
    play.Stop();
    CheckAnswered(play);
    for (const PlayCaller& caller : play.callers) {
      cr_assert_lt((caller.ended - play.signalled).ms, 5050);
    }
  }
}

Test(drain_end, messages_that_were_read_together_are_all_answered)
{
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    DrainPlayOptions options = Options(seed);
    options.pipelined = 8;
    options.transactions = 0.2;
    options.longestPause = Millis(5);
    DrainPlay play(options);
    play.RunFor(Millis(500));
    play.Stop();
    CheckAnswered(play);
  }
}

Test(drain_end, callers_that_do_not_wait_for_answers_are_read_no_further)
{
  for (uint32_t seed = 1; seed <= 5; ++seed) {
    DrainPlayOptions options = Options(seed);
    options.callers = 6;
    options.pipelined = 4;
    options.unanswered = 8;
    options.longestStatement = Millis(20);
    DrainPlay play(options);
    play.RunFor(Millis(500));
    play.Stop();
    CheckAnswered(play);
    cr_assert_eq(EndedBetween(play, Millis(0), Millis(4000)), 6);
  }
}

Test(drain_end, nothing_more_is_read_behind_a_statement_that_is_still_open)
{
  ProxySimulation simulation(Options().simulation);
  simulation.RunFor(Millis(500));
  simulation.Send(0, ProxyDrainRequested{ kPlayGrace });
  simulation.RunFor(Millis(3500));
  CallerId caller = simulation.OpenSession(0);
  simulation.Upstream(0).executionTime = Millis(300);
  auto write = simulation.SubmitStatement(0, caller, WriteStatement("a", "v"));
  simulation.RunFor(Millis(50));
  cr_assert_eq(simulation.unreadSessions.count(caller), 0);
  simulation.RunFor(Millis(100));
  cr_assert_eq(simulation.unreadSessions.count(caller), 1);
  simulation.RunFor(Millis(200));
  cr_assert(IsOk(write));
  cr_assert_eq(simulation.endedSessions.count(caller), 1);
}

Test(drain_end, session_that_opens_late_is_refused_at_once)
{
  ProxySimulation simulation(Options().simulation);
  simulation.RunFor(Millis(500));
  simulation.Send(0, ProxyDrainRequested{ kPlayGrace });
  simulation.RunFor(Millis(4200));
  CallerId served = simulation.OpenSession(0);
  auto read = simulation.SubmitStatement(0, served, ReadStatement("a"));
  simulation.RunFor(Millis(60));
  cr_assert(IsOk(read));
  cr_assert_eq(simulation.endedSessions.count(served), 1);
  simulation.RunFor(Millis(100));
  CallerId late = simulation.OpenSession(0);
  cr_assert_eq(simulation.endedSessions.count(late), 1);
}

Test(drain_end, all_that_was_read_is_answered_whatever_the_callers_do)
{
  cr_assert(rc::check([] {
    DrainPlayOptions options = Options(*rc::gen::arbitrary<uint32_t>());
    options.callers = *rc::gen::inRange<size_t>(1, 40);
    options.longestPause = Millis(*rc::gen::inRange(0, 51));
    options.wire = Millis(*rc::gen::inRange(1, 4));
    options.longestStatement = Millis(*rc::gen::element(0, 20, 500, 3000));
    options.simulation.timeout = Millis(*rc::gen::element(1000, 4000));
    options.transactions = *rc::gen::element(0.0, 0.2, 0.9);
    options.transactionPause = Millis(*rc::gen::inRange(0, 51));
    options.transactionStatements = *rc::gen::inRange<size_t>(1, 12);
    options.pipelined = *rc::gen::element<size_t>(1, 1, 5);
    options.simulation.connections = *rc::gen::inRange<uint32_t>(2, 24);
    options.simulation.jitter = Millis(*rc::gen::inRange(0, 3));
    bool relays = *rc::gen::arbitrary<bool>();
    if (relays) {
      options.simulation.hosts = 6;
      options.simulation.zones = 2;
      options.host = *rc::gen::inRange<size_t>(0, 6);
    }
    DrainPlay play(options);
    play.RunFor(Millis(200));
    play.Stop();
    RC_ASSERT(play.cut == 0U);
    RC_ASSERT(play.simulation.Violations() == "");
    if (options.pipelined == 1 && options.longestStatement < Millis(1000)) {
      RC_ASSERT(play.crossedEarly == 0U);
    }
  }));
}

Test(drain_end, schedule_leaves_time_between_its_stages)
{
  for (int64_t grace = 100; grace <= 30000; grace += 100) {
    DrainSchedule schedule;
    cr_assert_eq(schedule.StageAt(Time{ 1000 }), DrainStage::NotDraining);
    schedule.Start(Time{ 0 }, Millis(grace));
    std::map<DrainStage, int64_t> begins;
    for (int64_t at = 0; at <= grace; ++at) {
      begins.emplace(schedule.StageAt(Time{ at }), at);
    }
    cr_assert_eq(begins.count(DrainStage::Over), 1);
    int64_t over = begins.at(DrainStage::Over);
    cr_assert_leq(over, std::max(grace - 1000, grace / 2));
    if (grace >= 3000) {
      cr_assert_geq(begins.at(DrainStage::EndingAll), grace / 2);
      cr_assert_leq(begins.at(DrainStage::EndingTransactions),
                    over - (over - grace / 2) / 4);
    }
  }
}
