#include "marigoldpitch/transport/loop.h"

#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/unique-fd.h"

#include <csignal>
#include <sys/signalfd.h>

namespace marigoldpitch {

namespace detail {
constexpr int32_t kMaxWaitMs = 1000;
} // namespace detail

Result<std::unique_ptr<Loop>>
Loop::Create()
{
  h2o_loop_t* raw = h2o_evloop_create();
  if (raw == nullptr) {
    return Error{ ErrorCode::Io, "loop", "cannot create the event loop" };
  }
  // A write to a connection that the peer has closed returns an error instead
  // of raising a signal.
  std::signal(SIGPIPE, SIG_IGN);
  return std::unique_ptr<Loop>(new Loop(raw));
}

// libh2o has no function that destroys a loop, so it is not freed; a loop lives
// as long as the process.
Loop::~Loop() = default;

TimerId
Loop::After(Duration aDelay, std::function<void()> aCallback)
{
  TimerId id = ++this->lastTimer;
  int64_t due = (ReadMonotonicClock() + aDelay).ms;
  this->timers[{ due, id }] = std::move(aCallback);
  this->dueAt[id] = due;
  return id;
}

void
Loop::Cancel(TimerId aTimer)
{
  auto found = this->dueAt.find(aTimer);
  if (found == this->dueAt.end()) {
    return;
  }
  this->timers.erase({ found->second, aTimer });
  this->dueAt.erase(found);
}

void
Loop::Defer(std::function<void()> aCallback)
{
  this->deferred.push_back(std::move(aCallback));
}

void
Loop::Run()
{
  this->stopping = false;
  while (!this->stopping) {
    int32_t wait = this->NextWait();
    this->mustPoll = false;
    h2o_evloop_run(this->loop, wait);
    this->RunDueTimers();
    std::vector<std::function<void()>> callbacks = std::move(this->deferred);
    this->deferred.clear();
    for (const auto& callback : callbacks) {
      this->mustPoll = true;
      callback();
    }
  }
}

void
Loop::RunDueTimers()
{
  int64_t now = ReadMonotonicClock().ms;
  while (!this->timers.empty() && this->timers.begin()->first.first <= now) {
    auto first = this->timers.begin();
    std::function<void()> callback = std::move(first->second);
    this->dueAt.erase(first->first.second);
    this->timers.erase(first);
    this->mustPoll = true;
    callback();
  }
}

int32_t
Loop::NextWait() const
{
  if (!this->deferred.empty() || this->mustPoll) {
    return 0;
  }
  if (this->timers.empty()) {
    return detail::kMaxWaitMs;
  }
  int64_t left = this->timers.begin()->first.first - ReadMonotonicClock().ms;
  if (left < 0) {
    return 0;
  }
  return static_cast<int32_t>(std::min<int64_t>(left, detail::kMaxWaitMs));
}

Result<std::unique_ptr<SignalWatch>>
SignalWatch::Create(Loop& aLoop,
                    std::function<void()> aStop,
                    std::function<void()> aReload)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  if (aReload) {
    sigaddset(&signals, SIGHUP);
  }
  UniqueFd fd(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
  if (fd.Get() < 0 || sigprocmask(SIG_BLOCK, &signals, nullptr) != 0) {
    return Error{ ErrorCode::Io,
                  "signals",
                  "cannot block the signals or create a signalfd" };
  }
  h2o_socket_t* socket = h2o_evloop_socket_create(
    aLoop.Raw(), fd.Release(), H2O_SOCKET_FLAG_DONT_READ);
  return std::unique_ptr<SignalWatch>(
    new SignalWatch(socket, std::move(aStop), std::move(aReload)));
}

SignalWatch::SignalWatch(h2o_socket_t* aSocket,
                         std::function<void()> aStop,
                         std::function<void()> aReload)
  : socket(aSocket)
  , stop(std::move(aStop))
  , reload(std::move(aReload))
{
  this->socket->data = this;
  h2o_socket_read_start(this->socket, OnReadable);
}

SignalWatch::~SignalWatch()
{
  h2o_socket_close(this->socket);
}

void
SignalWatch::OnReadable(h2o_socket_t* aSocket, const char*)
{
  auto* watch = static_cast<SignalWatch*>(aSocket->data);
  signalfd_siginfo info{};
  while (read(h2o_socket_get_fd(aSocket), &info, sizeof(info)) ==
         static_cast<ssize_t>(sizeof(info))) {
    if (info.ssi_signo == SIGHUP) {
      watch->reload();
    } else {
      watch->stop();
    }
  }
}

} // namespace marigoldpitch
