#include "fakes/requests.h"

#include <criterion/criterion.h>

// Connections of `GroupEngine` whose answers come late or never, one event at a
// time.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

/** An engine with three upstreams that have all answered a probe. */
class EngineFixture
{
public:
  EngineFixture()
  {
    GroupConfig config;
    config.name = "g";
    config.slots = 1;
    config.connections = 2;
    config.upstreams.resize(3);
    this->engine = std::move(
      GroupEngine::Create(config, MakeDefaultPolicies(config), {}).value());
    for (const GroupAction& action : this->Step(Tick{})) {
      if (const auto* probe = std::get_if<ProbeUpstream>(&action)) {
        this->Step(StatusAnswered{
          probe->upstream, probe->probe, Status(probe->upstream) });
      }
    }
  }

  static UpstreamStatus Status(UpstreamIndex aUpstream)
  {
    UpstreamStatus status;
    status.role = aUpstream == 0 ? Role::Primary : Role::Replica;
    status.term = status.followedTerm = 1;
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

  /** Returns the result of a read with `aText` in its only cell. */
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

Test(connections, cancelled_batch_occupies_its_connection_until_it_ends)
{
  EngineFixture fixture;
  fixture.Step(RequestArrived{ 1, MakeRead("first", {}) });
  fixture.Step(ConnectionOpened{ fixture.opened });
  cr_assert_eq(fixture.batches.size(), 1u);
  fixture.Step(RequestCancelled{ 1 });
  fixture.Step(RequestArrived{ 2, MakeRead("second", {}) });
  cr_assert_eq(
    fixture.batches.size(), 1u, "the slot is not free before the batch ends");
  RunBatch first = fixture.batches[0];
  fixture.Step(BatchFinished{
    first.connection, first.sequence, EngineFixture::ReadResult("of first") });
  cr_assert_eq(fixture.batches.size(), 2u);
  cr_assert_str_eq(fixture.batches[1].batch[1].statement.parameters[0]->c_str(),
                   "second");
  cr_assert(fixture.answers.empty(),
            "the caller of the first batch cancelled it");
}

Test(connections, late_answer_of_an_earlier_batch_is_dropped)
{
  EngineFixture fixture;
  fixture.Step(RequestArrived{ 1, MakeRead("first", {}) });
  fixture.Step(ConnectionOpened{ fixture.opened });
  RunBatch first = fixture.batches[0];
  fixture.Step(BatchFinished{
    first.connection, first.sequence, EngineFixture::ReadResult("of first") });
  fixture.Step(RequestArrived{ 2, MakeRead("second", {}) });
  RunBatch second = fixture.batches.back();
  cr_assert_eq(second.connection, first.connection);
  fixture.answers.clear();
  fixture.Step(BatchFinished{
    first.connection, first.sequence, EngineFixture::ReadResult("late") });
  fixture.Step(BatchFinished{ second.connection,
                              second.sequence,
                              EngineFixture::ReadResult("of second") });
  for (UpstreamIndex i = 1; i < 3; ++i) {
    uint64_t probe = fixture.engine->View().At(i).probe;
    fixture.Step(StatusAnswered{ i, probe, EngineFixture::Status(i) });
  }
  fixture.now = fixture.now + Millis(5);
  for (const GroupAction& action : fixture.Step(Tick{})) {
    if (const auto* probe = std::get_if<ProbeUpstream>(&action)) {
      fixture.Step(StatusAnswered{ probe->upstream,
                                   probe->probe,
                                   EngineFixture::Status(probe->upstream) });
    }
  }
  size_t found = 0;
  for (const SendAnswer& answer : fixture.answers) {
    if (answer.handle == 2) {
      ++found;
      cr_assert_str_eq(answer.answer.rows.rows[0][0]->c_str(), "of second");
    }
  }
  cr_assert_eq(found, 1u);
}

Test(connections, a_silent_connection_is_closed_and_never_used_again)
{
  EngineFixture fixture;
  fixture.Step(RequestArrived{ 1, MakeRead("first", {}) });
  fixture.Step(ConnectionOpened{ fixture.opened });
  RunBatch first = fixture.batches[0];
  for (int i = 0; i < 30; ++i) {
    fixture.now = fixture.now + Millis(50);
    fixture.Step(Tick{});
  }
  cr_assert(fixture.engine->Connections().Find(first.connection) == nullptr);
  fixture.Step(BatchFinished{
    first.connection, first.sequence, EngineFixture::ReadResult("late") });
  for (const SendAnswer& answer : fixture.answers) {
    cr_assert(answer.answer.rows.rows.empty());
  }
}
