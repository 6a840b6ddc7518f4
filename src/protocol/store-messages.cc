#include "marigoldpitch/protocol/store-messages.h"

#include <nlohmann/json.hpp>

namespace marigoldpitch {

using nlohmann::json;

std::string
EncodeStoreGet(const std::string& aKey)
{
  return json{ { "key", aKey } }.dump();
}

std::string
EncodeStoreSwap(const std::string& aKey,
                uint64_t aRevision,
                const std::string& aText)
{
  json body{ { "key", aKey }, { "revision", aRevision }, { "value", aText } };
  return body.dump();
}

std::string
EncodeStoreWatch(const std::string& aKey, uint64_t aAfter, Duration aWait)
{
  json body{ { "key", aKey }, { "after", aAfter }, { "wait_ms", aWait.ms } };
  return body.dump();
}

Result<StoreValue>
DecodeStoreValue(const std::string& aBody)
{
  json value = json::parse(aBody, nullptr, false);
  bool isValid = value.is_object() && value.contains("revision") &&
                 value["revision"].is_number_unsigned() &&
                 value.contains("value") && value["value"].is_string() &&
                 (!value.contains("era") || value["era"].is_number_unsigned());
  if (!isValid) {
    return Error{ ErrorCode::BadMessage,
                  "store",
                  "not a valid reply of the store" };
  }
  StoreValue found;
  found.position = { value.value("era", uint64_t{ 0 }),
                     value["revision"].get<uint64_t>() };
  found.text = value["value"].get<std::string>();
  return found;
}

} // namespace marigoldpitch
