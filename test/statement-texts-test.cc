#include "fakes/proxy-simulation.h"
#include "standin/upstream-line.h"

#include "wire-lines.h"

#include "marigoldpitch/protocol/wire.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <functional>

// What callers may write, on each path to an upstream: an upstream runs a
// caller's text as it was sent and as its session prepared it, or not at all.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;
using standin::ReadUpstreamLine;

namespace {

/** Encodes messages as the program does; an independent reader decodes them. */
class LinePath : public MessagePath
{
public:
  ProxyEvent FromCaller(CallerId aCaller,
                        const std::string& aRequestId,
                        const std::string& aText) override
  {
    auto line = platform::DecodeCallerLine("QUERY " + aRequestId + " " + aText);
    const auto* query =
      line ? std::get_if<platform::QueryLine>(&line.value()) : nullptr;
    if (query == nullptr) {
      return InvalidStatementArrived{ aCaller, aRequestId, "invalid" };
    }
    return StatementArrived{ aCaller, aRequestId, query->statement };
  }

  std::optional<SendToUpstream> ToUpstream(const SendToUpstream& aSent) override
  {
    std::string text =
      platform::EncodeQuery(aSent.requestId, aSent.statement, aSent.after);
    // Without the line break.
    auto read =
      ReadUpstreamLine(std::string_view(text).substr(0, text.size() - 2));
    if (!read) {
      return std::nullopt;
    }
    SendToUpstream understood = aSent;
    understood.statement = read->statement;
    understood.after = read->after;
    return understood;
  }

  RelayedStatement ToHost(const RelayedStatement& aSent) override
  {
    auto frame = DecodeFrame(EncodeFrame(RelayedStatementFrame{ aSent }));
    cr_assert(static_cast<bool>(frame));
    return std::get<RelayedStatementFrame>(frame.value()).statement;
  }
};

/** What the text says by the protocol; unset if it is invalid. */
std::optional<SessionStatement>
MeaningOf(const std::string& aText)
{
  auto line = ReadUpstreamLine("QUERY r " + aText);
  return line ? std::make_optional(line->statement) : std::nullopt;
}

/** A simulation with connections for few sessions at a time. */
struct Site
{
  explicit Site(bool aIsRelayed = false, uint32_t aSeed = 1)
    : simulation(Options(aIsRelayed, aSeed, path))
  {
    this->simulation.SetPromoterLease(0, true);
    this->simulation.RunFor(Millis(2500));
    for (size_t i = 0; i < this->simulation.Hosts(); ++i) {
      bool serves =
        this->simulation.Host(i).Services().at("service").isServedHere;
      this->host = serves == aIsRelayed ? this->host : i;
    }
  }

  static ProxySimulationOptions Options(bool aIsRelayed,
                                        uint32_t aSeed,
                                        LinePath& aPath)
  {
    ProxySimulationOptions options;
    options.seed = aSeed;
    options.path = &aPath;
    options.connections = aIsRelayed ? 12 : 4;
    options.hosts = aIsRelayed ? 12 : 2;
    options.zones = aIsRelayed ? 2 : 0;
    return options;
  }

  CallerId Open() { return this->simulation.OpenSession(this->host); }

  std::shared_ptr<FakeRequest> Send(CallerId aCaller, const std::string& aText)
  {
    auto request =
      this->simulation.SubmitText(this->host, aCaller, aText, MeaningOf(aText));
    for (int i = 0; i < 2000 && !request->reply; ++i) {
      this->simulation.RunFor(Millis(1));
    }
    return request;
  }

