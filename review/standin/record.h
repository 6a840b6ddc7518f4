#ifndef MARIGOLDPITCH_REVIEW_RECORD_H
#define MARIGOLDPITCH_REVIEW_RECORD_H

#include "marigoldpitch/state/time.h"

#include <cstdio>
#include <string>

/** The record of a run: one line for each event, with its time. */
namespace marigoldpitch::review {

class Record
{
public:
  /** Opens `aPath` for writing; a failure ends the program with code 2. */
  explicit Record(const std::string& aPath);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  /** Adds a line with the milliseconds since the start of the run. */
  void Add(const std::string& aLine);

private:
  std::FILE* file;
  Time start;
};

} // namespace marigoldpitch::review

#endif
