#include "documents.h"
#include "upstream-links.h"
#include "wire-lines.h"

#include "marigoldpitch/protocol/proxy-settings.h"
#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/http-client.h"
#include "marigoldpitch/transport/json-log.h"
#include "marigoldpitch/transport/loop.h"
#include "marigoldpitch/transport/unique-fd.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

// The platform's lines and documents, settings, logs and
// clocks.

using namespace marigoldpitch;
using namespace marigoldpitch::platform;

namespace {

std::optional<QueryLine>
DecodeQuery(const std::string& aLine)
{
  auto line = DecodeCallerLine(aLine);
  if (!line) {
    return std::nullopt;
  }
  const auto* query = std::get_if<QueryLine>(&line.value());
  return query != nullptr ? std::make_optional(*query) : std::nullopt;
}

/** Ignores a result of decoding: the test only requires that decoding ends. */
template<typename T>
void
IgnoreResult(const Result<T>&)
{
}

bool
IsUnknown(const std::string& aLine)
{
  auto line = DecodeCallerLine(aLine);
  return line && std::holds_alternative<InvalidQueryLine>(line.value());
}

/** The lines of a log; fails the test if one is not JSON. */
std::vector<nlohmann::json>
ParseLines(const std::string& aText)
{
  std::vector<nlohmann::json> lines;
  size_t start = 0;
  for (size_t end; (end = aText.find('\n', start)) != std::string::npos;
       start = end + 1) {
    lines.push_back(nlohmann::json::parse(aText.substr(start, end - start)));
  }
  return lines;
}

/** What `aWrite` logs; it must fit a pipe's buffer of 1 MiB. */
template<typename Write>
std::string
LogText(Write aWrite)
{
  int ends[2];
  cr_assert_eq(pipe(ends), 0);
  UniqueFd reader(ends[0]);
  UniqueFd writer(ends[1]);
  fcntl(writer.Get(), F_SETPIPE_SZ, 1 << 20);
  UniqueFd saved(dup(STDOUT_FILENO));
  dup2(writer.Get(), STDOUT_FILENO);
  JsonLog log("h");
  aWrite(log);
  log.Flush();
  dup2(saved.Get(), STDOUT_FILENO);
  std::string text(1 << 20, '\0');
  fcntl(reader.Get(), F_SETFL, O_NONBLOCK);
  ssize_t size = read(reader.Get(), text.data(), text.size());
  text.resize(size < 0 ? 0 : static_cast<size_t>(size));
  return text;
}

} // namespace

Test(lines, statements_are_forwarded_unchanged)
{
  for (const std::string& text :
       { std::string("READ 1a4"),
         std::string("WRITE 1a4 x y  z"),
         std::string("EXEC s1 1a4"),
         std::string("EXEC s1 1a4 data more"),
         std::string("COMMIT"),
         std::string("BEGIN READ"),
         std::string("PREPARE s1 WRITE q2c"),
         std::string("SET name some value"),
         std::string("SET name "),
         std::string("READ 1a4 "),
         std::string("READ two words"),
         std::string("WRITE k  v "),
         std::string("EXEC s1  1a4 "),
         std::string("PREPARE s1 READ q READ  q ") }) {
    auto query = DecodeQuery("QUERY id7 " + text);
    cr_assert(query.has_value(), "%s", text.c_str());
    cr_assert_eq(EncodeQuery("id7", query->statement, {}),
                 "QUERY id7 " + text + "\r\n");
  }
  auto read = DecodeQuery("QUERY id7 READ 1a4");
  cr_assert_eq(EncodeQuery("id7", read->statement, LogPoint{ 3, 1207 }),
               "QUERY id7 AFTER 3.1207 READ 1a4\r\n");
}

