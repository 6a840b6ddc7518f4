#include "marigoldpitch/transport/stream-link.h"

#include "marigoldpitch/protocol/settings.h"
#include "marigoldpitch/state/sizes.h"
#include "marigoldpitch/transport/socket-address.h"

#include <netinet/tcp.h>

namespace marigoldpitch {

namespace detail {

// A write buffer that has grown beyond this is freed once it is empty.
constexpr size_t kKeptBufferBytes = 2 * kKibibyte;

void
DisableNagle(h2o_socket_t* aSocket)
{
  int on = 1;
  setsockopt(
    h2o_socket_get_fd(aSocket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace detail

StreamLink::~StreamLink()
{
  this->Close();
}

Result<void>
StreamLink::Connect(const Endpoint& aEndpoint)
{
  BOOST_OUTCOME_TRY(auto address, SocketAddress::Create(aEndpoint));
  this->socket = h2o_socket_connect(
    this->loop.Raw(), address.Raw(), address.length, OnConnected);
  if (this->socket == nullptr) {
    return Error{ ErrorCode::Io, FormatEndpoint(aEndpoint), "cannot connect" };
  }
  this->socket->data = this;
  return boost::outcome_v2::success();
}

void
StreamLink::Accept(h2o_socket_t* aSocket)
{
  this->socket = aSocket;
  aSocket->data = this;
  this->connected = true;
  detail::DisableNagle(aSocket);
  h2o_socket_read_start(aSocket, OnRead);
}

void
StreamLink::OnConnected(h2o_socket_t* aSocket, const char* aError)
{
  auto self = static_cast<StreamLink*>(aSocket->data)->shared_from_this();
  if (aError != nullptr) {
    self->Fail({ ErrorCode::Io, "connect", aError });
    return;
  }
  self->connected = true;
  detail::DisableNagle(aSocket);
  h2o_socket_read_start(aSocket, OnRead);
  self->OnUp();
  if (self->IsOpen()) {
    self->WriteQueued();
  }
}

void
StreamLink::OnRead(h2o_socket_t* aSocket, const char* aError)
{
  auto self = static_cast<StreamLink*>(aSocket->data)->shared_from_this();
  if (aError != nullptr) {
    self->Fail({ ErrorCode::Io, "read", aError });
    return;
  }
  std::string bytes(aSocket->input->bytes, aSocket->input->size);
  h2o_buffer_consume(&aSocket->input, aSocket->input->size);
  self->OnBytes(bytes);
}

void
StreamLink::Write(std::string_view aBytes)
{
  if (!this->IsOpen()) {
    return;
  }
  this->queued += aBytes;
  if (this->queued.size() > this->maxQueuedBytes) {
    auto self = this->shared_from_this();
    this->loop.Defer([self] {
      if (self->IsOpen()) {
        self->Fail({ ErrorCode::TooLarge,
                     "write",
                     "write queue full: the peer reads too slowly" });
      }
    });
    return;
  }
  this->WriteQueued();
}

void
StreamLink::WriteQueued()
{
  if (!this->connected || !this->inFlight.empty() || this->queued.empty()) {
    return;
  }
  std::swap(this->inFlight, this->queued);
  h2o_iovec_t bytes =
    h2o_iovec_init(this->inFlight.data(), this->inFlight.size());
  h2o_socket_write(this->socket, &bytes, 1, OnWritten);
}

void
StreamLink::OnWritten(h2o_socket_t* aSocket, const char* aError)
{
  auto self = static_cast<StreamLink*>(aSocket->data)->shared_from_this();
  if (aError != nullptr) {
    self->Fail({ ErrorCode::Io, "write", aError });
    return;
  }
  self->inFlight.clear();
  if (self->inFlight.capacity() > detail::kKeptBufferBytes) {
    std::string().swap(self->inFlight); // frees it; an assignment would not
  }
  self->WriteQueued();
  if (self->IsOpen()) {
    self->OnSent();
  }
}

void
StreamLink::PauseReading()
{
  if (this->IsOpen() && this->connected && !this->isPaused) {
    this->isPaused = true;
    h2o_socket_read_stop(this->socket);
  }
}

void
StreamLink::ResumeReading()
{
  if (this->IsOpen() && std::exchange(this->isPaused, false)) {
    h2o_socket_read_start(this->socket, OnRead);
  }
}

void
StreamLink::Close()
{
  if (this->socket != nullptr) {
    h2o_socket_close(std::exchange(this->socket, nullptr));
  }
}

void
StreamLink::Fail(const Error& aReason)
{
  this->Close();
  this->OnDown(aReason);
}

} // namespace marigoldpitch
