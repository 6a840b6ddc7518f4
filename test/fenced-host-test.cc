#include "fakes/promotion-run.h"

#include <criterion/criterion.h>

// What a host does with its callers' commits while a promoter, which is not
// simulated here, fences it.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

void
SendFence(PromotionRun& aRun, FenceCommand aCommand)
{
  aRun.simulation.Send(
    1, FenceRequestArrived{ "h2", { "service", 1, 2, aCommand, false } });
}

std::optional<FailureCode>
FailureOf(const std::shared_ptr<FakeRequest>& aRequest)
{
  bool hasFailed = aRequest->reply && aRequest->reply->failure;
  return hasFailed ? std::make_optional(aRequest->reply->failure->code)
                   : std::nullopt;
}

} // namespace

// Guards against a transaction that stays open at a fenced host until its
// caller gives up.
Test(fenced_host, commit_of_an_open_transaction_is_aborted)
{
  PromotionRun run(PromotionRun::Options(1));
  CallerId caller = run.simulation.OpenSession(1);
  run.simulation.SubmitAndWait(1, caller, StatementOf(StatementKind::Begin));
  run.simulation.SubmitAndWait(1, caller, WriteStatement("a", "open"));
  SendFence(run, FenceCommand::Close);
  auto commit = run.simulation.SubmitStatement(
    1, caller, StatementOf(StatementKind::Commit));
  run.simulation.RunFor(Millis(50));
  cr_assert(FailureOf(commit) == FailureCode::Aborted);
  cr_assert_eq(commit->effects, 0);
}

Test(fenced_host, write_is_sent_only_once_the_fence_is_reopened)
{
  PromotionRun run(PromotionRun::Options(1));
  SendFence(run, FenceCommand::Close);
  auto write = run.simulation.SubmitStatement(
    1, run.simulation.OpenSession(1), WriteStatement("a", "late"));
  run.simulation.RunFor(Millis(200));
  cr_assert_eq(write->effects, 0);
  SendFence(run, FenceCommand::Reopen);
  run.simulation.RunFor(Millis(300));
  cr_assert(IsOk(write));
}

// Guards against acknowledging a commit of a lower term once the fence is gone,
// because the promotion has taken effect.
Test(fenced_host, commit_of_a_lower_term_has_an_unknown_outcome)
{
  PromotionRun run(PromotionRun::Options(1));
  run.StopReplication();
  auto write = run.simulation.SubmitStatement(
    1, run.simulation.OpenSession(1), WriteStatement("a", "waits"));
  run.simulation.RunFor(Millis(100));
  cr_assert_not(write->reply);
  SendFence(run, FenceCommand::TermBegan);
  run.simulation.SetReplicationBlocked(2, false);
  run.simulation.RunFor(Millis(50));
  cr_assert(FailureOf(write) == FailureCode::OutcomeUnknown);
}
