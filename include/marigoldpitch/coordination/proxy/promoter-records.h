#ifndef MARIGOLDPITCH_COORDINATION_PROXY_PROMOTER_RECORDS_H
#define MARIGOLDPITCH_COORDINATION_PROXY_PROMOTER_RECORDS_H

#include "marigoldpitch/state/proxy-config.h"

#include <optional>
#include <string>

/**
 * What the store holds about the promoter lease: the lease's key, which expires
 * unless its holder renews it, and the record of the last holder, which
 * outlives the holder's process.
 */
namespace marigoldpitch {

/** Whether holders of the lease before the recorded one may still act. */
enum class FormerHolders
{
  MayAct, // an earlier holder may still act
  Ended,  // no earlier holder can act
};

constexpr NameTable<FormerHolders, 2> kFormerHoldersNames{ {
  { FormerHolders::MayAct, "unsettled" },
  { FormerHolders::Ended, "settled" },
} };

/** The value of the lease's key: who took it, and in which era of the store. */
struct PromoterKey
{
  uint64_t era = 0;
  std::string run;
};

std::string
FormatPromoterKey(const PromoterKey& aKey);

/** Unset for the key of a build that writes no era. */
std::optional<PromoterKey>
ParsePromoterKey(const std::string& aText);

/**
 * Whether the key with this value is held in the store's era `aEra`. A key that
 * was taken in an earlier era came back with a copy of the store, and nobody
 * acts on it.
 */
bool
IsPromoterKeyHeld(const std::string& aValue, uint64_t aEra);

/**
 * The record that a run of the proxy's process stores when it takes the lease,
 * and again when no earlier holder can act any more.
 */
struct LastHolder
{
  uint64_t era = 0; // of the store when it was written; 0: not known
  FormerHolders formerHolders = FormerHolders::MayAct;
  std::string run; // empty: released
};

std::string
FormatLastHolder(const LastHolder& aHolder);

/** Parses also the records of builds that write no era. */
LastHolder
ParseLastHolder(const std::string& aText);

/**
 * Whether no former holder of the lease in the store's present era can act any
 * more, so that the run named `aSelf` need not wait for one.
 */
bool
HaveFormerHoldersEnded(const ProxyHosts& aHosts, const std::string& aSelf);

/**
 * Whether the record shows that no holder of an earlier era than `aEra` can act
 * any more.
 */
bool
HaveEarlierErasEnded(const std::string& aLastHolder, uint64_t aEra);

} // namespace marigoldpitch

#endif
