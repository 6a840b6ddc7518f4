#ifndef MARIGOLDPITCH_STATE_POSITION_H
#define MARIGOLDPITCH_STATE_POSITION_H

#include <cstdint>
#include <string>

/** Terms and log positions of a database group. */
namespace marigoldpitch {

using Term = uint64_t;
using Position = uint64_t;

/** A point in a group's log; term 0 means "nothing seen". */
struct LogPoint
{
  Term term = 0;
  Position position = 0;

  bool IsNothing() const { return this->term == 0; }

  /** Orders log ends at a promotion: the term first, then the position. */
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

/** TERM.POSITION, for log lines. */
inline std::string
FormatLogPoint(const LogPoint& aPoint)
{
  return std::to_string(aPoint.term) + "." + std::to_string(aPoint.position);
}

/**
 * How far a copy has got: the term it follows, where that term began, and the
 * position it has reached.
 */
struct CopyPoint
{
  Term term = 0;
  Position termStart = 0;
  Position position = 0;

  /**
   * Whether all that a holder of `aSeen` has seen is in this copy. Confirmed
   * positions of an earlier term lie before the start of this one, so they are
   * compared with the start and never with a position of another term.
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

  LogPoint Point() const { return { this->term, this->position }; }
};

} // namespace marigoldpitch

#endif
