#include "marigoldpitch/transport/frame-link.h"

#include "marigoldpitch/state/sizes.h"
#include "marigoldpitch/transport/socket-address.h"

#include <netinet/tcp.h>

namespace marigoldpitch {

namespace detail {

constexpr size_t kMaxQueuedBytes = 64 * kMebibyte;

void
SendAtOnce(h2o_socket_t* aSocket)
{
  int on = 1;
  setsockopt(
    h2o_socket_get_fd(aSocket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace detail

FrameLink::FrameLink(Loop& aLoop,
                     size_t aMaxFrameBytes,
                     FrameLinkListener& aListener)
  : loop(aLoop)
  , listener(aListener)
  , splitter(aMaxFrameBytes)
{
}

FrameLink::~FrameLink()
{
  this->Close();
}

Result<std::shared_ptr<FrameLink>>
FrameLink::Connect(Loop& aLoop,
                   const Endpoint& aEndpoint,
                   size_t aMaxFrameBytes,
                   FrameLinkListener& aListener)
{
  BOOST_OUTCOME_TRY(auto address, SocketAddress::Create(aEndpoint));
  h2o_socket_t* socket =
    h2o_socket_connect(aLoop.Raw(), address.Raw(), address.length, OnConnected);
  if (socket == nullptr) {
    return Error{ ErrorCode::Io, FormatEndpoint(aEndpoint), "cannot connect" };
  }
  std::shared_ptr<FrameLink> link(
    new FrameLink(aLoop, aMaxFrameBytes, aListener));
  link->Attach(socket);
  return link;
}

std::shared_ptr<FrameLink>
FrameLink::Accepted(Loop& aLoop,
                    h2o_socket_t* aSocket,
                    size_t aMaxFrameBytes,
                    FrameLinkListener& aListener)
{
  std::shared_ptr<FrameLink> link(
    new FrameLink(aLoop, aMaxFrameBytes, aListener));
  link->Attach(aSocket);
  link->connected = true;
  detail::SendAtOnce(aSocket);
  h2o_socket_read_start(aSocket, OnRead);
  return link;
}

void
FrameLink::Attach(h2o_socket_t* aSocket)
{
  this->socket = aSocket;
  aSocket->data = this;
}

void
FrameLink::OnConnected(h2o_socket_t* aSocket, const char* aError)
{
  auto self = static_cast<FrameLink*>(aSocket->data)->shared_from_this();
  if (aError != nullptr) {
    self->Fail({ ErrorCode::Io, "connect", aError });
    return;
  }
  self->connected = true;
  detail::SendAtOnce(aSocket);
  h2o_socket_read_start(aSocket, OnRead);
  self->listener.OnLinkUp(*self);
  if (self->IsOpen()) {
    self->WriteQueued();
  }
}

void
FrameLink::OnRead(h2o_socket_t* aSocket, const char* aError)
{
  auto self = static_cast<FrameLink*>(aSocket->data)->shared_from_this();
  if (aError != nullptr) {
    self->Fail({ ErrorCode::Io, "read", aError });
    return;
  }
  self->splitter.Append({ aSocket->input->bytes, aSocket->input->size });
  h2o_buffer_consume(&aSocket->input, aSocket->input->size);
  self->TakeFrames();
}

void
FrameLink::TakeFrames()
{
  while (this->IsOpen()) {
    auto frame = this->splitter.Next();
    if (!frame) {
      this->Fail(frame.error());
      return;
    }
    if (!frame.value()) {
      return;
    }
    this->listener.OnFrameBytes(*this, *frame.value());
  }
}

void
FrameLink::Send(const std::string& aFrame)
{
  if (!this->IsOpen()) {
    return;
  }
  this->queued += WithPrefix(aFrame);
  if (this->queued.size() > detail::kMaxQueuedBytes) {
    auto self = this->shared_from_this();
    this->loop.Defer([self] {
      if (self->IsOpen()) {
        self->Fail(
          { ErrorCode::TooLarge, "write", "the peer takes too little" });
      }
    });
    return;
  }
  this->WriteQueued();
}

void
FrameLink::WriteQueued()
{
  if (!this->connected || !this->writing.empty() || this->queued.empty()) {
    return;
  }
  std::swap(this->writing, this->queued);
  h2o_iovec_t bytes =
    h2o_iovec_init(this->writing.data(), this->writing.size());
  h2o_socket_write(this->socket, &bytes, 1, OnWritten);
}

void
FrameLink::OnWritten(h2o_socket_t* aSocket, const char* aError)
{
  auto self = static_cast<FrameLink*>(aSocket->data)->shared_from_this();
  if (aError != nullptr) {
    self->Fail({ ErrorCode::Io, "write", aError });
    return;
  }
  self->writing.clear();
  self->WriteQueued();
}

void
FrameLink::Close()
{
  if (this->socket != nullptr) {
    h2o_socket_close(std::exchange(this->socket, nullptr));
  }
}

void
FrameLink::Fail(const Error& aReason)
{
  this->Close();
  this->listener.OnLinkDown(*this, aReason);
}

} // namespace marigoldpitch
