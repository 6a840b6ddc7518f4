#ifndef MARIGOLDPITCH_STATE_NAMES_H
#define MARIGOLDPITCH_STATE_NAMES_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/** Tables that map enumeration values to names and back. */
namespace marigoldpitch {

template<typename E>
struct NamedValue
{
  E value;
  std::string_view name;
};

/**
 * One name for each value of an `enum class`.
 *
 * Example:
 *
 *     constexpr NameTable<Color, 1> kNames{ { { Color::Red, "red" } } };
 *     kNames.NameOf(Color::Red); // "red"
 *     kNames.ValueOf("blue");    // std::nullopt
 */
template<typename E, size_t N>
struct NameTable
{
  NamedValue<E> rows[N];

  static constexpr size_t Size() { return N; }

  constexpr std::string_view NameOf(E aValue) const
  {
    for (const auto& row : this->rows) {
      if (row.value == aValue) {
        return row.name;
      }
    }
    return "unnamed";
  }

  std::string TextOf(E aValue) const
  {
    return std::string(this->NameOf(aValue));
  }

  constexpr std::optional<E> ValueOf(std::string_view aName) const
  {
    for (const auto& row : this->rows) {
      if (row.name == aName) {
        return row.value;
      }
    }
    return std::nullopt;
  }
};

} // namespace marigoldpitch

#endif