  LinePath path;
  ProxySimulation simulation;
  size_t host = 0; // of the callers: it serves, or relays
};

FailureCode
CodeOf(const std::shared_ptr<FakeRequest>& aRequest)
{
  cr_assert(aRequest->reply && aRequest->reply->failure, "it has succeeded");
  return aRequest->reply->failure->code;
}

/** Refuses all statements of the kind. */
std::function<std::optional<FailureCode>(const SessionStatement&)>
RefuseAll(StatementKind aKind, FailureCode aCode)
{
  return [aKind, aCode](const SessionStatement& aStatement) {
    return aStatement.kind == aKind ? std::make_optional(aCode) : std::nullopt;
  };
}

/** Text with blanks, words of the protocol and odd bytes. */
rc::Gen<std::string>
OddText()
{
  auto part = rc::gen::element<std::string>("a",
                                            "q15",
                                            " ",
                                            " ",
                                            "  ",
                                            "\t",
                                            "\x01",
                                            "\xff\xfe",
                                            "READ",
                                            "WRITE",
                                            " READ ",
                                            " WRITE ",
                                            "PREPARE",
                                            "AFTER 1.1 ",
                                            "-",
                                            "'",
                                            "\\");
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(part),
                      [](const std::vector<std::string>& aParts) {
                        std::string text;
                        for (const std::string& one : aParts) {
                          text += one;
                        }
                        return text;
                      });
}

/** Mostly valid texts of statements, with odd fields. */
std::string
DrawText()
{
  std::string odd = *OddText() + *rc::gen::element<std::string>("", " ");
  std::string word = *rc::gen::element<std::string>("s1", "s2", "p1", "\xff");
  std::string kind = *rc::gen::element<std::string>("READ ", "WRITE ");
  switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
      return "PREPARE " + word + " " + kind + odd;
    case 2:
    case 3:
    case 4:
      return "EXEC " + word + " " + odd;
    case 5:
      return "READ " + odd;
    case 6:
      return "WRITE " + word + " " + odd;
    case 7:
      return "SET " + word + *rc::gen::element<std::string>("", " ") + odd;
    case 8:
      return "FORGET " + word + *rc::gen::element<std::string>("", " ");
    case 9:
      return "BEGIN" + *rc::gen::element<std::string>("", "", " ", " READ");
    case 10:
      return *rc::gen::element<std::string>("COMMIT", "ROLLBACK", "COMMIT ");
    default:
      return odd;
  }
}

} // namespace

Test(statement_texts, prepared_text_with_blanks_runs_as_it_was_prepared)
{
  for (bool isRelayed : { false, true }) {
    Site site(isRelayed);
    CallerId caller = site.Open();
    for (std::string text : { "READ qf READ sgxl",
                              "WRITE q15 WRITE ij",
                              "READ two words",
                              "READ  q15 ",
                              "WRITE \xff\t\x01" }) {
      cr_assert(IsOk(site.Send(caller, "PREPARE s3 " + text)));
      cr_assert(IsOk(site.Send(caller, "EXEC s3 k v")), "%s", text.c_str());
    }
    cr_assert_eq(site.simulation.Violations(), "");
  }
}

Test(statement_texts, prepared_text_does_not_replace_that_of_another_session)
{
  for (bool isRelayed : { false, true }) {
    Site site(isRelayed);
    CallerId first = site.Open();
    CallerId second = site.Open();
    site.Send(first, "PREPARE p WRITE q15");
    site.Send(second, "PREPARE p WRITE q15 WRITE ij");
    for (int i = 0; i < 4; ++i) {
      cr_assert(IsOk(site.Send(first, "EXEC p k v")));
      cr_assert(IsOk(site.Send(second, "EXEC p k v")));
    }
    cr_assert_eq(site.simulation.Violations(), "");
  }
}

Test(statement_texts, blanks_at_the_end_of_a_statement_are_kept)
{
  for (bool isRelayed : { false, true }) {
    Site site(isRelayed);
    CallerId caller = site.Open();
    cr_assert(IsOk(site.Send(caller, "READ cf ")));
    cr_assert(IsOk(site.Send(caller, "READ two words")));
    cr_assert(IsOk(site.Send(caller, "WRITE k  v ")));
    site.Send(caller, "BEGIN");
    cr_assert(IsOk(site.Send(caller, "READ k ")));
    site.Send(caller, "COMMIT ");
    site.Send(caller, "ROLLBACK");
    cr_assert_eq(site.simulation.Violations(), "");
  }
}

