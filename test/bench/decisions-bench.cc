#include "marigoldpitch/coordination/common/gossip.h"
#include "marigoldpitch/coordination/owner/entry-engine.h"
#include "marigoldpitch/coordination/owner/group-engine.h"
#include "marigoldpitch/protocol/documents.h"
#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>

#include <malloc.h>
#include <memory>

// Measures the engines without I/O: CPU time per request, and memory per
// session, group and host.

using namespace marigoldpitch;

namespace {

constexpr int kRequests = 200000;
constexpr int kGroups = 2000;
constexpr size_t kSessions = 200000;
constexpr int kHosts = 2400;

GroupConfig
MakeConfig(const std::string& aName)
{
  GroupConfig config;
  config.name = aName;
  config.slots = 2;
  config.connections = 16;
  for (int i = 0; i < 3; ++i) {
    UpstreamConfig upstream;
    upstream.name = "upstream-" + std::to_string(i);
    upstream.zone = "zone-" + std::to_string(i);
    upstream.endpoint = { "10.0.0.1", 5432 };
    config.upstreams.push_back(upstream);
  }
  return config;
}

std::unique_ptr<GroupEngine>
MakeEngine(const std::string& aName)
{
  GroupConfig config = MakeConfig(aName);
  GroupOptions options;
  options.owner = "host-1~a";
  return std::move(
    GroupEngine::Create(config, MakeDefaultPolicies(config), options).value());
}

UpstreamStatus
StatusOf(UpstreamIndex aUpstream, Position aPosition)
{
  UpstreamStatus status;
  status.role = aUpstream == 0 ? Role::Primary : Role::Replica;
  status.term = 1;
  status.followedTerm = 1;
  status.lastTerm = 1;
  status.received = aPosition;
  status.replayed = aPosition;
  return status;
}

/** Answers each action of the engine at once, as upstreams without delay. */
class InstantUpstreams
{
public:
  explicit InstantUpstreams(GroupEngine& aEngine)
    : engine(aEngine)
  {
  }

  void Step(const GroupEvent& aEvent)
  {
    ++this->events;
    for (const GroupAction& action : this->engine.Handle(this->now, aEvent)) {
      this->Perform(action);
    }
  }

  Time now{ 1000 };
  uint64_t answers = 0;
  uint64_t events = 0;

private:
  void Perform(const GroupAction& aAction)
  {
    if (const auto* probe = std::get_if<ProbeUpstream>(&aAction)) {
      this->Step(StatusAnswered{ probe->upstream,
                                 probe->probe,
                                 StatusOf(probe->upstream, this->position) });
    } else if (const auto* open = std::get_if<OpenConnection>(&aAction)) {
      this->upstreamOf[open->connection] = open->upstream;
      this->Step(ConnectionOpened{ open->connection });
    } else if (const auto* run = std::get_if<RunBatch>(&aAction)) {
      BatchFinished finished{ run->connection, run->sequence, {} };
      for (const marigoldpitch::Step& step : run->batch) {
        StepResult result;
        result.outcome = StepOutcome::Done;
        if (step.kind == StepKind::Commit) {
          ++this->position;
        }
        if (step.kind == StepKind::Status) {
          result.status =
            StatusOf(this->upstreamOf[run->connection], this->position);
        }
        finished.result.steps.push_back(result);
      }
      this->Step(finished);
    } else if (std::get_if<SendAnswer>(&aAction) != nullptr) {
      ++this->answers;
    }
  }

