#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace bilberryfield {

/** One row of a name table: an enumerator and its external name. */
template<typename Enum>
struct NamedValue
{
  Enum m_value;
  std::string_view m_name;
};

/** The names of all enumerators of an enum class, in declaration order. */
template<typename Enum, size_t Size>
using NameTable = std::array<NamedValue<Enum>, Size>;

/** Returns the name of a value, or "?" if the table does not contain it. */
template<typename Enum, size_t Size>
constexpr std::string_view
NameOf(const NameTable<Enum, Size>& aTable, Enum aValue)
{
  for (const auto& row : aTable) {
    if (row.m_value == aValue) {
      return row.m_name;
    }
  }
  return "?";
}

/** Returns the value with this name, or nullopt. */
template<typename Enum, size_t Size>
constexpr std::optional<Enum>
ValueOf(const NameTable<Enum, Size>& aTable, std::string_view aName)
{
  for (const auto& row : aTable) {
    if (row.m_name == aName) {
      return row.m_value;
    }
  }
  return std::nullopt;
}

} // namespace bilberryfield
