#include "marigoldpitch/coordination/common/ownership.h"
#include "marigoldpitch/coordination/proxy/customer-placement.h"
#include "marigoldpitch/coordination/proxy/host-capacity.h"
#include "marigoldpitch/protocol/proxy-documents.h"
#include "marigoldpitch/protocol/proxy-settings.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <set>

// Which hosts of a zone serve a service or a customer, by what they can carry,
// and how much of that moves when a host comes, leaves or changes.

using namespace marigoldpitch;

namespace {

const std::string kZone = "z";

std::vector<HostPlace>
RandomPlaces()
{
  std::vector<HostPlace> places;
  auto count = *rc::gen::inRange<size_t>(2, 40);
  for (size_t i = 0; i < count; ++i) {
    double capacity = *rc::gen::inRange(1, 400) / 100.0;
    places.push_back({ "h" + std::to_string(i), kZone, capacity });
  }
  return places;
}

/** As many hosts of each capacity as given. */
std::vector<HostPlace>
PlacesOf(const std::vector<std::pair<size_t, double>>& aCapacities)
{
  std::vector<HostPlace> places;
  for (const auto& [count, capacity] : aCapacities) {
    for (size_t i = 0; i < count; ++i) {
      places.push_back(
        { "h" + std::to_string(places.size()), kZone, capacity });
    }
  }
  return places;
}

std::vector<std::string>
Without(std::vector<std::string> aNames, const std::string& aName)
{
  aNames.erase(std::remove(aNames.begin(), aNames.end(), aName), aNames.end());
  return aNames;
}

/** The share of the work that hosts of `aCapacity` have, with two a service. */
double
ShareOf(double aCapacity, const std::vector<HostPlace>& aPlaces)
{
  constexpr size_t kServices = 2000;
  double count = 0;
  for (size_t i = 0; i < kServices; ++i) {
    auto ranked = RankPlaces("s" + std::to_string(i), kZone, aPlaces);
    count += ranked[0].capacity == aCapacity ? 0.5 : 0;
    count += ranked[1].capacity == aCapacity ? 0.5 : 0;
  }
  return count / kServices;
}

} // namespace

Test(serving_hosts, hosts_of_equal_capacity_rank_by_their_hash_alone)
{
  cr_assert(rc::check([] {
    auto places = RandomPlaces();
    double capacity = *rc::gen::element(0.12, 0.5, 1.0, 8.0);
    for (HostPlace& place : places) {
      place.capacity = capacity;
    }
    auto service = *rc::gen::arbitrary<std::string>();
    auto ranked = RankHosts(service, kZone, places);
    auto hashes = [&](const std::string& aOne, const std::string& aTwo) {
      return RendezvousWeight("serve " + service, aOne) >
             RendezvousWeight("serve " + service, aTwo);
    };
    RC_ASSERT(ranked.size() == places.size());
    RC_ASSERT(std::is_sorted(ranked.begin(), ranked.end(), hashes));
  }));
}

// So a service moves only if the host that comes, leaves or changes serves it
// before or after; the others keep their order.
Test(serving_hosts, a_host_that_comes_leaves_or_changes_moves_only_itself)
{
  cr_assert(rc::check([] {
    auto places = RandomPlaces();
    auto service = *rc::gen::arbitrary<std::string>();
    auto index = *rc::gen::inRange<size_t>(0, places.size());
    std::string name = places[index].host;
    auto before = RankHosts(service, kZone, places);
    places[index].capacity *= 1 + *rc::gen::inRange(0, 300) / 100.0;
    auto after = RankHosts(service, kZone, places);
    RC_ASSERT(Without(before, name) == Without(after, name));
    RC_ASSERT(std::find(after.begin(), after.end(), name) - after.begin() <=
              std::find(before.begin(), before.end(), name) - before.begin());
    places.erase(places.begin() + static_cast<std::ptrdiff_t>(index));
    RC_ASSERT(RankHosts(service, kZone, places) == Without(before, name));
  }));
}

Test(serving_hosts, strong_hosts_serve_most_and_follow_each_other)
{
  auto places = PlacesOf({ { 2, 0.5 }, { 25, 0.12 } });
  cr_assert_gt(ShareOf(0.5, places), 0.75);
  places.erase(places.begin());
  cr_assert_gt(ShareOf(0.5, places), 0.4); // of at most a half
  cr_assert_float_eq(
    ShareOf(4, PlacesOf({ { 100, 4 }, { 100, 1 } })), 0.8, 0.03);
}

Test(serving_hosts, a_capacity_is_the_scarcer_of_processor_and_link)
{
  cr_assert_eq(CapacityOf({}), 1);
  cr_assert_float_eq(CapacityOf({ 0.5, std::nullopt, 200 }), 0.5, 1e-9);
  cr_assert_float_eq(CapacityOf({ 0.5, 4, std::nullopt }), 2, 1e-9);
  cr_assert_float_eq(CapacityOf({ 0.5, std::nullopt, 10 }), 0.2, 1e-9);
  cr_assert_gt(CapacityOf({ 0, 0, 0 }), 0);
}