Test(statement_texts, any_texts_run_unchanged_or_not_at_all)
{
  cr_assert(rc::check("any texts", [] {
    Site site(*rc::gen::arbitrary<bool>());
    std::vector<CallerId> callers{ site.Open(), site.Open(), site.Open() };
    auto count = *rc::gen::inRange<size_t>(1, 30);
    for (size_t i = 0; i < count; ++i) {
      auto request =
        site.Send(*rc::gen::elementOf(callers), std::string(DrawText()));
      RC_ASSERT(request->reply.has_value());
    }
    RC_ASSERT(site.simulation.Violations() == "");
  }));
}

// An upstream that refuses a text would refuse it again.
Test(statement_texts, refused_prepared_text_is_answered_and_costs_no_connection)
{
  for (bool isRelayed : { false, true }) {
    Site site(isRelayed);
    site.simulation.refusal = [](const SessionStatement& aStatement) {
      bool isOdd = aStatement.kind == StatementKind::Prepare &&
                   aStatement.preparedText == "odd";
      return isOdd ? std::make_optional(FailureCode::Invalid) : std::nullopt;
    };
    CallerId other = site.Open();
    site.Send(other, "PREPARE p READ even");
    site.Send(other, "SET tz utc");
    cr_assert(IsOk(site.Send(other, "EXEC p k")));
    CallerId caller = site.Open();
    site.Send(caller, "PREPARE p READ odd");
    size_t opened = site.simulation.OpenedLinks();
    for (int i = 0; i < 10; ++i) {
      cr_assert(CodeOf(site.Send(caller, "EXEC p k")) == FailureCode::Invalid);
      cr_assert(IsOk(site.Send(other, "EXEC p k")));
    }
    cr_assert_eq(site.simulation.OpenedLinks(), opened);
    cr_assert_eq(site.simulation.Violations(), "");
  }
}

Test(statement_texts, refused_prepared_text_rolls_its_transaction_back)
{
  Site site;
  site.simulation.refusal =
    RefuseAll(StatementKind::Prepare, FailureCode::Invalid);
  CallerId caller = site.Open();
  site.Send(caller, "PREPARE p READ odd");
  site.Send(caller, "BEGIN");
  cr_assert(IsOk(site.Send(caller, "WRITE k v")));
  auto refused = site.Send(caller, "EXEC p k");
  cr_assert(CodeOf(refused) == FailureCode::Invalid);
  cr_assert(refused->reply->state == SessionState::Failed);
  cr_assert(IsOk(site.Send(caller, "ROLLBACK")));
  cr_assert(IsOk(site.Send(caller, "READ k")));
  cr_assert_eq(site.simulation.Acknowledged().size(), 0);
  cr_assert_eq(site.simulation.Violations(), "");
}

Test(statement_texts,
     setting_refused_after_its_caller_left_is_not_taken_for_set)
{
  Site site;
  bool hasRefused = false;
  site.simulation.refusal = [&](const SessionStatement& aStatement) {
    bool isRefused = aStatement.kind == StatementKind::SetValue;
    hasRefused = hasRefused || isRefused;
    return isRefused ? std::make_optional(FailureCode::Invalid) : std::nullopt;
  };
  CallerId leaving = site.Open();
  site.Send(leaving, "SET tz utc");
  site.simulation.SubmitText(site.host, leaving, "READ k", MeaningOf("READ k"));
  for (int i = 0; i < 500 && !hasRefused; ++i) {
    site.simulation.RunFor(Millis(1));
  }
  site.simulation.CloseSession(site.host, leaving); // the reply is on its way
  site.simulation.RunFor(Millis(50));
  site.simulation.refusal = nullptr;
  CallerId caller = site.Open();
  site.Send(caller, "SET tz utc");
  for (int i = 0; i < 5; ++i) {
    cr_assert(IsOk(site.Send(caller, "READ k")));
  }
  cr_assert_eq(site.simulation.Violations(), "");
}

