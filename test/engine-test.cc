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
BeginAt(GroupSimulation& aSimulation, const std::string& aSession)
{
  Request begin;
  begin.operation = Operation::Begin;
  begin.session = aSession;
  std::string id;
  aSimulation.SubmitToOwner(
    0, begin, [&](const Answer& aAnswer) { id = aAnswer.transaction; });
  aSimulation.RunFor(Millis(100));
  return id;
}

Outcome
StatementAt(GroupSimulation& aSimulation,
            const std::string& aSession,
            const std::string& aTransaction)
{
  Request statement;
  statement.operation = Operation::Statement;
  statement.session = aSession;
  statement.transaction = aTransaction;
  statement.statement = { "SELECT count FROM rows", {} };
  Outcome outcome = Outcome::Ok;
  aSimulation.SubmitToOwner(
    0, statement, [&](const Answer& aAnswer) { outcome = aAnswer.outcome; });
  aSimulation.RunFor(Millis(100));
  return outcome;
}

} // namespace

Test(transactions, are_atomic_and_isolated)
{
  cr_assert(rc::check("transactions are atomic", [] {
    GroupSimulation simulation(
      ThreeOwnerOptions(*rc::gen::inRange<uint32_t>(1, 100000)));
    Transactions callers(simulation, 5, true);
    callers.Start();
    auto kind = *rc::gen::inRange(0, 6);
    size_t owner = simulation.PreferredOwner();
    if (kind == 1) {
      simulation.KillOwner(owner);
    } else if (kind == 2) {
      simulation.KillUpstream(0);
    } else if (kind == 3) {
      simulation.SilenceConnections(owner, 0);
    } else if (kind == 4) {
      simulation.FreezeUpstream(0,
                                Millis(*rc::gen::inRange<int64_t>(50, 2000)));
    }
    for (int i = 0; kind == 5 && i < 10; ++i) {
      simulation.SilenceLink(static_cast<size_t>(i) % 2, owner);
      simulation.RunFor(Millis(*rc::gen::inRange<int64_t>(50, 700)));
    }
    simulation.RunFor(Seconds(3));
    callers.Stop();
    simulation.RunFor(Seconds(8));
    callers.Check();
    RC_ASSERT(callers.violations.empty());
    RC_ASSERT(callers.committed > 0u);
  }));
}

Test(mutants, mixed_transactions_are_found)
{
  size_t found = 0;
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    GroupSimulationOptions options = ThreeOwnerOptions(seed);
    options.shareTransactions = true;
    GroupSimulation simulation(options);
    Transactions callers(simulation, 5, true);
    callers.Start();
    simulation.RunFor(Seconds(3));
    callers.Stop();
    simulation.RunFor(Seconds(8));
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
    options.simulation.swapAnswers = true;
    options.history.sessions = 20;
    found += RunPlan({ seed, {} }, options).violations.empty() ? 0 : 1;
  }
  printf("found by the check in %zu of 20 seeds\n", found);
  cr_assert_gt(found, 0u);
}

Test(transactions, idle_transaction_is_rolled_back)
{
  GroupSimulation simulation(ThreeOwnerOptions(1));
  std::string id = BeginAt(simulation, "s");
  cr_assert(!id.empty());
  cr_assert_eq(simulation.EngineOf(0).OpenTransactions(), 1u);
  simulation.RunFor(simulation.config.transactionIdleTimeout + Millis(200));
  cr_assert_eq(simulation.EngineOf(0).OpenTransactions(), 0u);
  cr_assert(StatementAt(simulation, "s", id) == Outcome::NotRun);
}

Test(transactions, belong_to_their_session)
{
  GroupSimulation simulation(ThreeOwnerOptions(1));
  std::string id = BeginAt(simulation, "mine");
  cr_assert(StatementAt(simulation, "theirs", id) == Outcome::Invalid);
}

Test(transactions, leave_connections_for_other_requests)
{
  GroupSimulation simulation(ThreeOwnerOptions(1));
  size_t begun = 0;
  for (int i = 0; i < 40; ++i) {
    Request begin;
    begin.operation = Operation::Begin;
    begin.session = "s" + std::to_string(i);
    simulation.SubmitToOwner(0, begin, [&](const Answer& aAnswer) {
      begun += aAnswer.outcome == Outcome::Ok ? 1 : 0;
    });
  }
  simulation.RunFor(Millis(500));
  cr_assert_eq(begun, simulation.config.connections - simulation.config.slots);
  Outcome outcome = Outcome::Unknown;
  simulation.SubmitToOwner(0, MakeWrite("w", "w"), [&](const Answer& aAnswer) {
    outcome = aAnswer.outcome;
  });
  simulation.RunFor(Millis(200));
  cr_assert(outcome == Outcome::Ok);
}

