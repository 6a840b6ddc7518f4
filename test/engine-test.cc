#include "fakes/generators.h"
#include "fakes/transactions.h"

#include <criterion/criterion.h>

#include <algorithm>

// Transactions, leaving, draining, limits and silence, on the fake clock.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr uint32_t kSeeds = 30;

WorldOptions
Options(uint32_t aSeed)
{
  WorldOptions options;
  options.seed = aSeed;
  options.owners = 3;
  return options;
}

Request
MakeWrite(const std::string& aId, const std::string& aKey)
{
  Request request;
  request.operation = Operation::Write;
  request.session = "s";
  request.requestId = aId;
  request.firstAttempt = true;
  request.statement = { "INSERT INTO rows (key, value) VALUES ($1, $2)",
                        { aKey, std::string("v") } };
  return request;
}

/** Begins a transaction at the first owner and returns its name. */
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

Request
MakeRead(const std::string& aKey, std::optional<Duration> aMaxAge)
{
  Request request;
  request.operation = Operation::Read;
  request.session = "reader";
  request.maxAge = aMaxAge;
  request.statement = { "SELECT value FROM rows WHERE key = $1", { aKey } };
  return request;
}

} // namespace

Test(transactions, never_mix)
{
  cr_assert(rc::check("both rows of a transaction stand or fall", [] {
    World world(Options(*rc::gen::inRange<uint32_t>(1, 100000)));
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
    WorldOptions options = Options(seed);
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
  World world(Options(1));
  std::string id = BeginAt(world, "s");
  cr_assert(!id.empty());
  cr_assert_eq(world.EngineOf(0).OpenTransactions(), 1u);
  world.RunFor(world.config.transactionIdle + Millis(200));
  cr_assert_eq(world.EngineOf(0).OpenTransactions(), 0u);
  cr_assert(StatementAt(world, "s", id) == Outcome::NotRun);
}

Test(transactions, belong_to_their_session)
{
  World world(Options(1));
  std::string id = BeginAt(world, "mine");
  cr_assert(StatementAt(world, "theirs", id) == Outcome::Invalid);
}

Test(transactions, cannot_starve_the_rest)
{
  World world(Options(1));
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
  // The caller's first send is still on its way when it asks for the outcome.
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    World world(Options(seed));
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
    World world(Options(seed));
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
  // Two callers that happen on one id each get their own answer.
  World world(Options(1));
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
  World world(Options(1));
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
  World world(Options(1));
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
    WorldOptions options = Options(plan.seed);
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

namespace {

enum class LeavingSource
{
  List,
  Itself,
  Configuration,
};

void
CheckLeaving(LeavingSource aSource, size_t aUpstream)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    World world(Options(seed));
    world.SetStoreDown(true);
    History history(world, {});
    history.Start();
    if (aSource == LeavingSource::List) {
      world.ListLeaving(aUpstream);
    } else if (aSource == LeavingSource::Itself) {
      world.SetLeavingItself(aUpstream);
    } else {
      GroupConfig config = world.config;
      config.upstreams[aUpstream].leaving = true;
      for (size_t i = 0; i < world.Owners(); ++i) {
        cr_assert(world.EngineOf(i).Reconfigure(config));
      }
    }
    Time told = world.Now();
    world.RunFor(Seconds(4));
    history.Settle(Seconds(4));
    cr_assert(history.violations.empty(),
              "%s",
              history.violations.empty() ? "" : history.violations[0].c_str());
    Duration after = world.lastWorkStarted[aUpstream] - told;
    cr_assert_leq(after.ms, 3000, "new work after %ld ms", after.ms);
    cr_assert_eq(world.promotions, aUpstream == 0 ? 1u : 0u);
  }
}

} // namespace

Test(leaving, by_the_host_list)
{
  CheckLeaving(LeavingSource::List, 0);
  CheckLeaving(LeavingSource::List, 1);
}

Test(leaving, by_its_own_word)
{
  CheckLeaving(LeavingSource::Itself, 0);
  CheckLeaving(LeavingSource::Itself, 2);
}

Test(leaving, by_the_configuration)
{
  CheckLeaving(LeavingSource::Configuration, 0);
  CheckLeaving(LeavingSource::Configuration, 1);
}

Test(mutants, an_upstream_that_nobody_calls_leaving_is_found)
{
  World world(Options(1));
  History history(world, {});
  history.Start();
  Time told = world.Now();
  world.RunFor(Seconds(4));
  for (size_t i = 0; i < 3; ++i) {
    cr_assert_gt((world.lastWorkStarted[i] - told).ms, 3000);
  }
}

Test(mutants, a_kill_without_draining_is_found)
{
  size_t found = 0;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    World world(Options(seed));
    Transactions callers(world, 3, false);
    callers.Start();
    world.KillOwner(world.FirstOwner());
    world.RunFor(Seconds(2));
    found += callers.cut != 0 ? 1 : 0;
  }
  printf("found by the check in %zu of %u seeds\n", found, kSeeds);
  cr_assert_gt(found, 0u);
}

Test(draining, cuts_off_no_request)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    World world(Options(seed));
    History history(world, {});
    history.Start();
    Transactions callers(world, 3, false);
    callers.Start();
    size_t owner = world.FirstOwner();
    world.DrainOwner(owner);
    Time drained = world.Now();
    while (world.EngineOf(owner).Unfinished() +
             world.EngineOf(owner).OpenTransactions() !=
           0) {
      cr_assert_lt((world.Now() - drained).ms, 2000);
      world.RunFor(Millis(1));
    }
    world.KillOwner(owner);
    world.RunFor(Seconds(2));
    callers.Stop();
    history.Settle(Seconds(4));
    callers.Check();
    cr_assert(history.violations.empty());
    cr_assert(callers.violations.empty());
    cr_assert_eq(callers.cut, 0u, "seed %u", seed);
    cr_assert_eq(history.writesNotRun, 0u, "seed %u", seed);
    cr_assert_eq(history.writesUnknown, 0u, "seed %u", seed);
  }
}