Test(statement_texts, setting_refused_inside_a_transaction_rolls_it_back)
{
  for (FailureCode code :
       { FailureCode::Invalid, FailureCode::Busy, FailureCode::Failed }) {
    for (bool isCommit : { false, true }) {
      Site site;
      CallerId caller = site.Open();
      site.Send(caller, "BEGIN");
      cr_assert(IsOk(site.Send(caller, "WRITE k v")));
      site.Send(caller, "SET tz utc");
      site.simulation.refusal = RefuseAll(StatementKind::SetValue, code);
      auto refused = site.Send(caller, isCommit ? "COMMIT" : "WRITE k w");
      bool isAborted = isCommit || code != FailureCode::Invalid;
      cr_assert(CodeOf(refused) ==
                (isAborted ? FailureCode::Aborted : FailureCode::Invalid));
      site.simulation.refusal = nullptr;
      if (!isCommit) {
        cr_assert(CodeOf(site.Send(caller, "COMMIT")) == FailureCode::Aborted);
      }
      cr_assert(IsOk(site.Send(caller, "READ k")));
      cr_assert_eq(site.simulation.Acknowledged().size(), 0);
      cr_assert_eq(site.simulation.Violations(), "");
    }
  }
}

Test(statement_texts, statement_forgotten_by_its_upstream_is_prepared_anew)
{
  for (bool isRelayed : { false, true }) {
    Site site(isRelayed);
    bool isForgotten = true;
    site.simulation.refusal = [&](const SessionStatement& aStatement) {
      bool isLost = aStatement.kind == StatementKind::Execute &&
                    std::exchange(isForgotten, false);
      return isLost ? std::make_optional(FailureCode::NoStatement)
                    : std::nullopt;
    };
    for (int i = 0; i < 4; ++i) {
      CallerId caller = site.Open();
      site.Send(caller, "PREPARE p WRITE q");
      site.Send(caller, "BEGIN");
      cr_assert(IsOk(site.Send(caller, "WRITE k v")));
      auto execution = site.Send(caller, "EXEC p k w");
      cr_assert(i == 0 || IsOk(execution));
      site.Send(caller, "ROLLBACK");
      site.simulation.RunFor(Millis(20));
    }
    cr_assert_eq(site.simulation.Violations(), "");
  }
}

Test(statement_texts, statement_does_not_run_after_its_transaction_has_ended)
{
  for (bool isRelayed : { false, true }) {
    Site site(isRelayed);
    CallerId caller = site.Open();
    site.Send(caller, "BEGIN");
    cr_assert(IsOk(site.Send(caller, "WRITE k v")));
    site.Send(caller, "SET tz utc");
    site.simulation.EndTransactions();
    cr_assert(CodeOf(site.Send(caller, "WRITE k w")) == FailureCode::Aborted);
    cr_assert_eq(site.simulation.Acknowledged().size(), 0);
    cr_assert_eq(site.simulation.Violations(), "");
  }
}

Test(statement_texts, connection_whose_setup_fails_is_replaced)
{
  for (FailureCode code : { FailureCode::Invalid,
                            FailureCode::Busy,
                            FailureCode::Failed,
                            FailureCode::Timeout }) {
    Site site;
    CallerId first = site.Open();
    site.Send(first, "SET tz utc");
    cr_assert(IsOk(site.Send(first, "WRITE k v")));
    size_t refusals = 0;
    site.simulation.refusal = [&](const SessionStatement& aStatement) {
      bool isRefused =
        aStatement.kind == StatementKind::Reset && refusals++ < 2;
      return isRefused ? std::make_optional(code) : std::nullopt;
    };
    CallerId second = site.Open();
    cr_assert(IsOk(site.Send(second, "WRITE k w")));
    cr_assert_eq(site.simulation.Violations(), "");
  }
}