Test(lines, callers_cannot_send_internal_statements)
{
  for (std::string text : { "STATUS",
                            "HOLD 7",
                            "RESUME",
                            "DEMOTE 7",
                            "RESET",
                            "AFTER 3.1 READ a",
                            "READ",
                            "READ ",
                            "WRITE a",
                            "WRITE a ",
                            "WRITE  a b",
                            "BEGIN WRITE",
                            "BEGIN ",
                            "COMMIT ",
                            "ROLLBACK a",
                            "SET a",
                            "EXEC s",
                            "EXEC  a",
                            "FORGET s ",
                            "FORGET s t",
                            "PREPARE s READ ",
                            "PREPARE s q",
                            "PREPARE s MAYBE q",
                            "read a",
                            "" }) {
    cr_assert(IsUnknown("QUERY id7 " + text), "%s", text.c_str());
  }
  cr_assert_not(DecodeCallerLine("QUERY - READ a"));
  cr_assert_not(DecodeCallerLine("GET / HTTP/1.1"));
  cr_assert_not(DecodeCallerLine("START db"));
  cr_assert_not(DecodeCallerLine(""));
}

Test(lines, any_bytes_are_decoded_or_refused)
{
  bool holds = rc::check("any lines", [](const std::string& aLine) {
    IgnoreResult(DecodeCallerLine(aLine));
    IgnoreResult(DecodeCallerLine("QUERY i " + aLine));
    ReplyReader reader;
    IgnoreResult(reader.Take(aLine));
    IgnoreResult(reader.Take("READY " + aLine));
    IgnoreResult(DecodeReport(aLine));
  });
  cr_assert(holds);
}

Test(lines, texts_are_forwarded_byte_for_byte_or_refused)
{
  bool holds = rc::check("any texts", [](const std::string& aText) {
    auto verb = *rc::gen::element<std::string>(
      "", "READ ", "WRITE a ", "SET a ", "EXEC s ", "PREPARE s READ ");
    std::string text = verb + aText + *rc::gen::element<std::string>("", " ");
    auto query = DecodeQuery("QUERY i " + text);
    if (query) {
      RC_ASSERT(EncodeQuery("i", query->statement, {}) ==
                "QUERY i " + text + "\r\n");
    }
  });
  cr_assert(holds);
}

Test(lines, ends_of_lines_inside_a_text_are_not_forwarded)
{
  for (std::string end :
       { std::string("\n"), std::string("\r"), std::string(1, '\0') }) {
    for (std::string text :
         { "READ a", "WRITE a b", "SET a b", "EXEC s a", "PREPARE s READ q" }) {
      cr_assert(IsUnknown("QUERY i " + text + end));
      cr_assert(IsUnknown("QUERY i " + text + end + "QUERY - HOLD 9"));
    }
    cr_assert(IsUnknown("QUERY i" + end + "j READ a"));
    cr_assert_not(DecodeCallerLine("START db" + end + " caller"));
  }
}

Test(lines, answers_round_trip)
{
  bool holds = rc::check("answers", [] {
    StatementReply reply;
    auto word = rc::gen::nonEmpty(
      rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z')));
    reply.rows = *rc::gen::container<std::vector<std::string>>(word);
    bool isRefused = *rc::gen::arbitrary<bool>();
    if (isRefused) {
      auto index = *rc::gen::inRange<size_t>(0, kFailureCodeNames.Size());
      reply.failure =
        StatementFailure{ kFailureCodeNames.rows[index].value, *word };
    } else {
      reply.signature = *word;
    }
    reply.state = *rc::gen::element(
      SessionState::Idle, SessionState::InTransaction, SessionState::Failed);
    reply.position = LogPoint{ *rc::gen::inRange<Term>(1, 100),
                               *rc::gen::inRange<Position>(0, 100000) };
    std::string lines = EncodeReply(reply);
    ReplyReader reader;
    std::optional<StatementReply> decoded;
    size_t start = 0;
    for (size_t end = lines.find("\r\n"); end != std::string::npos;
         end = lines.find("\r\n", start)) {
      RC_ASSERT(!decoded);
      auto taken = reader.Take(lines.substr(start, end - start));
      RC_ASSERT(static_cast<bool>(taken));
      decoded = taken.value();
      start = end + 2;
    }
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->rows == reply.rows);
    RC_ASSERT(decoded->signature == reply.signature);
    RC_ASSERT(decoded->failure.has_value() == isRefused);
    RC_ASSERT(!isRefused || decoded->failure->code == reply.failure->code);
    RC_ASSERT(decoded->state == reply.state);
    RC_ASSERT(decoded->position == reply.position);
  });
  cr_assert(holds);
}

