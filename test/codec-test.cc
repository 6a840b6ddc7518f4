#include "marigoldpitch.pb.h"
#include "marigoldpitch/protocol/burn-report.h"
#include "marigoldpitch/protocol/documents.h"
#include "marigoldpitch/protocol/frame-splitter.h"
#include "marigoldpitch/protocol/metrics-text.h"
#include "marigoldpitch/protocol/proxy-documents.h"
#include "marigoldpitch/protocol/rpc.h"
#include "marigoldpitch/protocol/settings.h"
#include "marigoldpitch/protocol/store-messages.h"
#include "marigoldpitch/protocol/upstream-sql.h"
#include "marigoldpitch/protocol/wire.h"
#include "marigoldpitch/transport/command-line.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

// Encoding and decoding of messages, documents and settings. Every decoder
// accepts any bytes: it returns a value, or an error that names the place of
// the fault.

using namespace marigoldpitch;

namespace {

rc::Gen<std::optional<std::string>>
GenCell()
{
  return rc::gen::map(rc::gen::arbitrary<std::pair<bool, std::string>>(),
                      [](const std::pair<bool, std::string>& aPair) {
                        return aPair.first
                                 ? std::optional<std::string>(aPair.second)
                                 : std::nullopt;
                      });
}

Rows
RandomRows()
{
  Rows rows;
  rows.columns = *rc::gen::arbitrary<std::vector<std::string>>();
  rows.affected = *rc::gen::arbitrary<uint64_t>();
  auto cells = rc::gen::container<std::vector<std::optional<std::string>>>(
    rows.columns.size(), GenCell());
  size_t count = *rc::gen::inRange<size_t>(0, 4);
  for (size_t i = 0; i < count; ++i) {
    rows.rows.push_back(*cells);
  }
  return rows;
}

template<typename T>
bool
HasValueOrErrorPlace(const Result<T>& aResult)
{
  return aResult.has_value() || !aResult.error().place.empty();
}

std::string
ValidFrame()
{
  RequestFrame frame;
  frame.request.statement = { "SELECT 1", { std::string("x"), std::nullopt } };
  return EncodeFrame(frame);
}

} // namespace

Test(codec, random_bytes_are_decoded_or_refused)
{
  cr_assert(rc::check("random bytes are decoded or refused", [] {
    auto bytes = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(HasValueOrErrorPlace(DecodeFrame(bytes)));
    RC_ASSERT(HasValueOrErrorPlace(ParseToken(bytes)));
    RC_ASSERT(
      HasValueOrErrorPlace(ParseSettings(bytes, DaemonRole::Entry, "x")));
    RC_ASSERT(HasValueOrErrorPlace(ParseConfiguration(bytes, 1, "x")));
    RC_ASSERT(HasValueOrErrorPlace(ParseHostList(bytes, 1)));
    RC_ASSERT(HasValueOrErrorPlace(ParseUpstreams(bytes)));
    RC_ASSERT(HasValueOrErrorPlace(ParseProxyHosts(bytes)));
    RC_ASSERT(HasValueOrErrorPlace(ParseProxyHost(bytes)));
    RC_ASSERT(HasValueOrErrorPlace(ParseGroupRecord(bytes)));
    RC_ASSERT(HasValueOrErrorPlace(ParseGroups(bytes, 1)));
    RC_ASSERT(HasValueOrErrorPlace(ParseTermRecord(bytes)));
    RC_ASSERT(HasValueOrErrorPlace(DecodeStoreValue(bytes)));
    RC_ASSERT(HasValueOrErrorPlace(DecodeRecord(bytes)));
    RC_ASSERT(HasValueOrErrorPlace(DecodeBurnSample(bytes)));
    ParseMetrics(bytes);
    for (const auto& method : kRpcMethodNames.rows) {
      for (const auto& format : kBodyFormatNames.rows) {
        RC_ASSERT(HasValueOrErrorPlace(
          DecodeRequest(method.value, format.value, bytes)));
      }
    }
  }));
}

