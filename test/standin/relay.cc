#include "marigoldpitch/transport/command-line.h"
#include "marigoldpitch/transport/http-server.h"
#include "marigoldpitch/transport/socket-address.h"
#include "marigoldpitch/transport/tcp-listener.h"

#include <fmt/format.h>

#include <memory>
#include <set>

// A TCP relay that injects network faults. A POST to the control port sets one:
// /silence        Drops all further bytes of the open connections without
//                 closing them, as a middlebox that lost their state. New
//                 connections work.
// /cut            The same, and new connections get no answer either.
// /cut-from?WORD  Silences open and new connections with WORD between blanks in
//                 the first line that the client sends.
// /half           Forwards requests and drops answers.
// /delay?MS       Delays all bytes.
// /reset          Closes the open connections.
// /heal           Ends /cut, /cut-from, /half and /delay. Connections that were
//                 silenced, or whose answers were dropped, stay so.

namespace marigoldpitch::standin {

/** A relayed connection: the client's socket and the target's. */
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
  RelayedConnection(Loop& aLoop, h2o_socket_t* aClient)
    : loop(aLoop)
  {
    this->sides[0] = { aClient, {}, {}, this, 1 };
    aClient->data = &this->sides[0];
  }

  ~RelayedConnection() { this->Close(); }

  void Start(SocketAddress aTarget)
  {
    h2o_socket_t* server = h2o_socket_connect(
      this->loop.Raw(), aTarget.Raw(), aTarget.length, OnConnected);
    this->sides[1] = { server, {}, {}, this, 0 };
    server->data = &this->sides[1];
  }

  void Silence() { this->isSilent = true; }
  void DropAnswers() { this->dropsAnswers = true; }
  void SilenceMatching(const std::string& aWord)
  {
    this->silencedWord = aWord;
    bool isMatch = !aWord.empty() &&
                   this->firstLine.find(" " + aWord + " ") != std::string::npos;
    this->isSilent = this->isSilent || isMatch;
  }
  void SetDelay(Duration aDelay) { this->delay = aDelay; }
  bool IsOpen() const { return this->sides[0].socket != nullptr; }

  void Close()
  {
    for (Side& side : this->sides) {
      if (side.socket != nullptr) {
        h2o_socket_close(std::exchange(side.socket, nullptr));
      }
    }
  }

private:
  struct Side
  {
    h2o_socket_t* socket = nullptr;
    std::string inFlight;
    std::string queued;
    RelayedConnection* connection = nullptr;
    size_t other = 0;
  };

  static void OnConnected(h2o_socket_t* aSocket, const char* aError)
  {
    RelayedConnection* connection =
      static_cast<Side*>(aSocket->data)->connection;
    if (aError != nullptr) {
      connection->Close();
      return;
    }
    for (Side& side : connection->sides) {
      h2o_socket_read_start(side.socket, OnRead);
    }
  }

  static void OnRead(h2o_socket_t* aSocket, const char* aError)
  {
    Side* side = static_cast<Side*>(aSocket->data);
    RelayedConnection* connection = side->connection;
    if (aError != nullptr) {
      if (!connection->isSilent) {
        connection->Close();
      } else {
        h2o_socket_read_stop(aSocket);
      }
      return;
    }
    std::string bytes(aSocket->input->bytes, aSocket->input->size);
    h2o_buffer_consume(&aSocket->input, aSocket->input->size);
    bool isAnswer = side->other == 0;
    if (!isAnswer && connection->firstLine.empty()) {
      connection->firstLine = bytes.substr(0, bytes.find('\r'));
      connection->SilenceMatching(connection->silencedWord);
    }
    if (connection->isSilent || (isAnswer && connection->dropsAnswers)) {
      return;
    }
    connection->Forward(side->other, bytes);
  }

  void Forward(size_t aSideIndex, const std::string& aBytes)
  {
    auto forward = [self = this->shared_from_this(), aSideIndex, aBytes] {
      Side& side = self->sides[aSideIndex];
      if (side.socket != nullptr) {
        side.queued += aBytes;
        self->Write(side);
      }
    };
    if (this->delay == Millis(0)) {
      forward();
    } else {
      this->loop.After(this->delay, forward);
    }
  }

  static void OnWritten(h2o_socket_t* aSocket, const char* aError)
  {
    Side* side = static_cast<Side*>(aSocket->data);
    if (aError != nullptr) {
      side->connection->Close();
      return;
    }
    side->inFlight.clear();
    side->connection->Write(*side);
  }

