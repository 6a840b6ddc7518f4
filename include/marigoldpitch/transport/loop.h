#ifndef MARIGOLDPITCH_TRANSPORT_LOOP_H
#define MARIGOLDPITCH_TRANSPORT_LOOP_H

#include "marigoldpitch/state/error.h"
#include "marigoldpitch/state/time.h"
#include "marigoldpitch/transport/h2o.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

/** The one loop of a process. */
namespace marigoldpitch {

using TimerId = uint64_t;

/**
 * Runs sockets, timers and signals on the calling thread.
 *
 * Example:
 *
 *     auto loop = Loop::Create();
 *     loop.value()->After(Millis(20), [&] { loop.value()->Stop(); });
 *     loop.value()->Run();
 */
class Loop
{
public:
  static Result<std::unique_ptr<Loop>> Create();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  TimerId After(Duration aSpan, std::function<void()> aCall);
  void Cancel(TimerId aTimer);

  /** Runs the call when the running callbacks have returned. */
  void Defer(std::function<void()> aCall);

  /** Runs until `Stop`; sleeps while there is nothing to do. */
  void Run();
  void Stop() { this->stopping = true; }

  h2o_loop_t* Raw() { return this->loop; }

private:
  explicit Loop(h2o_loop_t* aLoop)
    : loop(aLoop)
  {
  }

  void RunDueTimers();
  int32_t NextWait() const;

  h2o_loop_t* loop;
  std::map<std::pair<int64_t, TimerId>, std::function<void()>> timers;
  std::map<TimerId, int64_t> dueAt;
  std::vector<std::function<void()>> deferred;
  TimerId lastTimer = 0;
  bool stopping = false;
  // A write that one of our calls began may have ended at once; the library
  // reports it in its next turn, which must not sleep first.
  bool hasPending = false;
};

/** Calls back on signals from within the loop. */
class SignalWatch
{
public:
  /** `aStop` is called on SIGTERM and SIGINT, `aReload` on SIGHUP if given. */
  static Result<std::unique_ptr<SignalWatch>> Create(
    Loop& aLoop,
    std::function<void()> aStop,
    std::function<void()> aReload = {});
  ~SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

private:
  SignalWatch(h2o_socket_t* aSocket,
              std::function<void()> aStop,
              std::function<void()> aReload);
  static void OnReadable(h2o_socket_t* aSocket, const char* aError);

  h2o_socket_t* socket;
  std::function<void()> stop;
  std::function<void()> reload;
};

} // namespace marigoldpitch

#endif
