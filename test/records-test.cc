#include "fakes/store-fixture.h"

#include <rapidcheck.h>

// Group records between the store and the engine, and reads of key ranges in
// pages, with the stand-in store on the same loop.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;
using namespace marigoldpitch::platform;

namespace {

GroupRecord
RecordOf(const std::vector<std::string>& aIds,
         uint64_t aRevision,
         uint64_t aEra = 1)
{
  GroupRecord record;
  record.service = "svc";
  for (const std::string& id : aIds) {
    record.members.push_back({ id, { "10.0.0.1", 5432 }, "zone" });
  }
  record.position = { aEra, aRevision };
  return record;
}

/** Lets the host write a record; returns the outcome that it logs. */
std::string
Record(StoreFixture& aFixture, Host& aHost, const GroupRecord& aRecord)
{
  std::string logged = aHost.Logged();
  logged.clear();
  aHost.keeper->Perform(RecordGroup{ aRecord });
  aFixture.RunUntil([&] {
    logged += aHost.Logged();
    return logged.find("E410") != std::string::npos;
  });
  size_t start = logged.find("\"outcome\":\"", logged.find("E410"));
  cr_assert_neq(start, std::string::npos, "%s", logged.c_str());
  start += sizeof("\"outcome\":\"") - 1;
  return logged.substr(start, logged.find('"', start) - start);
}

StoreRange
RangeOf(const std::vector<StoreItem>& aItems, uint64_t aRevision)
{
  StoreRange range;
  range.items = aItems;
  range.storePosition.revision = aRevision;
  return range;
}

} // namespace

Test(pages, range_is_read_to_its_last_page)
{
  StoreFixture fixture(29400);
  constexpr size_t kItems = 23;
  for (size_t i = 0; i < kItems; ++i) {
    fixture.store.Put("servers/i " + std::to_string(i) + "&x=%2F+", "v");
  }
  fixture.store.Put("servert", "not of the prefix");
  for (size_t page : { 0, 1, 5, 22, 23, 24 }) {
    fixture.store.SetPageSize(page);
    fixture.store.pages = 0;
    auto read = fixture.Read("servers/");
    cr_assert(read && read->has_value());
    cr_assert_eq(read->value().items.size(), kItems);
    cr_assert_not(read->value().hasMore);
    size_t expectedPages = page == 0 ? 1 : (kItems + page - 1) / page;
    cr_assert_eq(
      fixture.store.pages, expectedPages, "%zu pages", fixture.store.pages);
    for (size_t i = 1; i < kItems; ++i) {
      cr_assert(read->value().items[i - 1].key < read->value().items[i].key);
    }
  }
}

Test(pages, read_has_the_revision_of_its_oldest_page)
{
  StoreFixture fixture(29401);
  for (const char* key : { "k/a", "k/b", "k/c" }) {
    fixture.store.Put(key, "v"); // 11, 12, 13
  }
  fixture.store.SetPageSize(1);
  fixture.store.beforePage = [&](size_t aPage) {
    if (aPage == 2) {
      fixture.store.Put("k/a", "missed"); // 14
      fixture.store.Put("k/c", "seen");   // 15
    }
  };
  auto read = fixture.Read("k/");
  cr_assert_eq(read->value().items.size(), 3);
  cr_assert_eq(read->value().storePosition.revision, 13);
  cr_assert_eq(read->value().items[0].position.revision, 11);
  cr_assert_eq(read->value().items[2].position.revision, 15);
  // The pages are no state of the store at any one revision. If they were used,
  // the change of the first key would never be read.
  cr_assert_not(GroupsPosition(read->value(), "k/").has_value());
  fixture.store.beforePage = {};
  cr_assert_eq(GroupsPosition(fixture.Read("k/")->value(), "k/")->revision, 15);
}

