#include "marigoldpitch/protocol/settings.h"
#include "marigoldpitch/transport/command-line.h"
#include "marigoldpitch/transport/tcp-listener.h"
#include "pg-session.h"
#include "replication.h"

#include <fmt/format.h>

#include <netinet/tcp.h>
#include <set>

// A stand-in for one PostgreSQL upstream of a database group.

namespace marigoldpitch::standin {

class Upstream : public AcceptHandler
{
public:
  Upstream(Loop& aLoop, Database& aDatabase, Replication& aReplication)
    : loop(aLoop)
    , database(aDatabase)
    , replication(aReplication)
  {
  }

  void OnAccept(h2o_socket_t* aSocket) override
  {
    int on = 1;
    setsockopt(
      h2o_socket_get_fd(aSocket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bool isFull =
      this->sessions.size() >= this->database.testSettings.maxConnections;
    auto session = std::make_shared<PgSession>(
      this->loop,
      this->database,
      [this](PgSession& aSession) {
        this->sessions.erase(aSession.shared_from_this());
      },
      ++this->lastProcessId,
      isFull);
    session->onTerminate = [this](int aProcessId) {
      this->Terminate(aProcessId);
    };
    session->onSync = [this] { this->replication.Update(); };
    this->sessions.insert(session);
    session->Start(aSocket);
  }

private:
  void Terminate(int aProcessId)
  {
    for (const auto& session : this->sessions) {
      if (session->ProcessId() == aProcessId) {
        auto terminated = session;
        terminated->Terminate();
        return;
      }
    }
  }

  Loop& loop;
  Database& database;
  Replication& replication;
  int lastProcessId = 0;
  std::set<std::shared_ptr<PgSession>> sessions;
};

} // namespace marigoldpitch::standin

int
main(int aCount, char** aArguments)
{
  using namespace marigoldpitch;
  auto line = ParseCommandLine(
    aCount,
    const_cast<const char**>(aArguments),
    "",
    { { "address", "IP", "address to listen on" },
      { "port", "PORT", "port to listen on" },
      { "role", "ROLE", "primary or detached" },
      { "term", "TERM", "initial term" },
      { "follow", "PORT", "replicate from this port of the same address" } });
  if (!line || line.value().isDone) {
    return 2;
  }
  const CommandLine& options = line.value();
  Role role = kRoleNames.ValueOf(options.Get("role", "detached"))
                .value_or(Role::Detached);
  Term term = std::stoull(options.Get("term", "0"));
  Endpoint own{ options.Get("address", "127.0.0.1"),
                static_cast<uint16_t>(std::stoul(options.Get("port"))) };
  auto loop = Loop::Create();
  standin::Database database(role, term);
  if (options.Has("follow")) {
    database.newFollowTarget = standin::Database::FollowTarget{
      term,
      own.address,
      static_cast<uint16_t>(std::stoul(options.Get("follow")))
    };
  }
  auto replication = standin::Replication::Create(*loop.value(), database, own);
  if (!replication) {
    fmt::print(stderr, "{}\n", replication.error().ToString());
    return 1;
  }
  standin::Upstream upstream(*loop.value(), database, *replication.value());
  auto listener = TcpListener::Create(*loop.value(), own, upstream);
  if (!listener) {
    fmt::print(stderr, "{}\n", listener.error().ToString());
    return 1;
  }
  loop.value()->Run();
  return 0;
}
