#include "fakes/store-fixture.h"

#include <array>

// Hosts whose store comes back from an old copy.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

// A change of the configuration must be in force everywhere within this time.
constexpr Duration kApplyTime = Seconds(3);
// A promoter must act again within this time after the store's return.
constexpr Duration kPromoterReturnTime = Seconds(6);
// The holder of the earlier era may act for this long after its last check.
constexpr Duration kCheckValidity = Millis(2500);
// A registration must be written again within this time.
constexpr Duration kRegistrationTime = Seconds(2);

std::string
ConfigOf(uint64_t aVersion)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[],"services":[]})";
}

/** Two hosts of a zone, at version 1 of the configuration. */
struct Site
{
  explicit Site(uint16_t aPort)
    : fixture(aPort)
    , port(aPort)
  {
    this->Configure(1);
    this->fixture.store.TakeCopy(); // before any host has written
    this->fixture.store.RefreshRegistry();
    for (const char* name : { "host-1", "host-2" }) {
      this->Start(name);
    }
    cr_assert(this->RunUntilVersion(1, kLimit));
    cr_assert(this->fixture.RunUntil([&] {
      return this->hosts[0]->hosts == 2 && this->hosts[1]->hosts == 2;
    }));
  }

  void Start(const std::string& aName)
  {
    auto peers = static_cast<uint16_t>(this->port + 10 + this->hosts.size());
    this->hosts.push_back(std::make_unique<Host>(this->fixture, aName, peers));
  }

  void Configure(uint64_t aVersion)
  {
    this->fixture.store.Put("op/config", ConfigOf(aVersion));
  }

  bool RunUntilVersion(uint64_t aVersion, Duration aLimit)
  {
    auto isInForce = [&] {
      return std::all_of(
        this->hosts.begin(), this->hosts.end(), [&](const auto& aHost) {
          return aHost->version == aVersion;
        });
    };
    return this->fixture.RunUntil(isInForce, aLimit);
  }

  void RunFor(Duration aSpan)
  {
    this->fixture.RunUntil([] { return false; }, aSpan);
  }

  bool HasReverted() const
  {
    return std::any_of(this->hosts.begin(),
                       this->hosts.end(),
                       [](const auto& aHost) { return aHost->hasReverted; });
  }

  /** The host that may promote; null: none, or more than one. */
  Host* Promoter() const
  {
    Host* found = nullptr;
    size_t count = 0;
    for (const auto& host : this->hosts) {
      if (host->mayPromote) {
        found = host.get();
        ++count;
      }
    }
    return count == 1 ? found : nullptr;
  }

  StoreFixture fixture;
  uint16_t port;
  std::vector<std::unique_ptr<Host>> hosts;
};

} // namespace

Test(restored, configuration_written_after_a_restore_is_in_force_everywhere)
{
  Site site(29500);
  site.fixture.store.TakeCopy();
  for (uint64_t version : { 2, 3, 5 }) {
    site.Configure(version);
    cr_assert(site.RunUntilVersion(version, kApplyTime));
  }
  site.RunFor(Seconds(1));
  site.fixture.store.Restore();
  site.Configure(5); // the operator writes again what was lost
  site.Configure(8);
  cr_assert(site.RunUntilVersion(8, kApplyTime));
  cr_assert_not(site.HasReverted());
  for (const auto& host : site.hosts) {
    std::string logged = host->Logged();
    cr_assert(logged.find("E207") != std::string::npos, "%s", logged.c_str());
    cr_assert_eq(host->metrics.Get(Counter::StoreRestores), 1);
  }
}

Test(restored, configuration_never_goes_back_to_that_of_the_copy)
{
  Site site(29520);
  site.fixture.store.TakeCopy();
  site.Configure(4);
  cr_assert(site.RunUntilVersion(4, kApplyTime));
  site.fixture.store.Restore();
  for (int i = 0; i < 40; ++i) {
    // The counter passes the revision that the hosts know.
    site.fixture.store.Put("servers/other", std::to_string(i));
  }
  site.Start("host-3");
  cr_assert(site.RunUntilVersion(4, kApplyTime));
  site.RunFor(Seconds(2));
  cr_assert_not(site.HasReverted());
  site.Configure(4);
  site.Configure(6);
  cr_assert(site.RunUntilVersion(6, kApplyTime));
  cr_assert_not(site.HasReverted());
}