  GroupEngine& engine;
  Position position = 1;
  std::map<ConnectionId, UpstreamIndex> upstreamOf;
};

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

void
MeasureDecisions(Operation aOperation, const char* aName)
{
  auto engine = MakeEngine("g");
  InstantUpstreams upstreams(*engine);
  for (int i = 0; i < 50; ++i) {
    upstreams.now = upstreams.now + Millis(50);
    upstreams.Step(Tick{});
  }
  Request request;
  request.operation = aOperation;
  request.statement.sql = "SELECT 1";
  if (aOperation == Operation::Read) {
    request.maxAge = Seconds(5);
  }
  upstreams.answers = 0;
  int64_t start = ReadCpuTimeMicros();
  for (int i = 0; i < kRequests; ++i) {
    request.session = "s" + std::to_string(i % 1000);
    request.requestId =
      aOperation == Operation::Read ? "" : "r" + std::to_string(i);
    upstreams.Step(
      RequestArrived{ static_cast<RequestHandle>(i + 1), request });
    if (i % 4 == 0) {
      upstreams.now = upstreams.now + Millis(2);
      upstreams.Step(Tick{});
    }
  }
  int64_t elapsedMicros = ReadCpuTimeMicros() - start;
  fmt::print("decide_ns_{} {} ns\n", aName, elapsedMicros * 1000 / kRequests);
  fmt::print("decide_answered_{} {:.1f} percent\n",
             aName,
             100.0 * static_cast<double>(upstreams.answers) / kRequests);
}

void
MeasureSessions()
{
  double before = HeapBytes();
  SessionTable table(kSessions);
  for (size_t i = 0; i < kSessions; ++i) {
    table.Advance("0f66c4c3474add49" + std::to_string(i), { 1, i });
  }
  fmt::print("session_bytes {:.0f} bytes\n",
             (HeapBytes() - before) / kSessions);
}

void
MeasureGroups()
{
  std::vector<std::unique_ptr<GroupEngine>> engines;
  double before = HeapBytes();
  for (int i = 0; i < kGroups; ++i) {
    engines.push_back(MakeEngine("group-" + std::to_string(i)));
    InstantUpstreams upstreams(*engines.back());
    for (int tick = 0; tick < 20; ++tick) {
      upstreams.now = upstreams.now + Millis(50);
      upstreams.Step(Tick{});
    }
  }
  fmt::print("group_bytes {:.0f} bytes\n", (HeapBytes() - before) / kGroups);

  constexpr int kIdleSeconds = 60;
  uint64_t statusCalls = 0;
  Time now{ 100000 };
  int64_t start = ReadCpuTimeMicros();
  InstantUpstreams upstreams(*engines[0]);
  upstreams.now = now;
  for (int i = 0; i < kIdleSeconds * 20; ++i) {
    upstreams.now = upstreams.now + Millis(50);
    upstreams.Step(Tick{});
  }
  int64_t elapsedMicros = ReadCpuTimeMicros() - start;
  statusCalls = upstreams.events - kIdleSeconds * 20;
  fmt::print("idle_group_decide {:.1f} us/s\n",
             static_cast<double>(elapsedMicros) / kIdleSeconds);
  fmt::print("idle_group_status_calls {:.1f} per_second\n",
             static_cast<double>(statusCalls) / kIdleSeconds);
}

void
MeasureHosts()
{
  double before = HeapBytes();
  HostList list;
  list.revision = 1;
  for (int i = 0; i < kHosts; ++i) {
    HostEntry host;
    host.name = "host-" + std::to_string(i);
    host.zone = "zone-" + std::to_string(i % 11);
    host.owner = host.entry = host.ownerOperators =
      host.entryOperators = { "10.11.12.13", 7000 };
    list.hosts.push_back(host);
  }
  EntryEngine entry;
  entry.Handle({ 0 }, HostsChanged{ list });
  fmt::print("host_bytes {:.0f} bytes\n", (HeapBytes() - before) / kHosts);

  GossipOptions options;
  options.peer = "host-1/owner";
  options.host = "host-1";
  options.zone = "zone-1";
  Gossip gossip(options);
  int64_t start = ReadCpuTimeMicros();
  gossip.SetHosts(list);
  fmt::print("host_list_decide {} us\n", ReadCpuTimeMicros() - start);

  Config config;
  config.revision = 1;
  config.groups.push_back(MakeConfig("g"));
  entry.Handle({ 0 }, ConfigurationChanged{ config });
  Request request;
  request.group = "g";
  request.session = "s";
  entry.Handle({ 0 }, CallerRequested{ 1, request });
  constexpr int kForwards = 2000;
  start = ReadCpuTimeMicros();
  for (int i = 0; i < kForwards; ++i) {
    entry.Handle({ 0 },
                 CallerRequested{ static_cast<RequestHandle>(i + 2), request });
  }
  fmt::print("entry_decide_ns_{}_hosts {} ns\n",
             kHosts,
             (ReadCpuTimeMicros() - start) * 1000 / kForwards);
}

void
MeasureConfiguration()
{
  constexpr int kConfiguredGroups = 2000;
  std::string text = "{\"groups\":[";
  for (int i = 0; i < kConfiguredGroups; ++i) {
    text += i == 0 ? "" : ",";
    std::string name = "group-" + std::to_string(i);
    text += "{\"name\":\"" + name + "\",\"database\":\"" + name +
            "\",\"user\":\"marigoldpitch\",\"slots\":2,"
            "\"connections\":16,\"upstreams\":[";
    for (int upstream = 0; upstream < 3; ++upstream) {
      text += upstream == 0 ? "" : ",";
      text += "{\"name\":\"upstream-" + std::to_string(upstream) +
              "\",\"zone\":\"zone-" + std::to_string(upstream) +
              "\",\"address\":\"10.1.2.3\",\"port\":5432}";
    }
    text += "],\"services\":[{\"name\":\"payment\",\"priority\":"
            "\"critical\",\"timeout_ms\":3000},{\"name\":\"stock\","
            "\"max_age_ms\":5000,\"timeout_ms\":1000}]}";
  }
  text += "]}";
  fmt::print("configured_group_text {} bytes\n",
             text.size() / kConfiguredGroups);
  double before = HeapBytes();
  int64_t start = ReadCpuTimeMicros();
  auto config = ParseConfiguration(text, 1, "bench");
  int64_t elapsedMicros = ReadCpuTimeMicros() - start;
  fmt::print("configured_group_memory {:.0f} bytes\n",
             (HeapBytes() - before) / kConfiguredGroups);
  fmt::print("configured_group_parse {} us\n",
             elapsedMicros / kConfiguredGroups);
}

} // namespace

int
main()
{
  MeasureDecisions(Operation::Read, "read");
  MeasureDecisions(Operation::Write, "write");
  MeasureSessions();
  MeasureGroups();
  MeasureHosts();
  MeasureConfiguration();
  return 0;
}
