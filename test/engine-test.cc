#include "fakes/generators.h"
#include "fakes/requests.h"
#include "fakes/transactions.h"

#include <criterion/criterion.h>

#include <algorithm>

// `GroupEngine` on the fake clock: transactions, request ids, limits, silent
// connections and reads.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

/** Begins a transaction at owner 0 and returns its id. */
std::string
BeginAt(World& aWorld, const std::string& aSession)
{
  Request begin;
  begin.operation = Operation::Begin;
  begin.session = aSession;
  std::string id;
  aWorld.AskOwner(
    0, begin, [&](const Answer& aAnswer) { id = aAnswer.transaction; });
  aWorld.RunFor(Millis(100));
  return id;
}

Outcome
StatementAt(World& aWorld,
            const std::string& aSession,
            const std::string& aTransaction)
{
  Request statement;
  statement.operation = Operation::Statement;
  statement.session = aSession;
  statement.transaction = aTransaction;
  statement.statement = { "SELECT count FROM rows", {} };
  Outcome outcome = Outcome::Ok;
  aWorld.AskOwner(
    0, statement, [&](const Answer& aAnswer) { outcome = aAnswer.outcome; });
  aWorld.RunFor(Millis(100));
  return outcome;
}

} // namespace

Test(transactions, never_mix)
{
  cr_assert(rc::check("transactions are atomic", [] {
    World world(ThreeOwners(*rc::gen::inRange<uint32_t>(1, 100000)));
    Transactions callers(world, 5, true);
    callers.Start();
    auto kind = *rc::gen::inRange(0, 6);
    size_t owner = world.FirstOwner();
    if (kind == 1) {
      world.KillOwner(owner);
    } else if (kind == 2) {
      world.KillUpstream(0);
    } else if (kind == 3) {
      world.SilenceConnections(owner, 0);
    } else if (kind == 4) {
      world.FreezeUpstream(0, Millis(*rc::gen::inRange<int64_t>(50, 2000)));
    }
    for (int i = 0; kind == 5 && i < 10; ++i) {
      world.SilenceLink(static_cast<size_t>(i) % 2, owner);
      world.RunFor(Millis(*rc::gen::inRange<int64_t>(50, 700)));
    }
    world.RunFor(Seconds(3));
    callers.Stop();
    world.RunFor(Seconds(8));
    callers.Check();
    RC_ASSERT(callers.violations.empty());
    RC_ASSERT(callers.committed > 0u);
  }));
}

Test(mutants, mixed_transactions_are_found)
{
  size_t found = 0;
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    WorldOptions options = ThreeOwners(seed);
    options.sharesTransactions = true;
    World world(options);
    Transactions callers(world, 5, true);
    callers.Start();
    world.RunFor(Seconds(3));
    callers.Stop();
    world.RunFor(Seconds(8));
    callers.Check();
    found += callers.violations.empty() ? 0 : 1;
  }
  printf("found by the check in %zu of 20 seeds\n", found);
  cr_assert_gt(found, 0u);
}

Test(mutants, swapped_answers_are_found)
{
  size_t found = 0;
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    PlanOptions options;
    options.world.swapsAnswers = true;
    options.history.sessions = 20;
    found += RunPlan({ seed, {} }, options).violations.empty() ? 0 : 1;
  }
  printf("found by the check in %zu of 20 seeds\n", found);
  cr_assert_gt(found, 0u);
}

Test(transactions, an_idle_one_is_rolled_back)
{
  World world(ThreeOwners(1));
  std::string id = BeginAt(world, "s");
  cr_assert(!id.empty());
  cr_assert_eq(world.EngineOf(0).OpenTransactions(), 1u);
  world.RunFor(world.config.transactionIdleTimeout + Millis(200));
  cr_assert_eq(world.EngineOf(0).OpenTransactions(), 0u);
  cr_assert(StatementAt(world, "s", id) == Outcome::NotRun);
}

Test(transactions, belong_to_their_session)
{
  World world(ThreeOwners(1));
  std::string id = BeginAt(world, "mine");
  cr_assert(StatementAt(world, "theirs", id) == Outcome::Invalid);
}

Test(transactions, cannot_starve_the_rest)
{
  World world(ThreeOwners(1));
  size_t begun = 0;
  for (int i = 0; i < 40; ++i) {
    Request begin;
    begin.operation = Operation::Begin;
    begin.session = "s" + std::to_string(i);
    world.AskOwner(0, begin, [&](const Answer& aAnswer) {
      begun += aAnswer.outcome == Outcome::Ok ? 1 : 0;
    });
  }
  world.RunFor(Millis(500));
  cr_assert_eq(begun, world.config.connections - world.config.slots);
  Outcome outcome = Outcome::Unknown;
  world.AskOwner(0, MakeWrite("w", "w"), [&](const Answer& aAnswer) {
    outcome = aAnswer.outcome;
  });
  world.RunFor(Millis(200));
  cr_assert(outcome == Outcome::Ok);
}