Test(statement_texts, refusals_and_departures_leave_no_foreign_settings)
{
  cr_assert(rc::check("any refusals", [] {
    Site site(*rc::gen::arbitrary<bool>());
    // What becomes of the next setup statements; they succeed when it is empty.
    auto codes = *rc::gen::container<std::deque<std::optional<FailureCode>>>(
      rc::gen::weightedElement<std::optional<FailureCode>>(
        { { 6, std::nullopt },
          { 2, FailureCode::Invalid },
          { 1, FailureCode::Failed },
          { 1, FailureCode::Busy } }));
    site.simulation.refusal =
      [&](const SessionStatement& aStatement) -> std::optional<FailureCode> {
      bool isSetup = aStatement.kind == StatementKind::SetValue ||
                     aStatement.kind == StatementKind::Prepare ||
                     aStatement.kind == StatementKind::Forget ||
                     aStatement.kind == StatementKind::Reset;
      if (!isSetup || codes.empty()) {
        return std::nullopt;
      }
      auto code = codes.front();
      codes.pop_front();
      return code;
    };
    std::vector<CallerId> callers{ site.Open(), site.Open(), site.Open() };
    std::vector<std::shared_ptr<FakeRequest>> open(callers.size());
    auto count = *rc::gen::inRange<size_t>(1, 40);
    for (size_t i = 0; i < count; ++i) {
      auto at = *rc::gen::inRange<size_t>(0, callers.size());
      std::string digit = *rc::gen::element<std::string>("1", "2");
      std::string text = *rc::gen::element<std::string>("SET a " + digit,
                                                        "SET b " + digit,
                                                        "PREPARE p WRITE 1",
                                                        "EXEC p k v",
                                                        "BEGIN",
                                                        "COMMIT",
                                                        "ROLLBACK",
                                                        "READ k",
                                                        "WRITE k v");
      if (open[at] && !open[at]->reply) {
        site.simulation.CloseSession(site.host, callers[at]);
        callers[at] = site.Open();
      }
      if (*rc::gen::inRange(0, 20) == 0) {
        site.simulation.Reset(site.host, 0);
      }
      open[at] = site.simulation.SubmitText(
        site.host, callers[at], text, MeaningOf(text));
      site.simulation.RunFor(Millis(*rc::gen::inRange(0, 12)));
    }
    site.simulation.RunFor(
      Seconds(4)); // until all are answered and rolled back
    codes.clear();
    RC_ASSERT(site.simulation.Violations() == "");
    for (int i = 0; i < 3; ++i) {
      RC_ASSERT(IsOk(site.Send(site.Open(), "WRITE k v")));
    }
  }));
}

Test(statement_texts, many_prepared_texts_do_not_accumulate_on_a_connection)
{
  Site site;
  CallerId caller = site.Open();
  for (int i = 0; i < 1000; ++i) {
    site.Send(caller, "PREPARE p READ q" + std::to_string(i));
    cr_assert(IsOk(site.Send(caller, "EXEC p k")));
  }
  cr_assert_leq(site.simulation.MostPrepared(), kMaxConnectionTexts);
  cr_assert_eq(site.simulation.Violations(), "");
}

Test(statement_texts, forgotten_prepared_texts_are_the_least_used)
{
  PreparedStatements prepared;
  std::string first = prepared.Use({ false, "q" }).name;
  for (int i = 0; i < 1000; ++i) {
    auto placement = prepared.Use({ false, "q" + std::to_string(i) });
    cr_assert(placement.isNew);
    cr_assert_eq(
      std::count(placement.forgotten.begin(), placement.forgotten.end(), first),
      0);
    auto used = prepared.Use({ false, "q" });
    cr_assert(used.name == first && !used.isNew);
  }
  cr_assert(prepared.Use({ true, "q" }).isNew);
  auto large =
    prepared.Use({ false, std::string(kMaxConnectionTextBytes + 1, 'q') });
  cr_assert_eq(large.forgotten.size(), kMaxConnectionTexts);
  cr_assert_eq(prepared.Use({ false, "q" }).forgotten.size(), 1);
}
