#include "marigoldpitch/transport/pg-connection.h"

#include <boost/scope_exit.hpp>

#include <array>
#include <cstdlib>

namespace marigoldpitch {

namespace detail {

// Results are in text format; parameters are sent as text without a type.
constexpr int kTextFormat = 0;

std::string
ErrorField(const PGresult* aResult, int aField)
{
  const char* text = PQresultErrorField(aResult, aField);
  return text == nullptr ? std::string() : std::string(text);
}

std::vector<const char*>
ParameterPointers(const Statement& aStatement)
{
  std::vector<const char*> pointers;
  pointers.reserve(aStatement.parameters.size());
  for (const auto& parameter : aStatement.parameters) {
    pointers.push_back(parameter ? parameter->c_str() : nullptr);
  }
  return pointers;
}

} // namespace detail

Result<std::shared_ptr<PgConnection>>
PgConnection::Open(Loop& aLoop, const PgTarget& aTarget, PgListener& aListener)
{
  std::string port = std::to_string(aTarget.endpoint.port);
  std::string options = "-c idle_in_transaction_session_timeout=" +
                        std::to_string(aTarget.idleInTransactionTimeout.ms);
  std::array<const char*, 11> keys{
    "hostaddr",
    "port",
    "dbname",
    "user",
    "sslmode",
    "gssencmode",
    "application_name",
    "options",
    "tcp_user_timeout",
    "client_encoding",
    nullptr,
  };
  // Callers' texts are UTF-8, whatever the database's own encoding is.
  std::array<const char*, 11> values{
    aTarget.endpoint.address.c_str(),
    port.c_str(),
    aTarget.database.c_str(),
    aTarget.user.c_str(),
    "disable",
    "disable",
    "marigoldpitch",
    options.c_str(),
    "5000",
    "UTF8",
    nullptr,
  };
  PGconn* raw = PQconnectStartParams(keys.data(), values.data(), 0);
  if (raw == nullptr || PQstatus(raw) == CONNECTION_BAD) {
    std::string reason = raw == nullptr ? "out of memory" : PQerrorMessage(raw);
    PQfinish(raw);
    return Error{ ErrorCode::Io, aTarget.endpoint.address, reason };
  }
  std::shared_ptr<PgConnection> connection(
    new PgConnection(aLoop, raw, aListener));
  connection->Watch(true);
  return connection;
}

PgConnection::PgConnection(Loop& aLoop,
                           PGconn* aConnection,
                           PgListener& aListener)
  : loop(aLoop)
  , listener(aListener)
  , connection(aConnection)
{
}

PgConnection::~PgConnection()
{
  this->Close();
}

int
PgConnection::BackendPid() const
{
  return this->open ? PQbackendPID(this->connection) : 0;
}

void
PgConnection::Unwatch()
{
  if (this->socket != nullptr) {
    h2o_socket_close(std::exchange(this->socket, nullptr));
  }
  this->watchedFd = -1;
}

void
PgConnection::Watch(bool aForWrite)
{
  int fd = PQsocket(this->connection);
  // libpq may change its descriptor while it connects.
  if (fd != this->watchedFd) {
    this->Unwatch();
    this->watchedFd = fd;
    this->socket = h2o_evloop_socket_create(
      this->loop.Raw(), dup(fd), H2O_SOCKET_FLAG_DONT_READ);
    this->socket->data = this;
    h2o_socket_read_start(this->socket, OnReadable);
  }
  if (aForWrite && this->socket->_cb.write == nullptr) {
    h2o_socket_notify_write(this->socket, OnWritable);
  }
}

void
PgConnection::OnReadable(h2o_socket_t* aSocket, const char*)
{
  auto self = static_cast<PgConnection*>(aSocket->data)->shared_from_this();
  if (!self->open) {
    self->PollConnect();
    return;
  }
  if (PQconsumeInput(self->connection) == 0) {
    self->Fail(PQerrorMessage(self->connection));
    return;
  }
  self->ReadResults();
}

void
PgConnection::OnWritable(h2o_socket_t* aSocket, const char*)
{
  auto self = static_cast<PgConnection*>(aSocket->data)->shared_from_this();
  if (!self->open) {
    self->PollConnect();
    return;
  }
  self->Flush();
}

void
PgConnection::PollConnect()
{
  switch (PQconnectPoll(this->connection)) {
    case PGRES_POLLING_READING:
      this->Watch(false);
      return;
    case PGRES_POLLING_WRITING:
      this->Watch(true);
      return;
    case PGRES_POLLING_OK:
      break;
    default:
      this->Fail(PQerrorMessage(this->connection));
      return;
  }
  this->Watch(false);
  bool isReady = PQsetnonblocking(this->connection, 1) == 0 &&
                 PQenterPipelineMode(this->connection) == 1;
  if (!isReady) {
    this->Fail("cannot enter non-blocking pipeline mode");
    return;
  }
  this->open = true;
  this->listener.OnPgOpen(*this);
}

void
PgConnection::Run(const std::vector<Statement>& aStatements)
{
  this->results.clear();
  for (const Statement& statement : aStatements) {
    auto pointers = detail::ParameterPointers(statement);
    int sent = PQsendQueryParams(this->connection,
                                 statement.sql.c_str(),
                                 static_cast<int>(pointers.size()),
                                 nullptr,
                                 pointers.data(),
                                 nullptr,
                                 nullptr,
                                 detail::kTextFormat);
    if (sent != 1) {
      this->Fail(PQerrorMessage(this->connection));
      return;
    }
  }
  if (PQpipelineSync(this->connection) != 1) {
    this->Fail(PQerrorMessage(this->connection));
    return;
  }
  this->Flush();
}

void
PgConnection::Flush()
{
  int left = PQflush(this->connection);
  if (left < 0) {
    this->Fail(PQerrorMessage(this->connection));
  } else if (left > 0) {
    this->Watch(true);
  }
}

void
PgConnection::ReadResults()
{
  bool wasNull = false;
  while (this->connection != nullptr && PQisBusy(this->connection) == 0) {
    PGresult* result = PQgetResult(this->connection);
    if (result == nullptr) {
      // One null ends a statement's results; two in a row mean that no further
      // result is available.
      if (wasNull) {
        return;
      }
      wasNull = true;
      continue;
    }
    BOOST_SCOPE_EXIT(result)
    {
      PQclear(result);
    }
    BOOST_SCOPE_EXIT_END
    wasNull = false;
    if (PQresultStatus(result) == PGRES_PIPELINE_SYNC) {
      this->listener.OnPgResults(*this, std::move(this->results));
      return;
    }
    this->results.push_back(ConvertResult(result));
    if (!this->results.back().sqlState.empty()) {
      this->lastSqlState = this->results.back().sqlState;
    }
  }
}

SqlResult
PgConnection::ConvertResult(const PGresult* aResult)
{
  SqlResult converted;
  ExecStatusType status = PQresultStatus(aResult);
  converted.skipped = status == PGRES_PIPELINE_ABORTED;
  converted.done = status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK;
  if (!converted.done) {
    converted.sqlState = detail::ErrorField(aResult, PG_DIAG_SQLSTATE);
    converted.message = detail::ErrorField(aResult, PG_DIAG_MESSAGE_PRIMARY);
    return converted;
  }
  int columns = PQnfields(aResult);
  for (int column = 0; column < columns; ++column) {
    converted.rows.columns.emplace_back(PQfname(aResult, column));
  }
  for (int row = 0; row < PQntuples(aResult); ++row) {
    std::vector<std::optional<std::string>> cells;
    for (int column = 0; column < columns; ++column) {
      if (PQgetisnull(aResult, row, column) != 0) {
        cells.emplace_back();
      } else {
        cells.emplace_back(
          std::string(PQgetvalue(aResult, row, column),
                      static_cast<size_t>(PQgetlength(aResult, row, column))));
      }
    }
    converted.rows.rows.push_back(std::move(cells));
  }
  const char* affected = PQcmdTuples(const_cast<PGresult*>(aResult));
  converted.rows.affected = std::strtoull(affected, nullptr, 10);
  return converted;
}

void
PgConnection::Close()
{
  this->open = false;
  this->Unwatch();
  if (this->connection != nullptr) {
    PQfinish(std::exchange(this->connection, nullptr));
  }
}

void
PgConnection::Fail(std::string aReason)
{
  if (this->hasFailed) {
    return;
  }
  this->hasFailed = true;
  // The listener is called later: it may be handling an event and have called
  // this connection from there.
  auto self = this->shared_from_this();
  this->open = false;
  this->Unwatch();
  this->loop.Defer([self, reason = std::move(aReason)] {
    bool isStillOpen = self->connection != nullptr;
    self->Close();
    if (isStillOpen) {
      self->listener.OnPgClosed(*self, self->lastSqlState, reason);
    }
  });
}

} // namespace marigoldpitch
