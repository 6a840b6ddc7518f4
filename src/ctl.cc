#include "marigoldpitch/protocol/documents.h"
#include "marigoldpitch/protocol/settings.h"
#include "marigoldpitch/transport/blocking-http.h"
#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/command-line.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <set>
#include <vector>

// marigoldpitch-ctl: the command-line tool for operators.

namespace marigoldpitch {

namespace detail {

enum class CtlCommand
{
  Check,
  Apply,
  Show,
  Diff,
  Status,
  Drain,
  Resolve,
};

constexpr NameTable<CtlCommand, 7> kCtlCommandNames{ {
  { CtlCommand::Check, "check" },
  { CtlCommand::Apply, "apply" },
  { CtlCommand::Show, "show" },
  { CtlCommand::Diff, "diff" },
  { CtlCommand::Status, "status" },
  { CtlCommand::Drain, "drain" },
  { CtlCommand::Resolve, "resolve" },
} };

constexpr Duration kPollInterval = Millis(50);

/** A daemon of the host list and its endpoint for operators. */
struct Daemon
{
  std::string peer;
  Endpoint operators;
};

class Ctl
{
public:
  Ctl(Loop& aLoop, const CommandLine& aLine)
    : http(aLoop)
    , line(aLine)
  {
  }

  ExitCode Run()
  {
    if (this->line.positionals.empty()) {
      return this->Fail(ExitCode::Usage, "no command; see --help");
    }
    auto command = kCtlCommandNames.ValueOf(this->line.positionals[0]);
    if (!command) {
      return this->Fail(ExitCode::Usage,
                        "unknown command '" + this->line.positionals[0] + "'");
    }
    if (*command == CtlCommand::Check) {
      return this->Check();
    }
    if (*command == CtlCommand::Resolve) {
      return this->Resolve();
    }
    auto endpoint = ParseEndpoint(this->line.Get("store"));
    if (!endpoint) {
      return this->Fail(ExitCode::Usage,
                        "--store: " + endpoint.error().message);
    }
    this->store = endpoint.value();
    switch (*command) {
      case CtlCommand::Apply:
        return this->Apply();
      case CtlCommand::Show:
        return this->Show();
      case CtlCommand::Diff:
        return this->Diff();
      case CtlCommand::Status:
        return this->Status();
      default:
        return this->Drain();
    }
  }

private:
  static ExitCode Fail(ExitCode aCode, const std::string& aMessage)
  {
    fmt::print(stderr, "marigoldpitch-ctl: {}\n", aMessage);
    return aCode;
  }

  bool IsJson() const { return this->line.Has("json"); }

  std::string ConfigKey() const
  {
    return ConfigurationKey(this->line.Get("group-set", "default"));
  }

  Result<StoreValue> Get(const std::string& aKey)
  {
    return this->http.CallStore(
      this->store, StoreCall::Get, EncodeStoreGet(aKey));
  }

  /** Reads and validates the configuration file that the command names. */
  Result<std::string> ReadConfiguration()
  {
    if (this->line.positionals.size() != 2) {
      return Error{ ErrorCode::BadSettings,
                    this->line.positionals[0],
                    "takes exactly one file" };
    }
    BOOST_OUTCOME_TRY(auto text, ReadFile(this->line.positionals[1]));
    BOOST_OUTCOME_TRY(ParseConfiguration(text, 0, this->line.positionals[1]));
    return text;
  }

  ExitCode Check()
  {
    auto text = this->ReadConfiguration();
    if (!text) {
      return this->Fail(ExitCode::BadInput, text.error().ToString());
    }
    fmt::print("{}: no findings\n", this->line.positionals[1]);
    return ExitCode::Ok;
  }