Test(silence, is_noticed_on_each_hop)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    World world(Options(seed));
    world.RunFor(Seconds(1));
    size_t owner = world.FirstOwner();
    // Between entry and owner: the request is carried again, under its id.
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
  // Connections go silent in the middle of a write: the upstream still has its
  // transaction open, and the record in it.
  for (int64_t offset = 0; offset < 25; ++offset) {
    World world(Options(static_cast<uint32_t>(offset) + 1));
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
  World world(Options(1));
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
  World world(Options(1));
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

namespace {

/** An engine fed by hand: three upstreams that have all said who they are. */
class BareEngine
{
public:
  BareEngine()
  {
    GroupConfig config;
    config.name = "g";
    config.slots = 1;
    config.connections = 2;
    config.upstreams.resize(3);
    this->engine = std::move(
      GroupEngine::Create(config, MakeDefaultPolicies(config), {}).value());
    for (const GroupAction& action : this->Step(Tick{})) {
      if (const auto* ask = std::get_if<AskStatus>(&action)) {
        this->Step(
          StatusAnswered{ ask->upstream, ask->ask, Status(ask->upstream) });
      }
    }
  }

  static UpstreamStatus Status(UpstreamIndex aUpstream)
  {
    UpstreamStatus status;
    status.role = aUpstream == 0 ? Role::Primary : Role::Replica;
    status.term = status.followed = 1;
    status.received = status.replayed = 10;
    return status;
  }

  GroupActions Step(const GroupEvent& aEvent)
  {
    GroupActions actions = this->engine->Handle(this->now, aEvent);
    for (const GroupAction& action : actions) {
      if (const auto* open = std::get_if<OpenConnection>(&action)) {
        this->opened = open->connection;
      } else if (const auto* run = std::get_if<RunBatch>(&action)) {
        this->batches.push_back(*run);
      } else if (const auto* send = std::get_if<SendAnswer>(&action)) {
        this->answers.push_back(*send);
      }
    }
    return actions;
  }

  /** The result of a read that found `aText`. */
  static BatchResult ReadResult(const std::string& aText)
  {
    BatchResult result;
    result.steps.resize(4);
    for (StepResult& step : result.steps) {
      step.outcome = StepOutcome::Done;
    }
    result.steps[1].rows.rows = { { aText } };
    result.steps[2].status = Status(0);
    return result;
  }

  std::unique_ptr<GroupEngine> engine;
  Time now{ 1000 };
  ConnectionId opened = 0;
  std::vector<RunBatch> batches;
  std::vector<SendAnswer> answers;
};

} // namespace

Test(connections, a_cancelled_callers_batch_blocks_its_connection_to_its_end)
{
  BareEngine bare;
  bare.Step(RequestArrived{ 1, MakeRead("first", {}) });
  bare.Step(ConnectionOpened{ bare.opened });
  cr_assert_eq(bare.batches.size(), 1u);
  bare.Step(RequestCancelled{ 1 });
  bare.Step(RequestArrived{ 2, MakeRead("second", {}) });
  cr_assert_eq(bare.batches.size(), 1u, "the slot is not free before its end");
  RunBatch first = bare.batches[0];
  bare.Step(BatchFinished{
    first.connection, first.sequence, BareEngine::ReadResult("of first") });
  cr_assert_eq(bare.batches.size(), 2u);
  cr_assert_str_eq(bare.batches[1].batch[1].statement.parameters[0]->c_str(),
                   "second");
  cr_assert(bare.answers.empty(), "nobody waits for the first answer");
}

Test(connections, a_late_answer_of_the_statement_before_is_nobodys)
{
  BareEngine bare;
  bare.Step(RequestArrived{ 1, MakeRead("first", {}) });
  bare.Step(ConnectionOpened{ bare.opened });
  RunBatch first = bare.batches[0];
  bare.Step(BatchFinished{
    first.connection, first.sequence, BareEngine::ReadResult("of first") });
  bare.Step(RequestArrived{ 2, MakeRead("second", {}) });
  RunBatch second = bare.batches.back();
  cr_assert_eq(second.connection, first.connection);
  bare.answers.clear();
  bare.Step(BatchFinished{
    first.connection, first.sequence, BareEngine::ReadResult("late") });
  bare.Step(BatchFinished{
    second.connection, second.sequence, BareEngine::ReadResult("of second") });
  for (UpstreamIndex i = 1; i < 3; ++i) {
    uint64_t ask = bare.engine->View().At(i).ask;
    bare.Step(StatusAnswered{ i, ask, BareEngine::Status(i) });
  }
  bare.now = bare.now + Millis(5);
  for (const GroupAction& action : bare.Step(Tick{})) {
    if (const auto* ask = std::get_if<AskStatus>(&action)) {
      bare.Step(StatusAnswered{
        ask->upstream, ask->ask, BareEngine::Status(ask->upstream) });
    }
  }
  size_t found = 0;
  for (const SendAnswer& answer : bare.answers) {
    if (answer.handle == 2) {
      ++found;
      cr_assert_str_eq(answer.answer.rows.rows[0][0]->c_str(), "of second");
    }
  }
  cr_assert_eq(found, 1u);
}

Test(connections, a_silent_connection_is_closed_and_never_used_again)
{
  BareEngine bare;
  bare.Step(RequestArrived{ 1, MakeRead("first", {}) });
  bare.Step(ConnectionOpened{ bare.opened });
  RunBatch first = bare.batches[0];
  for (int i = 0; i < 30; ++i) {
    bare.now = bare.now + Millis(50);
    bare.Step(Tick{});
  }
  cr_assert(bare.engine->Connections().Find(first.connection) == nullptr);
  bare.Step(BatchFinished{
    first.connection, first.sequence, BareEngine::ReadResult("late") });
  for (const SendAnswer& answer : bare.answers) {
    cr_assert(answer.answer.rows.rows.empty());
  }
}
