#ifndef MARIGOLDPITCH_PROTOCOL_JSON_CHECK_H
#define MARIGOLDPITCH_PROTOCOL_JSON_CHECK_H

#include "marigoldpitch/state/error.h"

#include <nlohmann/json.hpp>

#include <string>

/** JSON documents held against their schema. */
namespace marigoldpitch {

/**
 * Parses the text and checks it. Every violation becomes a finding with its
 * JSON pointer; the value is returned even then, so that more can be checked.
 */
nlohmann::json
ParseChecked(const std::string& aText,
             const char* aSchema,
             Findings& aFindings);

} // namespace marigoldpitch

#endif