Test(codec, damaged_frames_are_decoded_or_refused)
{
  cr_assert(rc::check("damaged frames are decoded or refused", [] {
    std::string bytes = ValidFrame();
    size_t count = *rc::gen::inRange<size_t>(1, 6);
    for (size_t i = 0; i < count; ++i) {
      auto at = *rc::gen::inRange<size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    RC_ASSERT(HasValueOrErrorPlace(DecodeFrame(bytes)));
  }));
}

Test(codec, damaged_documents_are_decoded_or_refused)
{
  auto text = ReadFile("examples/buna-gebeya.json").value();
  cr_assert(rc::check("damaged documents are decoded or refused", [&] {
    std::string damaged = text;
    auto at = *rc::gen::inRange<size_t>(0, damaged.size());
    damaged[at] = *rc::gen::arbitrary<char>();
    RC_ASSERT(HasValueOrErrorPlace(ParseConfiguration(damaged, 1, "x")));
  }));
}

Test(codec, answers_round_trip)
{
  cr_assert(rc::check("answers survive encoding and decoding", [] {
    AnswerFrame sent;
    sent.number = *rc::gen::arbitrary<uint64_t>();
    sent.answer.rows = RandomRows();
    sent.answer.message = *rc::gen::arbitrary<std::string>();
    sent.answer.token = { *rc::gen::arbitrary<uint64_t>(),
                          *rc::gen::arbitrary<uint64_t>() };
    sent.answer.outcome = *rc::gen::element(
      Outcome::Ok, Outcome::NotRun, Outcome::Unknown, Outcome::Stale);
    auto frame = DecodeFrame(EncodeFrame(sent));
    const auto& got = std::get<AnswerFrame>(frame.value());
    RC_ASSERT(got.number == sent.number);
    RC_ASSERT(got.answer.rows == sent.answer.rows);
    RC_ASSERT(got.answer.message == sent.answer.message);
    RC_ASSERT(got.answer.token == sent.answer.token);
    RC_ASSERT(got.answer.outcome == sent.answer.outcome);
  }));
}

Test(codec, frames_stay_within_their_computed_bound)
{
  cr_assert(rc::check("frames stay within their bound", [] {
    AnswerFrame answer;
    answer.answer.rows = RandomRows();
    RC_ASSERT(EncodeFrame(answer).size() <= FrameBytes(answer.answer.rows));
    RequestFrame request;
    request.request.statement = {
      *rc::gen::arbitrary<std::string>(),
      *rc::gen::container<std::vector<std::optional<std::string>>>(GenCell())
    };
    RC_ASSERT(EncodeFrame(request).size() <=
              FrameBytes(request.request.statement));
  }));
  AnswerFrame many;
  many.answer.rows.rows.assign(100000, { std::string("1") });
  cr_assert_leq(EncodeFrame(many).size(), FrameBytes(many.answer.rows));
}

Test(codec, requests_round_trip)
{
  cr_assert(rc::check("requests survive encoding and decoding", [] {
    RequestFrame sent;
    sent.number = *rc::gen::arbitrary<uint64_t>();
    sent.request.statement.sql = *rc::gen::arbitrary<std::string>();
    sent.request.statement.parameters =
      *rc::gen::container<std::vector<std::optional<std::string>>>(GenCell());
    sent.request.requestId = *rc::gen::arbitrary<std::string>();
    sent.request.firstAttempt = *rc::gen::arbitrary<bool>();
    sent.request.unresolved = *rc::gen::arbitrary<bool>();
    sent.request.timeout = Millis(*rc::gen::inRange<int64_t>(1, 100000));
    if (*rc::gen::arbitrary<bool>()) {
      sent.request.maxAge = Millis(*rc::gen::inRange<int64_t>(0, 100000));
    }
    auto frame = DecodeFrame(EncodeFrame(sent));
    const Request& got = std::get<RequestFrame>(frame.value()).request;
    RC_ASSERT(got.statement.sql == sent.request.statement.sql);
    RC_ASSERT(got.statement.parameters == sent.request.statement.parameters);
    RC_ASSERT(got.requestId == sent.request.requestId);
    RC_ASSERT(got.firstAttempt == sent.request.firstAttempt);
    RC_ASSERT(got.unresolved == sent.request.unresolved);
    RC_ASSERT(got.maxAge == sent.request.maxAge);
    RC_ASSERT(got.timeout == sent.request.timeout);
  }));
}

Test(codec, frames_are_reassembled_from_any_chunks)
{
  cr_assert(rc::check("a stream yields the frames that were written", [] {
    auto frames = *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
    std::string stream;
    for (const std::string& frame : frames) {
      stream += WithSizePrefix(frame);
    }
    FrameSplitter splitter(kMebibyte);
    std::vector<std::string> got;
    while (!stream.empty()) {
      auto size = *rc::gen::inRange<size_t>(1, stream.size() + 1);
      splitter.Append(stream.substr(0, size));
      stream.erase(0, size);
      while (auto frame = splitter.Next().value()) {
        got.push_back(*frame);
      }
    }
    RC_ASSERT(got == frames);
  }));
}

Test(codec, a_frame_over_the_limit_is_refused)
{
  FrameSplitter splitter(100);
  splitter.Append(WithSizePrefix(std::string(101, 'x')));
  auto frame = splitter.Next();
  cr_assert(!frame.has_value());
  cr_assert(frame.error().code == ErrorCode::TooLarge);
}

Test(codec, proxy_documents_and_digests_round_trip)
{
  cr_assert(rc::check("proxy documents and digests round-trip", [] {
    RegisteredUpstream upstream;
    upstream.id = *rc::gen::string<std::string>();
    upstream.service = *rc::gen::string<std::string>();
    upstream.zone = "zone";
    upstream.endpoint = { "10.0.0.1", *rc::gen::inRange<uint16_t>(1, 65535) };
    upstream.leaving = *rc::gen::arbitrary<bool>();
    upstream.role = *rc::gen::element<std::optional<Role>>(
      std::nullopt, Role::Primary, Role::Replica);
    std::string text = FormatUpstreams({ upstream, upstream });
    auto upstreams = ParseUpstreams(text).value();
    RC_ASSERT(upstreams.size() == 2u);
    RC_ASSERT(FormatUpstreams(upstreams) == text);
    RC_ASSERT(upstreams[1].endpoint.port == upstream.endpoint.port);
    RC_ASSERT(upstreams[1].leaving == upstream.leaving);
    RC_ASSERT(upstreams[1].role == upstream.role);

    ProxyHosts hosts;
    hosts.hosts.push_back({ "host", "zone", "host/run", upstream.endpoint });
    hosts.isPromoterLeaseHeld = upstream.leaving;
    hosts.lastHolder = *rc::gen::arbitrary<std::string>();
    hosts.lastHolderRevision = *rc::gen::arbitrary<uint64_t>();
    auto decoded = ParseProxyHosts(FormatProxyHosts(hosts)).value();
    RC_ASSERT(decoded.hosts[0].run == hosts.hosts[0].run);
    RC_ASSERT(decoded.isPromoterLeaseHeld == hosts.isPromoterLeaseHeld);
    RC_ASSERT(decoded.lastHolderRevision == hosts.lastHolderRevision);

    DigestFrame digest;
    auto era = [] { return *rc::gen::inRange<uint64_t>(0, kMaxEra + 1); };
    auto revision = [] { return *rc::gen::arbitrary<uint64_t>(); };
    digest.digest.documents = { { { revision(), { era(), revision() } },
                                  { 0, { era(), revision() } },
                                  { 0, { era(), 3 } },
                                  { 0, { era(), revision() } } } };
    digest.digest.ages = { std::nullopt,
                           Millis(*rc::gen::inRange<int64_t>(0, 1 << 30)),
                           Millis(0),
                           Millis(*rc::gen::inRange<int64_t>(0, 1 << 30)) };
    auto frame = DecodeFrame(EncodeFrame(digest)).value();
    const Digest& taken = std::get<DigestFrame>(frame).digest;
    RC_ASSERT(taken.documents == digest.digest.documents);
    RC_ASSERT(taken.ages == digest.digest.ages);
  }));
}

namespace {

GroupRecord
RandomGroup()
{
  GroupRecord record;
  record.service = *rc::gen::string<std::string>();
  auto ids = *rc::gen::nonEmpty(rc::gen::unique<std::vector<std::string>>(
    rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'))));
  for (const std::string& id : ids) {
    Endpoint endpoint{ "10.0.0.1", *rc::gen::inRange<uint16_t>(1, 65535) };
    auto incarnation = *rc::gen::arbitrary<uint64_t>();
    record.members.push_back({ id, endpoint, "zone " + id, incarnation });
  }
  record.position = { 3, *rc::gen::arbitrary<uint64_t>() };
  record.order = { *rc::gen::arbitrary<uint64_t>(),
                   *rc::gen::inRange<uint64_t>(1, UINT64_MAX) };
  return record;
}

bool
IsSameGroup(const GroupRecord& aLeft, const GroupRecord& aRight)
{
  bool isSame = aLeft.members.size() == aRight.members.size() &&
                aLeft.order.era == aRight.order.era &&
                aLeft.order.number == aRight.order.number;
  for (size_t i = 0; isSame && i < aLeft.members.size(); ++i) {
    const GroupMember& left = aLeft.members[i];
    const GroupMember& right = aRight.members[i];
    isSame = left.id == right.id && left.endpoint == right.endpoint &&
             left.zone == right.zone && left.incarnation == right.incarnation;
  }
  return isSame;
}

} // namespace

Test(codec, group_records_round_trip)
{
  cr_assert(rc::check("groups survive encoding and decoding", [] {
    std::vector<GroupRecord> groups;
    for (size_t i = *rc::gen::inRange<size_t>(0, 4); i > 0; --i) {
      groups.push_back(RandomGroup());
    }
    std::string text = FormatGroups(groups);
    auto decoded = ParseGroups(text, 3).value();
    RC_ASSERT(FormatGroups(decoded) == text);
    RC_ASSERT(decoded.size() == groups.size());
    for (size_t i = 0; i < groups.size(); ++i) {
      RC_ASSERT(IsSameGroup(decoded[i], groups[i]));
      RC_ASSERT(decoded[i].position == groups[i].position);
      auto one = ParseGroupRecord(FormatGroupRecord(groups[i])).value();
      RC_ASSERT(IsSameGroup(one, groups[i]));
      RC_ASSERT(one.position.IsUnset());
    }

    Document document{ DocumentKind::Groups, { 2, 7 }, text, 5 };
    auto frame = DecodeFrame(EncodeFrame(DocumentFrame{ document })).value();
    const Document& taken = std::get<DocumentFrame>(frame).document;
    RC_ASSERT(taken.kind == DocumentKind::Groups);
    RC_ASSERT(taken.text == text);
    RC_ASSERT(taken.Order() == document.Order());
  }));
}

Test(codec, damaged_group_record_is_never_decoded_as_empty)
{
  cr_assert(rc::check("damaged group records are refused or not empty", [] {
    std::string text = FormatGroupRecord(RandomGroup());
    auto at = *rc::gen::inRange<size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    text.resize(*rc::gen::inRange<size_t>(0, text.size() + 1));
    auto record = ParseGroupRecord(text);
    RC_ASSERT(HasValueOrErrorPlace(record));
    bool isEmpty = record && record.value().members.empty();
    RC_ASSERT(!isEmpty);
  }));
  std::string member = R"({"id":"a","endpoint":"10.0.0.1:1","zone":"z"})";
  for (const std::string& members : { std::string("[]"),
                                      std::string("null"),
                                      std::string("{}"),
                                      "[" + member + "," + member + "]" }) {
    std::string text = R"({"service":"s","members":)" + members + "}";
    cr_assert_not(ParseGroupRecord(text), "%s", text.c_str());
    cr_assert_not(ParseGroups(R"({"groups":[)" + text + "]}", 1));
  }
  cr_assert(ParseGroupRecord(R"({"service":"s","members":[)" + member + "]}"));
  for (const char* text : { "null", "[]", R"({"groups":null})", "{}" }) {
    cr_assert_not(ParseGroups(text, 1), "%s", text);
  }
}

Test(codec, request_records_round_trip)
{
  cr_assert(rc::check("records survive encoding and decoding", [] {
    Rows rows;
    rows.columns = { "a" };
    auto text =
      *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    rows.rows = { { text }, { std::nullopt } };
    rows.affected = *rc::gen::arbitrary<uint64_t>();
    auto record = DecodeRecord(EncodeRecord({ true, rows }));
    RC_ASSERT(record.value().ran);
    RC_ASSERT(record.value().result == rows);
  }));
}

Test(codec, a_session_that_keeps_its_values_begins_no_transaction)
{
  Batch batch(2);
  batch[0].kind = StepKind::BeginReadOnly;
  batch[1].kind = StepKind::User;
  cr_assert_eq(ToSql(batch).size(), 3u);
  SqlResult failed;
  failed.sqlState = "25001";
  SqlResult skipped;
  skipped.skipped = true;
  BatchResult result = FromSql(batch, { failed, skipped, skipped });
  cr_assert_eq(result.Failure(), result.steps.data());
  SqlResult done;
  done.done = true;
  result = FromSql(batch, { done, done, failed });
  cr_assert(result.Done(0) && result.Failure() == &result.steps[1]);
}

Test(codec, tokens_are_parsed_and_formatted)
{
  cr_assert(ParseToken("").value().IsUnset());
  cr_assert(ParseToken("3:120").value() == (LogPoint{ 3, 120 }));
  cr_assert(ParseToken(FormatToken({ 7, 9 })).value() == (LogPoint{ 7, 9 }));
  for (const char* bad : { "3", ":", "3:", "x:1", "3:1x", "-1:2", " 3:1" }) {
    cr_assert(!ParseToken(bad).has_value(), "%s", bad);
  }
}

Test(codec, invalid_body_error_lists_all_findings)
{
  auto request = DecodeRequest(RpcMethod::Read,
                               BodyFormat::Json,
                               R"({"context":{"token":"x"},"sql":"SELECT 1"})");
  cr_assert(!request.has_value());
  std::string message = request.error().message;
  for (const char* place :
       { "context.group", "context.session", "context.token" }) {
    cr_assert(message.find(place) != std::string::npos, "%s", place);
  }
}

Test(codec, a_null_byte_never_cuts_a_text_short)
{
  const std::string null(1, '\0');
  v1::ExecuteRequest message;
  message.mutable_context()->set_group("orders");
  message.mutable_context()->set_session("s" + null + "1");
  message.set_request_id("w" + null + "1");
  message.set_sql("DELETE FROM orders" + null + " WHERE key = $1");
  message.add_parameters()->set_text("k" + null + "1");
  for (const auto& format : kBodyFormatNames.rows) {
    auto request = DecodeRequest(
      RpcMethod::Execute, format.value, EncodeBody(format.value, message));
    cr_assert(!request, "a text that PostgreSQL cannot carry was accepted");
    std::string text = request.error().ToString();
    for (const char* place :
         { "context.session", "request_id", "sql", "parameters[0]" }) {
      cr_assert(text.find(place) != std::string::npos, "%s", text.c_str());
    }
  }
}

Test(codec, more_parameters_than_an_upstream_takes_are_refused)
{
  v1::ReadRequest message;
  message.mutable_context()->set_group("orders");
  message.mutable_context()->set_session("s");
  message.set_sql("SELECT 1");
  for (int count : { 65535, 65536 }) {
    while (message.parameters_size() < count) {
      message.add_parameters()->set_null(true);
    }
    auto request = DecodeRequest(RpcMethod::Read,
                                 BodyFormat::Proto,
                                 EncodeBody(BodyFormat::Proto, message));
    cr_assert_eq(request.has_value(), count == 65535);
  }
}

Test(codec, outcomes_map_to_http_statuses)
{
  for (const auto& row : kOutcomeNames.rows) {
    cr_assert(RowOf(row.value).outcome == row.value);
    Answer answer = MakeAnswer(row.value, "why");
    RpcReply reply = EncodeAnswer(BodyFormat::Json, answer, "id");
    cr_assert_eq(reply.status, RowOf(row.value).httpStatus);
    auto body = nlohmann::json::parse(reply.body);
    cr_assert_eq(body["outcome"].get<std::string>(), std::string(row.name));
  }
}

Test(codec, settings_report_all_findings_at_once)
{
  auto settings = ParseSettings(
    R"({"host":"H 1","zone":"z","peers":{"address":"1.2.3.4","port":0},
        "operators":{"address":"here","port":1},"extra":1})",
    DaemonRole::Entry,
    "entry.json");
  cr_assert(!settings.has_value());
  std::string message = settings.error().message;
  for (const char* place : { "/host", "/peers/port", "store", "extra" }) {
    cr_assert(message.find(place) != std::string::npos, "%s", message.c_str());
  }
  auto second = ParseSettings(
    R"({"host":"h","zone":"z","peers":{"address":"nowhere","port":1},
        "operators":{"address":"here","port":1},
        "store":{"address":"there","port":1}})",
    DaemonRole::Entry,
    "entry.json");
  cr_assert(!second.has_value());
  message = second.error().message;
  for (const char* place : { "/peers/address",
                             "/operators/address",
                             "/store/address",
                             "/callers" }) {
    cr_assert(message.find(place) != std::string::npos, "%s", message.c_str());
  }
}

