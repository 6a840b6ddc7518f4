#include "marigoldpitch/state/sizes.h"
#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/command-line.h"
#include "marigoldpitch/transport/socket-address.h"
#include "marigoldpitch/transport/unique-fd.h"

#include <fmt/format.h>

#include <cerrno>
#include <cstdio>
#include <poll.h>
#include <vector>

// A crowd of callers that do not keep to what a host expects of them, each in
// the same way. They never connect again. Prints `settled` when no caller has
// anything left to do, or none has made progress for a while; then holds the
// connections that are still open until it is killed.

namespace marigoldpitch::standin {

enum class CrowdMode
{
  HalfSent,     // a statement without its end, then nothing
  HalfStart,    // the same instead of a START
  Prepared,     // large prepared statements
  Settings,     // large settings
  Pipelined,    // large statements and replies, none of which is read
  SlowReaders,  // large replies, read a few bytes at a time
  SlowSenders,  // a large statement of which the end comes byte by byte
  OverTheLimit, // a line without an end
  Silent,       // connections without a START
};

constexpr NameTable<CrowdMode, 9> kCrowdModeNames{ {
  { CrowdMode::HalfSent, "half-sent" },
  { CrowdMode::HalfStart, "half-start" },
  { CrowdMode::Prepared, "prepared" },
  { CrowdMode::Settings, "settings" },
  { CrowdMode::Pipelined, "pipelined" },
  { CrowdMode::SlowReaders, "slow-readers" },
  { CrowdMode::SlowSenders, "slow-senders" },
  { CrowdMode::OverTheLimit, "over-the-limit" },
  { CrowdMode::Silent, "silent" },
} };

constexpr size_t kLargeBytes = 1000 * kKibibyte; // fits a message
constexpr size_t kPreparedCount = 8;
constexpr size_t kPreparedBytes = 480 * kKibibyte;
constexpr size_t kLargeReads = 4;
constexpr size_t kPipelinedPrepares = 2;
constexpr size_t kEndlessBytes = 16 * kMebibyte;
// What slow callers send or read at a time, and how often.
constexpr size_t kSlowBytes = 64;
constexpr Duration kSlowInterval = Millis(50);
constexpr int kReceiveBufferBytes = 4096; // of callers that do not read
constexpr Duration kQuietTime = Seconds(3);
constexpr int kPollMs = 20;

/** What a caller sends at once, and then byte by byte. */
struct Script
{
  std::string atOnce;
  std::string slowly;
  bool reads = true;
};

std::string
Large(size_t aBytes)
{
  return std::string(aBytes, 'x');
}

std::string
ManyLarge(const std::string& aBegin, size_t aCount, size_t aBytes)
{
  std::string lines;
  for (size_t i = 0; i < aCount; ++i) {
    lines += fmt::format("QUERY c{} {}{} ", i, aBegin, i);
    lines += Large(aBytes) + "\r\n";
  }
  return lines;
}

Script
ScriptOf(CrowdMode aMode)
{
  const std::string start = "START ledger crowd\r\n";
  std::string reads;
  for (size_t i = 0; i < kLargeReads; ++i) {
    reads += "QUERY r READ large\r\n";
  }
  switch (aMode) {
    case CrowdMode::HalfSent:
      return { start + "QUERY c WRITE x " + Large(kLargeBytes), "" };
    case CrowdMode::HalfStart:
      return { "START " + Large(kLargeBytes), "" };
    case CrowdMode::Prepared: {
      // The names differ, the word before the text does not.
      std::string lines = start;
      for (size_t i = 0; i < kPreparedCount; ++i) {
        lines += fmt::format("QUERY c PREPARE p{} READ ", i);
        lines += Large(kPreparedBytes) + "\r\n";
      }
      return { lines, "" };
    }
    case CrowdMode::Settings:
      return { start + ManyLarge("SET s", 3, 300 * kKibibyte), "" };
    case CrowdMode::Pipelined: {
      std::string lines = start + reads;
      for (size_t i = 0; i < kPipelinedPrepares; ++i) {
        lines += fmt::format("QUERY c PREPARE p{} READ ", i);
        lines += Large(kLargeBytes) + "\r\n";
      }
      return { lines, "", false };
    }
    case CrowdMode::SlowReaders:
      return { start + reads, "", false };
    case CrowdMode::SlowSenders:
      return { start + "QUERY c WRITE x " + Large(kLargeBytes),
               Large(kLargeBytes) };
    case CrowdMode::OverTheLimit:
      return { start + "QUERY c WRITE x " + Large(kEndlessBytes), "" };
    case CrowdMode::Silent:
      break;
  }
  return {};
}

/** The connections of a crowd. */
class Crowd
{
public:
  Crowd(CrowdMode aMode, size_t aCallers)
    : mode(aMode)
    , script(ScriptOf(aMode))
    , members(aCallers)
  {
  }

