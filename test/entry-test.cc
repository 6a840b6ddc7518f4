#include "marigoldpitch/coordination/common/ownership.h"
#include "marigoldpitch/coordination/owner/entry-engine.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <set>

// Decisions of `EntryEngine`, one event at a time.

using namespace marigoldpitch;

namespace {

class EntryFixture
{
public:
  EntryFixture()
  {
    for (int i = 0; i < 3; ++i) {
      HostEntry host;
      host.name = "host-" + std::to_string(i);
      host.zone = "zone-" + std::to_string(i);
      this->hosts.hosts.push_back(host);
    }
    Config config;
    config.revision = 1;
    GroupConfig group;
    group.name = "g";
    ServiceConfig stock;
    stock.name = "stock";
    stock.maxAge = Seconds(5);
    group.services.push_back(stock);
    config.groups.push_back(group);
    this->Step(HostsChanged{ this->hosts });
    this->Step(ConfigurationChanged{ config });
    this->rankedOwners = RankCandidates("g", this->hosts.hosts);
  }

  EntryActions Step(const EntryEvent& aEvent)
  {
    return this->engine.Handle(this->now, aEvent);
  }

  template<typename A>
  static std::optional<A> FindAction(const EntryActions& aActions)
  {
    for (const EntryAction& action : aActions) {
      if (const auto* found = std::get_if<A>(&action)) {
        return *found;
      }
    }
    return std::nullopt;
  }

  /** Sends a request, connects, and returns what goes to the first owner. */
  ForwardRequest Forward(const Request& aRequest)
  {
    auto connect =
      FindAction<ConnectOwner>(this->Step(CallerRequested{ 1, aRequest }));
    cr_assert_eq(connect->host, this->rankedOwners[0]);
    return *FindAction<ForwardRequest>(
      this->Step(OwnerConnected{ connect->host }));
  }

  static Request Write()
  {
    Request request;
    request.operation = Operation::Write;
    request.group = "g";
    request.session = "s";
    request.requestId = "id";
    request.firstAttempt = true;
    return request;
  }

  /** Returns a request in a transaction at the first owner. */
  Request InTransaction(Operation aOperation) const
  {
    Request request = Write();
    request.operation = aOperation;
    request.transaction = this->rankedOwners[0] + "~abc/7";
    return request;
  }

  EntryEngine engine;
  HostList hosts;
  std::vector<std::string> rankedOwners;
  Time now{ 1000 };
};

} // namespace

Test(entry, silent_link_is_reopened_before_the_next_owner_is_tried)
{
  EntryFixture entry;
  ForwardRequest first = entry.Forward(EntryFixture::Write());
  cr_assert(first.request.firstAttempt);
  entry.now = entry.now + Millis(100);
  auto ping = EntryFixture::FindAction<PingOwner>(entry.Step(EntryTick{}));
  cr_assert_eq(ping->host, entry.rankedOwners[0]);
  entry.now = entry.now + Millis(200);
  EntryActions actions = entry.Step(EntryTick{});
  cr_assert_eq(EntryFixture::FindAction<DisconnectOwner>(actions)->host,
               entry.rankedOwners[0]);
  cr_assert_eq(EntryFixture::FindAction<ConnectOwner>(actions)->host,
               entry.rankedOwners[0]);
  auto again = EntryFixture::FindAction<ForwardRequest>(
    entry.Step(OwnerConnected{ entry.rankedOwners[0] }));
  cr_assert_eq(again->number, first.number);
  cr_assert(!again->request.firstAttempt,
            "the owner may have executed it already");
}

Test(entry, unreachable_owner_is_skipped)
{
  EntryFixture entry;
  entry.Step(CallerRequested{ 1, EntryFixture::Write() });
  auto next = EntryFixture::FindAction<ConnectOwner>(
    entry.Step(OwnerLost{ entry.rankedOwners[0] }));
  cr_assert_eq(next->host, entry.rankedOwners[1]);
  auto forward = EntryFixture::FindAction<ForwardRequest>(
    entry.Step(OwnerConnected{ entry.rankedOwners[1] }));
  cr_assert(forward->request.firstAttempt, "no owner has received it yet");
}

