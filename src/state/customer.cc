#include "marigoldpitch/state/customer.h"

namespace marigoldpitch {

namespace detail {

constexpr size_t kFingerprintBytes = 4;

} // namespace detail

std::string
Fingerprint(const KeyHash& aKey)
{
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (size_t i = 0; i < detail::kFingerprintBytes; ++i) {
    text += kDigits[aKey.bytes[i] >> 4];
    text += kDigits[aKey.bytes[i] & 0xf];
  }
  return text;
}

} // namespace marigoldpitch