Test(pages, incomplete_read_is_an_error)
{
  StoreFixture fixture(29402);
  for (const char* key : { "k/a", "k/b", "k/c" }) {
    fixture.store.Put(key, "v");
  }
  fixture.store.SetPageSize(2);
  std::string first = R"({"items":[{"key":"k/a","value":"","rev":1},)"
                      R"({"key":"k/b","value":"","rev":2}],)"
                      R"("truncated":true,"currentRev":20})";
  std::string none = R"({"items":[],"truncated":true,"currentRev":20})";
  std::vector<HttpResponse> seconds{ { 503, "application/json", "{}" },
                                     { 200, "application/json", "[]" },
                                     { 200, "application/json", none },
                                     { 200, "application/json", first } };
  for (const HttpResponse& second : seconds) {
    fixture.store.pages = 0;
    fixture.store.answers = { { 2, second } };
    auto read = fixture.Read("k/");
    cr_assert(read.has_value());
    cr_assert_not(read->has_value(), "%s", second.body.c_str());
    cr_assert_eq(fixture.store.pages, 2);
  }
  fixture.store.pages = 0;
  fixture.store.answers = {};
  cr_assert_eq(fixture.Read("k/")->value().items.size(), 3);
}

Test(groups, only_valid_group_records_are_decoded)
{
  std::string text = FormatGroupRecord(RecordOf({ "a", "b" }, 0));
  StoreRange range =
    RangeOf({ { "p/groups/svc", text, { 0, 20 }, {} },
              { "p/groups/other", text, { 0, 25 }, {} },
              { "p/groups/empty", R"({"members":[]})", { 0, 26 }, {} },
              { "p/groups/none", "", { 0, 27 }, {} },
              { "p/hosts/h", text, { 0, 30 }, {} } },
            40);
  cr_assert_eq(GroupsPosition(range, "p/groups/")->revision, 27);
  DecodedGroups read = DecodeGroups(range, "p/groups/");
  cr_assert_eq(read.groups.size(), 1);
  cr_assert_eq(read.groups[0].position.revision, 20);
  cr_assert_eq(read.groups[0].members.size(), 2);
  for (const char* key : { "other", "empty", "none" }) {
    std::string place = std::string("p/groups/") + key + ":";
    cr_assert(read.parseErrors.find(place) != std::string::npos, "%s", key);
  }
  // A range without records has a revision as well, lower than that of any
  // record, so that its emptiness is passed on.
  cr_assert_eq(GroupsPosition(RangeOf({}, 40), "p/groups/")->revision, 1);
}

Test(groups, paged_read_is_used_only_if_consistent)
{
  bool holds = rc::check("pages read at different times", [] {
    // Three records are written at increasing revisions while pages of one
    // record each are read, some of them from replicas of the store that lag.
    std::vector<std::pair<uint64_t, size_t>> writes{ { 2, 0 },
                                                     { 3, 1 },
                                                     { 4, 2 } };
    auto more =
      *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(0, 3));
    for (size_t record : more) {
      writes.emplace_back(writes.back().first + 1, record);
    }
    auto revisionAt = [&](size_t aRecord, uint64_t aRevision) {
      uint64_t last = 0;
      for (const auto& [revision, record] : writes) {
        last = record == aRecord && revision <= aRevision ? revision : last;
      }
      return last;
    };
    StoreRange range;
    range.storePosition.revision = UINT64_MAX;
    for (size_t record = 0; record < 3; ++record) {
      auto seenAt = *rc::gen::inRange<uint64_t>(4, writes.back().first + 1);
      range.items.push_back({ "g/" + std::to_string(record),
                              "",
                              { 0, revisionAt(record, seenAt) },
                              { 0, seenAt } });
      range.storePosition =
        std::min(range.storePosition, StorePosition{ 0, seenAt });
    }
    auto revision = GroupsPosition(range, "g/");
    if (revision) {
      for (size_t record = 0; record < 3; ++record) {
        RC_ASSERT(range.items[record].position.revision ==
                  revisionAt(record, revision->revision));
      }
    }
  });
  cr_assert(holds);
}

