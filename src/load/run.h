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
  void CheckProgress();
  void CheckNext();
  void CheckKey(const std::string& aKey,
                WriteOutcome aOutcome,
                const Reply& aReply);
  int64_t Percentile(int aPercent) const;
  void Print() const;

  Loop& loop;
  const LoadPlan& plan;
  Caller& caller;
  LoadStats stats;
  WriteHistory history;
  std::vector<std::unique_ptr<Session>> sessions;
  std::map<std::string, WriteOutcome>::iterator nextWrite;
  std::mt19937 random;
  size_t openChecks = 0;
  uint64_t uncheckedKeys = 0;
  uint64_t unknownWrites = 0;
};

} // namespace marigoldpitch::load

#endif
