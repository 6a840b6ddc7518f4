#include "marigoldpitch/coordination/common/ownership.h"
#include "marigoldpitch/coordination/owner/retry-budget.h"
#include "marigoldpitch/coordination/owner/statement-check.h"
#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/freshness.h"
#include "marigoldpitch/state/log-event.h"
#include "marigoldpitch/state/session-table.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

// State and rules that the engines share: freshness, sessions, connections,
// retry budgets, owners and log events.

using namespace marigoldpitch;

Test(state, age_is_never_understated)
{
  cr_assert(rc::check("a replica is at least as fresh as its stated age", [] {
    // A primary that commits and is sampled at random times.
    FreshnessTracker tracker;
    std::vector<int64_t> commits; // time of each position
    Time now{ 0 };
    auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
    for (int step : steps) {
      now = now + Millis(*rc::gen::inRange<int64_t>(1, 50));
      if (step == 0) {
        tracker.Sample(now, { 1, 0, commits.size() });
      } else {
        commits.push_back(now.ms);
      }
    }
    auto copied = *rc::gen::inRange<size_t>(0, commits.size() + 1);
    auto age = tracker.AgeOf({ 1, 0, copied }, now);
    if (age && copied < commits.size()) {
      // Its true age is the time since the first commit that it lacks.
      RC_ASSERT(age->ms >= now.ms - commits[copied]);
    }
  }));
}

Test(state, positions_of_two_terms_are_not_compared)
{
  LogProgress progress{ 4, 100, 90 };
  cr_assert(!progress.Covers({ 5, 1 }));
  cr_assert(!progress.Covers({ 3, 10 }), "it ends before the start of term 4");
  progress.position = 100;
  cr_assert(progress.Covers({ 3, 5000 }),
            "confirmed commits of term 3 end before 100");
  cr_assert(!progress.Covers({ 4, 101 }));
}

Test(state, samples_beyond_the_start_of_a_new_term_are_dropped)
{
  FreshnessTracker tracker;
  tracker.Sample({ 10 }, { 1, 0, 50 });
  tracker.Sample({ 20 }, { 1, 0, 60 });
  tracker.Sample({ 30 }, { 2, 55, 55 });
  cr_assert(tracker.AgeOf({ 2, 55, 52 }, { 40 }).value() == Millis(30));
  cr_assert(tracker.AgeOf({ 2, 55, 55 }, { 40 }).value() == Millis(10));
  cr_assert(!tracker.AgeOf({ 1, 0, 60 }, { 40 }).has_value());
}

Test(state, session_points_never_decrease)
{
  cr_assert(rc::check("the log point of a session never decreases", [] {
    SessionTable table(4);
    std::map<std::string, LogPoint> model;
    auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 100)));
    for (const auto& [session, position] : steps) {
      std::string name = std::to_string(session);
      LogPoint point{ 1, static_cast<Position>(position) };
      table.Advance(name, point);
      if (model[name].IsBehind(point)) {
        model[name] = point;
      }
      RC_ASSERT(table.Newest(name, {}) == model[name]);
    }
    RC_ASSERT(table.Size() <= 4u);
  }));
}

Test(state, connection_and_slot_limits_hold)
{
  cr_assert(rc::check("no step exceeds the slots or the connections", [] {
    constexpr uint32_t kSlots = 2;
    constexpr uint32_t kBudget = 5;
    ConnectionTable table(2, kSlots, kBudget);
    std::vector<ConnectionId> known;
    std::map<ConnectionId, uint64_t> running;
    auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 20)));
    Time now{ 0 };
    for (const auto& [step, pick] : steps) {
      UpstreamIndex upstream = static_cast<size_t>(pick) % 2;
      if (step == 0 && table.CanOpen(upstream)) {
        known.push_back(table.Open(upstream, now));
        table.MarkOpened(known.back(), now);
      } else if (step == 1) {
        if (auto idle = table.FindIdle(upstream)) {
          running[*idle] = table.StartBatch(*idle, now);
        }
      } else if (step == 2 && !running.empty()) {
        auto it = running.begin();
        RC_ASSERT(!table.FinishBatch(it->first, it->second + 1, now));
        RC_ASSERT(table.FinishBatch(it->first, it->second, now));
        running.erase(it);
      } else if (step == 3 && !known.empty()) {
        ConnectionId id = known[static_cast<size_t>(pick) % known.size()];
        table.Remove(id);
        running.erase(id);
      }
      for (UpstreamIndex i = 0; i < 2; ++i) {
        RC_ASSERT(table.UsageOf(i).busy <= kSlots);
        RC_ASSERT(table.UsageOf(i).open <= kBudget);
        RC_ASSERT(table.UsageOf(i).open == table.ConnectionsOf(i).size());
      }
    }
  }));
}