Test(codec, configurations_report_all_findings_at_once)
{
  auto config = ParseConfiguration(
    R"({"groups":[
      {"name":"a","database":"a","user":"a","slots":4,"connections":4,
       "upstreams":[{"name":"u","zone":"z","address":"db.example","port":1},
                    {"name":"u","zone":"z","address":"1.1.1.1","port":1}]},
      {"name":"a","database":"a","user":"a",
       "upstreams":[{"name":"u","zone":"z","address":"1.1.1.1","port":1}]}]})",
    1,
    "file");
  cr_assert(!config.has_value());
  std::string message = config.error().message;
  for (const char* place : { "/groups/0/connections",
                             "/groups/0/upstreams/0/address",
                             "/groups/0/upstreams/1/name",
                             "/groups/1/name" }) {
    cr_assert(message.find(place) != std::string::npos, "%s", message.c_str());
  }
}

Test(codec, the_examples_are_valid)
{
  for (const char* name : { "buna-gebeya", "neons-armorique" }) {
    std::string path = std::string("examples/") + name + ".json";
    auto config = ParseConfiguration(ReadFile(path).value(), 1, path);
    cr_assert(config.has_value(), "%s", name);
    cr_assert_eq(config.value().groups.size(), 3u);
    cr_assert_eq(config.value().groups[0].upstreams.size(), 3u);
  }
  cr_assert(ParseSettings(ReadFile("examples/entry-settings.json").value(),
                          DaemonRole::Entry,
                          "x")
              .has_value());
  cr_assert(ParseSettings(ReadFile("examples/owner-settings.json").value(),
                          DaemonRole::Owner,
                          "x")
              .has_value());
}