Test(requests, write_resolved_as_not_run_never_executes)
{
  // The write is still in flight when its caller resolves it. Once the answer
  // is `NotRun`, the write must not execute.
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    GroupSimulation simulation(ThreeOwnerOptions(seed));
    Request resolve;
    resolve.operation = Operation::Resolve;
    resolve.session = "s";
    resolve.requestId = "late";
    Outcome first = Outcome::Ok;
    simulation.SubmitToOwner(
      0, resolve, [&](const Answer& aAnswer) { first = aAnswer.outcome; });
    simulation.RunFor(Millis(100));
    cr_assert(first == Outcome::NotRun);
    Outcome late = Outcome::Ok;
    simulation.SubmitToOwner(
      1, MakeWrite("late", "late"), [&](const Answer& aAnswer) {
        late = aAnswer.outcome;
      });
    simulation.RunFor(Millis(500));
    cr_assert(late == Outcome::NotRun);
    cr_assert(simulation.Value(0, "rows", "late").empty());
  }
}

Test(requests, concurrent_retries_execute_once)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    GroupSimulation simulation(ThreeOwnerOptions(seed));
    std::vector<Outcome> outcomes;
    Request write = MakeWrite("same", "key");
    write.firstAttempt = false;
    Request insertRow = MakeWrite("seed", "counter");
    insertRow.statement.parameters[1] = "0";
    simulation.SubmitToOwner(0, insertRow, [](const Answer&) {});
    simulation.RunFor(Millis(100));
    write.statement = { "UPDATE rows SET value = value + $2 WHERE key = $1",
                        { std::string("counter"), std::string("1") } };
    for (size_t owner : { 0, 1, 2, 0, 1 }) {
      simulation.SubmitToOwner(owner, write, [&](const Answer& aAnswer) {
        outcomes.push_back(aAnswer.outcome);
      });
    }
    simulation.RunFor(Seconds(3));
    cr_assert_eq(outcomes.size(), 5u);
    cr_assert_eq(std::count(outcomes.begin(), outcomes.end(), Outcome::Ok), 5);
    cr_assert_str_eq(simulation.Value(0, "rows", "counter").c_str(), "1");
  }
}

Test(requests, ids_are_scoped_to_their_session)
{
  // Two sessions that use the same request id each get their own answer.
  GroupSimulation simulation(ThreeOwnerOptions(1));
  std::vector<Answer> answers;
  Request mine = MakeWrite("same", "mine");
  Request theirs = MakeWrite("same", "theirs");
  theirs.session = "t";
  for (const Request& request : { mine, theirs }) {
    simulation.SubmitToOwner(
      0, request, [&](const Answer& aAnswer) { answers.push_back(aAnswer); });
  }
  simulation.RunFor(Millis(300));
  cr_assert_eq(answers.size(), 2u);
  for (const Answer& answer : answers) {
    cr_assert(answer.outcome == Outcome::Ok && !answer.replayed);
  }
  cr_assert_str_eq(simulation.Value(0, "rows", "mine").c_str(), "v");
  cr_assert_str_eq(simulation.Value(0, "rows", "theirs").c_str(), "v");
}

Test(requests, refused_retry_is_answered_unknown)
{
  // The first attempt of the retried request may have run elsewhere.
  GroupSimulation simulation(ThreeOwnerOptions(1));
  simulation.DrainOwner(0);
  std::vector<Outcome> outcomes;
  Request write = MakeWrite("x", "x");
  simulation.SubmitToOwner(0, write, [&](const Answer& aAnswer) {
    outcomes.push_back(aAnswer.outcome);
  });
  write.firstAttempt = false;
  simulation.SubmitToOwner(0, write, [&](const Answer& aAnswer) {
    outcomes.push_back(aAnswer.outcome);
  });
  cr_assert(outcomes[0] == Outcome::NotRun);
  cr_assert(outcomes[1] == Outcome::Unknown);
}

