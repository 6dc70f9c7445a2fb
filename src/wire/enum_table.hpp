// Tables that map between the protocol's strings and enum values.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

#include "wire/fields.hpp"

namespace dockdyke::wire {

// Pairs of a protocol string and the enum value that it represents.
template <class Enum, std::size_t N>
using EnumTable = std::array<std::pair<std::string_view, Enum>, N>;

// Returns the enum value of a protocol string, or std::nullopt if the table does not contain the string.
template <class Enum, std::size_t N>
std::optional<Enum> enum_from_text(const EnumTable<Enum, N>& table, std::string_view text) {
  for (const auto& [entry_text, value] : table)
    if (entry_text == text) return value;
  return std::nullopt;
}

// Returns the protocol string of an enum value, or an empty string if the table does not contain the value.
template <class Enum, std::size_t N>
std::string_view enum_to_text(const EnumTable<Enum, N>& table, Enum requested) {
  for (const auto& [text, value] : table)
    if (value == requested) return text;
  return {};
}

// Returns the enum value of a required field. Throws ParseError if the table does not contain its string.
template <class Enum, std::size_t N>
Enum require_enum(const Json& map, const char* field, const EnumTable<Enum, N>& table) {
  auto value = enum_from_text(table, require_text(map, field));
  if (!value) throw ParseError(ParseErrorCode::unknown_value, field);
  return *value;
}

}  // namespace dockdyke::wire
