#ifndef MARIGOLDPITCH_TEST_STANDIN_PG_SESSION_H
#define MARIGOLDPITCH_TEST_STANDIN_PG_SESSION_H

#include "database.h"
#include "marigoldpitch/transport/loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

/** The subset of PostgreSQL's wire protocol that the client library needs. */
namespace marigoldpitch::standin {

class PgSession : public std::enable_shared_from_this<PgSession>
{
public:
  using CloseHandler = std::function<void(PgSession&)>;

  PgSession(Loop& aLoop,
            Database& aDatabase,
            CloseHandler aOnClose,
            int aProcessId,
            bool aIsRefused);
  ~PgSession();

  void Start(h2o_socket_t* aSocket);

  /** Ends the session, by request of another one or after `idleTimeout`. */
  void Terminate() { this->Close(); }
  int ProcessId() const { return this->processId; }

  /** Called for `pg_terminate_backend`. */
  std::function<void(int)> onTerminate;

  /** Called at each Sync message, so that a commit is replicated at once. */
  std::function<void()> onSync;

private:
  static void OnRead(h2o_socket_t* aSocket, const char* aError);
  static void OnWritten(h2o_socket_t* aSocket, const char* aError);
  void Close();
  bool ParseStartup();
  bool ParseMessage();
  void OnMessage(char aType, std::string_view aBody);
  void ParseBind(std::string_view aBody);
  void ExecuteStatement();
  void Sync();
  void RestartIdleTimer();
  void AppendMessage(char aType, const std::string& aBody);
  void AppendError(const std::string& aState, const std::string& aMessage);
  void AppendRows(const Rows& aRows);
  void Flush();

  Loop& loop;
  Database& database;
  CloseHandler onClose;
  int processId;
  Duration idleTimeout; // within a transaction; 0 for none
  TimerId idleTimer = 0;
  bool isRefused;
  h2o_socket_t* socket = nullptr;
  bool hasStarted = false;
  bool skipsUntilSync = false;
  std::string input;
  std::string output;
  std::string inFlight;
  Statement statement;
  Transaction transaction;
};

} // namespace marigoldpitch::standin

#endif