Test(lines, report_contains_role_term_and_hold)
{
  auto report = DecodeReport("replica 3 3.1209 4 12 2 17");
  cr_assert(static_cast<bool>(report));
  cr_assert(report.value().role == Role::Replica);
  cr_assert_eq(report.value().term, 3);
  cr_assert_eq(report.value().logEnd.position, 1209);
  cr_assert_eq(report.value().held, 4);
  cr_assert_eq(report.value().connections, 17);
  cr_assert_not(DecodeReport("replica 3 3.1209 4 12 2"));
  cr_assert_not(DecodeReport("leader 3 3.1209 4 12 2 17"));
}

Test(lines, unknown_refusal_of_an_upstream_is_unsure)
{
  ReplyReader reader;
  IgnoreResult(reader.Take("ERR SOMETHING new"));
  auto reply = reader.Take("READY I 3.1");
  cr_assert(reply.value()->failure->code == FailureCode::OutcomeUnknown);
}

Test(documents, a_configuration_is_decoded)
{
  auto config = DecodeConfig(
    R"({"version":7,"routes":[{"name":"r","host":"db","prefix":"/",)"
    R"("kind":"session","timeoutMs":800,"targetLatencyMs":200,)"
    R"("priority":2,"service":"s","tries":2,"maxStaleMs":2500}],)"
    R"("services":[{"name":"s","maxConns":16,"syncReplicas":1}],)"
    R"("limits":{"txIdleMs":3000}})");
  cr_assert(static_cast<bool>(config));
  const DatabaseRoute& route = config.value().routes.at("db");
  cr_assert(route.freshness == Freshness::Session);
  cr_assert_eq(route.maxAge.ms, 2500);
  cr_assert_eq(route.latencyObjective.ms, 200);
  cr_assert_eq(config.value().services.at("s").connections, 16);
  cr_assert(config.value().services.at("s").confirmedByReplica);
}

Test(documents, invalid_registry_entries_are_refused)
{
  auto good = nlohmann::json::parse(
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","state":"ready",)"
    R"("dbRole":"replica","seq":4})");
  cr_assert(static_cast<bool>(DecodeUpstream("i-1", good.dump())));
  std::vector<std::pair<std::string, nlohmann::json>> changes{
    { "service", nullptr },   { "service", 7 },      { "addr", "nowhere" },
    { "addr", "10.0.0.9:0" }, { "addr", "host:80" }, { "state", "asleep" },
    { "state", 1 },           { "zone", {} },        { "dbRole", 3 }
  };
  for (const auto& [name, value] : changes) {
    auto changed = good;
    changed[name] = value;
    cr_assert_not(DecodeUpstream("i-1", changed.dump()), "%s", name.c_str());
    changed.erase(name);
    cr_assert_not(DecodeUpstream("i-1", changed.dump()), "%s", name.c_str());
  }
  bool holds = rc::check("any bytes", [](const std::string& aText) {
    IgnoreResult(DecodeUpstream("i-1", aText));
    IgnoreResult(DecodeConfig(aText));
    IgnoreResult(DecodeRange(1, aText));
    IgnoreResult(DecodeEvents(1, aText));
    IgnoreResult(DecodeItem(1, aText));
    IgnoreResult(DecodeLease(1, aText));
    IgnoreResult(DecodePosition(1, aText));
  });
  cr_assert(holds);
}

Test(documents, upstream_with_the_end_of_a_line_in_its_id_is_refused)
{
  std::string entry =
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","state":"ready",)"
    R"("dbRole":"replica","seq":4})";
  cr_assert(static_cast<bool>(DecodeUpstream("i-1", entry)));
  cr_assert_not(DecodeUpstream("i-1\r\nQUERY - DEMOTE 9", entry));
  cr_assert_not(DecodeUpstream("i-1\n", entry));
}

