#include "marigoldpitch/protocol/line-splitter.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {
constexpr std::string_view kLineEnd = "\r\n";
} // namespace detail

void
LineSplitter::Append(std::string_view aBytes)
{
  this->buffer.erase(0, this->consumed);
  this->searched -= this->consumed;
  this->consumed = 0;
  this->buffer.append(aBytes);
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
