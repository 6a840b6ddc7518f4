#ifndef MARIGOLDPITCH_TRANSPORT_PG_CONNECTION_H
#define MARIGOLDPITCH_TRANSPORT_PG_CONNECTION_H

#include "marigoldpitch/protocol/upstream-sql.h"
#include "marigoldpitch/transport/loop.h"

#include <libpq-fe.h>

#include <memory>
#include <string>
#include <vector>

/** A connection to an upstream, in pipeline mode and never blocking. */
namespace marigoldpitch {

class PgConnection;

class PgListener
{
public:
  virtual ~PgListener() = default;
  virtual void OnPgOpen(PgConnection& aConnection) = 0;

  /** The results of the statements that `Run` was last given. */
  virtual void OnPgResults(PgConnection& aConnection,
                           std::vector<SqlResult> aResults) = 0;

  /** The last call for a connection; it is closed. */
  virtual void OnPgClosed(PgConnection& aConnection,
                          const std::string& aSqlState,
                          const std::string& aReason) = 0;
};

struct PgTarget
{
  Endpoint endpoint;
  std::string database;
  std::string user;
  Duration idleInTransaction = Seconds(6); // then the upstream ends it
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

  /** One batch at a time; its results come in one call. */
  void Run(const std::vector<Statement>& aStatements);

  /** Closes without a further call to the listener. */
  void Close();
  bool IsOpen() const { return this->open; }

  /** The upstream's number for this session; 0 before it is open. */
  int Backend() const;

private:
  PgConnection(Loop& aLoop, PGconn* aConnection, PgListener& aListener);

  static void OnReadable(h2o_socket_t* aSocket, const char* aError);
  static void OnWritable(h2o_socket_t* aSocket, const char* aError);
  void Watch(bool aForWrite);
  void Unwatch();
  void PollConnect();
  void TakeResults();
  void Flush();
  void Fail(std::string aReason);
  static SqlResult TakeResult(const PGresult* aResult);

  Loop& loop;
  PgListener& listener;
  PGconn* connection;
  h2o_socket_t* socket = nullptr; // a duplicate of libpq's descriptor
  int watchedFd = -1;
  bool open = false;
  bool failing = false;
  std::vector<SqlResult> results;
  std::string lastSqlState;
};

} // namespace marigoldpitch

#endif