Test(serving_hosts, settings_may_say_what_a_host_can_carry)
{
  std::string text =
    R"({"host":"h","zone":"z","callers":"10.0.0.1:1","health":"10.0.0.1:2",)"
    R"("metrics":"10.0.0.1:3","peers":"10.0.0.1:4","store":"10.0.0.2:1",)"
    R"("duties":"10.0.0.2:2","grace_seconds":6,"upstream_drain_ms":7000)";
  auto none = ParseProxySettings(text + "}", "file").value();
  cr_assert_not(none.cpuShare || none.cores || none.linkMbps);
  text += R"(,"cpu_share":0.12,"cores":1,"link_mbps":)";
  auto all = ParseProxySettings(text + "10.0}", "file").value();
  cr_assert_eq(CapacityOf({ all.cpuShare, all.cores, all.linkMbps }), 0.12);
  cr_assert_not(ParseProxySettings(text + "0}", "file").has_value());
}

Test(serving_hosts, a_registration_without_a_capacity_has_that_of_a_core)
{
  ProxyHost host{ "h", kZone, "h/run", { "10.0.0.1", 1 } };
  std::string old = FormatProxyHost(host);
  cr_assert_eq(old.find("capacity"), std::string::npos);
  cr_assert_eq(ParseProxyHost(old).value().capacity, 1);
  host.capacity = 0.12;
  cr_assert_eq(ParseProxyHost(FormatProxyHost(host)).value().capacity, 0.12);
  old.pop_back();
  for (const char* wrong : { "0", "-1", "null", "\"1\"" }) {
    auto text = old + ",\"capacity\":" + wrong + "}";
    cr_assert_not(ParseProxyHost(text).has_value(), "%s", wrong);
  }
}

// Without customers the sessions take turns. With them, all sessions of one
// meet on as many hosts as it is spread over.
Test(serving_hosts, a_customer_uses_as_many_hosts_as_it_is_spread_over)
{
  cr_assert(rc::check([] {
    auto ranked = RankPlaces("s", kZone, RandomPlaces());
    auto serving = *rc::gen::inRange<size_t>(1, ranked.size() + 1);
    auto spread = *rc::gen::inRange<size_t>(1, 6);
    std::set<size_t> first;
    for (uint64_t session = 0; session < 60; ++session) {
      auto order =
        RankServingHosts({ "s", "c", spread, session }, ranked, serving);
      first.insert(order.front());
      std::set<size_t> all(order.begin(), order.end());
      RC_ASSERT(all.size() == serving && *all.rbegin() == serving - 1);
      order = RankServingHosts({ "s", "", 1, session }, ranked, serving);
      for (size_t i = 0; i < serving; ++i) {
        RC_ASSERT(order[i] == (session + i) % serving);
      }
    }
    RC_ASSERT(first.size() == std::min(spread, serving));
  }));
}

// The next host in rank takes the place of one that is lost.
Test(serving_hosts, a_lost_serving_host_moves_its_own_customers)
{
  constexpr size_t kServing = 4;
  constexpr size_t kCustomers = 400;
  auto ranked = RankPlaces("s", kZone, PlacesOf({ { 12, 1 } }));
  auto fewer = ranked;
  fewer.erase(fewer.begin() + 1);
  size_t moved = 0;
  for (size_t i = 0; i < kCustomers; ++i) {
    auto homeIn = [&](const std::vector<HostPlace>& aRanked) {
      ServedCaller caller{ "s", "c" + std::to_string(i), 1, i };
      return aRanked[RankServingHosts(caller, aRanked, kServing)[0]].host;
    };
    std::string before = homeIn(ranked);
    std::string after = homeIn(fewer);
    bool isOfEither =
      before == ranked[1].host || after == ranked[kServing].host;
    cr_assert(before == after || isOfEither);
    moved += before == after ? 0 : 1;
  }
  cr_assert_lt(moved, 2 * kCustomers / kServing * 5 / 4, "%zu", moved);
}

// 86 customers with shares as 1 / rank^1.2: no host gets much more than a
// third.
Test(serving_hosts, customers_of_unequal_size_load_hosts_evenly_enough)
{
  constexpr size_t kServing = 3;
  constexpr size_t kServices = 50;
  auto ranked = PlacesOf({ { kServing, 1 } });
  double all = 0;
  for (size_t i = 1; i <= 86; ++i) {
    all += std::pow(i, -1.2);
  }
  double worst = 0;
  for (size_t s = 0; s < kServices; ++s) {
    std::vector<double> loads(kServing);
    for (size_t i = 1; i <= 86; ++i) {
      double share = std::pow(i, -1.2) / all;
      size_t spread = CustomerSpread(share, kServing);
      for (uint64_t session = 0; session < spread; ++session) {
        ServedCaller caller{
          std::to_string(s), std::to_string(i), spread, session
        };
        size_t host = RankServingHosts(caller, ranked, kServing)[0];
        loads[host] += share / static_cast<double>(spread);
      }
    }
    worst += *std::max_element(loads.begin(), loads.end()) / kServices;
  }
  cr_assert_lt(worst, 1.5 / kServing, "%.3f", worst);
  cr_assert_eq(CustomerSpread(1, kServing), kServing);
  cr_assert_eq(CustomerSpread(1, 0), 1);
}
