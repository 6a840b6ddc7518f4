#include "marigoldpitch/coordination/common/memory-account.h"

namespace marigoldpitch {

namespace detail {

constexpr size_t
EighthsOf(MemoryStage aStage)
{
  return kStageEighths[static_cast<size_t>(aStage)];
}

} // namespace detail

void
MemoryAccount::Set(MemoryHolder aHolder, MemoryUse aUse, size_t aBytes)
{
  Holding& holding = this->holdings[aHolder];
  size_t& bytes = holding.bytes[static_cast<size_t>(aUse)];
  if (bytes != aBytes) {
    size_t sum = holding.sum - bytes + aBytes;
    bytes = aBytes;
    this->SetSum(aHolder, holding, sum);
  }
}

void
MemoryAccount::Set(SharedMemory aUse, size_t aBytes)
{
  size_t& bytes = this->shared[static_cast<size_t>(aUse)];
  this->total = this->total - bytes + aBytes;
  bytes = aBytes;
}

/** Only those that hold much are sorted, since most statements are small. */
void
MemoryAccount::SetSum(MemoryHolder aHolder, Holding& aHolding, size_t aSum)
{
  if (aHolding.sum >= kMuchHeldBytes) {
    this->large.erase({ aHolding.sum, aHolder });
  }
  if (aSum >= kMuchHeldBytes) {
    this->large.insert({ aSum, aHolder });
  }
  this->total = this->total - aHolding.sum + aSum;
  aHolding.sum = aSum;
}

void
MemoryAccount::Remove(MemoryHolder aHolder)
{
  auto found = this->holdings.find(aHolder);
  if (found != this->holdings.end()) {
    this->SetSum(aHolder, found->second, 0);
    this->holdings.erase(found);
  }
}

size_t
MemoryAccount::HeldBy(MemoryHolder aHolder) const
{
  auto found = this->holdings.find(aHolder);
  return found == this->holdings.end() ? 0 : found->second.sum;
}

MemoryStage
MemoryAccount::Stage() const
{
  MemoryStage stage = MemoryStage::Calm;
  for (const auto& row : kMemoryStageNames.rows) {
    if (this->IsAt(detail::EighthsOf(row.value))) {
      stage = row.value;
    }
  }
  return stage;
}

bool
MemoryAccount::MayRead(MemoryHolder aHolder) const
{
  auto found = this->holdings.find(aHolder);
  if (!this->IsAt(detail::EighthsOf(MemoryStage::PauseReads)) ||
      found == this->holdings.end()) {
    return true;
  }
  // What a session keeps does not pass with time; a caller that is paused for
  // it would never be read again.
  const Holding& holding = found->second;
  size_t session = holding.bytes[static_cast<size_t>(MemoryUse::Session)];
  return holding.sum - session < kMuchHeldBytes;
}

bool
MemoryAccount::MayTakeStatement(MemoryHolder aHolder) const
{
  return !this->IsAt(detail::EighthsOf(MemoryStage::RefuseStatements)) ||
         this->HeldBy(aHolder) < kMuchHeldBytes;
}

bool
MemoryAccount::MayOpenSession() const
{
  return !this->IsAt(detail::EighthsOf(MemoryStage::RefuseSessions));
}

std::optional<MemoryHolder>
MemoryAccount::ChooseToClose()
{
  MemoryStage until =
    this->isClosing ? MemoryStage::RefuseStatements : MemoryStage::CloseLargest;
  this->isClosing =
    this->IsAt(detail::EighthsOf(until)) && !this->large.empty();
  if (!this->isClosing) {
    return std::nullopt;
  }
  return this->large.rbegin()->second;
}

} // namespace marigoldpitch
