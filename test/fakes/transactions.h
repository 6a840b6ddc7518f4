#ifndef MARIGOLDPITCH_TEST_FAKES_TRANSACTIONS_H
#define MARIGOLDPITCH_TEST_FAKES_TRANSACTIONS_H

#include "group-simulation.h"

#include <string>
#include <vector>

/** Callers that increment two rows in one transaction, and their check. */
namespace marigoldpitch::fakes {

class Transactions
{
public:
  Transactions(GroupSimulation& aSimulation, size_t aSessions, bool aAbandons);

  void Start();
  void Stop() { this->stopping = true; }

  /** Checks that both rows of a session agree, also with its answers. */
  void Check();

  std::vector<std::string> violations;
  uint64_t committed = 0;
  uint64_t notCommitted = 0; // rolled back, refused or abandoned
  uint64_t failed = 0;       // statements and commits that were not answered ok

private:
  struct Session
  {
    std::string name;
    std::string transaction;
    std::string requestId;
    int64_t done = 0;
    int64_t open = 0; // commits whose outcome is unknown
    uint64_t requests = 0;
    bool started = false;
  };

  void InsertRow(size_t aSession,
                 const std::string& aRow,
                 std::function<void()> aThen);
  void Begin(size_t aSession);
  void Increment(size_t aSession,
                 const std::string& aRow,
                 std::function<void()> aThen);
  void Commit(size_t aSession);
  void CommitAnswered(size_t aSession, const Answer& aAnswer, int aAttempt);
  void RollBack(size_t aSession);
  void ScheduleNext(size_t aSession);
  Request MakeRequest(size_t aSession, Operation aOperation) const;

  GroupSimulation& simulation;
  bool abandons;
  std::vector<Session> sessions;
  bool stopping = false;
};

} // namespace marigoldpitch::fakes

#endif
