#ifndef MARIGOLDPITCH_STATE_POSITION_H
#define MARIGOLDPITCH_STATE_POSITION_H

#include <cstdint>
#include <string>

/** Terms and log positions of a database group. */
namespace marigoldpitch {

using Term = uint64_t;
using Position = uint64_t;

/** A point in a group's log; term 0 means that nothing was seen. */
struct LogPoint
{
  Term term = 0;
  Position position = 0;

  bool IsUnset() const { return this->term == 0; }

  /** Compares by term, then position: the order of log ends at a promotion. */
  bool IsBehind(const LogPoint& aOther) const
  {
    if (this->term != aOther.term) {
      return this->term < aOther.term;
    }
    return this->position < aOther.position;
  }

  bool operator==(const LogPoint& aOther) const
  {
    return this->term == aOther.term && this->position == aOther.position;
  }
};

/** Formats as TERM.POSITION, for log lines. */
inline std::string
FormatLogPoint(const LogPoint& aPoint)
{
  return std::to_string(aPoint.term) + "." + std::to_string(aPoint.position);
}

/**
 * How far an upstream's log reaches: the term that the upstream follows, the
 * start of that term, and the last position held.
 */
struct LogProgress
{
  Term term = 0;
  Position termStart = 0;
  Position position = 0;

  /**
   * Whether this log contains everything up to `aSeen`. Confirmed positions of
   * an earlier term lie before the start of this term. A point of an earlier
   * term therefore needs this log to reach `termStart`; positions of different
   * terms are never compared.
   */
  bool Covers(const LogPoint& aSeen) const
  {
    if (aSeen.term > this->term) {
      return false;
    }
    if (aSeen.term == this->term) {
      return this->position >= aSeen.position;
    }
    return this->position >= this->termStart;
  }

  LogPoint ToLogPoint() const { return { this->term, this->position }; }
};

} // namespace marigoldpitch

#endif
