#ifndef MARIGOLDPITCH_TRANSPORT_TCP_LISTENER_H
#define MARIGOLDPITCH_TRANSPORT_TCP_LISTENER_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/transport/loop.h"

/** A listening TCP socket. */
namespace marigoldpitch {

class AcceptHandler
{
public:
  virtual ~AcceptHandler() = default;

  /** A connection was accepted; the handler takes ownership of `aSocket`. */
  virtual void OnAccept(h2o_socket_t* aSocket) = 0;
};

class TcpListener
{
public:
  static Result<std::unique_ptr<TcpListener>> Create(Loop& aLoop,
                                                     const Endpoint& aEndpoint,
                                                     AcceptHandler& aHandler);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

private:
  TcpListener(Loop& aLoop, h2o_socket_t* aSocket, AcceptHandler& aHandler);
  void Pause();
  static void OnReadable(h2o_socket_t* aSocket, const char* aError);

  Loop& loop;
  h2o_socket_t* socket;
  TimerId resume = 0;
  AcceptHandler& handler;
};

} // namespace marigoldpitch

#endif
