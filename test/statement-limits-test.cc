#include "fakes/proxy-simulation.h"
#include "wire-lines.h"

#include "marigoldpitch/coordination/proxy/statement-limits.h"
#include "marigoldpitch/protocol/wire.h"
#include "marigoldpitch/transport/line-link.h"

#include <criterion/criterion.h>

#include <limits>

// Statements, sessions and replies that are larger than a link carries.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr size_t kLineEndBytes = 2;
constexpr size_t kMaxPreparedNameBytes = 24; // of the proxy's own names

constexpr size_t kRelayHosts = 4;

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

/** Hosts of one zone, of which one serves the service for the others. */
ProxySimulationOptions
RelayOptions()
{
  ProxySimulationOptions options;
  options.hosts = kRelayHosts;
  options.zones = 1;
  options.connections = kRelayHosts;
  return options;
}

/** A host that relays its callers' statements. */
size_t
RelayingHost(ProxySimulation& aSimulation)
{
  size_t host = 0;
  while (aSimulation.Host(host).Services().at("service").isServedHere) {
    ++host;
  }
  return host;
}

SessionStatement
Setting(const std::string& aName, size_t aBytes)
{
  return { StatementKind::SetValue, aName, std::string(aBytes, 'v') };
}

SessionStatement
Prepared(const std::string& aName, size_t aBytes)
{
  SessionStatement statement{ StatementKind::Prepare, aName };
  statement.preparedText = std::string(aBytes, 'p');
  return statement;
}

/** The largest statement with as many settings of the size as fit. */
RelayedStatement
LargestRelayed(size_t aSettingBytes)
{
  RelayedStatement relayed;
  relayed.requestId = "q1";
  relayed.statement = { StatementKind::Execute, "s" };
  relayed.statement.arguments = std::string(kMaxStatementBytes, 'x');
  relayed.statement.preparedText = std::string(kMaxStatementBytes, 'x');
  size_t used = 0;
  for (size_t n = 0; used + aSettingBytes <= kMaxSettingsBytes; ++n) {
    std::string name = std::to_string(n);
    size_t rest = aSettingBytes - kEntryOverheadBytes - name.size();
    relayed.values[name] = std::string(rest, 'v');
    used += aSettingBytes;
  }
  return relayed;
}

bool
IsTooBig(const std::shared_ptr<FakeRequest>& aRequest)
{
  return aRequest->reply && aRequest->reply->failure &&
         aRequest->reply->failure->code == FailureCode::TooBig;
}

FailureCode
CodeOf(const std::shared_ptr<FakeRequest>& aRequest)
{
  cr_assert(aRequest->reply && aRequest->reply->failure,
            "the statement was not refused");
  return aRequest->reply->failure->code;
}

