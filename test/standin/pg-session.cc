#include "pg-session.h"

#include "marigoldpitch/transport/clock.h"

namespace marigoldpitch::standin {

namespace {

constexpr size_t kLengthBytes = 4;

uint32_t
TakeInt(std::string_view& aBytes, size_t aSize)
{
  uint32_t value = 0;
  for (size_t i = 0; i < aSize && i < aBytes.size(); ++i) {
    value = value << 8 | static_cast<unsigned char>(aBytes[i]);
  }
  aBytes.remove_prefix(std::min(aSize, aBytes.size()));
  return value;
}

std::string
TakeText(std::string_view& aBytes)
{
  std::string text(aBytes.substr(0, aBytes.find('\0')));
  aBytes.remove_prefix(std::min(text.size() + 1, aBytes.size()));
  return text;
}

std::string
Int(uint32_t aValue, size_t aSize)
{
  std::string bytes;
  for (size_t i = aSize; i > 0; --i) {
    bytes += static_cast<char>(aValue >> (8 * (i - 1)) & 0xff);
  }
  return bytes;
}

std::string
Text(const std::string& aText)
{
  return aText + '\0';
}

} // namespace

PgSession::PgSession(Loop& aLoop,
                     Database& aDatabase,
                     Gone aGone,
                     int aNumber,
                     bool aRefused)
  : loop(aLoop)
  , database(aDatabase)
  , gone(std::move(aGone))
  , number(aNumber)
  , refused(aRefused)
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
  this->gone(*this);
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
         (self->started ? self->TakeMessage() : self->TakeStartup())) {
  }
}

bool
PgSession::TakeStartup()
{
  std::string_view bytes(this->input);
  if (bytes.size() < kLengthBytes) {
    return false;
  }
  size_t length = TakeInt(bytes, kLengthBytes);
  if (this->input.size() < length) {
    return false;
  }
  static const std::string kIdleOption = "idle_in_transaction_session_timeout=";
  size_t option = this->input.find(kIdleOption);
  if (option < length) {
    this->idleLimit =
      Millis(std::atoll(this->input.c_str() + option + kIdleOption.size()));
  }
  this->input.erase(0, length);
  this->started = true;
  if (this->refused) {
    this->PutError("53300", "too many connections");
    this->Flush();
    return false;
  }
  this->Put('R', Int(0, 4));
  this->Put('S', Text("server_version") + Text("15.0"));
  this->Put('S', Text("client_encoding") + Text("UTF8"));
  this->Put('K', Int(static_cast<uint32_t>(this->number), 4) + Int(1, 4));
  this->Put('Z', "I");
  this->Flush();
  return true;
}

bool
PgSession::TakeMessage()
{
  if (this->input.size() < 1 + kLengthBytes) {
    return false;
  }
  std::string_view bytes(this->input);
  bytes.remove_prefix(1);
  size_t length = TakeInt(bytes, kLengthBytes);
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
  } else if (this->skipping) {
    return;
  } else if (aType == 'P') {
    TakeText(aBody);
    this->statement.sql = TakeText(aBody);
    this->Put('1', {});
  } else if (aType == 'B') {
    this->TakeBind(aBody);
    this->Put('2', {});
  } else if (aType == 'E') {
    this->ExecuteStatement();
  }
}

void
PgSession::TakeBind(std::string_view aBody)
{
  TakeText(aBody);
  TakeText(aBody);
  size_t formats = TakeInt(aBody, 2);
  aBody.remove_prefix(2 * formats);
  size_t count = TakeInt(aBody, 2);
  this->statement.parameters.clear();
  for (size_t i = 0; i < count; ++i) {
    uint32_t length = TakeInt(aBody, 4);
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
  Outcome outcome = this->database.Execute(
    this->transaction, this->statement, ReadMonotonicClock());
  if (outcome.error) {
    this->PutError(outcome.error->state, outcome.error->message);
    this->skipping = true;
    return;
  }
  if (outcome.hasRows) {
    this->PutRows(outcome.rows);
  } else {
    this->Put('n', {});
  }
  this->Put('C', Text(outcome.tag));
}

void
PgSession::WatchIdle()
{
  this->loop.Cancel(std::exchange(this->idleTimer, 0));
  if (!this->transaction.open || this->idleLimit.ms == 0) {
    return;
  }
  std::weak_ptr<PgSession> self = this->shared_from_this();
  this->idleTimer = this->loop.After(this->idleLimit, [self] {
    if (auto session = self.lock()) {
      session->Terminate();
    }
  });
}

void
PgSession::Sync()
{
  this->skipping = false;
  this->WatchIdle();
  this->Put('Z',
            this->transaction.aborted ? "E"
            : this->transaction.open  ? "T"
                                      : "I");
  if (this->onWork) {
    this->onWork();
  }
  this->Flush();
}

void
PgSession::PutRows(const Rows& aRows)
{
  std::string description = Int(static_cast<uint32_t>(aRows.columns.size()), 2);
  for (const std::string& column : aRows.columns) {
    description += Text(column) + Int(0, 4) + Int(0, 2) + Int(25, 4) +
                   Int(0xffff, 2) + Int(UINT32_MAX, 4) + Int(0, 2);
  }
  this->Put('T', description);
  for (const auto& row : aRows.rows) {
    std::string line = Int(static_cast<uint32_t>(row.size()), 2);
    for (const auto& cell : row) {
      line += cell ? Int(static_cast<uint32_t>(cell->size()), 4) + *cell
                   : Int(UINT32_MAX, 4);
    }
    this->Put('D', line);
  }
}

void
PgSession::PutError(const std::string& aState, const std::string& aMessage)
{
  this->Put('E',
            "S" + Text("ERROR") + "V" + Text("ERROR") + "C" + Text(aState) +
              "M" + Text(aMessage) + std::string(1, '\0'));
}

void
PgSession::Put(char aType, const std::string& aBody)
{
  this->output += aType;
  this->output +=
    Int(static_cast<uint32_t>(aBody.size() + kLengthBytes), kLengthBytes);
  this->output += aBody;
}

void
PgSession::Flush()
{
  if (this->socket == nullptr || !this->writing.empty() ||
      this->output.empty()) {
    return;
  }
  std::swap(this->writing, this->output);
  h2o_iovec_t bytes =
    h2o_iovec_init(this->writing.data(), this->writing.size());
  h2o_socket_write(this->socket, &bytes, 1, OnWritten);
}

void
PgSession::OnWritten(h2o_socket_t* aSocket, const char* aError)
{
  auto self = static_cast<PgSession*>(aSocket->data)->shared_from_this();
  if (aError != nullptr || self->refused) {
    self->Close();
    return;
  }
  self->writing.clear();
  self->Flush();
}

} // namespace marigoldpitch::standin