Test(requests, invalid_statements_do_not_affect_other_requests)
{
  GroupSimulation simulation(ThreeOwnerOptions(1));
  std::vector<Answer> answers;
  Request commit = MakeWrite("a", "a");
  commit.statement = { "COMMIT", {} };
  Request unknown = MakeWrite("b", "b");
  unknown.statement = { "SELECT nonsense", {} };
  Request nameless = MakeWrite("", "c");
  for (const Request& request :
       { commit, unknown, nameless, MakeWrite("d", "d") }) {
    simulation.SubmitToOwner(
      0, request, [&](const Answer& aAnswer) { answers.push_back(aAnswer); });
  }
  simulation.RunFor(Millis(300));
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

Test(requests, session_values_of_one_caller_never_reach_another)
{
  GroupSimulationOptions options = ThreeOwnerOptions(1);
  options.slots = 1; // one connection serves both
  GroupSimulation simulation(options);
  const Statement set{ "SELECT set_config($1, $2, false)",
                       { std::string("app.tenant"), std::string("mine") } };
  for (Operation operation : { Operation::Read, Operation::Write }) {
    std::vector<Answer> answers;
    Request mine = MakeWrite("set", "");
    mine.operation = operation;
    mine.statement = set;
    Request theirs = MakeRead("", std::nullopt);
    theirs.statement = { "SELECT current_setting($1)",
                         { std::string("app.tenant") } };
    for (const Request& request : { mine, theirs }) {
      simulation.SubmitToOwner(
        0, request, [&](const Answer& aAnswer) { answers.push_back(aAnswer); });
      simulation.RunFor(Millis(300));
    }
    cr_assert_eq(answers.size(), 2u);
    cr_assert(answers[0].outcome == Outcome::Ok);
    cr_assert(answers[1].outcome == Outcome::Ok);
    cr_assert_str_eq(answers[1].rows.rows[0][0]->c_str(), "");
  }
}

Test(requests, results_that_fit_no_frame_are_refused_and_rolled_back)
{
  GroupSimulationOptions options = ThreeOwnerOptions(1);
  options.answerBytes = 4096;
  GroupSimulation simulation(options);
  Request store = MakeWrite("store", "k");
  store.statement.parameters[1] = std::string(5000, 'x');
  Request read = MakeRead("k", std::nullopt);
  Request write = read;
  write.operation = Operation::Write;
  write.requestId = "select";
  Request resolve = write;
  resolve.operation = Operation::Resolve;
  std::string id = BeginAt(simulation, "t");
  Request statement = read;
  statement.operation = Operation::Statement;
  statement.session = "t";
  statement.transaction = id;
  Request commit = statement;
  commit.operation = Operation::Commit;
  commit.requestId = "commit";
  std::vector<Outcome> outcomes;
  for (const Request& request :
       { store, read, write, resolve, statement, commit }) {
    simulation.SubmitToOwner(0, request, [&](const Answer& aAnswer) {
      outcomes.push_back(aAnswer.outcome);
    });
    simulation.RunFor(Millis(300));
  }
  std::vector<Outcome> expected{ Outcome::Ok,      Outcome::Invalid,
                                 Outcome::Invalid, Outcome::NotRun,
                                 Outcome::Invalid, Outcome::NotRun };
  cr_assert(outcomes == expected);
}

Test(requests, a_long_message_of_an_upstream_is_cut_between_characters)
{
  StepResult failure;
  for (int i = 0; i < 2000; ++i) {
    failure.message += "\u00e9";
  }
  failure.message.insert(0, "x");
  std::string text = FailureAnswer(failure).message;
  cr_assert_leq(text.size(), 1100u);
  cr_assert_str_eq(text.substr(text.size() - 5).c_str(), "\u00e9...");
}

Test(limits, slots_and_connections_hold_under_load_and_faults)
{
  cr_assert(rc::check("slots and connections are never exceeded", [] {
    auto plan = *GenPlan({ FaultKind::KillPrimary,
                           FaultKind::FreezePrimary,
                           FaultKind::SilenceUpstream,
                           FaultKind::CutOwnerFromPrimary },
                         1);
    GroupSimulationOptions options = ThreeOwnerOptions(plan.seed);
    options.connections = 4;
    GroupSimulation simulation(options);
    HistoryOptions manySessions;
    manySessions.sessions = 30;
    manySessions.pause = Millis(1);
    History history(simulation, manySessions);
    history.Start();
    if (plan.faults[0].kind == FaultKind::KillPrimary) {
      simulation.KillUpstream(0);
    } else {
      simulation.SilenceConnections(simulation.PreferredOwner(), 0);
    }
    simulation.RunFor(Seconds(2));
    RC_ASSERT(simulation.maxBusyConnections <= options.slots);
    RC_ASSERT(simulation.maxOpenConnections <= options.connections);
    RC_ASSERT(history.violations.empty());
  }));
}

Test(silent_connections, are_detected_on_each_hop)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    GroupSimulation simulation(ThreeOwnerOptions(seed));
    simulation.RunFor(Seconds(1));
    size_t owner = simulation.PreferredOwner();
    // Between entry and owner: the entry sends the request again under its id.
    Outcome outcome = Outcome::Unknown;
    Time asked;
    Duration took;
    auto done = [&](const Answer& aAnswer) {
      outcome = aAnswer.outcome;
      took = simulation.Now() - asked;
    };
    simulation.SubmitRequest(0, MakeWrite("warm", "warm"), done);
    simulation.RunFor(Millis(300));
    simulation.SilenceLink(0, owner);
    asked = simulation.Now();
    simulation.SubmitRequest(0, MakeWrite("link", "link"), done);
    simulation.RunFor(Seconds(2));
    cr_assert(outcome == Outcome::Ok);
    cr_assert_leq(took.ms, 700, "link: %ld ms", took.ms);
    // Between owner and upstream.
    outcome = Outcome::Unknown;
    simulation.SilenceConnections(owner, 0);
    asked = simulation.Now();
    simulation.SubmitRequest(0, MakeWrite("batch", "batch"), done);
    simulation.RunFor(Seconds(3));
    cr_assert(outcome == Outcome::Ok);
    cr_assert_leq(took.ms, 1500, "upstream: %ld ms", took.ms);
    cr_assert_eq(simulation.promotions, 0u);
    cr_assert_str_eq(simulation.Value(0, "rows", "batch").c_str(), "v");
  }
}