  void Run(SocketAddress& aAddress)
  {
    this->progressAt = ReadMonotonicClock();
    for (Member& member : this->members) {
      this->Connect(member, aAddress);
    }
    std::vector<pollfd> polled(this->members.size());
    bool isReported = false;
    for (;;) {
      for (size_t i = 0; i < polled.size(); ++i) {
        polled[i] = { this->members[i].fd.Get(),
                      this->WantedOf(this->members[i]),
                      0 };
      }
      poll(polled.data(), polled.size(), kPollMs);
      this->now = ReadMonotonicClock();
      for (size_t i = 0; i < polled.size(); ++i) {
        if (polled[i].fd >= 0 && polled[i].revents != 0) {
          this->Serve(this->members[i], polled[i].revents);
        }
      }
      if (this->now >= this->slowAt) {
        this->slowAt = this->now + kSlowInterval;
        this->ServeSlowly();
      }
      if (!isReported && this->now - this->progressAt >= kQuietTime) {
        isReported = true;
        fmt::print("settled\n");
        std::fflush(stdout);
      }
    }
  }

private:
  struct Member
  {
    UniqueFd fd;
    size_t sent = 0;
    size_t sentSlowly = 0;
  };

  void Connect(Member& aMember, SocketAddress& aAddress) const
  {
    aMember.fd = UniqueFd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    if (!this->script.reads) {
      setsockopt(aMember.fd.Get(),
                 SOL_SOCKET,
                 SO_RCVBUF,
                 &kReceiveBufferBytes,
                 sizeof(kReceiveBufferBytes));
    }
    static_cast<void>(
      connect(aMember.fd.Get(), aAddress.Raw(), aAddress.length));
  }

  short WantedOf(const Member& aMember) const
  {
    int wanted = this->script.reads ? POLLIN : 0;
    if (aMember.sent < this->script.atOnce.size()) {
      wanted |= POLLOUT;
    }
    return static_cast<short>(wanted);
  }

  void Serve(Member& aMember, short aReady)
  {
    const int error = POLLERR | POLLHUP;
    if ((aReady & POLLIN) != 0) {
      this->Receive(aMember, 64 * kKibibyte);
    }
    if ((aReady & POLLOUT) != 0 && aMember.fd.Get() >= 0) {
      ssize_t count = this->Send(aMember, this->script.atOnce, aMember.sent);
      aMember.sent += count > 0 ? static_cast<size_t>(count) : 0;
    }
    if ((aReady & error) != 0) {
      aMember.fd = UniqueFd();
    }
  }

  /** Returns how much was sent; closes the connection on an error. */
  ssize_t Send(Member& aMember,
               const std::string& aText,
               size_t aFrom,
               size_t aMax = 64 * kKibibyte)
  {
    ssize_t count = send(aMember.fd.Get(),
                         aText.data() + aFrom,
                         std::min(aText.size() - aFrom, aMax),
                         MSG_NOSIGNAL);
    if (count < 0 && errno != EAGAIN) {
      aMember.fd = UniqueFd();
    }
    if (count > 0 && aMax != kSlowBytes) {
      this->progressAt = this->now;
    }
    return count;
  }

  static void Receive(Member& aMember, size_t aMax)
  {
    std::string bytes(aMax, '\0');
    ssize_t count = recv(aMember.fd.Get(), bytes.data(), bytes.size(), 0);
    if (count == 0 || (count < 0 && errno != EAGAIN)) {
      aMember.fd = UniqueFd();
    }
  }

  void ServeSlowly()
  {
    for (Member& member : this->members) {
      if (member.fd.Get() < 0) {
        continue;
      }
      if (this->mode == CrowdMode::SlowReaders) {
        Receive(member, kSlowBytes);
      }
      bool sendsOn = member.sent == this->script.atOnce.size() &&
                     member.sentSlowly < this->script.slowly.size();
      if (sendsOn) {
        ssize_t count = this->Send(
          member, this->script.slowly, member.sentSlowly, kSlowBytes);
        member.sentSlowly += count > 0 ? static_cast<size_t>(count) : 0;
      }
    }
  }

  CrowdMode mode;
  Script script;
  std::vector<Member> members;
  Time now;
  Time progressAt;
  Time slowAt = kInfinitePast;
};

} // namespace marigoldpitch::standin

int
main(int aCount, char** aArguments)
{
  using namespace marigoldpitch;
  auto fail = [](const Error& aError) {
    return static_cast<int>(FailWith(ExitCode::Usage, aError));
  };
  auto line =
    ParseCommandLine(aCount,
                     const_cast<const char**>(aArguments),
                     "--port PORT --mode MODE --callers COUNT",
                     { { "port", "PORT", "where the host takes callers" },
                       { "mode", "MODE", "what each caller does" },
                       { "callers", "COUNT", "how many there are" } });
  if (!line) {
    return fail(line.error());
  }
  auto mode = standin::kCrowdModeNames.ValueOf(line.value().Get("mode"));
  if (!mode) {
    return fail({ ErrorCode::BadSettings, "mode", "there is no such mode" });
  }
  auto number = [&](const char* aName) {
    return std::atoi(line.value().Get(aName).c_str());
  };
  auto address = SocketAddress::Create(
    { "127.0.0.1", static_cast<uint16_t>(number("port")) });
  if (!address) {
    return fail(address.error());
  }
  standin::Crowd crowd(*mode, static_cast<size_t>(number("callers")));
  crowd.Run(address.value());
}
