#ifndef MARIGOLDPITCH_TEST_FAKES_DRAIN_PLAY_H
#define MARIGOLDPITCH_TEST_FAKES_DRAIN_PLAY_H

#include "fakes/proxy-simulation.h"

/**
 * Callers of a host that gets SIGTERM, on a fake clock. Each waits for its
 * answers, pauses, and sends what is next on the session that it has open. What
 * arrives at the host once nothing more is read from the session is lost.
 */
namespace marigoldpitch::fakes {

constexpr Duration kPlayGrace = Seconds(6);

/** The process ends this long after the SIGTERM at the latest. */
constexpr Duration kPlayExit = kPlayGrace - Millis(600);

struct DrainPlayOptions
{
  ProxySimulationOptions simulation;
  size_t host = 0; // the one that gets SIGTERM
  size_t callers = 1;
  Duration longestPause = Millis(50);
  Duration wire = Millis(1); // from a caller to its host, and back
  Duration longestStatement = Millis(40);
  size_t pipelined = 1;    // the most that a caller sends together
  size_t unanswered = 0;   // while so many are open, a caller sends more
  double transactions = 0; // share of operations
  Duration transactionPause = Millis(10);
  size_t transactionStatements = 3;
};

struct PlayCaller
{
  CallerId id = 0;
  size_t host = 0;
  Time next;                           // when it sends what is next
  std::vector<SessionStatement> batch; // on the wire
  size_t splitAt = 0;                  // of `batch`: read in two parts
  Time arrives = kInfiniteFuture;
  std::vector<std::shared_ptr<FakeRequest>> open;
  size_t left = 0; // statements of its transaction, and the COMMIT
  bool hasPrepared = false;
  Time ended = kInfiniteFuture; // when its host ended the session
};

class DrainPlay
{
public:
  explicit DrainPlay(const DrainPlayOptions& aOptions);

  void RunFor(Duration aSpan);

  /** Sends SIGTERM and runs until a second after the end of the process. */
  void Stop();

  ProxySimulation simulation;
  std::vector<PlayCaller> callers;
  Time signalled = kInfiniteFuture;
  Time exited = kInfiniteFuture;
  size_t crossed = 0;      // statements that were sent, and not read
  size_t crossedEarly = 0; // of those, before the last second
  size_t cut = 0;          // statements that were read, and open at the end
  size_t answered = 0;

private:
  void Step();
  void Step(PlayCaller& aCaller);
  void Arrive(PlayCaller& aCaller);
  void SendNext(PlayCaller& aCaller);
  SessionStatement NextStatement(PlayCaller& aCaller);
  bool IsUnread(const PlayCaller& aCaller) const;
  Duration Below(Duration aSpan);
  bool HasExited() const { return this->exited != kInfiniteFuture; }

  DrainPlayOptions options;
  std::mt19937 random;
  size_t lastItem = 0;
};

} // namespace marigoldpitch::fakes

#endif
