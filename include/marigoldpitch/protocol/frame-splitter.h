#ifndef MARIGOLDPITCH_PROTOCOL_FRAME_SPLITTER_H
#define MARIGOLDPITCH_PROTOCOL_FRAME_SPLITTER_H

#include "marigoldpitch/state/error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/** Splits a byte stream into size-prefixed frames. */
namespace marigoldpitch {

/** Length of the little-endian size before each frame. */
constexpr size_t kFramePrefixBytes = 4;

class FrameSplitter
{
public:
  explicit FrameSplitter(size_t aMaxFrameBytes)
    : maxFrameBytes(aMaxFrameBytes)
  {
  }

  void Append(std::string_view aBytes) { this->buffer.append(aBytes); }

  /**
   * The next complete frame without its prefix; unset if more bytes are needed.
   * Fails with `TooLarge` if the frame exceeds the limit.
   */
  Result<std::optional<std::string>> Next();

  size_t HeldBytes() const { return this->buffer.capacity(); }

private:
  size_t maxFrameBytes;
  std::string buffer;
  size_t consumed = 0;
};

/** Returns the frame with its size prefix. */
std::string
WithSizePrefix(std::string_view aFrame);

} // namespace marigoldpitch

#endif