  ExitCode Apply()
  {
    auto text = this->ReadConfiguration();
    if (!text) {
      return this->Fail(ExitCode::BadInput, text.error().ToString());
    }
    auto current = this->Get(this->ConfigKey());
    if (!current) {
      return this->Fail(ExitCode::Failed, current.error().ToString());
    }
    uint64_t baseRevision = current.value().position.revision;
    std::string expected = this->line.Get("expect");
    if (!expected.empty() && expected != std::to_string(baseRevision)) {
      return this->Conflict(expected, baseRevision);
    }
    auto swapped = this->http.CallStore(
      this->store,
      StoreCall::Swap,
      EncodeStoreSwap(this->ConfigKey(), baseRevision, text.value()));
    if (!swapped && swapped.error().code == ErrorCode::Conflict) {
      auto stored = DecodeStoreValue(swapped.error().message);
      return this->Conflict(std::to_string(baseRevision),
                            stored ? stored.value().position.revision : 0);
    }
    if (!swapped) {
      // The swap may have taken effect: read the value to find out.
      swapped = this->Get(this->ConfigKey());
      bool isApplied = swapped &&
                       swapped.value().position.revision > baseRevision &&
                       swapped.value().text == text.value();
      if (!isApplied) {
        return this->Fail(ExitCode::Failed,
                          "the store did not confirm the change and does not "
                          "hold this configuration; check it with 'show'");
      }
    }
    return this->WaitForAllDaemons(swapped.value().position.revision);
  }

  ExitCode Conflict(const std::string& aBaseRevision, uint64_t aStoredRevision)
  {
    return this->Fail(
      ExitCode::Conflict,
      fmt::format("conflict: this change is based on revision {}, and the "
                  "store has revision {}; nothing was changed",
                  aBaseRevision,
                  aStoredRevision));
  }

  Result<std::vector<Daemon>> Daemons()
  {
    BOOST_OUTCOME_TRY(auto value, this->Get(kHostsKey));
    BOOST_OUTCOME_TRY(auto hosts,
                      ParseHostList(value.text, value.position.revision));
    std::vector<Daemon> daemons;
    for (const HostEntry& host : hosts.hosts) {
      daemons.push_back({ host.name + "/owner", host.ownerOperators });
      daemons.push_back({ host.name + "/entry", host.entryOperators });
    }
    return daemons;
  }

  ExitCode WaitForAllDaemons(uint64_t aRevision)
  {
    Time start = ReadMonotonicClock();
    Duration timeout =
      Millis(std::atoll(this->line.Get("wait-ms", "4000").c_str()));
    auto daemons = this->Daemons();
    if (!daemons) {
      return this->Fail(ExitCode::Incomplete,
                        fmt::format("revision {} is stored, but the host list "
                                    "cannot be read: {}",
                                    aRevision,
                                    daemons.error().ToString()));
    }
    std::vector<Daemon> missing = daemons.value();
    while (true) {
      std::vector<Daemon> pending;
      for (const Daemon& daemon : missing) {
        v1::StatusResponse status;
        auto called = this->http.Call(
          daemon.operators, RpcMethod::Status, v1::StatusRequest(), status);
        if (!called || status.configuration_revision() < aRevision) {
          pending.push_back(daemon);
        }
      }
      missing = std::move(pending);
      if (missing.empty() || ReadMonotonicClock() - start >= timeout) {
        break;
      }
      this->http.Sleep(kPollInterval);
    }
    if (!missing.empty()) {
      std::string names;
      for (const Daemon& daemon : missing) {
        names += " " + daemon.peer;
      }
      return this->Fail(ExitCode::Incomplete,
                        fmt::format("revision {} is stored but not yet in "
                                    "force on:{}",
                                    aRevision,
                                    names));
    }
    fmt::print("revision {} is in force everywhere after {} ms\n",
               aRevision,
               (ReadMonotonicClock() - start).ms);
    return ExitCode::Ok;
  }