Test(silent_connections, do_not_block_the_retry_of_a_write)
{
  // Connections go silent during a write: the upstream still has the
  // transaction open, and in it the request record that blocks a retry.
  for (int64_t offset = 0; offset < 25; ++offset) {
    GroupSimulation simulation(
      ThreeOwnerOptions(static_cast<uint32_t>(offset) + 1));
    size_t owner = simulation.PreferredOwner();
    Outcome outcome = Outcome::Unknown;
    simulation.SubmitRequest(
      0, MakeWrite("warm", "warm"), [](const Answer&) {});
    simulation.RunFor(Millis(300));
    simulation.SubmitRequest(
      0, MakeWrite("id", "key"), [&](const Answer& aAnswer) {
        outcome = aAnswer.outcome;
      });
    simulation.RunFor(Millis(offset));
    simulation.SilenceConnections(owner, 0);
    simulation.RunFor(Seconds(2));
    cr_assert(outcome == Outcome::Ok, "silent after %ld ms", offset);
    cr_assert_str_eq(simulation.Value(0, "rows", "key").c_str(), "v");
  }
}

Test(reads, prefer_a_fresh_replica_to_the_primary)
{
  GroupSimulation simulation(ThreeOwnerOptions(1));
  simulation.SubmitToOwner(0, MakeWrite("r", "r"), [](const Answer&) {});
  simulation.RunFor(Millis(300));
  Source source = Source::None;
  simulation.SubmitToOwner(
    0, MakeRead("r", Seconds(2)), [&](const Answer& aAnswer) {
      source = aAnswer.source;
    });
  simulation.RunFor(Millis(100));
  cr_assert(source == Source::Replica);
  for (size_t i = 1; i < 3; ++i) {
    simulation.StallReplica(i, Seconds(60));
  }
  simulation.SubmitToOwner(0, MakeWrite("q", "q"), [](const Answer&) {});
  simulation.RunFor(Seconds(3));
  simulation.SubmitToOwner(
    0, MakeRead("q", Seconds(1)), [&](const Answer& aAnswer) {
      source = aAnswer.source;
    });
  simulation.RunFor(Seconds(2));
  cr_assert(source == Source::Primary, "no replica is fresh enough");
}

Test(reads, are_refused_as_stale_without_a_fresh_replica)
{
  GroupSimulation simulation(ThreeOwnerOptions(1));
  simulation.SubmitToOwner(0, MakeWrite("r", "r"), [](const Answer&) {});
  simulation.RunFor(Millis(300));
  for (size_t i = 0; i < 3; ++i) {
    simulation.CutOwnerUpstream(0, i, true);
  }
  simulation.RunFor(Seconds(1));
  Outcome outcome = Outcome::Ok;
  simulation.SubmitToOwner(
    0, MakeRead("r", Millis(200)), [&](const Answer& aAnswer) {
      outcome = aAnswer.outcome;
    });
  simulation.RunFor(Seconds(3));
  cr_assert(outcome == Outcome::Stale);
}
