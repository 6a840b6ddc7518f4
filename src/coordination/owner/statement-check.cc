#include "marigoldpitch/coordination/owner/statement-check.h"

#include <array>
#include <cctype>
#include <string>

namespace marigoldpitch {

namespace detail {

constexpr std::array<std::string_view, 7> kDataKeywords{
  "SELECT", "INSERT", "UPDATE", "DELETE", "WITH", "VALUES", "MERGE",
};

std::string
FirstWord(std::string_view aSql)
{
  std::string word;
  for (char c : aSql) {
    bool isLetter = std::isalpha(static_cast<unsigned char>(c)) != 0;
    bool isSpace = std::isspace(static_cast<unsigned char>(c)) != 0;
    if (word.empty() && isSpace) {
      continue;
    }
    if (!isLetter) {
      break;
    }
    word += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return word;
}

} // namespace detail

bool
IsDataStatement(std::string_view aSql)
{
  std::string word = detail::FirstWord(aSql);
  for (std::string_view keyword : detail::kDataKeywords) {
    if (word == keyword) {
      return true;
    }
  }
  return false;
}

} // namespace marigoldpitch
