#ifndef MARIGOLDPITCH_TEST_SOAK_STATEMENT_TEXTS_H
#define MARIGOLDPITCH_TEST_SOAK_STATEMENT_TEXTS_H

#include "soak/write-history.h"

#include <nlohmann/json.hpp>

#include <map>
#include <random>
#include <string>

/** Odd texts that callers send, and whether upstreams ran what was sent. */
namespace marigoldpitch::soak {

/** Draws texts with blanks, verbs and unusual bytes. */
class OddTexts
{
public:
  explicit OddTexts(uint32_t aSeed)
    : random(aSeed)
  {
  }

  /** True once in `aCount` draws. */
  bool OneIn(uint32_t aCount) { return this->random() % aCount == 0; }

  /** The name of a prepared statement; sessions share a few of them. */
  std::string DrawName();

  /** `READ` or `WRITE` and the text to prepare. */
  std::string DrawShape();
  std::string DrawValue();

  /** An item that no caller writes, but whose name contains `aItem`. */
  std::string ChangeItem(const std::string& aItem);

private:
  std::mt19937 random;
};

/** What an upstream has to run for a read, a write or an execution. */
struct ExpectedRun
{
  std::string text;  // of an execution: without the name
  std::string shape; // of an execution: READ or WRITE and the prepared text
  std::map<std::string, std::string> settings;
};

/** Compares what upstreams have run with what callers sent. */
class SentStatements
{
public:
  explicit SentStatements(WriteHistory& aHistory)
    : history(aHistory)
  {
  }

  void Add(const std::string& aRequestId, const ExpectedRun& aRun);

  /** Checks runs as the stand-in lists them. */
  void CheckRuns(const nlohmann::json& aRuns);
  uint64_t CheckedRuns() const { return this->checkedRuns; }

private:
  WriteHistory& history;
  std::map<std::string, ExpectedRun> expected; // by request id
  uint64_t checkedRuns = 0;
};

} // namespace marigoldpitch::soak

#endif