Test(entry, answers_reach_their_own_callers)
{
  cr_assert(rc::check("answers reach their callers in any order", [] {
    EntryFixture entry;
    auto count = *rc::gen::inRange<size_t>(1, 20);
    std::map<uint64_t, RequestHandle> callers;
    for (size_t i = 1; i <= count; ++i) {
      entry.Step(CallerRequested{ i, EntryFixture::Write() });
    }
    for (const EntryAction& action :
         entry.Step(OwnerConnected{ entry.rankedOwners[0] })) {
      if (const auto* forward = std::get_if<ForwardRequest>(&action)) {
        callers[forward->number] = callers.size() + 1;
      }
    }
    RC_ASSERT(callers.size() == count);
    std::vector<uint64_t> order;
    for (const auto& [number, caller] : callers) {
      order.push_back(number);
    }
    // Answers come in any order, some of them twice.
    auto picks = *rc::gen::container<std::vector<size_t>>(
      3 * count, rc::gen::inRange<size_t>(0, count));
    std::set<RequestHandle> answered;
    for (size_t pick : picks) {
      Answer answer = MakeAnswer(Outcome::Ok, std::to_string(order[pick]));
      auto sent = EntryFixture::FindAction<AnswerCaller>(entry.Step(
        OwnerAnswered{ entry.rankedOwners[0], order[pick], answer }));
      bool isFirst = answered.insert(callers[order[pick]]).second;
      RC_ASSERT(sent.has_value() == isFirst);
      if (sent) {
        RC_ASSERT(sent->handle == callers[order[pick]]);
        RC_ASSERT(sent->answer.message == std::to_string(order[pick]));
      }
    }
  }));
}

Test(entry, late_refusal_of_a_former_owner_is_ignored)
{
  EntryFixture entry;
  ForwardRequest first = entry.Forward(EntryFixture::Write());
  entry.Step(OwnerLost{ entry.rankedOwners[0] });
  entry.Step(OwnerLost{ entry.rankedOwners[0] });
  entry.Step(OwnerConnected{ entry.rankedOwners[1] });
  auto sent = EntryFixture::FindAction<AnswerCaller>(
    entry.Step(OwnerAnswered{ entry.rankedOwners[0],
                              first.number,
                              MakeAnswer(Outcome::NotRun, "late") }));
  cr_assert(!sent.has_value());
  sent = EntryFixture::FindAction<AnswerCaller>(entry.Step(OwnerAnswered{
    entry.rankedOwners[1], first.number, MakeAnswer(Outcome::Ok, "") }));
  cr_assert(sent.has_value());
}

Test(entry, timeout_is_not_run_if_unsent_and_unknown_if_sent)
{
  EntryFixture entry;
  entry.Step(CallerRequested{ 1, EntryFixture::Write() });
  entry.now = entry.now + Seconds(10);
  cr_assert(EntryFixture::FindAction<AnswerCaller>(entry.Step(EntryTick{}))
              ->answer.outcome == Outcome::NotRun);
  EntryFixture other;
  other.Forward(EntryFixture::Write());
  other.now = other.now + Seconds(10);
  cr_assert(EntryFixture::FindAction<AnswerCaller>(other.Step(EntryTick{}))
              ->answer.outcome == Outcome::Unknown);
}

Test(entry, commit_of_a_lost_owner_is_resolved_by_the_next)
{
  EntryFixture entry;
  entry.Forward(entry.InTransaction(Operation::Commit));
  entry.Step(OwnerLost{ entry.rankedOwners[0] }); // the entry reconnects
  auto next = EntryFixture::FindAction<ConnectOwner>(
    entry.Step(OwnerLost{ entry.rankedOwners[0] }));
  cr_assert_eq(next->host, entry.rankedOwners[1]);
  auto forward = EntryFixture::FindAction<ForwardRequest>(
    entry.Step(OwnerConnected{ entry.rankedOwners[1] }));
  cr_assert(forward->request.operation == Operation::Resolve);
  cr_assert(!forward->request.firstAttempt);
}

Test(entry, transaction_survives_an_earlier_connection_failure)
{
  // The transaction still runs at its owner, although a link failed before.
  EntryFixture entry;
  entry.Step(OwnerLost{ entry.rankedOwners[0] });
  EntryActions actions =
    entry.Step(CallerRequested{ 1, entry.InTransaction(Operation::Statement) });
  cr_assert(!EntryFixture::FindAction<AnswerCaller>(actions).has_value());
  cr_assert_eq(EntryFixture::FindAction<ConnectOwner>(actions)->host,
               entry.rankedOwners[0]);
  auto forward = EntryFixture::FindAction<ForwardRequest>(
    entry.Step(OwnerConnected{ entry.rankedOwners[0] }));
  cr_assert(forward.has_value());
}