void
SetExtraRows(ProxySimulation& aSimulation, size_t aRows)
{
  for (size_t i = 0; i < aSimulation.Upstreams(); ++i) {
    aSimulation.Upstream(i).extraRows = aRows;
  }
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

// Guards against settings that no connection can take in one go.
Test(statement_limits, settings_of_a_session_are_bounded)
{
  ProxySimulation simulation(Options());
  WarmUp(simulation);
  CallerId caller = simulation.OpenSession(0);
  constexpr size_t kHalf = kMaxSettingsBytes / 2 - kEntryOverheadBytes - 1;
  auto set = [&](const std::string& aName, size_t aBytes) {
    return simulation.SubmitAndWait(0, caller, Setting(aName, aBytes));
  };
  cr_assert(IsOk(set("a", kHalf)));
  cr_assert(IsOk(set("b", kHalf)));
  cr_assert(IsTooBig(set("c", 1)));
  cr_assert(IsTooBig(set("b", kHalf + 1)));
  cr_assert(IsOk(set("b", kHalf)));
  cr_assert(IsOk(simulation.SubmitAndWait(0, caller, ReadStatement("a"))));
  cr_assert(IsOk(set("b", 1)));
  cr_assert(IsOk(set("c", 1)));
  cr_assert(IsOk(simulation.SubmitAndWait(0, caller, ReadStatement("a"))));
  cr_assert_eq(simulation.Violations(), "");
}

// Guards against a session whose prepared statements fill the memory.
Test(statement_limits, prepared_statements_of_a_session_are_bounded)
{
  ProxySimulation simulation(Options());
  WarmUp(simulation);
  CallerId caller = simulation.OpenSession(0);
  constexpr size_t kPart = kMaxPreparedBytes / 8 - kEntryOverheadBytes - 1;
  auto prepare = [&](const std::string& aName, size_t aBytes) {
    return simulation.SubmitAndWait(0, caller, Prepared(aName, aBytes));
  };
  for (char name = 'a'; name < 'a' + 8; ++name) {
    cr_assert(IsOk(prepare(std::string(1, name), kPart)));
  }
  cr_assert(IsTooBig(prepare("z", 1)));
  SessionStatement execute{ StatementKind::Execute, "a", "k" };
  cr_assert(IsOk(simulation.SubmitAndWait(0, caller, execute)));
  SessionStatement forget{ StatementKind::Forget, "a" };
  simulation.SubmitAndWait(0, caller, forget);
  cr_assert(IsOk(prepare("z", kPart)));
}

// Guards against settings that close the link that all callers of a host share.
Test(statement_limits, settings_over_the_limit_leave_the_relay_link_up)
{
  ProxySimulation simulation(RelayOptions());
  WarmUp(simulation);
  size_t host = RelayingHost(simulation);
  CallerId caller = simulation.OpenSession(host);
  for (int i = 0; i < 10; ++i) {
    simulation.SubmitAndWait(
      host, caller, Setting(std::to_string(i), kMebibyte / 2));
  }
  cr_assert(IsOk(simulation.SubmitAndWait(host, caller, ReadStatement("a"))));
  cr_assert_eq(simulation.OversizedFrames(), 0);
  cr_assert_eq(simulation.Violations(), "");
}

// Guards against limits whose sum is over that of a frame between hosts.
Test(statement_limits, largest_statement_and_session_fit_a_relay_frame)
{
  constexpr size_t kLongestNameBytes = 4;
  for (size_t bytes :
       { kEntryOverheadBytes + kLongestNameBytes, kMaxSettingsBytes / 2 }) {
    RelayedStatementFrame frame{ LargestRelayed(bytes) };
    cr_assert_leq(EncodeFrame(frame).size(), kMaxRelayFrameBytes);
  }
}

// Guards against rows that close the link that all callers of a host share.
Test(statement_limits, oversized_reply_is_refused_truthfully)
{
  for (const ProxySimulationOptions& options : { Options(), RelayOptions() }) {
    ProxySimulation simulation(options);
    WarmUp(simulation);
    size_t host = options.zones == 0 ? 0 : RelayingHost(simulation);
    CallerId caller = simulation.OpenSession(host);
    SetExtraRows(simulation, 4);
    auto read = simulation.SubmitAndWait(host, caller, ReadStatement("a"));
    cr_assert(CodeOf(read) == FailureCode::Failed);
    auto write =
      simulation.SubmitAndWait(host, caller, WriteStatement("a", "v"));
    cr_assert(CodeOf(write) == FailureCode::OutcomeUnknown);
    cr_assert_eq(write->runs, 1);
    SetExtraRows(simulation, 3);
    cr_assert(IsOk(simulation.SubmitAndWait(host, caller, ReadStatement("a"))));
    cr_assert_eq(simulation.OversizedFrames(), 0);
    cr_assert_eq(simulation.Violations(), "");
  }
}

// Guards against a promise about a transaction that its reply makes untrue.
Test(statement_limits, oversized_reply_in_a_transaction_rolls_it_back)
{
  for (const ProxySimulationOptions& options : { Options(), RelayOptions() }) {
    ProxySimulation simulation(options);
    WarmUp(simulation);
    size_t host = options.zones == 0 ? 0 : RelayingHost(simulation);
    CallerId caller = simulation.OpenSession(host);
    auto submit = [&](const SessionStatement& aStatement) {
      return simulation.SubmitAndWait(host, caller, aStatement);
    };
    submit(StatementOf(StatementKind::Begin));
    cr_assert(IsOk(submit(WriteStatement("a", "v1"))));
    SetExtraRows(simulation, 4);
    auto write = submit(WriteStatement("a", "v2"));
    cr_assert(CodeOf(write) == FailureCode::Aborted);
    cr_assert(write->reply->state == SessionState::Failed);
    SetExtraRows(simulation, 0);
    submit(StatementOf(StatementKind::RollBack));
    cr_assert_eq(simulation.Acknowledged().size(), 0);
    submit(StatementOf(StatementKind::Begin));
    cr_assert(IsOk(submit(WriteStatement("a", "v3"))));
    SetExtraRows(simulation, 4);
    auto commit = submit(StatementOf(StatementKind::Commit));
    cr_assert(CodeOf(commit) == FailureCode::OutcomeUnknown);
    SetExtraRows(simulation, 0);
    cr_assert(IsOk(submit(ReadStatement("a"))));
    cr_assert_eq(simulation.OversizedFrames(), 0);
    cr_assert_eq(simulation.Violations(), "");
  }
}

// Guards against a bound on replies that is over that of a frame.
Test(statement_limits, largest_reply_fits_a_relay_frame)
{
  for (size_t bytes : { size_t{ 0 }, kMebibyte }) {
    RelayedReply relayed;
    size_t rows = kMaxReplyBytes / (bytes + kRowOverheadBytes);
    relayed.reply.rows.resize(rows, std::string(bytes, 'r'));
    cr_assert_leq(SizeOf(relayed.reply), kMaxReplyBytes);
    cr_assert_leq(EncodeFrame(RelayedReplyFrame{ relayed }).size(),
                  kMaxRelayFrameBytes);
    cr_assert_lt(platform::EncodeReply(relayed.reply).size(),
                 kMaxQueuedLineBytes);
  }
}

// Guards against pipelined statements that fill the memory.
Test(statement_limits, pipelined_statements_are_bounded_by_their_size)
{
  ProxySimulation simulation(Options());
  WarmUp(simulation);
  CallerId caller = simulation.OpenSession(0);
  SessionStatement read = ReadStatement(std::string(kMebibyte / 2, 'x'));
  for (int i = 0; i < 4; ++i) {
    simulation.SubmitStatement(0, caller, read);
  }
  cr_assert_eq(simulation.endedSessions.count(caller), 0);
  simulation.SubmitStatement(0, caller, read);
  cr_assert_eq(simulation.endedSessions.count(caller), 1);
  cr_assert(simulation.endedSessions[caller]->code == FailureCode::TooBig);
}

// Guards against a sum that keeps what has been handled.
Test(statement_limits, handled_statements_make_room_for_further_ones)
{
  ProxySimulation simulation(Options());
  WarmUp(simulation);
  CallerId caller = simulation.OpenSession(0);
  SessionStatement read = ReadStatement(std::string(kMebibyte / 2, 'x'));
  for (int round = 0; round < 4; ++round) {
    for (int i = 0; i < 4; ++i) {
      simulation.SubmitStatement(0, caller, read);
    }
    simulation.RunFor(Millis(200));
  }
  cr_assert_eq(simulation.endedSessions.count(caller), 0);
}
