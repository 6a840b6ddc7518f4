#include "marigoldpitch/coordination/entry-engine.h"
#include "marigoldpitch/coordination/ownership.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <set>

// Decisions of `EntryEngine`, one event at a time.

using namespace marigoldpitch;

namespace {

class Entry
{
public:
  Entry()
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
    this->ranks = RankOwners("g", this->hosts.hosts);
  }

  EntryActions Step(const EntryEvent& aEvent)
  {
    return this->engine.Handle(this->now, aEvent);
  }

  template<typename A>
  static std::optional<A> Only(const EntryActions& aActions)
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
      Only<ConnectOwner>(this->Step(CallerRequested{ 1, aRequest }));
    cr_assert_eq(connect->host, this->ranks[0]);
    return *Only<ForwardRequest>(this->Step(OwnerConnected{ connect->host }));
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
    request.transaction = this->ranks[0] + "~abc/7";
    return request;
  }

  EntryEngine engine;
  HostList hosts;
  std::vector<std::string> ranks;
  Time now{ 1000 };
};

} // namespace

Test(entry, a_silent_link_is_opened_anew_before_the_next_owner)
{
  Entry entry;
  ForwardRequest first = entry.Forward(Entry::Write());
  cr_assert(first.request.firstAttempt);
  entry.now = entry.now + Millis(100);
  auto ping = Entry::Only<PingOwner>(entry.Step(EntryTick{}));
  cr_assert_eq(ping->host, entry.ranks[0]);
  entry.now = entry.now + Millis(200);
  EntryActions actions = entry.Step(EntryTick{});
  cr_assert_eq(Entry::Only<DisconnectOwner>(actions)->host, entry.ranks[0]);
  cr_assert_eq(Entry::Only<ConnectOwner>(actions)->host, entry.ranks[0]);
  auto again =
    Entry::Only<ForwardRequest>(entry.Step(OwnerConnected{ entry.ranks[0] }));
  cr_assert_eq(again->number, first.number);
  cr_assert(!again->request.firstAttempt,
            "the owner may have executed it already");
}

Test(entry, an_owner_that_refuses_is_passed_over)
{
  Entry entry;
  entry.Step(CallerRequested{ 1, Entry::Write() });
  auto next =
    Entry::Only<ConnectOwner>(entry.Step(OwnerLost{ entry.ranks[0] }));
  cr_assert_eq(next->host, entry.ranks[1]);
  auto forward =
    Entry::Only<ForwardRequest>(entry.Step(OwnerConnected{ entry.ranks[1] }));
  cr_assert(forward->request.firstAttempt, "no owner has received it yet");
}

Test(entry, each_answer_finds_its_own_caller)
{
  cr_assert(rc::check("answers reach their callers in any order", [] {
    Entry entry;
    auto count = *rc::gen::inRange<size_t>(1, 20);
    std::map<uint64_t, RequestHandle> callers;
    for (size_t i = 1; i <= count; ++i) {
      entry.Step(CallerRequested{ i, Entry::Write() });
    }
    for (const EntryAction& action :
         entry.Step(OwnerConnected{ entry.ranks[0] })) {
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
      auto sent = Entry::Only<AnswerCaller>(
        entry.Step(OwnerAnswered{ entry.ranks[0], order[pick], answer }));
      bool isFirst = answered.insert(callers[order[pick]]).second;
      RC_ASSERT(sent.has_value() == isFirst);
      if (sent) {
        RC_ASSERT(sent->handle == callers[order[pick]]);
        RC_ASSERT(sent->answer.message == std::to_string(order[pick]));
      }
    }
  }));
}

Test(entry, a_late_refusal_of_an_owner_left_behind_counts_for_nothing)
{
  Entry entry;
  ForwardRequest first = entry.Forward(Entry::Write());
  entry.Step(OwnerLost{ entry.ranks[0] });
  entry.Step(OwnerLost{ entry.ranks[0] });
  entry.Step(OwnerConnected{ entry.ranks[1] });
  auto sent = Entry::Only<AnswerCaller>(entry.Step(OwnerAnswered{
    entry.ranks[0], first.number, MakeAnswer(Outcome::NotRun, "late") }));
  cr_assert(!sent.has_value());
  sent = Entry::Only<AnswerCaller>(entry.Step(OwnerAnswered{
    entry.ranks[1], first.number, MakeAnswer(Outcome::Ok, "") }));
  cr_assert(sent.has_value());
}