Test(entry, a_statement_of_a_transaction_is_not_sent_twice)
{
  EntryFixture entry;
  ForwardRequest first =
    entry.Forward(entry.InTransaction(Operation::Statement));
  entry.Step(OwnerLost{ entry.rankedOwners[0] }); // the entry reconnects
  auto again = EntryFixture::FindAction<ForwardRequest>(
    entry.Step(OwnerConnected{ entry.rankedOwners[0] }));
  cr_assert(again->request.operation == Operation::RollBack,
            "it may have run, so the transaction is rolled back");
  auto answer = EntryFixture::FindAction<AnswerCaller>(
    entry.Step(OwnerAnswered{ entry.rankedOwners[0], first.number, Answer{} }));
  cr_assert(answer->answer.outcome == Outcome::Conflict);
}

Test(entry, transaction_is_not_sent_to_the_next_owner)
{
  EntryFixture entry;
  ForwardRequest sent =
    entry.Forward(entry.InTransaction(Operation::Statement));
  Answer elsewhere = MakeAnswer(Outcome::NotRun, "unknown here");
  elsewhere.tryNext = true;
  EntryActions actions =
    entry.Step(OwnerAnswered{ entry.rankedOwners[0], sent.number, elsewhere });
  cr_assert(!EntryFixture::FindAction<ForwardRequest>(actions).has_value());
  cr_assert(EntryFixture::FindAction<AnswerCaller>(actions)->answer.outcome ==
            Outcome::Conflict);
}

Test(entry, a_draining_owner_gets_no_new_work)
{
  EntryFixture entry;
  entry.Forward(EntryFixture::Write());
  entry.Step(OwnerDraining{ entry.rankedOwners[0] });
  auto next = EntryFixture::FindAction<ConnectOwner>(
    entry.Step(CallerRequested{ 2, EntryFixture::Write() }));
  cr_assert_eq(next->host, entry.rankedOwners[1]);
}

Test(entry, a_closing_entry_answers_all_requests_with_what_is_true)
{
  EntryFixture entry;
  ForwardRequest sent = entry.Forward(EntryFixture::Write());
  entry.Step(OwnerLost{ entry.rankedOwners[0] });
  Request unsent = EntryFixture::Write();
  unsent.requestId = "unsent";
  entry.Step(CallerRequested{ 2, unsent });
  std::map<RequestHandle, Outcome> outcomes;
  for (const EntryAction& action : entry.Step(EntryClosing{})) {
    if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
      outcomes[answer->handle] = answer->answer.outcome;
    }
  }
  cr_assert_eq(outcomes.size(), 2);
  cr_assert_eq(entry.engine.Unfinished(), 0);
  cr_assert(outcomes.at(1) == Outcome::Unknown);
  cr_assert(outcomes.at(2) == Outcome::NotRun);
  auto late = EntryFixture::FindAction<AnswerCaller>(
    entry.Step(CallerRequested{ 3, EntryFixture::Write() }));
  cr_assert(late->answer.outcome == Outcome::NotRun);
}

Test(entry, maximum_age_is_limited_by_the_service)
{
  for (int64_t asked : { 1000, 5000, 60000 }) {
    EntryFixture entry;
    Request read;
    read.group = "g";
    read.service = "stock";
    read.maxAge = Millis(asked);
    ForwardRequest forward = entry.Forward(read);
    cr_assert_eq(forward.request.maxAge->ms, std::min<int64_t>(asked, 5000));
  }
  EntryFixture entry;
  Request read;
  read.group = "g";
  read.service = "nothing";
  auto answer = EntryFixture::FindAction<AnswerCaller>(
    entry.Step(CallerRequested{ 1, read }));
  cr_assert(answer->answer.outcome == Outcome::Invalid);
}

Test(entry, idle_links_cause_no_actions)
{
  EntryFixture entry;
  ForwardRequest forward = entry.Forward(EntryFixture::Write());
  entry.Step(OwnerAnswered{ entry.rankedOwners[0], forward.number, Answer{} });
  for (int i = 0; i < 100; ++i) {
    entry.now = entry.now + Millis(100);
    cr_assert(entry.Step(EntryTick{}).empty());
  }
}