Test(documents, store_values_round_trip)
{
  bool holds = rc::check("values", [](const std::string& aValue) {
    StoreChange change;
    change.conditions.push_back({ "k", { 1, 7 } });
    change.puts.push_back({ "k", aValue, 9 });
    change.deletes.emplace_back("gone");
    auto text = nlohmann::json::parse(EncodeChange(change));
    RC_ASSERT(text["precondition"][0]["rev"] == 7);
    RC_ASSERT(text["deletes"][0] == "gone");
    nlohmann::json item{ { "key", "k" },
                         { "rev", 8 },
                         { "value", text["puts"][0]["value"] } };
    auto decoded = DecodeItem(1, item.dump());
    RC_ASSERT(static_cast<bool>(decoded));
    RC_ASSERT(decoded.value().value == aValue);
  });
  cr_assert(holds);
}

Test(documents, removed_keys_are_not_reported_as_written)
{
  auto events =
    DecodeEvents(1,
                 R"({"events":[{"key":"a","value":"eA==","rev":3},)"
                 R"({"key":"b","rev":4,"removed":true}],"currentRev":4})");
  cr_assert_eq(events.value().written.size(), 1);
  cr_assert_eq(events.value().written[0].value, "x");
  cr_assert_eq(events.value().storePosition.revision, 4);
}

Test(settings, every_finding_is_listed)
{
  auto good = nlohmann::json::parse(
    R"({"host":"h","zone":"z","callers":"10.0.0.1:1","health":"10.0.0.1:2",)"
    R"("metrics":"10.0.0.1:3","peers":"10.0.0.1:4","store":"10.0.0.2:1","duties":"10.0.0.2:2",)"
    R"("grace_seconds":6,"upstream_drain_ms":7000})");
  cr_assert(static_cast<bool>(ParseProxySettings(good.dump(), "file")));
  auto bad = good;
  bad["store"] = "10.0.0.2:99999";
  bad["duties"] = "10.0.0.999:2";
  auto error = ParseProxySettings(bad.dump(), "file").error().message;
  cr_assert(error.find("/store") != std::string::npos);
  cr_assert(error.find("/duties") != std::string::npos);
  bad = good;
  bad.erase("host");
  bad["grace_seconds"] = "six";
  bad["more"] = 1;
  error = ParseProxySettings(bad.dump(), "file").error().message;
  cr_assert(error.find("grace_seconds") != std::string::npos);
  cr_assert(error.find("host") != std::string::npos);
}

