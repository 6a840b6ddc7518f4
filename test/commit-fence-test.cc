#include "marigoldpitch/coordination/proxy/commit-fence.h"

#include <criterion/criterion.h>

// The fences of one host, with the promoters' requests given by hand.

using namespace marigoldpitch;

namespace {

constexpr Time kStart{ 10000 };
constexpr Term kOldTerm = 1;
constexpr Term kNewTerm = 2;
constexpr LogPoint kAcknowledged{ kOldTerm, 7 };

FenceRequest
Request(uint64_t aRound, FenceCommand aCommand, bool aAwaitsOpenCommits = false)
{
  return { "service", aRound, kNewTerm, aCommand, aAwaitsOpenCommits };
}

/** A host's fences, and whether commits of it have no answer yet. */
class FencedHost
{
public:
  void Pass(Duration aSpan) { this->now = this->now + aSpan; }

  void Apply(const FenceRequest& aRequest,
             const std::string& aPromoter = "promoter")
  {
    this->fence.Apply(aPromoter, aRequest, this->now);
  }

  std::vector<CommitFence::AddressedReply> TakeReplies()
  {
    return this->fence.TakeReplies(
      this->hasOpenCommits, kAcknowledged, this->now);
  }

  /** Applies the request and sends the replies that are due. */
  size_t Reply(const FenceRequest& aRequest,
               const std::string& aPromoter = "promoter")
  {
    this->Apply(aRequest, aPromoter);
    return this->TakeReplies().size();
  }

  bool IsClosed(Term aTerm = kOldTerm) const
  {
    return this->fence.IsClosedFor(aTerm, this->now);
  }

  bool Hides(Term aTerm = kOldTerm) const
  {
    return this->fence.HidesCommitsOf(aTerm, this->now);
  }

  CommitFence fence;
  Time now = kStart;
  bool hasOpenCommits = false;
};

} // namespace

Test(commit_fence, close_hides_commits_of_lower_terms_once_replied)
{
  FencedHost host;
  cr_assert_not(host.IsClosed());
  host.Apply(Request(1, FenceCommand::Close));
  cr_assert(host.IsClosed());
  cr_assert_not(host.Hides());
  auto replies = host.TakeReplies();
  cr_assert_eq(replies.size(), 1);
  cr_assert_str_eq(replies[0].host.c_str(), "promoter");
  cr_assert_str_eq(replies[0].reply.service.c_str(), "service");
  cr_assert_eq(replies[0].reply.round, 1);
  cr_assert_eq(replies[0].reply.term, kNewTerm);
  cr_assert_eq(replies[0].reply.command, FenceCommand::Close);
  cr_assert(replies[0].reply.highestAcknowledged == kAcknowledged);
  cr_assert(host.Hides());
  cr_assert_not(host.IsClosed(kNewTerm));
  cr_assert_not(host.Hides(kNewTerm));
  cr_assert_eq(host.TakeReplies().size(), 0);
}

// Guards against a Close that arrives after the end of its round.
Test(commit_fence, overtaken_close_leaves_the_fence_open)
{
  for (FenceCommand end : { FenceCommand::Reopen, FenceCommand::TermBegan }) {
    FencedHost host;
    cr_assert_eq(host.Reply(Request(3, end)), 1);
    cr_assert_eq(host.Reply(Request(3, FenceCommand::Close)), 0);
    cr_assert_not(host.IsClosed());
    cr_assert_not(host.Hides());
  }
}

// Guards against an end of an earlier round that opens the fence of a later
// one.
Test(commit_fence, end_of_an_earlier_round_has_no_effect)
{
  for (FenceCommand end : { FenceCommand::Reopen, FenceCommand::TermBegan }) {
    FencedHost host;
    host.Reply(Request(3, FenceCommand::Close));
    host.Reply(Request(4, FenceCommand::Close));
    cr_assert_eq(host.Reply(Request(3, end)), 0);
    cr_assert(host.IsClosed());
    cr_assert(host.Hides());
  }
}

Test(commit_fence, close_of_an_earlier_round_leaves_the_fence_open)
{
  FencedHost host;
  host.Reply(Request(4, FenceCommand::Close));
  host.Reply(Request(4, FenceCommand::Reopen));
  cr_assert_eq(host.Reply(Request(3, FenceCommand::Close)), 0);
  cr_assert_not(host.IsClosed());
  cr_assert_eq(host.Reply(Request(5, FenceCommand::Close)), 1);
  cr_assert(host.Hides());
}

