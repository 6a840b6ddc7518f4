#ifndef MARIGOLDPITCH_COORDINATION_COMMON_STORE_ERA_H
#define MARIGOLDPITCH_COORDINATION_COMMON_STORE_ERA_H

#include "marigoldpitch/state/names.h"

#include <cstdint>
#include <string>

/** The store's present era, and which of its answers still count. */
namespace marigoldpitch {

/** What a call of the store is for. */
enum class StoreCallKind
{
  Read,
  Change,
};

/** What an answer of the store is worth. */
enum class StoreAnswerUse
{
  Valid,
  Outdated,  // of an earlier era than one that is known already
  Uncertain, // of a change that was sent in an earlier era
};

constexpr NameTable<StoreAnswerUse, 3> kStoreAnswerUseNames{ {
  { StoreAnswerUse::Valid, "valid" },
  { StoreAnswerUse::Outdated, "answer of an earlier era" },
  { StoreAnswerUse::Uncertain, "the store came back from a copy meanwhile" },
} };

/** The era of the store has risen, or is known for the first time. */
struct EraLearned
{
  uint64_t before = 0; // 0: none was known
  uint64_t era = 0;
  std::string peer; // that named it; empty: an answer of the store

  bool IsRestore() const { return this->before != 0; }
};

/** The latest era that this process has heard of. */
class StoreEra
{
public:
  /** Returns whether the era rises by this. */
  bool Learn(uint64_t aEra)
  {
    bool rises = this->current < aEra;
    this->current = rises ? aEra : this->current;
    return rises;
  }

  uint64_t Current() const { return this->current; }

  /**
   * Judges an answer of `aEra` to a call that was sent when `aSentIn` was the
   * present era. Learn the answer's era first. A change that was sent before
   * the store came back may have been carried out before it, and is then gone,
   * or after it.
   */
  StoreAnswerUse Judge(StoreCallKind aKind,
                       uint64_t aSentIn,
                       uint64_t aEra) const
  {
    if (aEra < this->current) {
      return StoreAnswerUse::Outdated;
    }
    bool isLate = aSentIn != 0 && aSentIn != aEra;
    return aKind == StoreCallKind::Change && isLate ? StoreAnswerUse::Uncertain
                                                    : StoreAnswerUse::Valid;
  }

private:
  uint64_t current = 0; // 0: not known
};

} // namespace marigoldpitch

#endif
