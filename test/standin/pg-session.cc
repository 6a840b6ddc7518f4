#include "pg-session.h"

#include "marigoldpitch/transport/clock.h"

namespace marigoldpitch::standin {

namespace {

constexpr size_t kLengthBytes = 4;

uint32_t
ConsumeInt(std::string_view& aBytes, size_t aSize)
{
  uint32_t value = 0;
  for (size_t i = 0; i < aSize && i < aBytes.size(); ++i) {
    value = value << 8 | static_cast<unsigned char>(aBytes[i]);
  }
  aBytes.remove_prefix(std::min(aSize, aBytes.size()));
  return value;
}

std::string
ConsumeText(std::string_view& aBytes)
{
  std::string text(aBytes.substr(0, aBytes.find('\0')));
  aBytes.remove_prefix(std::min(text.size() + 1, aBytes.size()));
  return text;
}

std::string
EncodeInt(uint32_t aValue, size_t aSize)
{
  std::string bytes;
  for (size_t i = aSize; i > 0; --i) {
    bytes += static_cast<char>(aValue >> (8 * (i - 1)) & 0xff);
  }
  return bytes;
}

std::string
EncodeText(const std::string& aText)
{
  return aText + '\0';
}

} // namespace

PgSession::PgSession(Loop& aLoop,
                     Database& aDatabase,
                     CloseHandler aOnClose,
                     int aProcessId,
                     bool aIsRefused)
  : loop(aLoop)
  , database(aDatabase)
  , onClose(std::move(aOnClose))
  , processId(aProcessId)
  , isRefused(aIsRefused)
{
}

PgSession::~PgSession()
{
  if (this->socket != nullptr) {
    h2o_socket_close(this->socket);
  }
}

void
PgSession::Start(h2o_socket_t* aSocket)
{
  this->socket = aSocket;
  aSocket->data = this;
  h2o_socket_read_start(aSocket, OnRead);
}

void
PgSession::Close()
{
  if (this->socket == nullptr) {
    return;
  }
  h2o_socket_close(std::exchange(this->socket, nullptr));
  this->database.RollBack(this->transaction);
  this->onClose(*this);
}

void
PgSession::OnRead(h2o_socket_t* aSocket, const char* aError)
{
  auto self = static_cast<PgSession*>(aSocket->data)->shared_from_this();
  if (aError != nullptr) {
    self->Close();
    return;
  }
  self->input.append(aSocket->input->bytes, aSocket->input->size);
  h2o_buffer_consume(&aSocket->input, aSocket->input->size);
  while (self->socket != nullptr &&
         (self->hasStarted ? self->ParseMessage() : self->ParseStartup())) {
  }
}

bool
PgSession::ParseStartup()
{
  std::string_view bytes(this->input);
  if (bytes.size() < kLengthBytes) {
    return false;
  }
  size_t length = ConsumeInt(bytes, kLengthBytes);
  if (this->input.size() < length) {
    return false;
  }
  static const std::string kIdleOption = "idle_in_transaction_session_timeout=";
  size_t option = this->input.find(kIdleOption);
  if (option < length) {
    this->idleTimeout =
      Millis(std::atoll(this->input.c_str() + option + kIdleOption.size()));
  }
  // Without a wish of the client's, an encoding that its texts are not in.
  static const std::string kEncoding("client_encoding\0", 16);
  size_t encoding = this->input.find(kEncoding);
  std::string chosen = encoding < length
                         ? this->input.c_str() + encoding + kEncoding.size()
                         : "LATIN1";
  this->transaction.startValues["client_encoding"] = chosen;
  this->transaction.values = this->transaction.startValues;
  this->input.erase(0, length);
  this->hasStarted = true;
  if (this->isRefused) {
    this->AppendError("53300", "too many connections");
    this->Flush();
    return false;
  }
  this->AppendMessage('R', EncodeInt(0, 4));
  this->AppendMessage('S', EncodeText("server_version") + EncodeText("15.0"));
  this->AppendMessage('S', EncodeText("client_encoding") + EncodeText(chosen));
  this->AppendMessage('K',
                      EncodeInt(static_cast<uint32_t>(this->processId), 4) +
                        EncodeInt(1, 4));
  this->AppendMessage('Z', "I");
  this->Flush();
  return true;
}

bool
PgSession::ParseMessage()
{
  if (this->input.size() < 1 + kLengthBytes) {
    return false;
  }
  std::string_view bytes(this->input);
  bytes.remove_prefix(1);
  size_t length = ConsumeInt(bytes, kLengthBytes);
  if (this->input.size() < 1 + length) {
    return false;
  }
  char type = this->input[0];
  std::string body =
    this->input.substr(1 + kLengthBytes, length - kLengthBytes);
  this->input.erase(0, 1 + length);
  this->OnMessage(type, body);
  return true;
}

void
PgSession::OnMessage(char aType, std::string_view aBody)
{
  if (aType == 'X') {
    this->Close();
  } else if (aType == 'S') {
    this->Sync();
  } else if (this->skipsUntilSync) {
    return;
  } else if (aType == 'P') {
    ConsumeText(aBody);
    this->statement.sql = ConsumeText(aBody);
    this->AppendMessage('1', {});
  } else if (aType == 'B') {
    this->ParseBind(aBody);
    this->AppendMessage('2', {});
  } else if (aType == 'E') {
    this->ExecuteStatement();
  }
}

void
PgSession::ParseBind(std::string_view aBody)
{
  ConsumeText(aBody);
  ConsumeText(aBody);
  size_t formats = ConsumeInt(aBody, 2);
  aBody.remove_prefix(2 * formats);
  size_t count = ConsumeInt(aBody, 2);
  this->statement.parameters.clear();
  for (size_t i = 0; i < count; ++i) {
    uint32_t length = ConsumeInt(aBody, 4);
    if (length == UINT32_MAX) {
      this->statement.parameters.emplace_back();
    } else {
      this->statement.parameters.emplace_back(aBody.substr(0, length));
      aBody.remove_prefix(length);
    }
  }
}

void
PgSession::ExecuteStatement()
{
  StatementResult result = this->database.Execute(
    this->transaction, this->statement, ReadMonotonicClock());
  if (result.error) {
    this->AppendError(result.error->state, result.error->message);
    this->skipsUntilSync = true;
    return;
  }
  if (result.hasRows) {
    this->AppendRows(result.rows);
  } else {
    this->AppendMessage('n', {});
  }
  this->AppendMessage('C', EncodeText(result.tag));
}

void
PgSession::RestartIdleTimer()
{
  this->loop.Cancel(std::exchange(this->idleTimer, 0));
  if (!this->transaction.open || this->idleTimeout.ms == 0) {
    return;
  }
  std::weak_ptr<PgSession> self = this->shared_from_this();
  this->idleTimer = this->loop.After(this->idleTimeout, [self] {
    if (auto session = self.lock()) {
      session->Terminate();
    }
  });
}

void
PgSession::Sync()
{
  this->skipsUntilSync = false;
  this->transaction.hasPipelined = false;
  this->RestartIdleTimer();
  this->AppendMessage('Z',
                      this->transaction.aborted ? "E"
                      : this->transaction.open  ? "T"
                                                : "I");
  if (this->onSync) {
    this->onSync();
  }
  this->Flush();
}

void
PgSession::AppendRows(const Rows& aRows)
{
  std::string description =
    EncodeInt(static_cast<uint32_t>(aRows.columns.size()), 2);
  for (const std::string& column : aRows.columns) {
    description += EncodeText(column) + EncodeInt(0, 4) + EncodeInt(0, 2) +
                   EncodeInt(25, 4) + EncodeInt(0xffff, 2) +
                   EncodeInt(UINT32_MAX, 4) + EncodeInt(0, 2);
  }
  this->AppendMessage('T', description);
  for (const auto& row : aRows.rows) {
    std::string line = EncodeInt(static_cast<uint32_t>(row.size()), 2);
    for (const auto& cell : row) {
      line += cell ? EncodeInt(static_cast<uint32_t>(cell->size()), 4) + *cell
                   : EncodeInt(UINT32_MAX, 4);
    }
    this->AppendMessage('D', line);
  }
}

void
PgSession::AppendError(const std::string& aState, const std::string& aMessage)
{
  this->AppendMessage('E',
                      "S" + EncodeText("ERROR") + "V" + EncodeText("ERROR") +
                        "C" + EncodeText(aState) + "M" + EncodeText(aMessage) +
                        std::string(1, '\0'));
}

void
PgSession::AppendMessage(char aType, const std::string& aBody)
{
  this->output += aType;
  this->output +=
    EncodeInt(static_cast<uint32_t>(aBody.size() + kLengthBytes), kLengthBytes);
  this->output += aBody;
}

void
PgSession::Flush()
{
  if (this->socket == nullptr || !this->inFlight.empty() ||
      this->output.empty()) {
    return;
  }
  std::swap(this->inFlight, this->output);
  h2o_iovec_t bytes =
    h2o_iovec_init(this->inFlight.data(), this->inFlight.size());
  h2o_socket_write(this->socket, &bytes, 1, OnWritten);
}

void
PgSession::OnWritten(h2o_socket_t* aSocket, const char* aError)
{
  auto self = static_cast<PgSession*>(aSocket->data)->shared_from_this();
  if (aError != nullptr || self->isRefused) {
    self->Close();
    return;
  }
  self->inFlight.clear();
  self->Flush();
}

} // namespace marigoldpitch::standin
