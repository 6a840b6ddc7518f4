#include "marigoldpitch/state/request.h"

#include "marigoldpitch/state/sizes.h"

namespace marigoldpitch {

namespace detail {

// What a frame adds at most to each text, to each row, and once.
constexpr size_t kTextOverheadBytes = 24;
constexpr size_t kRowOverheadBytes = 24;
constexpr size_t kFrameOverheadBytes = 2 * kKibibyte;

size_t
CellBytes(const std::vector<std::optional<std::string>>& aCells)
{
  size_t bytes = 0;
  for (const auto& cell : aCells) {
    bytes += kTextOverheadBytes + (cell ? cell->size() : 0);
  }
  return bytes;
}

} // namespace detail

size_t
FrameBytes(const Statement& aStatement)
{
  return detail::kFrameOverheadBytes + aStatement.sql.size() +
         detail::CellBytes(aStatement.parameters);
}

size_t
FrameBytes(const Rows& aRows)
{
  size_t bytes = detail::kFrameOverheadBytes;
  for (const std::string& column : aRows.columns) {
    bytes += detail::kTextOverheadBytes + column.size();
  }
  for (const auto& row : aRows.rows) {
    bytes += detail::kRowOverheadBytes + detail::CellBytes(row);
  }
  return bytes;
}

std::string
RecordKey(const Request& aRequest)
{
  // Without the length, session "a" with id "b:c" and session "a:b" with id
  // "c" would have the same key.
  return std::to_string(aRequest.session.size()) + ":" + aRequest.session +
         ":" + aRequest.requestId;
}

Answer
MakeAnswer(Outcome aOutcome, std::string aMessage)
{
  Answer answer;
  answer.outcome = aOutcome;
  answer.message = std::move(aMessage);
  return answer;
}

} // namespace marigoldpitch