// Guards against an order to promote that was given up, was held up by a cut
// and then arrives after the orders of the next promoter.
Test(http_client, call_that_times_out_leaves_nothing_on_the_way)
{
  UniqueFd listener(socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  cr_assert_eq(bind(listener.Get(), raw, length), 0);
  cr_assert_eq(listen(listener.Get(), 1), 0);
  cr_assert_eq(getsockname(listener.Get(), raw, &length), 0);
  auto loop = Loop::Create();
  cr_assert(loop);
  auto client =
    HttpClient::Create(*loop.value(), { "127.0.0.1", ntohs(address.sin_port) });
  cr_assert(client);
  HttpCall call{ "POST", "/promote" };
  call.timeout = Millis(50);
  client.value()->Send(call, [&](const Result<HttpReply>& aReply) {
    cr_assert_not(aReply);
    loop.value()->Stop();
  });
  loop.value()->Run();
  UniqueFd accepted(accept(listener.Get(), nullptr, nullptr));
  char bytes[4096];
  ssize_t size = 0;
  do {
    size = recv(accepted.Get(), bytes, sizeof(bytes), 0);
  } while (size > 0);
  cr_assert_eq(size, -1);
  cr_assert_eq(errno, ECONNRESET);
}

// Records and other hosts may name upstreams that the registry does not.
Test(upstream_links, name_with_the_end_of_a_line_is_not_sent)
{
  UniqueFd listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  cr_assert_eq(bind(listener.Get(), raw, length), 0);
  cr_assert_eq(listen(listener.Get(), 1), 0);
  cr_assert_eq(getsockname(listener.Get(), raw, &length), 0);
  auto loop = Loop::Create();
  bool isLost = false;
  MemoryAccount memory(0);
  UpstreamLinks links(
    *loop.value(), "h", memory, [&](const ProxyEvent& aEvent) {
      isLost = isLost || std::holds_alternative<LinkLost>(aEvent);
    });
  Endpoint endpoint{ "127.0.0.1", ntohs(address.sin_port) };
  links.Perform(OpenLink{ 1, "svc", "i\r\nQUERY - DEMOTE 9", endpoint });
  loop.value()->After(Millis(50), [&] { loop.value()->Stop(); });
  loop.value()->Run();
  cr_assert(isLost);
  cr_assert_eq(accept(listener.Get(), nullptr, nullptr), -1);
}

Test(log, full_pipe_drops_lines_and_logs_the_loss)
{
  int ends[2];
  cr_assert_eq(pipe(ends), 0);
  UniqueFd reader(ends[0]);
  UniqueFd writer(ends[1]);
  fcntl(writer.Get(), F_SETPIPE_SZ, 4096);
  UniqueFd saved(dup(STDOUT_FILENO));
  dup2(writer.Get(), STDOUT_FILENO);
  JsonLog log("h");
  for (int i = 0; i < 5000; ++i) {
    log.AddLine(LogEvent::ConnectionLost, "", { { "upstream", "u" } });
    log.Flush();
  }
  std::string text;
  char bytes[4096];
  fcntl(reader.Get(), F_SETFL, O_NONBLOCK);
  auto drain = [&] {
    for (ssize_t size; (size = read(reader.Get(), bytes, sizeof(bytes))) > 0;) {
      text.append(bytes, static_cast<size_t>(size));
      log.Flush();
    }
  };
  drain();
  log.AddLine(LogEvent::Stopped, "", {});
  log.Flush();
  drain();
  dup2(saved.Get(), STDOUT_FILENO);
  cr_assert_lt(text.size(), 200000);
  cr_assert(text.find("log-dropped") != std::string::npos);
  for (const nlohmann::json& line : ParseLines(text)) {
    cr_assert(line.contains("event"));
  }
}

// Guards against a caller whose long texts fill the log's buffer.
Test(log, long_values_are_cut_between_characters)
{
  constexpr size_t kLongBytes = 1 << 20;
  constexpr size_t kMaxLineBytes = 8 << 10;
  std::string ascii(kLongBytes, 'x');
  std::string controls(kLongBytes, '\x01');
  std::string wide;
  for (size_t i = 0; i < kLongBytes / 3; ++i) {
    wide += "\xe2\x82\xac";
  }
  std::string text = LogText([&](JsonLog& aLog) {
    aLog.AddLine(LogEvent::DatabaseUnknown, ascii, { { "database", wide } });
    aLog.AddLine(LogEvent::SetupRefused, "q1", { { "why", controls } });
    aLog.AddLine(LogEvent::FrameRefused, "", { { "why", ascii } });
    aLog.AddLine(LogEvent::ConnectionLost, "", { { "upstream", "short" } });
  });
  std::vector<nlohmann::json> lines = ParseLines(text);
  cr_assert_eq(lines.size(), 4);
  cr_assert_lt(text.size(), lines.size() * kMaxLineBytes);
  for (const char* field : { "request", "database" }) {
    std::string value = lines[0][field];
    cr_assert_lt(value.size(), 300);
    cr_assert_eq(value.substr(value.size() - 3), "...");
    cr_assert(value.find("\xef\xbf\xbd") == std::string::npos);
  }
  cr_assert_eq(lines[3]["upstream"], "short");
}

Test(clock, timers_use_the_monotonic_clock)
{
  // Both clocks advance alike while the host is not suspended. Neither is the
  // time of day, which may jump.
  Time steady = ReadMonotonicClock();
  Time boot = ReadBootClock();
  auto loop = Loop::Create();
  Time fired = kInfinitePast;
  loop.value()->After(Millis(30), [&] {
    fired = ReadMonotonicClock();
    loop.value()->Stop();
  });
  loop.value()->Run();
  cr_assert_geq((fired - steady).ms, 30);
  cr_assert_geq((ReadBootClock() - boot).ms, 30);
}
