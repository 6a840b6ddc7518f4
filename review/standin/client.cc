#include "client.h"

#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>

namespace marigoldpitch::review {

namespace {

constexpr Duration kReconnectPause = Millis(100);

bool
HasWord(std::string_view aLine, std::string_view aWord)
{
  return aLine.substr(0, aWord.size()) == aWord;
}

} // namespace

Client::Client(Loop& aLoop, Record& aRecord, ClientOptions aOptions)
  : loop(aLoop)
  , record(aRecord)
  , options(std::move(aOptions))
{
}

Client::~Client()
{
  if (this->link) {
    this->link->Close();
  }
}

void
Client::Connect()
{
  if (this->isStopped) {
    return;
  }
  this->isStarted = false;
  auto connected = LineLink::Connect(
    this->loop, { "127.0.0.1", this->options.port }, 0, *this);
  if (connected) {
    this->link = connected.value();
  }
}

void
Client::OnLinkUp(LineLink& aLink)
{
  aLink.Send(
    fmt::format("START {} {}\r\n", this->options.database, this->options.name));
}

void
Client::SendNext()
{
  if (this->isStopped || !this->isStarted || this->isOpen) {
    return;
  }
  uint64_t number = this->requests.size() + 1;
  ClientRequest request;
  request.id = fmt::format("{}-{}", this->options.name, number);
  request.text = this->options.nextText(number);
  request.sent = ReadMonotonicClock();
  this->record.Add(
    fmt::format("client sends request {} {}", request.id, request.text));
  this->link->Send(fmt::format("QUERY {} {}\r\n", request.id, request.text));
  this->requests.push_back(request);
  this->isOpen = true;
}

void
Client::End(RequestState aState)
{
  ClientRequest& request = this->requests.back();
  request.state = aState;
  request.ended = ReadMonotonicClock();
  this->isOpen = false;
  std::string answer =
    aState == RequestState::Broken
      ? "connection closed before the answer was complete; so far: " +
          request.answer
      : request.answer;
  this->record.Add(
    fmt::format("client gets for request {}: {}", request.id, answer));
}

void
Client::OnLine(LineLink&, std::string_view aLine)
{
  if (!this->isStarted) {
    this->isStarted = HasWord(aLine, "READY");
    this->SendNext();
    return;
  }
  if (!this->isOpen) {
    this->record.Add(
      fmt::format("client {} closes its session: it got, with no request "
                  "open: {}",
                  this->options.name,
                  aLine));
    this->isStarted = false;
    this->link->Close();
    this->ReconnectLater();
    return;
  }
  ClientRequest& request = this->requests.back();
  if (HasWord(aLine, "DONE") || HasWord(aLine, "ERR")) {
    request.answer = std::string(aLine);
  } else if (HasWord(aLine, "READY")) {
    this->End(HasWord(request.answer, "DONE") ? RequestState::Succeeded
                                              : RequestState::Failed);
    if (this->options.pause == Millis(0)) {
      this->SendNext();
    } else {
      this->loop.After(this->options.pause, [this] { this->SendNext(); });
    }
  }
}

void
Client::OnLinkDown(LineLink&, const Error&)
{
  if (this->isOpen) {
    this->End(RequestState::Broken);
  }
  this->isStarted = false;
  this->ReconnectLater();
}

void
Client::ReconnectLater()
{
  if (this->options.reconnects) {
    this->loop.After(kReconnectPause, [this] { this->Connect(); });
  }
}

} // namespace marigoldpitch::review
