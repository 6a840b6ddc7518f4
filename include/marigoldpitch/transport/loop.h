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

/** The event loop; a process has one, on its main thread. */
namespace marigoldpitch {

using TimerId = uint64_t;

/**
 * Handles sockets, timers and signals on the calling thread.
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

  /** Calls `aCallback` once after `aDelay`, unless `Cancel` comes first. */
  TimerId After(Duration aDelay, std::function<void()> aCallback);
  void Cancel(TimerId aTimer);

  /** Calls `aCallback` after the callbacks that are running have returned. */
  void Defer(std::function<void()> aCallback);

  /** Runs until `Stop`; blocks while there is nothing to do. */
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
  // A timer or a deferred call has run. A write that it started may have
  // completed at once; libh2o reports that in the next iteration, which
  // therefore must not block.
  bool mustPoll = false;
};

/** Reports signals as callbacks that run in the loop. */
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
