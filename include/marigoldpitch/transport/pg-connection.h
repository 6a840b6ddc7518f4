#ifndef MARIGOLDPITCH_TRANSPORT_PG_CONNECTION_H
#define MARIGOLDPITCH_TRANSPORT_PG_CONNECTION_H

#include "marigoldpitch/protocol/upstream-sql.h"
#include "marigoldpitch/transport/loop.h"

#include <libpq-fe.h>

#include <memory>
#include <string>
#include <vector>

/** A non-blocking libpq connection to an upstream, in pipeline mode. */
namespace marigoldpitch {

class PgConnection;

class PgListener
{
public:
  virtual ~PgListener() = default;
  virtual void OnPgOpen(PgConnection& aConnection) = 0;

  /** The results of the statements of the last `Run`. */
  virtual void OnPgResults(PgConnection& aConnection,
                           std::vector<SqlResult> aResults) = 0;

  /**
   * The connection is closed; no further call follows for it. `aSqlState` is of
   * the last statement that failed; empty if there was none.
   */
  virtual void OnPgClosed(PgConnection& aConnection,
                          const std::string& aSqlState,
                          const std::string& aReason) = 0;
};

struct PgTarget
{
  Endpoint endpoint;
  std::string database;
  std::string user;
  // The upstream ends a session that is idle in a transaction for longer.
  Duration idleInTransactionTimeout = Seconds(6);
};

class PgConnection : public std::enable_shared_from_this<PgConnection>
{
public:
  static Result<std::shared_ptr<PgConnection>> Open(Loop& aLoop,
                                                    const PgTarget& aTarget,
                                                    PgListener& aListener);
  ~PgConnection();
  PgConnection(const PgConnection&) = delete;
  PgConnection& operator=(const PgConnection&) = delete;

  /**
   * Sends the statements as one pipeline and reports all results in one call of
   * `OnPgResults`. The previous batch must have finished.
   */
  void Run(const std::vector<Statement>& aStatements);

  /** Closes without calling the listener. */
  void Close();
  bool IsOpen() const { return this->open; }

  /** The upstream's process ID for this session; 0 if it is not open. */
  int BackendPid() const;

private:
  PgConnection(Loop& aLoop, PGconn* aConnection, PgListener& aListener);

  static void OnReadable(h2o_socket_t* aSocket, const char* aError);
  static void OnWritable(h2o_socket_t* aSocket, const char* aError);

  /** Waits for the socket to become readable, and writable if `aForWrite`. */
  void Watch(bool aForWrite);
  void Unwatch();
  void PollConnect();
  void ReadResults();
  void Flush();
  void Fail(std::string aReason);
  static SqlResult ConvertResult(const PGresult* aResult);

  Loop& loop;
  PgListener& listener;
  PGconn* connection;
  h2o_socket_t* socket = nullptr; // a duplicate of libpq's descriptor
  int watchedFd = -1;
  bool open = false;
  bool hasFailed = false;
  std::vector<SqlResult> results;
  std::string lastSqlState;
};

} // namespace marigoldpitch

#endif
