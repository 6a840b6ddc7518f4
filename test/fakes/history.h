#ifndef MARIGOLDPITCH_TEST_FAKES_HISTORY_H
#define MARIGOLDPITCH_TEST_FAKES_HISTORY_H

#include "group-simulation.h"

#include <map>
#include <string>
#include <vector>

/** Simulated callers of a group, and checks of all their answers. */
namespace marigoldpitch::fakes {

struct HistoryOptions
{
  size_t sessions = 6;
  Duration pause = Millis(3);
  Duration maxAge = Millis(1500);
  Duration timeout = Seconds(2);
  bool loseAnswers = false; // about one write in 20 loses its answer
  int writePercent = 40;
  bool countOracleReads = false; // count `oracleReads`
};

/** Counts of the answers, and the violations found in them. */
struct HistoryCounts
{
  std::vector<std::string> violations;
  uint64_t writesOk = 0;
  uint64_t writesNotRun = 0;
  uint64_t writesUnknown = 0;
  uint64_t readsOk = 0;
  uint64_t replicaReads = 0;
  uint64_t readsRefused = 0;
  uint64_t tolerantReads = 0;
  uint64_t tolerantReplicaReads = 0;
  uint64_t oracleReads = 0; // that a perfect router could send to a replica
  Duration longestWriteGap;
  Duration longestReadGap;
};

/**
 * Each session counts its writes in a row of its own. It must always read its
 * acknowledged writes, never a lower value than it read before, and nothing
 * older than the maximum age it asked for. At the end the rows must agree with
 * the answers.
 */
class History : public HistoryCounts
{
public:
  History(GroupSimulation& aSimulation, const HistoryOptions& aOptions);

  void Start();
  void Stop() { this->stopping = true; }

  /**
   * Stops, runs for `aLimit` to resolve writes of unknown outcome, and compares
   * the rows with the answers.
   */
  void CheckFinalState(Duration aLimit);

private:
  struct Session
  {
    std::string name;
    LogPoint token;
    int64_t done = 0; // acknowledged writes
    int64_t seen = 0; // highest value read
    uint64_t requests = 0;
    bool unresolved = false;
    bool isReader = false;
    bool idle = true;
    std::string pendingRequestId;
    std::vector<std::pair<Time, int64_t>> acknowledged;
  };

  void Next(size_t aSession);
  void Write(size_t aSession);
  void Read(size_t aSession);
  void Resolve(size_t aSession, int aAttempt);
  void WriteAnswered(size_t aSession, const Answer& aAnswer, int aAttempt);
  void ReadAnswered(size_t aSession,
                    size_t aTarget,
                    Time aAsked,
                    bool aTolerant,
                    const Answer& aAnswer);
  void ScheduleNext(size_t aSession);
  bool HasFreshReplica(const Session& aSession) const;
  void AddViolation(const std::string& aWhat);
  size_t RandomEntry();
  Request MakeRequest(const Session& aSession, Operation aOperation) const;

  GroupSimulation& simulation;
  HistoryOptions options;
  std::vector<Session> sessions;
  bool stopping = false;
  Time lastWrite = kInfinitePast;
  Time lastRead = kInfinitePast;
};

} // namespace marigoldpitch::fakes

#endif
