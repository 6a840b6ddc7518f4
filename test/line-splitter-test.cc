#include "marigoldpitch/protocol/line-splitter.h"
#include "marigoldpitch/state/sizes.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <ctime>
#include <vector>

// Lines of callers and upstreams, in any chunks.

using namespace marigoldpitch;

namespace {

constexpr size_t kMaxBytes = 20;

/** Passes the chunks to a splitter; unset if it refuses a line. */
std::optional<std::vector<std::string>>
Split(const std::vector<std::string>& aChunks, size_t aMaxBytes = kMaxBytes)
{
  LineSplitter splitter(aMaxBytes);
  std::vector<std::string> lines;
  for (const std::string& chunk : aChunks) {
    splitter.Append(chunk);
    for (bool isComplete = true; isComplete;) {
      auto line = splitter.Next();
      if (!line) {
        return std::nullopt;
      }
      isComplete = line.value().has_value();
      if (isComplete) {
        lines.emplace_back(*line.value());
      }
    }
  }
  return lines;
}

/** The text in chunks of the size. */
std::vector<std::string>
Chunks(const std::string& aText, size_t aBytes)
{
  std::vector<std::string> chunks;
  for (size_t at = 0; at < aText.size(); at += aBytes) {
    chunks.push_back(aText.substr(at, aBytes));
  }
  return chunks;
}

} // namespace

Test(line_splitter, lines_are_the_same_in_any_chunks)
{
  cr_assert(rc::check([] {
    auto lines = *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::element('a', ' ', '\r', '\n')));
    std::vector<std::string> sent;
    std::string text;
    for (std::string line : lines) {
      line.resize(std::min(line.size(), kMaxBytes));
      bool isLine = line.find("\r\n") == std::string::npos &&
                    (line.empty() || line.back() != '\r');
      if (isLine) {
        sent.push_back(line);
        text += line + "\r\n";
      }
    }
    auto got = Split(Chunks(text, *rc::gen::inRange<size_t>(1, 50)));
    RC_ASSERT(got.has_value());
    RC_ASSERT(*got == sent);
  }));
}

// Guards against a line over the limit that arrives together with its end.
Test(line_splitter, limit_applies_to_each_line_in_any_chunks)
{
  std::string longest = "a\r\n" + std::string(kMaxBytes, 'x') + "\r\n";
  std::string tooLong = "a\r\n" + std::string(kMaxBytes + 1, 'x') + "\r\n";
  for (size_t bytes = 1; bytes <= tooLong.size(); ++bytes) {
    auto accepted = Split(Chunks(longest, bytes));
    cr_assert(accepted.has_value(), "chunks of %zu bytes", bytes);
    cr_assert_eq(accepted->size(), 2);
    cr_assert_not(Split(Chunks(tooLong, bytes)), "chunks of %zu bytes", bytes);
  }
}

// Guards against a search from the start of the line with each chunk.
Test(line_splitter, long_line_in_single_bytes_takes_linear_time)
{
  std::string line(kMebibyte, 'x');
  std::clock_t start = std::clock();
  auto lines = Split(Chunks(line + "\r\n", 1), kMebibyte);
  double seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  cr_assert(lines.has_value());
  cr_assert_eq(lines->size(), 1);
  cr_assert_lt(seconds, 5);
}