  ExitCode Show()
  {
    auto current = this->Get(this->ConfigKey());
    if (!current) {
      return this->Fail(ExitCode::Failed, current.error().ToString());
    }
    if (this->IsJson()) {
      fmt::print("{}\n", current.value().text);
      return ExitCode::Ok;
    }
    fmt::print("revision {}\n", current.value().position.revision);
    auto config = ParseConfiguration(current.value().text,
                                     current.value().position.revision,
                                     this->ConfigKey());
    if (!config) {
      return this->Fail(ExitCode::BadInput, config.error().ToString());
    }
    fmt::print("{:<24} {:>5} {:>11} {:<14} {}\n",
               "group",
               "slots",
               "connections",
               "acknowledge",
               "upstreams");
    for (const GroupConfig& group : config.value().groups) {
      std::string upstreams;
      for (const UpstreamConfig& upstream : group.upstreams) {
        upstreams += upstream.name + (upstream.leaving ? "(leaving) " : " ");
      }
      fmt::print("{:<24} {:>5} {:>11} {:<14} {}\n",
                 group.name,
                 group.slots,
                 group.connections,
                 kAcknowledgeNames.NameOf(group.acknowledge),
                 upstreams);
    }
    return ExitCode::Ok;
  }

  ExitCode Diff()
  {
    auto text = this->ReadConfiguration();
    if (!text) {
      return this->Fail(ExitCode::BadInput, text.error().ToString());
    }
    auto current = this->Get(this->ConfigKey());
    if (!current) {
      return this->Fail(ExitCode::Failed, current.error().ToString());
    }
    auto before = nlohmann::json::parse(current.value().text, nullptr, false);
    auto after = nlohmann::json::parse(text.value(), nullptr, false);
    if (before.is_discarded()) {
      before = nlohmann::json::object();
    }
    auto patch = nlohmann::json::diff(before, after);
    if (this->IsJson()) {
      fmt::print("{}\n", patch.dump(2));
      return ExitCode::Ok;
    }
    fmt::print("compared with revision {}\n",
               current.value().position.revision);
    for (const auto& change : patch) {
      fmt::print("{:<8} {} {}\n",
                 change.value("op", ""),
                 change.value("path", ""),
                 change.contains("value") ? change["value"].dump() : "");
    }
    return ExitCode::Ok;
  }

  ExitCode Status()
  {
    auto daemons = this->Daemons();
    if (!daemons) {
      return this->Fail(ExitCode::Failed, daemons.error().ToString());
    }
    size_t unreachable = 0;
    nlohmann::json all = nlohmann::json::array();
    for (const Daemon& daemon : daemons.value()) {
      v1::StatusResponse status;
      auto called = this->http.Call(
        daemon.operators, RpcMethod::Status, v1::StatusRequest(), status);
      if (!called) {
        ++unreachable;
        fmt::print(stderr, "{}: no answer\n", daemon.peer);
      } else if (this->IsJson()) {
        all.push_back(
          nlohmann::json::parse(EncodeBody(BodyFormat::Json, status)));
      } else {
        PrintStatus(status);
      }
    }
    if (this->IsJson()) {
      fmt::print("{}\n", all.dump(2));
    }
    return unreachable == 0 ? ExitCode::Ok : ExitCode::Incomplete;
  }

  static void PrintStatus(const v1::StatusResponse& aStatus)
  {
    fmt::print("{} zone {} configuration {} hosts {} unfinished {}{}{}\n",
               aStatus.peer(),
               aStatus.zone(),
               aStatus.configuration_revision(),
               aStatus.hosts_revision(),
               aStatus.unfinished(),
               aStatus.watcher() ? " watcher" : "",
               aStatus.draining() ? " draining" : "");
    for (const v1::GroupState& group : aStatus.groups()) {
      fmt::print("  group {} term {} primary {} {} failover {} sessions {}\n",
                 group.group(),
                 group.term(),
                 group.primary().empty() ? "-" : group.primary(),
                 group.standby() ? "standby" : "owner",
                 group.failover(),
                 group.sessions());
      for (const v1::UpstreamState& upstream : group.upstreams()) {
        fmt::print("    {:<16} {:<9} term {} received {} replayed {} "
                   "age {} connections {} busy {}{}\n",
                   upstream.name(),
                   upstream.role().empty() ? "unknown" : upstream.role(),
                   upstream.term(),
                   upstream.received(),
                   upstream.replayed(),
                   upstream.has_age_ms()
                     ? fmt::format("{} ms", upstream.age_ms())
                     : "unknown",
                   upstream.connections(),
                   upstream.busy(),
                   upstream.leaving() ? " leaving" : "");
      }
    }
    for (const v1::PeerState& peer : aStatus.peers()) {
      fmt::print("  {} {}\n", peer.peer(), peer.state());
    }
  }

