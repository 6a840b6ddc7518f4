#ifndef MARIGOLDPITCH_LOAD_SESSION_H
#define MARIGOLDPITCH_LOAD_SESSION_H

#include "caller.h"
#include "plan.h"
#include "stats.h"

#include "marigoldpitch/transport/loop.h"

#include <functional>
#include <random>
#include <string>

/** One session of the workload. */
namespace marigoldpitch::load {

/** What one session does next. */
enum class LoadStep
{
  Order,
  Payment,
  StockRead,
  OwnRead,
  Transaction,
};

constexpr NameTable<LoadStep, 5> kLoadStepNames{ {
  { LoadStep::Order, "order" },
  { LoadStep::Payment, "payment" },
  { LoadStep::StockRead, "stock read" },
  { LoadStep::OwnRead, "own read" },
  { LoadStep::Transaction, "transaction" },
} };

/** A closed-loop session: it has one open request at a time. */
class Session
{
public:
  Session(Loop& aLoop,
          Caller& aCaller,
          const LoadPlan& aPlan,
          LoadStats& aStats,
          WriteHistory& aHistory,
          size_t aIndex);
  void Start(Time aEnd);
  bool IsDone() const { return this->done; }

private:
  void ScheduleStep();
  void RunStep();
  LoadStep DrawStep();
  v1::Context MakeContext(const std::string& aService) const;
  std::string NewKey();
  bool CountReply(const Reply& aReply);
  static bool IsNotRun(const Reply& aReply);
  void ReportWrong(const std::string& aWhat);

  // Writes.
  void Write(const std::string& aService);
  void HandleWriteReply(const std::string& aKey,
                        const Reply& aReply,
                        int aAttempt);
  void CompleteWrite(const std::string& aKey);
  void Resolve(const std::string& aKey, int aAttempt);

  // Reads of the session's last written key; they must return its value.
  void Read(const std::string& aService);
  void HandleReadReply(const std::string& aKey,
                       bool aIsTolerant,
                       const Reply& aReply);

  // A transaction of two inserts: either both are committed or none.
  void Begin();
  void Insert(const std::string& aKey, const std::function<void()>& aThen);
  void RollBack();
  void Commit();
  void HandleCommitReply(const Reply& aReply, int aAttempt);

  Loop& loop;
  Caller& caller;
  const LoadPlan& plan;
  LoadStats& stats;
  WriteHistory& history;
  std::mt19937 random;
  std::string name;
  bool isReader;
  std::string token;
  std::string lastKey;
  std::string transaction;
  std::string firstKey;
  std::string secondKey;
  size_t entry = 0;
  uint64_t keyCount = 0;
  Time end;
  bool done = false;
};

} // namespace marigoldpitch::load

#endif
