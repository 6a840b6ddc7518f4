#ifndef MARIGOLDPITCH_COORDINATION_COMMON_CALLER_PROGRESS_H
#define MARIGOLDPITCH_COORDINATION_COMMON_CALLER_PROGRESS_H

#include "marigoldpitch/coordination/common/memory-account.h"
#include "marigoldpitch/state/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

/**
 * How long a caller's connection may make no progress, and how many callers
 * may be connected.
 */
namespace marigoldpitch {

/** From the connection to the START of the session. */
constexpr Duration kStartTimeout = Seconds(30);

/** From the first byte of a message to its last one. */
constexpr Duration kMessageTimeout = Seconds(60);

/** The same while memory is short. */
constexpr Duration kShortMessageTimeout = Seconds(5);

/** How long none of the queued replies may be taken. */
constexpr Duration kUnreadTimeout = Seconds(60);

/** Why a caller's connection is closed. */
enum class CallerFault
{
  HoldsMost,
  Silent,   // no START
  HalfSent, // a message without its end
  Unread,   // replies that it does not read
};

constexpr NameTable<CallerFault, 4> kCallerFaultNames{ {
  { CallerFault::HoldsMost, "holds-most" },
  { CallerFault::Silent, "silent" },
  { CallerFault::HalfSent, "half-sent" },
  { CallerFault::Unread, "unread" },
} };

/** Since when a connection waits for its caller. */
struct CallerProgress
{
  Time connected;
  bool hasStarted = false;
  Time halfSentSince = kInfiniteFuture;
  Time unreadSince = kInfiniteFuture;
};

/** The limit that the caller has exceeded, if any. */
inline std::optional<CallerFault>
FindFault(const CallerProgress& aProgress, MemoryStage aStage, Time aNow)
{
  Duration messageTimeout =
    aStage == MemoryStage::Calm ? kMessageTimeout : kShortMessageTimeout;
  if (!aProgress.hasStarted && aNow - aProgress.connected >= kStartTimeout) {
    return CallerFault::Silent;
  }
  if (aNow - aProgress.halfSentSince >= messageTimeout) {
    return CallerFault::HalfSent;
  }
  if (aNow - aProgress.unreadSince >= kUnreadTimeout) {
    return CallerFault::Unread;
  }
  return std::nullopt;
}

/**
 * The descriptors of a process that are not for callers: files, the links to
 * upstreams, other hosts and the store, health and metrics. Of a small limit,
 * half.
 */
constexpr size_t kOwnDescriptors = 456;

/** How many callers may be connected; 0 descriptors: no limit is set. */
constexpr size_t
MaxCallers(size_t aDescriptors)
{
  if (aDescriptors == 0) {
    return SIZE_MAX;
  }
  return aDescriptors - std::min(kOwnDescriptors, aDescriptors / 2);
}

} // namespace marigoldpitch

#endif
