#include "marigoldpitch/coordination/proxy/commit-fence.h"

#include <algorithm>

namespace marigoldpitch {

/**
 * Messages may overtake each other; a round ends with another command. That a
 * term has begun says nothing of a fence that is closed for a later one.
 */
bool
CommitFence::IsOutdated(const Fence& aFence, const FenceRequest& aRequest)
{
  if (aRequest.command == FenceCommand::TermBegan &&
      aFence.request.command == FenceCommand::Close &&
      aRequest.term < aFence.request.term) {
    return true;
  }
  if (aRequest.round != aFence.request.round) {
    return aRequest.round < aFence.request.round;
  }
  return aRequest.command == FenceCommand::Close &&
         aFence.request.command != FenceCommand::Close;
}

void
CommitFence::ForgetExpired(Time aNow)
{
  for (auto it = this->fences.begin(); it != this->fences.end();) {
    bool hasExpired = aNow - it->second.received >= kFenceValidity;
    it = hasExpired ? this->fences.erase(it) : std::next(it);
  }
}

void
CommitFence::Apply(const std::string& aPromoter,
                   const FenceRequest& aRequest,
                   Time aNow)
{
  this->ForgetExpired(aNow);
  auto found = this->fences.find(aPromoter);
  if (found != this->fences.end() && IsOutdated(found->second, aRequest)) {
    return;
  }
  bool isRenewal = found != this->fences.end() &&
                   found->second.request.round == aRequest.round &&
                   found->second.request.command == aRequest.command;
  Fence& fence = this->fences[aPromoter];
  if (!isRenewal) {
    // An order of the promoter's last round may still take effect.
    bool isClosing = aRequest.command == FenceCommand::Close;
    bool wasHiding = fence.repliedAt != kInfiniteFuture &&
                     fence.request.term >= aRequest.term &&
                     fence.request.command == FenceCommand::Close;
    bool awaits = isClosing && aRequest.awaitsOpenCommits && !wasHiding;
    fence.openUntil = awaits ? aNow + kOpenCommitGrace : aNow;
    fence.repliedAt =
      isClosing && wasHiding ? fence.repliedAt : kInfiniteFuture;
  }
  fence.request = aRequest;
  fence.received = aNow;
  fence.isReplyDue = true;
}

std::vector<CommitFence::AddressedReply>
CommitFence::TakeReplies(bool aHasOpenCommits,
                         const LogPoint& aHighestAcknowledged,
                         Time aNow)
{
  this->ForgetExpired(aNow);
  std::vector<AddressedReply> replies;
  for (auto& [promoter, fence] : this->fences) {
    bool isAwaiting = fence.repliedAt == kInfiniteFuture && aHasOpenCommits &&
                      aNow < fence.openUntil;
    if (!fence.isReplyDue || isAwaiting) {
      continue;
    }
    fence.isReplyDue = false;
    fence.repliedAt = std::min(fence.repliedAt, aNow);
    const FenceRequest& request = fence.request;
    replies.push_back({ promoter,
                        { request.service,
                          request.round,
                          request.term,
                          request.command,
                          aHighestAcknowledged } });
  }
  return replies;
}

bool
CommitFence::IsClosed(const Fence& aFence, Term aTerm, Time aNow)
{
  return aFence.request.command == FenceCommand::Close &&
         aTerm < aFence.request.term && aNow - aFence.received < kFenceValidity;
}

bool
CommitFence::IsClosedFor(Term aTerm, Time aNow) const
{
  return std::any_of(
    this->fences.begin(), this->fences.end(), [&](const auto& aOne) {
      return IsClosed(aOne.second, aTerm, aNow);
    });
}

bool
CommitFence::HidesCommitsOf(Term aTerm, Time aNow) const
{
  return std::any_of(
    this->fences.begin(), this->fences.end(), [&](const auto& aOne) {
      return aOne.second.repliedAt != kInfiniteFuture &&
             IsClosed(aOne.second, aTerm, aNow);
    });
}

Time
CommitFence::ClosedSince(Term aTerm) const
{
  Time since = kInfiniteFuture;
  for (const auto& [promoter, fence] : this->fences) {
    bool isClosed = fence.request.command == FenceCommand::Close &&
                    aTerm < fence.request.term;
    since = isClosed ? std::min(since, fence.repliedAt) : since;
  }
  return since;
}

} // namespace marigoldpitch
