#include "marigoldpitch/transport/random.h"

#include <cstdint>
#include <sys/random.h>

namespace marigoldpitch {

std::string
RandomHexString(size_t aBytes)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string bytes(aBytes, '\0');
  size_t filled = 0;
  while (filled < aBytes) {
    ssize_t got = getrandom(bytes.data() + filled, aBytes - filled, 0);
    if (got > 0) {
      filled += static_cast<size_t>(got);
    }
  }
  std::string hex;
  for (char byte : bytes) {
    auto value = static_cast<unsigned char>(byte);
    hex += kDigits[value >> 4];
    hex += kDigits[value & 0xf];
  }
  return hex;
}

} // namespace marigoldpitch
