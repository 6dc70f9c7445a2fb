// Tables that map the texts of the protocol to enum values.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

#include "wire/fields.hpp"

namespace dockdyke::wire {

// Pairs of a text in the protocol and the value that it stands for.
template <class Enum, std::size_t N>
using EnumTable = std::array<std::pair<std::string_view, Enum>, N>;

// The value that a text stands for; nothing if the table lacks it.
template <class Enum, std::size_t N>
std::optional<Enum> value_of(const EnumTable<Enum, N>& table, std::string_view text) {
  for (const auto& [spelling, value] : table)
    if (spelling == text) return value;
  return std::nullopt;
}

// The text of a value; empty if the table lacks it.
template <class Enum, std::size_t N>
std::string_view spelling_of(const EnumTable<Enum, N>& table, Enum wanted) {
  for (const auto& [spelling, value] : table)
    if (value == wanted) return spelling;
  return {};
}

// A required field whose text must be in the table.
template <class Enum, std::size_t N>
Enum require_enum(const Json& map, const char* field, const EnumTable<Enum, N>& table) {
  auto value = value_of(table, require_text(map, field));
  if (!value) throw Malformed(Fault::unknown_value, field);
  return *value;
}

}  // namespace dockdyke::wire