Test(restored, second_restore_is_followed_like_the_first)
{
  Site site(29540);
  site.fixture.store.TakeCopy();
  for (uint64_t version : { 3, 6 }) {
    site.Configure(version - 1);
    cr_assert(site.RunUntilVersion(version - 1, kApplyTime));
    site.fixture.store.Restore();
    site.RunFor(Millis(300));
    site.Configure(version);
    cr_assert(site.RunUntilVersion(version, kApplyTime));
  }
  cr_assert_not(site.HasReverted());
}

Test(restored, registrations_are_written_again_under_leases_of_their_own)
{
  Site site(29560);
  site.fixture.store.TakeCopy();
  site.Start("host-3");
  cr_assert(site.fixture.RunUntil([&] { return site.hosts[0]->hosts == 3; }));
  // The copy has the keys of two hosts, and gives the third one's lease id out
  // again.
  site.fixture.store.Restore();
  site.RunFor(kRegistrationTime);
  for (const char* name : { "host-1", "host-2", "host-3" }) {
    cr_assert(
      site.fixture.store.Has(std::string(kHostPrefix) + name), "%s", name);
  }
  std::set<uint64_t> leases;
  for (const char* name : { "host-1", "host-2", "host-3" }) {
    leases.insert(site.fixture.store.LeaseOf(std::string(kHostPrefix) + name));
  }
  cr_assert_eq(leases.size(), 3);
  site.RunFor(Seconds(4)); // all leases have been renewed or have ended
  for (const char* name : { "host-1", "host-2", "host-3" }) {
    cr_assert(
      site.fixture.store.Has(std::string(kHostPrefix) + name), "%s", name);
  }
}

// Guards against late statements to an upstream whose announcement that it
// leaves was lost, and that the copy shows as serving.
Test(restored, registry_of_a_copy_confirms_nothing_until_it_is_written_again)
{
  Site site(29620);
  site.RunFor(Seconds(2));
  Time restored = ReadBootClock();
  site.fixture.store.Restore();
  site.RunFor(Seconds(2));
  for (const auto& host : site.hosts) {
    cr_assert(host->registryConfirmed <= restored);
  }
  site.RunFor(Seconds(3));
  for (const auto& host : site.hosts) {
    cr_assert(host->registryConfirmed > restored + Seconds(2));
  }
}

namespace {

/** Restores a copy taken with or without the promoter's key. */
void
ExpectPromoterReturns(uint16_t aPort, bool aIsKeyInCopy)
{
  Site site(aPort);
  cr_assert(site.fixture.RunUntil([&] { return site.Promoter() != nullptr; }));
  Host* former = site.Promoter();
  if (aIsKeyInCopy) {
    site.fixture.store.TakeCopy();
  }
  site.RunFor(Millis(500));
  Time restored = ReadBootClock();
  Time formerUntil = former->mayPromoteUntil;
  site.fixture.store.Restore();
  site.RunFor(Millis(1500)); // all hosts know
  cr_assert(site.fixture.RunUntil([&] { return site.Promoter() != nullptr; },
                                  kPromoterReturnTime));
  Time acts = ReadBootClock();
  cr_assert_leq((acts - restored).ms, kPromoterReturnTime.ms);
  cr_assert_geq((acts - restored).ms, kCheckValidity.ms);
  bool isOther = site.Promoter() != former;
  cr_assert(!isOther || acts >= formerUntil, "two hosts may act at once");
}

} // namespace

Test(restored, promoter_lease_is_taken_again_if_its_key_is_gone)
{
  ExpectPromoterReturns(29580, false);
}

Test(restored, promoter_lease_is_taken_again_if_the_copy_has_an_old_key)
{
  ExpectPromoterReturns(29600, true);
}