Test(commit_fence, reopening_ends_the_fence_and_is_replied_to)
{
  FencedHost host;
  host.Reply(Request(1, FenceCommand::Close));
  host.hasOpenCommits = true;
  host.Apply(Request(1, FenceCommand::Reopen));
  cr_assert_not(host.IsClosed());
  cr_assert_not(host.Hides());
  auto replies = host.TakeReplies();
  cr_assert_eq(replies.size(), 1);
  cr_assert_eq(replies[0].reply.command, FenceCommand::Reopen);
}

Test(commit_fence, fence_expires_unless_it_is_renewed)
{
  FencedHost host;
  host.Reply(Request(1, FenceCommand::Close));
  host.Pass(kFenceValidity - Millis(1));
  cr_assert(host.Hides());
  cr_assert_eq(host.Reply(Request(1, FenceCommand::Close)), 1);
  host.Pass(kFenceValidity - Millis(1));
  cr_assert(host.IsClosed());
  cr_assert(host.Hides());
  host.Pass(Millis(1));
  cr_assert_not(host.IsClosed());
  cr_assert_not(host.Hides());
}

// Guards against one promoter's Reopen that opens the fence of another.
Test(commit_fence, fences_of_two_promoters_are_independent)
{
  FencedHost host;
  cr_assert_eq(host.Reply(Request(9, FenceCommand::Close), "first"), 1);
  cr_assert_eq(host.Reply(Request(2, FenceCommand::Close), "second"), 1);
  cr_assert_eq(host.Reply(Request(9, FenceCommand::Reopen), "first"), 1);
  cr_assert(host.Hides());
  cr_assert_eq(host.Reply(Request(2, FenceCommand::Reopen), "second"), 1);
  cr_assert_not(host.IsClosed());
}

Test(commit_fence, reply_waits_until_open_commits_are_answered)
{
  FencedHost host;
  host.hasOpenCommits = true;
  host.Apply(Request(1, FenceCommand::Close, true));
  cr_assert_eq(host.TakeReplies().size(), 0);
  cr_assert(host.IsClosed());
  cr_assert_not(host.Hides());
  host.Pass(Millis(20));
  host.hasOpenCommits = false;
  cr_assert_eq(host.TakeReplies().size(), 1);
  cr_assert(host.Hides());
}

// Guards against repeated requests that put the reply off again and again.
Test(commit_fence, grace_for_open_commits_is_not_renewed)
{
  FencedHost host;
  host.hasOpenCommits = true;
  host.Apply(Request(1, FenceCommand::Close, true));
  host.Pass(kOpenCommitGrace - Millis(1));
  cr_assert_eq(host.Reply(Request(1, FenceCommand::Close, true)), 0);
  host.Pass(Millis(1));
  cr_assert_eq(host.TakeReplies().size(), 1);
  cr_assert(host.Hides());
}

Test(commit_fence, replies_at_once_if_the_promoter_does_not_wait)
{
  FencedHost host;
  host.hasOpenCommits = true;
  cr_assert_eq(host.Reply(Request(1, FenceCommand::Close)), 1);
  cr_assert(host.Hides());
}

// Guards against a lost reply that is not sent again because a commit is open.
Test(commit_fence, renewal_is_replied_to_at_once_while_commits_are_open)
{
  FencedHost host;
  cr_assert_eq(host.Reply(Request(1, FenceCommand::Close, true)), 1);
  host.hasOpenCommits = true;
  cr_assert_eq(host.Reply(Request(1, FenceCommand::Close, true)), 1);
  cr_assert(host.Hides());
}

// Guards against commits that are acknowledged between two rounds, while an
// order of the first may still take effect.
Test(commit_fence, next_round_that_awaits_commits_hides_them_meanwhile)
{
  FencedHost host;
  host.Reply(Request(1, FenceCommand::Close));
  host.hasOpenCommits = true;
  host.Apply(Request(2, FenceCommand::Close, true));
  cr_assert(host.Hides());
  host.TakeReplies();
  cr_assert(host.Hides());
}

// Guards against an announcement of the present term that opens a fence whose
// promotion may still take effect.
Test(commit_fence, announcement_of_a_lower_term_leaves_the_fence_closed)
{
  FencedHost host;
  host.Reply(Request(1, FenceCommand::Close));
  FenceRequest announcement = Request(2, FenceCommand::TermBegan);
  announcement.term = kOldTerm;
  host.Reply(announcement);
  cr_assert(host.Hides());
  host.Reply(Request(3, FenceCommand::TermBegan));
  cr_assert_not(host.IsClosed());
}
