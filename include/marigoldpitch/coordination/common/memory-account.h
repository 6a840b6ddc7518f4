#ifndef MARIGOLDPITCH_COORDINATION_COMMON_MEMORY_ACCOUNT_H
#define MARIGOLDPITCH_COORDINATION_COMMON_MEMORY_ACCOUNT_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/sizes.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

/**
 * What callers, links and sessions hold in a process, in bytes, against a
 * budget that follows from its memory limit.
 */
namespace marigoldpitch {

/** What a caller holds bytes for. */
enum class MemoryUse
{
  Received, // of messages that are not complete
  Unsent,   // replies that it has not read
  Session,  // settings, prepared and open statements
};

constexpr NameTable<MemoryUse, 3> kMemoryUseNames{ {
  { MemoryUse::Received, "received" },
  { MemoryUse::Unsent, "unsent" },
  { MemoryUse::Session, "session" },
} };

/** What links hold that no caller is closed for. */
enum class SharedMemory
{
  Upstreams, // messages to and from upstreams
};

constexpr NameTable<SharedMemory, 1> kSharedMemoryNames{ {
  { SharedMemory::Upstreams, "upstreams" },
} };

/** Each stage includes those before it. */
enum class MemoryStage
{
  Calm,
  PauseReads,       // from callers that hold much
  RefuseStatements, // of those callers
  CloseLargest,     // the callers that hold most
  RefuseSessions,   // accept no new connection
};

constexpr NameTable<MemoryStage, 5> kMemoryStageNames{ {
  { MemoryStage::Calm, "calm" },
  { MemoryStage::PauseReads, "pause-reads" },
  { MemoryStage::RefuseStatements, "refuse-statements" },
  { MemoryStage::CloseLargest, "close-largest" },
  { MemoryStage::RefuseSessions, "refuse-sessions" },
} };

/**
 * The share of the budget at which each stage begins, in eighths. Callers are
 * closed until the stage of refused statements is left.
 */
constexpr std::array<size_t, kMemoryStageNames.Size()> kStageEighths{ 0,
                                                                      4,
                                                                      5,
                                                                      6,
                                                                      7 };

/** A caller that holds less is never paused, refused or closed, in bytes. */
constexpr size_t kMuchHeldBytes = 16 * kKibibyte;

/**
 * The part of a process's memory limit that callers, links and sessions may
 * hold, in eighths. The rest is for the program, its documents, copies that
 * live as long as an event, and what the allocator cannot give back.
 */
constexpr size_t kBudgetEighths = 3;

constexpr size_t
MemoryBudget(size_t aMemoryLimit)
{
  return aMemoryLimit / 8 * kBudgetEighths;
}

using MemoryHolder = uint64_t;

/** The account of a process; decides which callers have to yield. */
class MemoryAccount
{
public:
  /** `aBudget` 0: the account counts, and its stage is always calm. */
  explicit MemoryAccount(size_t aBudget)
    : budget(aBudget)
  {
  }

  void Set(MemoryHolder aHolder, MemoryUse aUse, size_t aBytes);
  void Set(SharedMemory aUse, size_t aBytes);
  void Remove(MemoryHolder aHolder);

  size_t Total() const { return this->total; }
  size_t Budget() const { return this->budget; }
  size_t HeldBy(MemoryHolder aHolder) const;
  MemoryStage Stage() const;

  bool MayRead(MemoryHolder aHolder) const;
  bool MayTakeStatement(MemoryHolder aHolder) const;
  bool MayOpenSession() const;

  /** The caller to close now; unset once there is no need to close any. */
  std::optional<MemoryHolder> ChooseToClose();

private:
  struct Holding
  {
    std::array<size_t, kMemoryUseNames.Size()> bytes{};
    size_t sum = 0;
  };

  bool IsAt(size_t aEighths) const
  {
    return this->budget != 0 && this->total >= this->budget / 8 * aEighths;
  }
  void SetSum(MemoryHolder aHolder, Holding& aHolding, size_t aSum);

  size_t budget;
  size_t total = 0;
  std::unordered_map<MemoryHolder, Holding> holdings;
  std::set<std::pair<size_t, MemoryHolder>> large; // those that hold much
  std::array<size_t, kSharedMemoryNames.Size()> shared{};
  bool isClosing = false;
};

} // namespace marigoldpitch

#endif
