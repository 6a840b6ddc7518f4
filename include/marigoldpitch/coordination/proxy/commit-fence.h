#ifndef MARIGOLDPITCH_COORDINATION_PROXY_COMMIT_FENCE_H
#define MARIGOLDPITCH_COORDINATION_PROXY_COMMIT_FENCE_H

#include "marigoldpitch/coordination/proxy/fence-io.h"
#include "marigoldpitch/state/time.h"

#include <map>
#include <string>
#include <vector>

/** Which terms' commits a host must not acknowledge to callers any more. */
namespace marigoldpitch {

/**
 * How long a replica's report that it is not held for a higher term proves that
 * the known primary is still the primary, counted from when the report was
 * requested.
 */
constexpr Duration kPrimaryProofValidity = Millis(500);

/** How long a closed fence lasts after the promoter's last request. */
constexpr Duration kFenceValidity = Seconds(8);

/** How long a host lets its open commits finish before it replies. */
constexpr Duration kOpenCommitGrace = Millis(100);

/**
 * How long a host that was in contact with the store may acknowledge commits.
 * A promoter waits that long for a host that does not reply.
 */
constexpr Duration kCommitLease = Millis(2500);

/**
 * The fences that promoters have closed on this host for one service. While one
 * is closed, the host sends no new commits to a primary of a lower term. Once
 * it has replied, it does not pass on acknowledgements of such commits either,
 * whoever has confirmed them, since the log that is promoted may lack them. So
 * what a host has acknowledged to callers is covered by its reply.
 *
 * A fence that the promoter neither reopens nor renews expires.
 */
class CommitFence
{
public:
  /** A reply that may be sent now, and to which promoter. */
  struct AddressedReply
  {
    std::string host;
    FenceReply reply;
  };

  /** Applies a promoter's request; outdated ones have no effect. */
  void Apply(const std::string& aPromoter,
             const FenceRequest& aRequest,
             Time aNow);

  /**
   * Returns the replies that are due. `aHasOpenCommits` says whether commits of
   * this host have no answer yet.
   */
  std::vector<AddressedReply> TakeReplies(bool aHasOpenCommits,
                                          const LogPoint& aHighestAcknowledged,
                                          Time aNow);

  /** Whether no new commits may be sent to a primary of the term. */
  bool IsClosedFor(Term aTerm, Time aNow) const;

  /** Whether a commit of the term must not be acknowledged to its caller. */
  bool HidesCommitsOf(Term aTerm, Time aNow) const;

  /**
   * Since when a reply has told a promoter that the primary of the term is not
   * used any more; `kInfiniteFuture` if none has. Expired fences count until
   * `TakeReplies` is called.
   */
  Time ClosedSince(Term aTerm) const;

private:
  /** The last request of one promoter. */
  struct Fence
  {
    FenceRequest request;
    Time received = kInfinitePast;
    Time openUntil = kInfinitePast; // acknowledgements are passed on until then
    Time repliedAt = kInfiniteFuture; // for the first time
    bool isReplyDue = false;
  };

  static bool IsOutdated(const Fence& aFence, const FenceRequest& aRequest);
  static bool IsClosed(const Fence& aFence, Term aTerm, Time aNow);
  void ForgetExpired(Time aNow);

  std::map<std::string, Fence> fences; // by promoter
};

} // namespace marigoldpitch

#endif
