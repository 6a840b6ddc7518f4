#include "marigoldpitch/protocol/json-check.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace marigoldpitch {

namespace detail {

/** Converts `<root>[groups][0]` to the JSON pointer `/groups/0`. */
std::string
ToJsonPointer(const std::vector<std::string>& aContext)
{
  std::string pointer;
  for (const std::string& part : aContext) {
    if (part == "<root>") {
      continue;
    }
    bool isBracketed = part.size() >= 2 && part.front() == '[';
    pointer += "/" + (isBracketed ? part.substr(1, part.size() - 2) : part);
  }
  return pointer.empty() ? "/" : pointer;
}

} // namespace detail

nlohmann::json
ParseAndValidate(const std::string& aText,
                 const char* aSchema,
                 Findings& aFindings)
{
  nlohmann::json value = nlohmann::json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    aFindings.Add("/", "not a JSON document");
    return value;
  }
  nlohmann::json schemaJson = nlohmann::json::parse(aSchema);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  valijson::adapters::NlohmannJsonAdapter schemaAdapter(schemaJson);
  parser.populateSchema(schemaAdapter, schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  valijson::adapters::NlohmannJsonAdapter target(value);
  if (!validator.validate(schema, target, &results)) {
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
      aFindings.Add(detail::ToJsonPointer(error.context), error.description);
    }
  }
  return value;
}

} // namespace marigoldpitch
