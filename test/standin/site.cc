#include "standin/site-store.h"
#include "standin/site-upstreams.h"

#include "marigoldpitch/transport/command-line.h"

#include <fmt/format.h>

// A stand-in for the users' platform, for the proxy program: its key-value
// store, its promotion call, and one service with three upstreams that use a
// line-based protocol.

namespace marigoldpitch::standin {

constexpr char kConfig[] =
  R"({"version":3,"routes":[)"
  R"({"name":"a","host":"ledger","kind":"primary","timeoutMs":1000,)"
  R"("targetLatencyMs":300,"priority":1,"service":"svc"},)"
  R"({"name":"b","host":"stock","kind":"bounded","maxStaleMs":500,)"
  R"("timeoutMs":1000,"targetLatencyMs":300,"priority":2,"service":"svc"},)"
  R"({"name":"c","host":"visits","kind":"session","maxStaleMs":500,)"
  R"("timeoutMs":1000,"targetLatencyMs":300,"priority":2,"service":"svc"}],)"
  R"("services":[{"name":"svc","maxConns":12,"syncReplicas":1}],)"
  R"("limits":{"txIdleMs":3000}})";

int
Run(uint16_t aStorePort, uint16_t aFirstPort, uint16_t aAdvertised)
{
  auto loop = Loop::Create();
  Upstreams upstreams(*loop.value());
  Store store(*loop.value(), upstreams);
  auto server = HttpServer::Create(
    *loop.value(), { "127.0.0.1", aStorePort }, HttpLimits{}, store);
  if (!server) {
    return static_cast<int>(FailWith(ExitCode::Failed, server.error()));
  }
  store.Attach(*server.value());
  for (uint16_t i = 0; i < 3; ++i) {
    auto port = static_cast<uint16_t>(aFirstPort + i);
    auto advertised = static_cast<uint16_t>(aAdvertised + i);
    auto opened =
      upstreams.Listen(i, { "127.0.0.1", port }, { "127.0.0.1", advertised });
    if (!opened) {
      return static_cast<int>(FailWith(ExitCode::Failed, opened.error()));
    }
  }
  store.Put("op/config", kConfig);
  store.RefreshRegistry();
  loop.value()->Run();
  return 0;
}

} // namespace marigoldpitch::standin

int
main(int aCount, char** aArguments)
{
  using namespace marigoldpitch;
  auto line = ParseCommandLine(
    aCount,
    const_cast<const char**>(aArguments),
    "--store PORT --upstreams PORT",
    { { "store", "PORT", "port of the store" },
      { "upstreams", "PORT", "first of the three ports of the upstreams" },
      { "advertise", "PORT", "first of the three ports in the registry" } });
  if (!line) {
    return static_cast<int>(FailWith(ExitCode::Usage, line.error()));
  }
  auto port = [&](const char* aName, const std::string& aDefault) {
    std::string text = line.value().Get(aName, aDefault);
    return static_cast<uint16_t>(std::atoi(text.c_str()));
  };
  std::string first = line.value().Get("upstreams");
  return standin::Run(
    port("store", ""), port("upstreams", ""), port("advertise", first));
}
