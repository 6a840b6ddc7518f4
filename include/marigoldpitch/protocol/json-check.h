#ifndef MARIGOLDPITCH_PROTOCOL_JSON_CHECK_H
#define MARIGOLDPITCH_PROTOCOL_JSON_CHECK_H

#include "marigoldpitch/state/error.h"

#include <nlohmann/json.hpp>

#include <string>

/** Validation of JSON documents against a schema. */
namespace marigoldpitch {

/**
 * Parses the text and validates it against the schema. Adds each violation to
 * `aFindings` with its JSON pointer. Returns the value even then, so that the
 * caller can check more.
 */
nlohmann::json
ParseAndValidate(const std::string& aText,
                 const char* aSchema,
                 Findings& aFindings);

} // namespace marigoldpitch

#endif