Test(codec, metrics_are_summed_over_daemons)
{
  Metrics metrics;
  metrics.CountOutcome(Outcome::Ok);
  metrics.Add(Measure::Latency, Millis(0));
  metrics.Add(Measure::Latency, Millis(20));
  metrics.Add(Measure::Latency, Seconds(3600));
  std::string text = FormatMetrics(metrics, "peer=\"a/entry\"") +
                     FormatMetrics(metrics, "peer=\"b/entry\"");
  auto samples = ParseMetrics(text);
  cr_assert_eq(samples["marigoldpitch_requests_total{outcome=\"ok\"}"], 2);
  cr_assert_eq(samples["marigoldpitch_request_latency_ms_count{}"], 6);
  std::string infinity = "marigoldpitch_request_latency_ms_bucket{le=\"+Inf\"}";
  std::string first = "marigoldpitch_request_latency_ms_bucket{le=\"2\"}";
  cr_assert_eq(samples[infinity], 6);
  cr_assert_eq(samples[first], 2);
}

Test(codec, burn_rates_are_computed_per_window)
{
  std::vector<BurnSample> samples(3);
  samples[0].at = { 0 };
  samples[1].at = { 60000 };
  samples[1].answered = samples[1].good = 1000;
  samples[2].at = { 120000 };
  samples[2].answered = 2000;
  samples[2].good = 1990;
  Objectives objectives;
  objectives.availability = 0.999;
  auto rows = ComputeBurn(samples, { Seconds(60), Seconds(120) }, objectives);
  cr_assert_float_eq(rows[0].burnRate, 10, 1e-6);
  cr_assert_float_eq(rows[1].burnRate, 5, 1e-6);
  auto decoded = DecodeBurnSample(EncodeBurnSample(samples[2]));
  cr_assert_eq(decoded.value().good, 1990);
}
