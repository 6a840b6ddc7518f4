#include "documents.h"
#include "wire-lines.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

// Customers and their keys in the platform's lines and documents.

using namespace marigoldpitch;
using namespace marigoldpitch::platform;

namespace {

nlohmann::json
Document()
{
  return nlohmann::json::parse(
    R"({"version":7,"routes":[{"name":"r","host":"db","kind":"primary",)"
    R"("service":"s","public":true},)"
    R"({"name":"q","host":"closed","kind":"primary","service":"s"}],)"
    R"("services":[{"name":"s","maxConns":16}],)"
    R"("tenants":[{"name":"acme","apiKeys":["k1","k2"],"priority":2,)"
    R"("rateS":12.5,"burst":40},{"name":"bolt","apiKeys":[]}]})");
}

std::optional<KeyHash>
KeyIn(const std::string& aLine)
{
  auto line = DecodeCallerLine(aLine);
  if (!line || !std::holds_alternative<StartLine>(line.value())) {
    return std::nullopt;
  }
  return std::get<StartLine>(line.value()).key;
}

} // namespace

Test(customers_codec, keys_of_sessions_match_those_of_the_configuration)
{
  auto config = DecodeConfig(Document().dump());
  cr_assert(static_cast<bool>(config));
  const auto& keys = config.value().keys;
  cr_assert(config.value().hasCustomers);
  cr_assert_eq(keys.size(), 2);
  cr_assert(keys.at(*KeyIn("START db k1")) == "acme");
  cr_assert(keys.at(*KeyIn("START closed k2")) == "acme");
  for (const char* other : { "K1", "k1 ", "k", "k11", "acme" }) {
    cr_assert(keys.count(*KeyIn("START db " + std::string(other))) == 0);
  }
}

Test(customers_codec, customers_and_open_routes_are_decoded)
{
  auto config = DecodeConfig(Document().dump());
  cr_assert(static_cast<bool>(config));
  const Customer& acme = config.value().customers.at("acme");
  cr_assert_eq(acme.priority, 2);
  cr_assert_eq(acme.operationsPerSecond, 12.5);
  cr_assert_eq(acme.burst, 40);
  cr_assert(acme.IsLimited());
  cr_assert(!config.value().customers.at("bolt").IsLimited());
  cr_assert(config.value().routes.at("db").isOpen);
  cr_assert(!config.value().routes.at("closed").isOpen);
}

Test(customers_codec, configuration_without_customers_needs_no_keys)
{
  auto document = Document();
  document.erase("tenants");
  auto config = DecodeConfig(document.dump());
  cr_assert(static_cast<bool>(config));
  cr_assert(!config.value().hasCustomers);
  document["tenants"] = nlohmann::json::array();
  config = DecodeConfig(document.dump());
  cr_assert(static_cast<bool>(config));
  cr_assert(config.value().hasCustomers, "nobody has a key then");
}

// An upstream would read the rest of such a name as its own id.
Test(customers_codec, names_that_are_not_one_word_are_refused)
{
  for (const char* name : { "", "two words", " a", "line\r\nQUERY" }) {
    auto document = Document();
    document["tenants"][1]["name"] = name;
    cr_assert_not(DecodeConfig(document.dump()), "'%s'", name);
  }
  for (const char* part : { "name", "apiKeys" }) {
    auto document = Document();
    document["tenants"][1].erase(part);
    cr_assert_not(DecodeConfig(document.dump()), "%s", part);
    document["tenants"][1][part] = 7;
    cr_assert_not(DecodeConfig(document.dump()), "%s", part);
  }
}

Test(customers_codec, no_part_of_a_key_is_kept)
{
  cr_assert(rc::check([] {
    std::string key =
      *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
    RC_PRE(key.size() >= 8);
    KeyHash hash = *KeyIn("START db " + key);
    RC_ASSERT(Fingerprint(hash).size() == 8u);
    std::string bytes(hash.bytes.begin(), hash.bytes.end());
    RC_ASSERT(bytes.find(key) == std::string::npos);
    RC_ASSERT(key.find(Fingerprint(hash)) == std::string::npos);
    RC_ASSERT(hash == HashKey(key));
  }));
}

Test(customers_codec, refusals_have_their_words)
{
  cr_assert_eq(EncodeFailure({ FailureCode::Unauthorized, "no such key" }),
               "ERR NOAUTH no such key\r\n");
  cr_assert_eq(EncodeStart("s", "acme", "i-1"), "START s acme i-1\r\n");
}
