#ifndef MARIGOLDPITCH_TEST_FAKES_TRANSACTIONS_H
#define MARIGOLDPITCH_TEST_FAKES_TRANSACTIONS_H

#include "group-simulation.h"

#include <string>
#include <vector>

/**
 * Sessions that repeatedly increment two rows in a transaction, and a check of
 * the rows. Their requests go to the first two entries at random.
 */
namespace marigoldpitch::fakes {

class Transactions
{
public:
  Transactions(GroupSimulation& aSimulation,
               size_t aSessions,
               bool aInjectsFailures);

  void Start();
  void Stop() { this->stopping = true; }

  /**
   * Checks that both rows of a session are equal and count its acknowledged
   * commits, plus at most its commits of unknown outcome.
   */
  void Check();

  std::vector<std::string> violations;
  uint64_t committed = 0;
  uint64_t notCommitted = 0; // rolled back, refused or abandoned
  // Statements not answered ok, and commits answered neither ok nor unknown.
  uint64_t failed = 0;

private:
  struct Session
  {
    std::string name;
    std::string transaction;
    std::string requestId;
    int64_t acknowledged = 0; // commits answered ok
    int64_t unknown = 0;      // commits whose outcome is unknown
    uint64_t commits = 0;     // numbers the commits' request ids
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
  bool injectsFailures;
  std::vector<Session> sessions;
  bool stopping = false;
};

} // namespace marigoldpitch::fakes

#endif
