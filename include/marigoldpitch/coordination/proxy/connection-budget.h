#ifndef MARIGOLDPITCH_COORDINATION_PROXY_CONNECTION_BUDGET_H
#define MARIGOLDPITCH_COORDINATION_PROXY_CONNECTION_BUDGET_H

#include "marigoldpitch/state/time.h"

#include <cstddef>
#include <cstdint>

/** How many connections one host may have to one upstream. */
namespace marigoldpitch {

/** The connections of all hosts to an upstream, as it reported them. */
struct ConnectionCensus
{
  uint32_t connections = 0;
  Time asked = kInfinitePast; // when the report was requested
};

/**
 * An even share of the connections that the upstream accepts. A part is kept
 * free, because connections of crashed hosts stay open there for a while. Each
 * host gets at least one.
 */
uint32_t
EvenShare(uint32_t aConnectionLimit, size_t aHosts);

/**
 * The share of each serving host if only some hosts serve a service. Half of
 * the connections are kept free, so that all hosts can connect again after a
 * loss of power while the connections of their lost processes are still open.
 * Each standby host has one connection.
 */
uint32_t
ServingShare(uint32_t aConnectionLimit,
             size_t aServingHosts,
             size_t aStandbyHosts);

/** How many connections the hosts may have together if they borrow. */
uint32_t
UsableConnections(uint32_t aConnectionLimit, bool aIsDivided);

/**
 * How many connections more a host may open whose share is in use, because
 * other hosts leave theirs unused: callers may have moved to it. All hosts may
 * want the same ones, so each takes its part of them at a time. The census must
 * be recent; `aOpenedSince` is what this host has opened since.
 */
uint32_t
BorrowableConnections(uint32_t aUsableConnections,
                      size_t aHosts,
                      const ConnectionCensus& aCensus,
                      uint32_t aOpenedSince,
                      Time aNow);

} // namespace marigoldpitch

#endif
