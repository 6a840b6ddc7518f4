#ifndef MARIGOLDPITCH_LOAD_RUN_H
#define MARIGOLDPITCH_LOAD_RUN_H

#include "session.h"

#include "marigoldpitch/transport/command-line.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/** A run of the load generator. */
namespace marigoldpitch::load {

/** Runs all sessions, then reads every key back and prints the results. */
class LoadRun
{
public:
  LoadRun(Loop& aLoop, const LoadPlan& aPlan, Caller& aCaller);
  ExitCode Execute();

private:
  void Watch();
  void CheckNext();
  void CheckKey(const std::string& aKey, WriteFate aFate, const Reply& aReply);
  int64_t Percentile(int aPercent) const;
  void Print() const;

  Loop& loop;
  const LoadPlan& plan;
  Caller& caller;
  Tally tally;
  Ledger ledger;
  std::vector<std::unique_ptr<Session>> sessions;
  std::map<std::string, WriteFate>::iterator next;
  std::mt19937 random;
  size_t checking = 0;
  uint64_t unchecked = 0;
  uint64_t open = 0;
};

} // namespace marigoldpitch::load

#endif
