#ifndef MARIGOLDPITCH_REVIEW_CLIENT_H
#define MARIGOLDPITCH_REVIEW_CLIENT_H

#include "record.h"

#include "marigoldpitch/transport/line-link.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/** A client with one session, which sends one statement after the other. */
namespace marigoldpitch::review {

enum class RequestState
{
  Open,
  Succeeded,
  Failed, // answered with an error
  Broken, // the connection ended before the answer was complete
};

struct ClientRequest
{
  std::string id;
  std::string text;
  Time sent;
  Time ended;
  RequestState state = RequestState::Open;
  std::string answer; // the line with DONE or ERR
};

struct ClientOptions
{
  std::string name;
  uint16_t port = 0;
  std::string database = "orders";
  Duration pause = Millis(0); // between an answer and the next statement
  bool reconnects = true;
  std::function<std::string(uint64_t)> nextText; // takes the statement's number
};

class Client : public LineLinkListener
{
public:
  Client(Loop& aLoop, Record& aRecord, ClientOptions aOptions);
  ~Client() override;

  void Start() { this->Connect(); }
  /** Sends nothing more; the open statement may still be answered. */
  void Stop() { this->isStopped = true; }

  const std::vector<ClientRequest>& Requests() const { return this->requests; }
  bool IsStarted() const { return this->isStarted; }

  void OnLinkUp(LineLink& aLink) override;
  void OnLine(LineLink& aLink, std::string_view aLine) override;
  void OnLinkDown(LineLink& aLink, const Error& aReason) override;

private:
  void Connect();
  void ReconnectLater();
  void SendNext();
  void End(RequestState aState);

  Loop& loop;
  Record& record;
  ClientOptions options;
  std::shared_ptr<LineLink> link;
  std::vector<ClientRequest> requests;
  bool isStarted = false; // the session is open
  bool isOpen = false;    // a request has no complete answer yet
  bool isStopped = false;
};

} // namespace marigoldpitch::review

#endif
