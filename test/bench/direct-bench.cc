#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/command-line.h"
#include "marigoldpitch/transport/pg-connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

// Runs the load program's reads directly on a stand-in upstream. The difference
// to the `relay_` figures of support/bench is the cost of the proxy.

using namespace marigoldpitch;

namespace {

class DirectClient : public PgListener
{
public:
  DirectClient(Loop& aLoop, const PgTarget& aTarget, size_t aConnections)
    : loop(aLoop)
  {
    for (size_t i = 0; i < aConnections; ++i) {
      this->connections.push_back(
        PgConnection::Open(aLoop, aTarget, *this).value());
    }
    this->startTimes.resize(aConnections);
  }

  void OnPgOpen(PgConnection& aConnection) override { this->Send(aConnection); }

  void OnPgResults(PgConnection& aConnection, std::vector<SqlResult>) override
  {
    ++this->completed;
    this->latencies.push_back(ReadMonotonicMicros() -
                              this->startTimes[this->IndexOf(aConnection)]);
    this->Send(aConnection);
  }

  void OnPgClosed(PgConnection&,
                  const std::string&,
                  const std::string& aReason) override
  {
    fmt::print(stderr, "connection closed: {}\n", aReason);
    this->loop.Stop();
  }

  uint64_t completed = 0;
  std::vector<int64_t> latencies;

private:
  size_t IndexOf(const PgConnection& aConnection) const
  {
    size_t index = 0;
    while (this->connections[index].get() != &aConnection) {
      ++index;
    }
    return index;
  }

  void Send(PgConnection& aConnection)
  {
    this->startTimes[this->IndexOf(aConnection)] = ReadMonotonicMicros();
    aConnection.Run({ { "BEGIN READ ONLY", {} },
                      { "SELECT value FROM orders WHERE key = $1",
                        { std::string("load-1-0-1") } },
                      StatusSql(),
                      { "COMMIT", {} } });
  }

  Loop& loop;
  std::vector<std::shared_ptr<PgConnection>> connections;
  std::vector<int64_t> startTimes;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  auto line =
    ParseCommandLine(aCount,
                     const_cast<const char**>(aArguments),
                     "",
                     { { "port", "PORT", "port of a stand-in upstream" },
                       { "seconds", "N", "duration of the run" },
                       { "connections", "N", "number of connections" } });
  if (!line || line.value().isDone) {
    return 2;
  }
  auto number = [&](const char* aName, const char* aDefault) {
    return std::stoul(line.value().Get(aName, aDefault));
  };
  auto loop = Loop::Create();
  PgTarget target;
  target.endpoint = { "127.0.0.1",
                      static_cast<uint16_t>(number("port", "5432")) };
  target.database = target.user = "orders";
  DirectClient client(*loop.value(), target, number("connections", "16"));
  size_t seconds = number("seconds", "4");
  loop.value()->After(Seconds(static_cast<int64_t>(seconds)),
                      [&] { loop.value()->Stop(); });
  loop.value()->Run();
  std::sort(client.latencies.begin(), client.latencies.end());
  size_t count = std::max<size_t>(client.latencies.size(), 1);
  client.latencies.resize(count);
  fmt::print("direct_statements {} per_second\n", client.completed / seconds);
  fmt::print("direct_latency_median {} us\n", client.latencies[count / 2]);
  fmt::print("direct_latency_p99 {} us\n", client.latencies[count * 99 / 100]);
  return 0;
}