  void Write(Side& aSide)
  {
    if (!aSide.inFlight.empty() || aSide.queued.empty()) {
      return;
    }
    std::swap(aSide.inFlight, aSide.queued);
    h2o_iovec_t bytes =
      h2o_iovec_init(aSide.inFlight.data(), aSide.inFlight.size());
    h2o_socket_write(aSide.socket, &bytes, 1, OnWritten);
  }

  Loop& loop;
  bool isSilent = false;
  bool dropsAnswers = false;
  std::string firstLine; // sent by the client
  std::string silencedWord;
  Duration delay = Millis(0);
  Side sides[2];
};

class Relay
  : public AcceptHandler
  , public HttpService
{
public:
  Relay(Loop& aLoop, const SocketAddress& aTarget)
    : loop(aLoop)
    , target(aTarget)
  {
  }

  void Attach(HttpServer& aServer) { this->server = &aServer; }

  void OnAccept(h2o_socket_t* aSocket) override
  {
    auto connection = std::make_shared<RelayedConnection>(this->loop, aSocket);
    for (auto it = this->openConnections.begin();
         it != this->openConnections.end();) {
      it = (*it)->IsOpen() ? std::next(it) : this->openConnections.erase(it);
    }
    this->openConnections.insert(connection);
    this->ApplyFaults(*connection);
    if (!this->isPartitioned) {
      connection->Start(this->target);
    }
  }

  void OnHttpRequest(ExchangeId aExchange, const HttpRequest& aRequest) override
  {
    const std::string& path = aRequest.path;
    if (path == "/cut" || path == "/heal") {
      this->isPartitioned = path == "/cut";
    }
    if (path == "/half" || path == "/heal") {
      this->dropsAllAnswers = path == "/half";
    }
    if (path == "/cut-from" || path == "/heal") {
      this->silencedWord = path == "/cut-from" ? aRequest.query : "";
    }
    if (path == "/delay" || path == "/heal") {
      int64_t ms = path == "/delay" ? std::stoll(aRequest.query) : 0;
      this->delay = Millis(ms);
    }
    for (const auto& connection : this->openConnections) {
      this->ApplyFaults(*connection);
      if (this->isPartitioned || path == "/silence") {
        connection->Silence();
      }
    }
    if (path == "/reset") {
      for (const auto& connection : this->openConnections) {
        connection->Close();
      }
      this->openConnections.clear();
    }
    this->server->Respond(aExchange, { 200, "text/plain", "done\n" });
  }

  void OnHttpAborted(ExchangeId) override {}

private:
  void ApplyFaults(RelayedConnection& aConnection) const
  {
    aConnection.SetDelay(this->delay);
    aConnection.SilenceMatching(this->silencedWord);
    if (this->dropsAllAnswers) {
      aConnection.DropAnswers();
    }
  }

  Loop& loop;
  SocketAddress target;
  HttpServer* server = nullptr;
  bool isPartitioned = false;
  bool dropsAllAnswers = false;
  std::string silencedWord;
  Duration delay = Millis(0);
  std::set<std::shared_ptr<RelayedConnection>> openConnections;
};

} // namespace marigoldpitch::standin

int
main(int aCount, char** aArguments)
{
  using namespace marigoldpitch;
  auto line =
    ParseCommandLine(aCount,
                     const_cast<const char**>(aArguments),
                     "",
                     { { "port", "PORT", "port to listen on" },
                       { "target", "PORT", "port to relay to" },
                       { "control", "PORT", "port for control requests" } });
  if (!line || line.value().isDone) {
    return 2;
  }
  auto endpoint = [&](const char* aName) {
    return Endpoint{
      "127.0.0.1", static_cast<uint16_t>(std::stoul(line.value().Get(aName)))
    };
  };
  auto loop = Loop::Create();
  standin::Relay relay(*loop.value(),
                       SocketAddress::Create(endpoint("target")).value());
  auto server =
    HttpServer::Create(*loop.value(), endpoint("control"), HttpLimits{}, relay);
  auto listener = TcpListener::Create(*loop.value(), endpoint("port"), relay);
  if (!server || !listener) {
    fmt::print(stderr, "cannot listen: a port is in use\n");
    return 1;
  }
  relay.Attach(*server.value());
  loop.value()->Run();
  return 0;
}
