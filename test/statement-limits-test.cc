#include "fakes/proxy-simulation.h"
#include "wire-lines.h"

#include "marigoldpitch/coordination/proxy/statement-limits.h"
#include "marigoldpitch/transport/line-link.h"

#include <criterion/criterion.h>

#include <limits>

// Statements, sessions and replies that are larger than a link carries.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr size_t kLineEndBytes = 2;
constexpr size_t kMaxPreparedNameBytes = 24; // of the proxy's own names

ProxySimulationOptions
Options()
{
  ProxySimulationOptions options;
  options.hosts = 1;
  return options;
}

/** Gives host 0 the promoter lease and lets all hosts find the primary. */
void
WarmUp(ProxySimulation& aSimulation)
{
  aSimulation.SetPromoterLease(0, true);
  aSimulation.RunFor(Millis(1500));
}

bool
IsTooBig(const std::shared_ptr<FakeRequest>& aRequest)
{
  return aRequest->reply && aRequest->reply->failure &&
         aRequest->reply->failure->code == FailureCode::TooBig;
}

size_t
LineBytes(const std::string& aRequestId,
          const SessionStatement& aStatement,
          bool aHasAfter)
{
  std::optional<LogPoint> after;
  if (aHasAfter) {
    after = LogPoint{ std::numeric_limits<Term>::max(),
                      std::numeric_limits<Position>::max() };
  }
  return platform::EncodeQuery(aRequestId, aStatement, after).size() -
         kLineEndBytes;
}

} // namespace

// Guards against a line that the upstream answers by closing the connection.
Test(statement_limits, statement_longer_than_a_line_carries_reaches_no_upstream)
{
  ProxySimulation simulation(Options());
  WarmUp(simulation);
  CallerId caller = simulation.OpenSession(0);
  std::string text(kMaxStatementBytes, 'x');
  for (const SessionStatement& statement :
       { ReadStatement(text), WriteStatement("a", text) }) {
    auto request = simulation.SubmitAndWait(0, caller, statement);
    cr_assert(IsTooBig(request));
    cr_assert_eq(request->runs, 0);
  }
  cr_assert(IsOk(simulation.SubmitAndWait(0, caller, ReadStatement("a"))));
  text.resize(kMaxStatementBytes - kKibibyte);
  cr_assert(IsOk(simulation.SubmitAndWait(0, caller, ReadStatement(text))));
}

// Guards against a transaction that is lost with a statement that never ran.
Test(statement_limits, refused_statement_leaves_its_transaction_open)
{
  ProxySimulation simulation(Options());
  WarmUp(simulation);
  CallerId caller = simulation.OpenSession(0);
  simulation.SubmitAndWait(0, caller, StatementOf(StatementKind::Begin));
  simulation.SubmitAndWait(0, caller, WriteStatement("a", "v1"));
  std::string text(kMaxStatementBytes, 'x');
  auto refused = simulation.SubmitAndWait(0, caller, WriteStatement("a", text));
  cr_assert(IsTooBig(refused));
  cr_assert(refused->reply->state == SessionState::InTransaction);
  auto commit = StatementOf(StatementKind::Commit);
  cr_assert(IsOk(simulation.SubmitAndWait(0, caller, commit)));
  cr_assert_eq(simulation.Acknowledged().size(), 1);
  cr_assert_eq(simulation.Violations(), "");
}

// Guards against a reserve that is smaller than what the proxy adds.
Test(statement_limits, largest_statement_fits_a_line_with_all_additions)
{
  std::string id(16, 'i');
  std::string proxyName(kMaxPreparedNameBytes, 'p');
  std::string text(kMaxStatementBytes - id.size() - 1, 'x');
  SessionStatement execute{ StatementKind::Execute, proxyName, text };
  SessionStatement prepare{ StatementKind::Prepare, proxyName };
  prepare.writes = true;
  prepare.preparedText = text;
  SessionStatement set{ StatementKind::SetValue, "s", text };
  cr_assert_leq(LineBytes(id, ReadStatement(text), true), kMaxLineBytes);
  cr_assert_leq(LineBytes(id, WriteStatement("a", text), false), kMaxLineBytes);
  cr_assert_leq(LineBytes(id, execute, true), kMaxLineBytes);
  cr_assert_leq(LineBytes("", prepare, false), kMaxLineBytes);
  cr_assert_leq(LineBytes("", set, false), kMaxLineBytes);
}
