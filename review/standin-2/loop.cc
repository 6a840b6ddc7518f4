#include "stage.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <random>

double
Now()
{
  static const auto begin = std::chrono::steady_clock::now();
  std::chrono::duration<double, std::milli> span =
    std::chrono::steady_clock::now() - begin;
  return span.count();
}

void
Record(const char* aFormat, ...)
{
  static FILE* file = fopen(getenv("RECORD"), "w");
  va_list arguments;
  va_start(arguments, aFormat);
  fprintf(file, "%10.1f ", Now());
  vfprintf(file, aFormat, arguments);
  fputc('\n', file);
  va_end(arguments);
  fflush(file);
}

static sockaddr_in
LoopbackAddress(uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

static void
Prepare(int aFd)
{
  fcntl(aFd, F_SETFL, O_NONBLOCK);
  fcntl(aFd, F_SETFD, FD_CLOEXEC);
  int on = 1;
  setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

int
Loop::Listen(uint16_t& aPort, std::function<void(SocketRef)> aOnAccept)
{
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  Prepare(fd);
  sockaddr_in address = LoopbackAddress(aPort);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(fd, 128) != 0) {
    perror("listen");
    _exit(2);
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  aPort = ntohs(address.sin_port);
  this->listeners[fd] = std::move(aOnAccept);
  return fd;
}

void
Loop::StopListening(int aFd)
{
  this->listeners.erase(aFd);
  close(aFd);
}

SocketRef
Loop::Connect(uint16_t aPort)
{
  auto made = std::make_shared<Socket>();
  made->fd = socket(AF_INET, SOCK_STREAM, 0);
  Prepare(made->fd);
  sockaddr_in address = LoopbackAddress(aPort);
  connect(made->fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  made->isConnecting = true;
  this->sockets[made->fd] = made;
  return made;
}

void
Loop::Send(const SocketRef& aSocket, const std::string& aBytes)
{
  if (aSocket->fd < 0) {
    return;
  }
  aSocket->out += aBytes;
  if (!aSocket->isConnecting) {
    this->Flush(aSocket);
  }
}

void
Loop::Flush(const SocketRef& aSocket)
{
  while (aSocket->fd >= 0 && !aSocket->out.empty()) {
    ssize_t sent =
      send(aSocket->fd, aSocket->out.data(), aSocket->out.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return; // a lost connection shows on the next read
    }
    aSocket->out.erase(0, static_cast<size_t>(sent));
  }
}

void
Loop::Close(const SocketRef& aSocket)
{
  if (aSocket->fd >= 0) {
    this->sockets.erase(aSocket->fd);
    close(aSocket->fd);
    aSocket->fd = -1;
  }
}

void
Loop::Lose(const SocketRef& aSocket)
{
  this->Close(aSocket);
  if (aSocket->onClosed) {
    aSocket->onClosed();
  }
}

void
Loop::Read(const SocketRef& aSocket)
{
  char bytes[65536];
  ssize_t count = recv(aSocket->fd, bytes, sizeof(bytes), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (count <= 0) {
    this->Lose(aSocket);
    return;
  }
  aSocket->in.append(bytes, static_cast<size_t>(count));
  if (aSocket->onData) {
    aSocket->onData(*aSocket);
  }
}

void
Loop::Accept(int aFd)
{
  int fd = accept(aFd, nullptr, nullptr);
  if (fd < 0) {
    return;
  }
  Prepare(fd);
  auto made = std::make_shared<Socket>();
  made->fd = fd;
  this->sockets[fd] = made;
  auto onAccept = this->listeners.at(aFd);
  onAccept(made);
}

void
Loop::After(double aDelayMs, std::function<void()> aCall)
{
  this->timers.emplace(Now() + aDelayMs, std::move(aCall));
}

void
Loop::Run()
{
  while (!this->isStopping) {
    while (!this->timers.empty() && this->timers.begin()->first <= Now()) {
      auto call = std::move(this->timers.begin()->second);
      this->timers.erase(this->timers.begin());
      call();
    }
    std::vector<pollfd> polled;
    for (const auto& [fd, call] : this->listeners) {
      polled.push_back({ fd, POLLIN, 0 });
    }
    for (const auto& [fd, one] : this->sockets) {
      bool writes = one->isConnecting || !one->out.empty();
      int reads = one->isPaused ? 0 : POLLIN;
      polled.push_back(
        { fd, static_cast<short>(reads | (writes ? POLLOUT : 0)), 0 });
    }
    double wait =
      this->timers.empty() ? 20 : this->timers.begin()->first - Now();
    poll(polled.data(),
         polled.size(),
         wait <= 0 ? 0 : static_cast<int>(std::min(wait, 20.0)) + 1);
    for (const pollfd& one : polled) {
      if (one.revents == 0) {
        continue;
      }
      if (this->listeners.count(one.fd) != 0) {
        this->Accept(one.fd);
        continue;
      }
      auto found = this->sockets.find(one.fd);
      if (found == this->sockets.end()) {
        continue;
      }
      SocketRef socket = found->second;
      if (socket->isPaused) {
        if ((one.revents & POLLERR) != 0) {
          this->Lose(socket); // its sender has reset it
        }
        continue;
      }
      if ((one.revents & POLLOUT) != 0) {
        socket->isConnecting = false;
        this->Flush(socket);
      }
      if (socket->fd >= 0 &&
          (one.revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
        this->Read(socket);
      }
    }
  }
}

size_t
Loop::Waiting(const SocketRef& aSocket)
{
  int count = 0;
  ioctl(aSocket->fd, FIONREAD, &count);
  return static_cast<size_t>(count);
}

Path::Path(Loop& aLoop, uint16_t aTarget)
  : loop(aLoop)
  , target(aTarget)
{
  this->loop.Listen(this->port,
                    [this](SocketRef aSocket) { this->Accept(aSocket); });
}

void
Path::Accept(const SocketRef& aSocket)
{
  auto pair = std::make_shared<Pair>();
  pair->near = aSocket;
  pair->isDoomed = this->isCut;
  pair->near->isPaused = this->isCut;
  if (!pair->isDoomed) {
    pair->far = this->loop.Connect(this->target);
    std::weak_ptr<Pair> weak = pair;
    pair->near->onData = [this, weak](Socket& aOne) {
      if (auto one = weak.lock()) {
        this->loop.Send(one->far, std::exchange(aOne.in, {}));
      }
    };
    pair->far->onData = [this, weak](Socket& aOne) {
      if (auto one = weak.lock()) {
        this->loop.Send(one->near, std::exchange(aOne.in, {}));
      }
    };
    pair->far->onClosed = [this, weak] {
      if (auto one = weak.lock()) {
        this->End(one);
      }
    };
  }
  std::weak_ptr<Pair> weak = pair;
  pair->near->onClosed = [this, weak] {
    if (auto one = weak.lock()) {
      // What was passed on before is still answered, to nobody.
      this->loop.After(100, [this, one] { this->End(one); });
    }
  };
  this->pairs.push_back(pair);
}

void
Path::End(const std::shared_ptr<Pair>& aPair)
{
  this->loop.Close(aPair->near);
  if (aPair->far) {
    this->loop.Close(aPair->far);
  }
  auto found = std::find(this->pairs.begin(), this->pairs.end(), aPair);
  if (found != this->pairs.end()) {
    this->pairs.erase(found);
  }
}

void
Path::Cut()
{
  this->isCut = true;
  for (const auto& pair : this->pairs) {
    pair->near->isPaused = true;
    pair->far->isPaused = true;
  }
}

void
Path::Heal()
{
  this->isCut = false;
  auto all = this->pairs;
  for (const auto& pair : all) {
    if (pair->isDoomed) {
      this->End(pair);
      continue;
    }
    this->loop.Resume(pair->near);
    this->loop.Resume(pair->far);
  }
}

bool
Path::HoldsBytes() const
{
  return std::any_of(
    this->pairs.begin(), this->pairs.end(), [](const auto& aPair) {
      return !aPair->isDoomed && aPair->near->fd >= 0 &&
             Loop::Waiting(aPair->near) > 0;
    });
}

static bool
IsFree(uint16_t aPort, int aType)
{
  int fd = socket(AF_INET, aType, 0);
  sockaddr_in address = LoopbackAddress(aPort);
  bool isBound =
    bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return isBound;
}

uint16_t
FreePort()
{
  // Below the ports that the system gives to outgoing connections.
  static std::mt19937 random(std::random_device{}());
  static std::set<uint16_t> given;
  std::uniform_int_distribution<int> ports(12000, 31000);
  while (true) {
    auto port = static_cast<uint16_t>(ports(random));
    auto below = static_cast<uint16_t>(port - 1); // for relays between hosts
    bool isFree = given.count(port) == 0 && given.count(below) == 0 &&
                  IsFree(port, SOCK_STREAM) && IsFree(port, SOCK_DGRAM) &&
                  IsFree(below, SOCK_STREAM);
    if (isFree) {
      given.insert(port);
      given.insert(below);
      return port;
    }
  }
}
