#ifndef MARIGOLDPITCH_PROTOCOL_LINE_SPLITTER_H
#define MARIGOLDPITCH_PROTOCOL_LINE_SPLITTER_H

#include "marigoldpitch/state/error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/** Splits a byte stream into lines, each ended by CRLF. */
namespace marigoldpitch {

class LineSplitter
{
public:
  /** `aMaxLineBytes` excludes the CRLF. */
  explicit LineSplitter(size_t aMaxLineBytes)
    : maxLineBytes(aMaxLineBytes)
  {
  }

  /** Ends the validity of the lines that `Next` has returned. */
  void Append(std::string_view aBytes);

  /**
   * The next complete line without its CRLF; unset if more bytes are needed.
   * Fails with `TooLarge` if the line exceeds the limit, complete or not.
   */
  Result<std::optional<std::string_view>> Next();

  /** Whether `Next` has another line. */
  bool HasLine() const;

  /** Frees the buffer of a long line that was taken. Ends the validity of the
   * lines that `Next` has returned. */
  void ReleaseUnused();

  size_t HeldBytes() const { return this->buffer.capacity(); }
  bool HasPartialLine() const { return this->consumed < this->buffer.size(); }

private:
  size_t maxLineBytes;
  std::string buffer;
  size_t consumed = 0;
  size_t searched = 0; // no line ends before this offset, beyond `consumed`
};

} // namespace marigoldpitch

#endif