  ExitCode Drain()
  {
    auto daemons = this->Daemons();
    if (!daemons) {
      return this->Fail(ExitCode::Failed, daemons.error().ToString());
    }
    std::string target = this->line.positionals.size() == 2
                           ? this->line.positionals[1]
                           : std::string();
    for (const Daemon& daemon : daemons.value()) {
      if (daemon.peer != target) {
        continue;
      }
      v1::DrainResponse response;
      auto called = this->http.Call(
        daemon.operators, RpcMethod::Drain, v1::DrainRequest(), response);
      if (!called) {
        return this->Fail(ExitCode::Failed, called.error().ToString());
      }
      fmt::print("{} is draining; {} requests are unfinished\n",
                 daemon.peer,
                 response.unfinished());
      return ExitCode::Ok;
    }
    return this->Fail(ExitCode::Usage,
                      "'" + target +
                        "' is not in the host list; name it as "
                        "HOST/owner or HOST/entry");
  }

  ExitCode Resolve()
  {
    auto entry = ParseEndpoint(this->line.Get("entry"));
    if (!entry || this->line.positionals.size() != 2 ||
        !this->line.Has("session")) {
      return this->Fail(
        ExitCode::Usage,
        "resolve takes a request id, --entry IP:PORT, --group NAME and "
        "--session NAME");
    }
    v1::ResolveRequest request;
    request.mutable_context()->set_group(this->line.Get("group"));
    request.mutable_context()->set_session(this->line.Get("session"));
    request.set_request_id(this->line.positionals[1]);
    auto reply = this->http.Post(entry.value(),
                                 kRpcMethodNames.TextOf(RpcMethod::Resolve),
                                 kBodyFormatNames.TextOf(BodyFormat::Json),
                                 EncodeBody(BodyFormat::Json, request));
    if (!reply) {
      return this->Fail(ExitCode::Failed, reply.error().ToString());
    }
    auto body = nlohmann::json::parse(reply.value().body, nullptr, false);
    if (this->IsJson() || body.is_discarded()) {
      fmt::print("{}\n", reply.value().body);
    } else {
      fmt::print(
        "{} {}\n", body.value("outcome", "unknown"), body.value("message", ""));
    }
    bool isResolved =
      body.is_object() && body.value("outcome", "") != "unknown";
    return isResolved ? ExitCode::Ok : ExitCode::Incomplete;
  }

  BlockingHttp http;
  const CommandLine& line;
  Endpoint store;
};

constexpr char kUsage[] =
  "COMMAND\n"
  "  check FILE        validate a configuration and list all findings\n"
  "  apply FILE        store it and wait until it is in force on all hosts\n"
  "  show              print the configuration in the store\n"
  "  diff FILE         print what apply would change\n"
  "  status            print hosts, groups, terms, primaries and lag\n"
  "  drain HOST/ROLE   stop accepting work, finish open requests and exit\n"
  "  resolve ID        print the outcome of a request\n"
  "Exit: 0 ok, 1 failed, 2 usage, 3 bad input, 4 conflict, 5 incomplete\n";

} // namespace detail

} // namespace marigoldpitch

int
main(int aCount, char** aArguments)
{
  using namespace marigoldpitch;
  std::vector<CommandOption> options{
    { "store", "IP:PORT", "the platform's key-value service" },
    { "group-set", "NAME", "name of the configuration; default: default" },
    { "expect", "REVISION", "apply only if the store has this revision" },
    { "wait-ms", "N", "time that apply waits for all hosts; default: 4000" },
    { "entry", "IP:PORT", "an entry's endpoint for callers, for resolve" },
    { "group", "NAME", "the request's database group, for resolve" },
    { "session", "NAME", "the request's session, for resolve" },
    { "json", "", "print JSON" }
  };
  auto body = [](Loop& aLoop, const CommandLine& aLine) {
    return detail::Ctl(aLoop, aLine).Run();
  };
  return RunTool(aCount, aArguments, detail::kUsage, options, body);
}