Test(requests, not_run_holds_against_a_late_arrival)
{
  // The write is still in flight when its caller resolves it. Once the answer
  // is `NotRun`, the write must not execute.
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    World world(ThreeOwners(seed));
    Request resolve;
    resolve.operation = Operation::Resolve;
    resolve.session = "s";
    resolve.requestId = "late";
    Outcome first = Outcome::Ok;
    world.AskOwner(
      0, resolve, [&](const Answer& aAnswer) { first = aAnswer.outcome; });
    world.RunFor(Millis(100));
    cr_assert(first == Outcome::NotRun);
    Outcome late = Outcome::Ok;
    world.AskOwner(1, MakeWrite("late", "late"), [&](const Answer& aAnswer) {
      late = aAnswer.outcome;
    });
    world.RunFor(Millis(500));
    cr_assert(late == Outcome::NotRun);
    cr_assert(world.Value(0, "rows", "late").empty());
  }
}

Test(requests, two_owners_at_once_run_it_once)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    World world(ThreeOwners(seed));
    std::vector<Outcome> outcomes;
    Request write = MakeWrite("same", "key");
    write.firstAttempt = false;
    Request seedRow = MakeWrite("seed", "counter");
    seedRow.statement.parameters[1] = "0";
    world.AskOwner(0, seedRow, [](const Answer&) {});
    world.RunFor(Millis(100));
    write.statement = { "UPDATE rows SET value = value + $2 WHERE key = $1",
                        { std::string("counter"), std::string("1") } };
    for (size_t owner : { 0, 1, 2, 0, 1 }) {
      world.AskOwner(owner, write, [&](const Answer& aAnswer) {
        outcomes.push_back(aAnswer.outcome);
      });
    }
    world.RunFor(Seconds(3));
    cr_assert_eq(outcomes.size(), 5u);
    cr_assert_eq(std::count(outcomes.begin(), outcomes.end(), Outcome::Ok), 5);
    cr_assert_str_eq(world.Value(0, "rows", "counter").c_str(), "1");
  }
}

Test(requests, an_id_belongs_to_its_session)
{
  // Two sessions that use the same request id each get their own answer.
  World world(ThreeOwners(1));
  std::vector<Answer> answers;
  Request mine = MakeWrite("same", "mine");
  Request theirs = MakeWrite("same", "theirs");
  theirs.session = "t";
  for (const Request& request : { mine, theirs }) {
    world.AskOwner(
      0, request, [&](const Answer& aAnswer) { answers.push_back(aAnswer); });
  }
  world.RunFor(Millis(300));
  cr_assert_eq(answers.size(), 2u);
  for (const Answer& answer : answers) {
    cr_assert(answer.outcome == Outcome::Ok && !answer.replayed);
  }
  cr_assert_str_eq(world.Value(0, "rows", "mine").c_str(), "v");
  cr_assert_str_eq(world.Value(0, "rows", "theirs").c_str(), "v");
}

Test(requests, a_refusal_of_a_resend_is_not_called_not_run)
{
  // The first attempt of the retried request may have run elsewhere.
  World world(ThreeOwners(1));
  world.DrainOwner(0);
  std::vector<Outcome> outcomes;
  Request write = MakeWrite("x", "x");
  world.AskOwner(0, write, [&](const Answer& aAnswer) {
    outcomes.push_back(aAnswer.outcome);
  });
  write.firstAttempt = false;
  world.AskOwner(0, write, [&](const Answer& aAnswer) {
    outcomes.push_back(aAnswer.outcome);
  });
  cr_assert(outcomes[0] == Outcome::NotRun);
  cr_assert(outcomes[1] == Outcome::Unknown);
}

Test(requests, bad_statements_are_refused_and_harm_nobody)
{
  World world(ThreeOwners(1));
  std::vector<Answer> answers;
  Request commit = MakeWrite("a", "a");
  commit.statement = { "COMMIT", {} };
  Request unknown = MakeWrite("b", "b");
  unknown.statement = { "SELECT nonsense", {} };
  Request nameless = MakeWrite("", "c");
  for (const Request& request :
       { commit, unknown, nameless, MakeWrite("d", "d") }) {
    world.AskOwner(
      0, request, [&](const Answer& aAnswer) { answers.push_back(aAnswer); });
  }
  world.RunFor(Millis(300));
  cr_assert_eq(answers.size(), 4u);
  size_t invalid = 0;
  size_t good = 0;
  for (const Answer& answer : answers) {
    invalid += answer.outcome == Outcome::Invalid ? 1 : 0;
    good += answer.outcome == Outcome::Ok ? 1 : 0;
  }
  cr_assert_eq(invalid, 3u);
  cr_assert_eq(good, 1u);
}

