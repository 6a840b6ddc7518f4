#ifndef MARIGOLDPITCH_STATE_STORE_POSITION_H
#define MARIGOLDPITCH_STATE_STORE_POSITION_H

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

/** Positions in the history of the platform's store. */
namespace marigoldpitch {

/**
 * A position in the store's history. The store may come back from an old copy;
 * its revisions then go back and are given out again, and its era rises. So a
 * revision alone has no meaning: positions are compared and passed on as a
 * whole.
 */
struct StorePosition
{
  uint64_t era = 0;      // 0: the store names none
  uint64_t revision = 0; // 0: before any change, or a key that does not exist

  constexpr StorePosition() = default;
  constexpr StorePosition(uint64_t aEra, uint64_t aRevision)
    : era(aEra)
    , revision(aRevision)
  {
  }

  bool IsUnset() const { return this->revision == 0; }

  bool operator<(const StorePosition& aOther) const
  {
    return std::tie(this->era, this->revision) <
           std::tie(aOther.era, aOther.revision);
  }
  bool operator>(const StorePosition& aOther) const { return aOther < *this; }
  bool operator<=(const StorePosition& aOther) const
  {
    return !(aOther < *this);
  }
  bool operator==(const StorePosition& aOther) const
  {
    return this->era == aOther.era && this->revision == aOther.revision;
  }
  bool operator!=(const StorePosition& aOther) const
  {
    return !(*this == aOther);
  }
};

/** Formats as ERA:REVISION, for log lines. */
inline std::string
FormatStorePosition(const StorePosition& aPosition)
{
  return std::to_string(aPosition.era) + ":" +
         std::to_string(aPosition.revision);
}

// A fencing token has 53 bits, so that a receiver that reads it as a
// floating-point number has it exactly: the era and, below it, the revision.
constexpr int kFencingRevisionBits = 43;
constexpr int kFencingEraBits = 10;
constexpr uint64_t kMaxFencingRevision =
  (uint64_t{ 1 } << kFencingRevisionBits) - 1;
constexpr uint64_t kMaxEra = (uint64_t{ 1 } << kFencingEraBits) - 1;

/**
 * The fencing token of a lease that was taken at the position. Tokens are in
 * the order of positions, so they rise also when the store comes back from an
 * old copy. Unset if the position has no token: it is unset itself, or beyond
 * `kMaxEra` or `kMaxFencingRevision`.
 */
inline std::optional<uint64_t>
FencingTokenOf(const StorePosition& aPosition)
{
  bool isInRange =
    aPosition.era <= kMaxEra && aPosition.revision <= kMaxFencingRevision;
  if (aPosition.IsUnset() || !isInRange) {
    return std::nullopt;
  }
  return (aPosition.era << kFencingRevisionBits) | aPosition.revision;
}

} // namespace marigoldpitch

#endif