Test(state, late_answer_is_not_matched_to_a_later_batch)
{
  ConnectionTable table(1, 1, 1);
  ConnectionId id = table.Open(0, {});
  table.MarkOpened(id, {});
  uint64_t first = table.StartBatch(id, {});
  cr_assert(table.FinishBatch(id, first, {}));
  uint64_t second = table.StartBatch(id, {});
  cr_assert(!table.FinishBatch(id, first, {}));
  cr_assert(table.FinishBatch(id, second, {}));
}

Test(state, a_pinned_connection_is_never_idle)
{
  ConnectionTable table(1, 2, 2);
  ConnectionId id = table.Open(0, {});
  table.MarkOpened(id, {});
  table.Pin(id, "t");
  cr_assert(!table.FindIdle(0).has_value());
  uint64_t batch = table.StartBatch(id, {});
  table.FinishBatch(id, batch, {});
  cr_assert(!table.FindIdle(0).has_value());
  table.Unpin(id);
  cr_assert(table.FindIdle(0) == id);
}

Test(state, retries_stay_within_ten_percent)
{
  RetryBudget budget;
  int spent = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.Deposit();
    spent += budget.TryWithdraw() ? 1 : 0;
  }
  cr_assert_leq(spent, 1000 + 3);
}

Test(state, only_data_statements_are_accepted)
{
  for (const char* good : { "SELECT 1",
                            "  insert into t",
                            "UPDATE t",
                            "with x",
                            "DELETE FROM t" }) {
    cr_assert(IsDataStatement(good), "%s", good);
  }
  for (const char* bad : { "COMMIT",
                           "begin",
                           "ROLLBACK",
                           "SET x = 1",
                           "",
                           "/* SELECT */ COMMIT",
                           "-- SELECT\nCOMMIT",
                           ";SELECT",
                           "SELECTED",
                           "DISCARD ALL" }) {
    cr_assert(!IsDataStatement(bad), "%s", bad);
  }
}

Test(state, few_groups_move_when_a_host_is_removed)
{
  std::vector<HostEntry> hosts(5);
  for (size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].name = "host-" + std::to_string(i);
    hosts[i].zone = "zone-" + std::to_string(i % 3);
  }
  auto fewer = hosts;
  fewer.pop_back();
  int moved = 0;
  std::map<std::string, int> owned;
  for (int group = 0; group < 1000; ++group) {
    std::string name = "group-" + std::to_string(group);
    auto before = RankCandidates(name, hosts);
    auto after = RankCandidates(name, fewer);
    cr_assert_eq(before.size(), hosts.size());
    cr_assert(before[0] != before[1]);
    if (before[0] == "host-4") {
      ++moved;
    } else {
      cr_assert_eq(before[0], after[0]);
    }
    ++owned[before[0]];
  }
  cr_assert_lt(moved, 300);
  cr_assert_eq(owned.size(), hosts.size());
}

Test(state, a_leaving_host_ranks_last)
{
  std::vector<HostEntry> hosts(3);
  for (size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].name = "host-" + std::to_string(i);
  }
  std::string first = RankCandidates("g", hosts)[0];
  for (HostEntry& host : hosts) {
    if (host.name == first) {
      host.state = HostState::Leaving;
    }
  }
  cr_assert_eq(RankCandidates("g", hosts)[2], first);
}

Test(state, each_event_is_in_the_catalogue)
{
  std::ifstream file("docs/EVENTS.md");
  std::map<std::string, int> listed;
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    std::string bar;
    std::string number;
    std::string name;
    words >> bar >> number >> bar >> name;
    if (line.rfind("| E", 0) == 0) {
      ++listed[number + " " + name];
    }
  }
  std::set<std::string> known;
  size_t index = 0;
  for (const LogEventRow& row : kLogEvents) {
    cr_assert_eq(static_cast<size_t>(row.event), index++);
    std::string key =
      "E" + std::to_string(row.number) + " " + std::string(row.name);
    cr_assert_eq(listed[key], 1, "%s is not listed once", key.c_str());
    cr_assert(known.insert(key).second);
  }
  cr_assert_eq(listed.size(), known.size(), "the page lists unknown events");
}
