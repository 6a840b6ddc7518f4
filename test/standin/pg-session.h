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
  using Gone = std::function<void(PgSession&)>;

  PgSession(Loop& aLoop,
            Database& aDatabase,
            Gone aGone,
            int aNumber,
            bool aRefused);
  ~PgSession();

  void Start(h2o_socket_t* aSocket);

  /** Ends the session, by request of another one or after `idleLimit`. */
  void Terminate() { this->Close(); }
  int Number() const { return this->number; }

  /** Called for `pg_terminate_backend`. */
  std::function<void(int)> onTerminate;

  /** Called at each Sync message, so that a commit is replicated at once. */
  std::function<void()> onWork;

private:
  static void OnRead(h2o_socket_t* aSocket, const char* aError);
  static void OnWritten(h2o_socket_t* aSocket, const char* aError);
  void Close();
  bool TakeStartup();
  bool TakeMessage();
  void OnMessage(char aType, std::string_view aBody);
  void TakeBind(std::string_view aBody);
  void ExecuteStatement();
  void Sync();
  void WatchIdle();
  void Put(char aType, const std::string& aBody);
  void PutError(const std::string& aState, const std::string& aMessage);
  void PutRows(const Rows& aRows);
  void Flush();

  Loop& loop;
  Database& database;
  Gone gone;
  int number;
  Duration idleLimit; // within a transaction; 0 for none
  TimerId idleTimer = 0;
  bool refused;
  h2o_socket_t* socket = nullptr;
  bool started = false;
  bool skipping = false;
  std::string input;
  std::string output;
  std::string writing;
  Statement statement;
  Transaction transaction;
};

} // namespace marigoldpitch::standin

#endif
