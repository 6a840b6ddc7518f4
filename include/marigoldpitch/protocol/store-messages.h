#ifndef MARIGOLDPITCH_PROTOCOL_STORE_MESSAGES_H
#define MARIGOLDPITCH_PROTOCOL_STORE_MESSAGES_H

#include "marigoldpitch/state/error.h"
#include "marigoldpitch/state/store-position.h"
#include "marigoldpitch/state/time.h"

#include <cstdint>
#include <string>

/** Calls to the platform's key-value service: JSON over HTTP. */
namespace marigoldpitch {

struct StoreValue
{
  StorePosition position; // unset: the key has no value
  std::string text;
};

enum class StoreCall
{
  Get,
  Swap,
  Watch,
};

constexpr NameTable<StoreCall, 3> kStoreCallPaths{ {
  { StoreCall::Get, "/v1/get" },
  { StoreCall::Swap, "/v1/swap" },
  { StoreCall::Watch, "/v1/watch" },
} };

std::string
EncodeStoreGet(const std::string& aKey);

/** A compare-and-swap: writes `aText` if the key is still at `aRevision`. */
std::string
EncodeStoreSwap(const std::string& aKey,
                uint64_t aRevision,
                const std::string& aText);

/**
 * A long poll. The store answers when the key's revision exceeds `aAfter`, or
 * with the present value after `aWait`.
 */
std::string
EncodeStoreWatch(const std::string& aKey, uint64_t aAfter, Duration aWait);

/**
 * A swap that fails is answered with HTTP 409 and the present value. A store
 * that may come back from an old copy adds its `era` to each value.
 */
Result<StoreValue>
DecodeStoreValue(const std::string& aBody);

} // namespace marigoldpitch

#endif
