#ifndef MARIGOLDPITCH_COORDINATION_PROXY_HOST_REGISTRATION_H
#define MARIGOLDPITCH_COORDINATION_PROXY_HOST_REGISTRATION_H

#include "marigoldpitch/state/time.h"

#include <cstddef>

/** How a proxy host keeps its registration in the store. */
namespace marigoldpitch {

/** The lease of a host's registration. */
struct RegistrationTerms
{
  Duration lifetime; // after the last renewal
  Duration renewInterval;
};

/**
 * Since when this host is registered without a break, and until when it is so
 * for sure: the store may remove the registration after that.
 */
struct RegistrationSpan
{
  Time since = kInfiniteFuture;
  Time until = kInfinitePast;
};

/**
 * Within this time after a host has registered, each promoter has read that it
 * is there, and within as long after a group was first recorded, each host has
 * read that.
 */
constexpr Duration kRegistrationSpread = Millis(2500);

/** How many hosts may take the promoter lease when it becomes free. */
constexpr size_t kPromoterCandidates = 8;

/**
 * The first hosts in the order in which they may take the promoter lease keep
 * short leases, so that the loss of its holder shows soon. The others renew
 * theirs rarely: that one of them is lost shows on the links to it.
 */
RegistrationTerms
RegistrationTermsOf(size_t aPromoterRank);

} // namespace marigoldpitch

#endif