Test(limits, slots_and_connections_hold_under_load_and_faults)
{
  cr_assert(rc::check("slots and connections are never exceeded", [] {
    auto plan = *GenPlan({ FaultKind::KillPrimary,
                           FaultKind::FreezePrimary,
                           FaultKind::SilenceUpstream,
                           FaultKind::CutOwnerFromPrimary },
                         1);
    WorldOptions options = ThreeOwners(plan.seed);
    options.connections = 4;
    World world(options);
    HistoryOptions many;
    many.sessions = 30;
    many.pause = Millis(1);
    History history(world, many);
    history.Start();
    if (plan.faults[0].kind == FaultKind::KillPrimary) {
      world.KillUpstream(0);
    } else {
      world.SilenceConnections(world.FirstOwner(), 0);
    }
    world.RunFor(Seconds(2));
    RC_ASSERT(world.mostBusy <= options.slots);
    RC_ASSERT(world.mostConnections <= options.connections);
    RC_ASSERT(history.violations.empty());
  }));
}

Test(silence, is_noticed_on_each_hop)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    World world(ThreeOwners(seed));
    world.RunFor(Seconds(1));
    size_t owner = world.FirstOwner();
    // Between entry and owner: the entry sends the request again under its id.
    Outcome outcome = Outcome::Unknown;
    Time asked;
    Duration took;
    auto done = [&](const Answer& aAnswer) {
      outcome = aAnswer.outcome;
      took = world.Now() - asked;
    };
    world.Ask(0, MakeWrite("warm", "warm"), done);
    world.RunFor(Millis(300));
    world.SilenceLink(0, owner);
    asked = world.Now();
    world.Ask(0, MakeWrite("link", "link"), done);
    world.RunFor(Seconds(2));
    cr_assert(outcome == Outcome::Ok);
    cr_assert_leq(took.ms, 700, "link: %ld ms", took.ms);
    // Between owner and upstream.
    outcome = Outcome::Unknown;
    world.SilenceConnections(owner, 0);
    asked = world.Now();
    world.Ask(0, MakeWrite("batch", "batch"), done);
    world.RunFor(Seconds(3));
    cr_assert(outcome == Outcome::Ok);
    cr_assert_leq(took.ms, 1500, "upstream: %ld ms", took.ms);
    cr_assert_eq(world.promotions, 0u);
    cr_assert_str_eq(world.Value(0, "rows", "batch").c_str(), "v");
  }
}

Test(silence, leaves_no_claim_behind)
{
  // Connections go silent during a write: the upstream still has the
  // transaction open, and in it the request record that blocks a retry.
  for (int64_t offset = 0; offset < 25; ++offset) {
    World world(ThreeOwners(static_cast<uint32_t>(offset) + 1));
    size_t owner = world.FirstOwner();
    Outcome outcome = Outcome::Unknown;
    world.Ask(0, MakeWrite("warm", "warm"), [](const Answer&) {});
    world.RunFor(Millis(300));
    world.Ask(0, MakeWrite("id", "key"), [&](const Answer& aAnswer) {
      outcome = aAnswer.outcome;
    });
    world.RunFor(Millis(offset));
    world.SilenceConnections(owner, 0);
    world.RunFor(Seconds(2));
    cr_assert(outcome == Outcome::Ok, "silent after %ld ms", offset);
    cr_assert_str_eq(world.Value(0, "rows", "key").c_str(), "v");
  }
}

Test(reads, wait_for_a_replica_before_they_use_the_primary)
{
  World world(ThreeOwners(1));
  world.AskOwner(0, MakeWrite("r", "r"), [](const Answer&) {});
  world.RunFor(Millis(300));
  Source source = Source::None;
  world.AskOwner(0, MakeRead("r", Seconds(2)), [&](const Answer& aAnswer) {
    source = aAnswer.source;
  });
  world.RunFor(Millis(100));
  cr_assert(source == Source::Replica);
  for (size_t i = 1; i < 3; ++i) {
    world.StallReplica(i, Seconds(60));
  }
  world.AskOwner(0, MakeWrite("q", "q"), [](const Answer&) {});
  world.RunFor(Seconds(3));
  world.AskOwner(0, MakeRead("q", Seconds(1)), [&](const Answer& aAnswer) {
    source = aAnswer.source;
  });
  world.RunFor(Seconds(2));
  cr_assert(source == Source::Primary, "no replica is fresh enough");
}

Test(reads, are_refused_as_stale_without_any_fresh_copy)
{
  World world(ThreeOwners(1));
  world.AskOwner(0, MakeWrite("r", "r"), [](const Answer&) {});
  world.RunFor(Millis(300));
  for (size_t i = 0; i < 3; ++i) {
    world.CutOwnerUpstream(0, i, true);
  }
  world.RunFor(Seconds(1));
  Outcome outcome = Outcome::Ok;
  world.AskOwner(0, MakeRead("r", Millis(200)), [&](const Answer& aAnswer) {
    outcome = aAnswer.outcome;
  });
  world.RunFor(Seconds(3));
  cr_assert(outcome == Outcome::Stale);
}
