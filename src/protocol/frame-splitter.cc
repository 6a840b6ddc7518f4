#include "marigoldpitch/protocol/frame-splitter.h"

#include "marigoldpitch/state/sizes.h"

#include <cstdint>

namespace marigoldpitch {

namespace detail {

constexpr size_t kCompactAfterBytes = 64 * kKibibyte;

uint32_t
ReadSize(std::string_view aBytes)
{
  uint32_t size = 0;
  for (size_t i = 0; i < kFramePrefixBytes; ++i) {
    size |= static_cast<uint32_t>(static_cast<unsigned char>(aBytes[i]))
            << (8 * i);
  }
  return size;
}

} // namespace detail

Result<std::optional<std::string>>
FrameSplitter::Next()
{
  std::string_view remaining(this->buffer);
  remaining.remove_prefix(this->consumed);
  if (remaining.size() < kFramePrefixBytes) {
    return std::optional<std::string>();
  }
  size_t size = detail::ReadSize(remaining);
  if (size > this->maxFrameBytes) {
    return Error{ ErrorCode::TooLarge,
                  "frame size",
                  std::to_string(size) + " bytes are over the limit of " +
                    std::to_string(this->maxFrameBytes) };
  }
  if (remaining.size() < kFramePrefixBytes + size) {
    return std::optional<std::string>();
  }
  std::string frame(remaining.substr(kFramePrefixBytes, size));
  this->consumed += kFramePrefixBytes + size;
  if (this->consumed == this->buffer.size() ||
      this->consumed > detail::kCompactAfterBytes) {
    this->buffer.erase(0, this->consumed);
    this->consumed = 0;
  }
  if (this->buffer.empty() &&
      this->buffer.capacity() > detail::kCompactAfterBytes) {
    std::string().swap(this->buffer);
  }
  return std::optional<std::string>(std::move(frame));
}

std::string
WithSizePrefix(std::string_view aFrame)
{
  std::string bytes;
  bytes.reserve(kFramePrefixBytes + aFrame.size());
  for (size_t i = 0; i < kFramePrefixBytes; ++i) {
    bytes += static_cast<char>((aFrame.size() >> (8 * i)) & 0xff);
  }
  bytes.append(aFrame);
  return bytes;
}

} // namespace marigoldpitch
