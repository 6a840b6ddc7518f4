#include "marigoldpitch/protocol/line-splitter.h"

#include "marigoldpitch/state/sizes.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {
constexpr std::string_view kLineEnd = "\r\n";

// A buffer that has grown beyond this, and is mostly empty, is freed.
constexpr size_t kKeptBufferBytes = 2 * kKibibyte;
} // namespace detail

void
LineSplitter::Append(std::string_view aBytes)
{
  this->buffer.erase(0, this->consumed);
  this->searched -= this->consumed;
  this->consumed = 0;
  this->buffer.append(aBytes);
}

void
LineSplitter::ReleaseUnused()
{
  size_t left = this->buffer.size() - this->consumed;
  if (this->buffer.capacity() > detail::kKeptBufferBytes &&
      left < this->buffer.capacity() / 4) {
    // A short string that is assigned would be copied into the same buffer.
    std::string(this->buffer, this->consumed).swap(this->buffer);
    this->searched -= this->consumed;
    this->consumed = 0;
  }
}

bool
LineSplitter::HasLine() const
{
  return this->buffer.find(detail::kLineEnd, this->searched) !=
         std::string::npos;
}

Result<std::optional<std::string_view>>
LineSplitter::Next()
{
  size_t end = this->buffer.find(detail::kLineEnd, this->searched);
  bool isComplete = end != std::string::npos;
  std::string_view line(this->buffer);
  line = line.substr(this->consumed, end - this->consumed);
  // The last byte may be the first one of the line end.
  size_t limit =
    this->maxLineBytes + (isComplete ? 0 : detail::kLineEnd.size() - 1);
  if (line.size() > limit) {
    return Error{ ErrorCode::TooLarge,
                  "read",
                  "the line exceeds the maximum length" };
  }
  if (!isComplete) {
    size_t last = std::max<size_t>(this->buffer.size(), 1) - 1;
    this->searched = std::max(this->consumed, last);
    return std::optional<std::string_view>();
  }
  this->consumed = end + detail::kLineEnd.size();
  this->searched = this->consumed;
  return std::make_optional(line);
}

} // namespace marigoldpitch