Test(groups, lease_holder_writes_records_and_all_hosts_read_them)
{
  StoreFixture fixture(29403);
  ReleaseLease(fixture);
  fixture.store.SetPageSize(1); // one host or record per page
  Host holder(fixture, "host-1", 29413);
  cr_assert(
    fixture.RunUntil([&] { return holder.mayPromote && holder.reads == 1; }),
    "the absence of records is reported at once");
  cr_assert(holder.groups.empty());
  Host other(fixture, "host-2", 29423);
  cr_assert(
    fixture.RunUntil([&] { return other.reads == 1 && holder.hosts == 2; }));

  cr_assert_eq(Record(fixture, holder, RecordOf({ "a", "b" }, 0)), "written");
  uint64_t first = fixture.Item(kGroupKey).position.revision;
  cr_assert(fixture.RunUntil(
    [&] { return holder.Revision() == first && other.Revision() == first; }));
  cr_assert_eq(other.groups[0].members.size(), 2);
  cr_assert_eq(other.groups[0].service, "svc");
  cr_assert_gt(first, 0);
  cr_assert_eq(holder.hosts, 2);

  // The first two would replace another record than the stored one, the others
  // have invalid members.
  cr_assert_neq(Record(fixture, holder, RecordOf({ "a" }, 0)), "written");
  cr_assert_neq(Record(fixture, holder, RecordOf({ "a" }, first - 1)),
                "written");
  cr_assert_neq(Record(fixture, holder, RecordOf({}, first)), "written");
  cr_assert_neq(Record(fixture, holder, RecordOf({ "a", "a" }, first)),
                "written");
  // The other host does not hold the promoter lease.
  cr_assert_eq(Record(fixture, other, RecordOf({ "a" }, first)), "not ours");
  cr_assert_eq(fixture.Item(kGroupKey).position.revision, first);

  cr_assert_eq(Record(fixture, holder, RecordOf({ "a", "b", "c" }, first)),
               "written");
  uint64_t second = fixture.Item(kGroupKey).position.revision;
  cr_assert_gt(second, first);
  cr_assert(fixture.RunUntil([&] { return other.Revision() == second; }));

  // Another run takes the lease's key, which the holder has not read yet.
  fixture.store.Put(kPromoterLeaseKey, "host-9/run");
  cr_assert(holder.mayPromote);
  std::string outcome = Record(fixture, holder, RecordOf({ "a" }, second));
  cr_assert_neq(outcome, "written");
  cr_assert_neq(outcome, "not ours", "the store refused it");
  cr_assert_eq(fixture.Item(kGroupKey).position.revision, second);
  std::string logged =
    holder.logged + holder.Logged() + other.logged + other.Logged();
  cr_assert_eq(logged.find("E205"),
               std::string::npos,
               "group records are not parsed as hosts");
}

Test(groups, invalid_records_are_logged_and_skipped)
{
  StoreFixture fixture(29404);
  fixture.store.Put(kGroupKey, FormatGroupRecord(RecordOf({ "a", "b" }, 0)));
  fixture.store.Put("marigoldpitch/groups/bad",
                    R"({"service":"bad","members":[]})");
  ProxyHost hostEntry{ "h", "zone", "h/run", { "127.0.0.1", 29424 } };
  fixture.store.Put("marigoldpitch/groups/h", FormatProxyHost(hostEntry));
  Host host(fixture, "host-1", 29414);
  // The entry of `h` looks like a second host. If this host took it for its
  // watcher, it would ask the store itself only after 2.4 s. Six counts, one
  // per second, take longer than that.
  cr_assert(fixture.RunUntil([&] { return host.counts == 6; }));
  cr_assert_eq(host.reads, 1);
  cr_assert_eq(host.hosts, 1, "group records are not counted as hosts");
  cr_assert_eq(host.groups.size(), 1);
  cr_assert_eq(host.groups[0].service, "svc");
  std::string logged = host.Logged();
  cr_assert(logged.find("E205") != std::string::npos);
  cr_assert(logged.find("marigoldpitch/groups/bad") != std::string::npos);
  cr_assert(logged.find("marigoldpitch/groups/h") != std::string::npos);
}

Test(groups, reading_group_records_costs_no_extra_call)
{
  auto callsOf = [](uint16_t aPort, size_t aRecords) {
    StoreFixture fixture(aPort);
    ReleaseLease(fixture);
    for (size_t i = 0; i < aRecords; ++i) {
      fixture.store.Put("marigoldpitch/groups/s" + std::to_string(i), "{}");
    }
    Host host(fixture, "host-1", static_cast<uint16_t>(aPort + 10));
    bool isReady = fixture.RunUntil([&] { return host.mayPromote; });
    cr_assert(isReady && host.reads == 1);
    return fixture.store.reads;
  };
  auto without = callsOf(29405, 0);
  cr_assert_eq(without.size(), 4); // configuration, lease, registry, own keys
  cr_assert(callsOf(29406, 50) == without);
}
