#include "record.h"

#include "marigoldpitch/transport/clock.h"

#include <cinttypes>
#include <cstdlib>

namespace marigoldpitch::review {

Record::Record(const std::string& aPath)
  : file(std::fopen(aPath.c_str(), "w"))
  , start(ReadMonotonicClock())
{
  if (this->file == nullptr) {
    std::perror(aPath.c_str());
    std::exit(2);
  }
}

Record::~Record()
{
  std::fclose(this->file);
}

void
Record::Add(const std::string& aLine)
{
  int64_t elapsed = (ReadMonotonicClock() - this->start).ms;
  std::fprintf(this->file, "%7" PRId64 " ms  %s\n", elapsed, aLine.c_str());
  std::fflush(this->file);
}

} // namespace marigoldpitch::review