Test(entry, nothing_sent_is_not_run_and_anything_sent_is_unknown)
{
  Entry entry;
  entry.Step(CallerRequested{ 1, Entry::Write() });
  entry.now = entry.now + Seconds(10);
  cr_assert(
    Entry::Only<AnswerCaller>(entry.Step(EntryTick{}))->answer.outcome ==
    Outcome::NotRun);
  Entry other;
  other.Forward(Entry::Write());
  other.now = other.now + Seconds(10);
  cr_assert(
    Entry::Only<AnswerCaller>(other.Step(EntryTick{}))->answer.outcome ==
    Outcome::Unknown);
}

Test(entry, a_commit_whose_owner_is_gone_is_resolved_by_the_next)
{
  Entry entry;
  entry.Forward(entry.InTransaction(Operation::Commit));
  entry.Step(OwnerLost{ entry.ranks[0] }); // the entry reconnects
  auto next =
    Entry::Only<ConnectOwner>(entry.Step(OwnerLost{ entry.ranks[0] }));
  cr_assert_eq(next->host, entry.ranks[1]);
  auto forward =
    Entry::Only<ForwardRequest>(entry.Step(OwnerConnected{ entry.ranks[1] }));
  cr_assert(forward->request.operation == Operation::Resolve);
  cr_assert(!forward->request.firstAttempt);
}

Test(entry, a_transaction_is_not_given_up_for_an_earlier_failure)
{
  // The transaction still runs at its owner, although a link failed before.
  Entry entry;
  entry.Step(OwnerLost{ entry.ranks[0] });
  EntryActions actions =
    entry.Step(CallerRequested{ 1, entry.InTransaction(Operation::Statement) });
  cr_assert(!Entry::Only<AnswerCaller>(actions).has_value());
  cr_assert_eq(Entry::Only<ConnectOwner>(actions)->host, entry.ranks[0]);
  auto forward =
    Entry::Only<ForwardRequest>(entry.Step(OwnerConnected{ entry.ranks[0] }));
  cr_assert(forward.has_value());
}

Test(entry, a_statement_of_a_transaction_is_not_sent_twice)
{
  Entry entry;
  ForwardRequest first =
    entry.Forward(entry.InTransaction(Operation::Statement));
  entry.Step(OwnerLost{ entry.ranks[0] }); // the entry reconnects
  auto again =
    Entry::Only<ForwardRequest>(entry.Step(OwnerConnected{ entry.ranks[0] }));
  cr_assert(again->request.operation == Operation::RollBack,
            "it may have run, so the transaction is rolled back");
  auto answer = Entry::Only<AnswerCaller>(
    entry.Step(OwnerAnswered{ entry.ranks[0], first.number, Answer{} }));
  cr_assert(answer->answer.outcome == Outcome::Conflict);
}

Test(entry, a_transaction_is_not_offered_to_the_next_owner)
{
  Entry entry;
  ForwardRequest sent =
    entry.Forward(entry.InTransaction(Operation::Statement));
  Answer elsewhere = MakeAnswer(Outcome::NotRun, "unknown here");
  elsewhere.tryNext = true;
  EntryActions actions =
    entry.Step(OwnerAnswered{ entry.ranks[0], sent.number, elsewhere });
  cr_assert(!Entry::Only<ForwardRequest>(actions).has_value());
  cr_assert(Entry::Only<AnswerCaller>(actions)->answer.outcome ==
            Outcome::Conflict);
}

Test(entry, a_draining_owner_gets_no_new_work)
{
  Entry entry;
  entry.Forward(Entry::Write());
  entry.Step(OwnerDraining{ entry.ranks[0] });
  auto next =
    Entry::Only<ConnectOwner>(entry.Step(CallerRequested{ 2, Entry::Write() }));
  cr_assert_eq(next->host, entry.ranks[1]);
}

Test(entry, the_service_bounds_the_age)
{
  for (int64_t asked : { 1000, 5000, 60000 }) {
    Entry entry;
    Request read;
    read.group = "g";
    read.service = "stock";
    read.maxAge = Millis(asked);
    ForwardRequest forward = entry.Forward(read);
    cr_assert_eq(forward.request.maxAge->ms, std::min<int64_t>(asked, 5000));
  }
  Entry entry;
  Request read;
  read.group = "g";
  read.service = "nothing";
  auto answer =
    Entry::Only<AnswerCaller>(entry.Step(CallerRequested{ 1, read }));
  cr_assert(answer->answer.outcome == Outcome::Invalid);
}

Test(entry, idle_links_cost_nothing)
{
  Entry entry;
  ForwardRequest forward = entry.Forward(Entry::Write());
  entry.Step(OwnerAnswered{ entry.ranks[0], forward.number, Answer{} });
  for (int i = 0; i < 100; ++i) {
    entry.now = entry.now + Millis(100);
    cr_assert(entry.Step(EntryTick{}).empty());
  }
}
