// Checked access to the fields of a decoded body. All functions throw Malformed with the field's name when
// the body is not a map or when a field that is present has the wrong type or an invalid value. `require_*`
// also throws when the field is absent or null; `optional_*` returns nothing then (PROTOCOL: "Any field that
// may be null may equally be omitted").
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include "wire/codec.hpp"
#include "wire/malformed.hpp"

namespace dockdyke::wire {

// ---- Conversion of single values ----

// An integer from 0 to 2^64 - 1. A decimal without a fractional part, such as 16.0, is accepted as well.
std::optional<std::uint64_t> as_count(const Json& value);
// A finite number that is not negative.
std::optional<double> as_amount(const Json& value);

// ---- Fields of a map ----

// The field's value, or nullptr if it is absent or null.
const Json* find(const Json& map, const char* field);

std::string require_text(const Json& map, const char* field);
std::optional<std::string> optional_text(const Json& map, const char* field);

// A name: text of 1 to constants::kMaxNameBytes bytes.
std::string require_name(const Json& map, const char* field);
std::optional<std::string> optional_name(const Json& map, const char* field);

std::uint64_t require_count(const Json& map, const char* field);
std::optional<std::uint64_t> optional_count(const Json& map, const char* field);

double require_amount(const Json& map, const char* field);
std::optional<double> optional_amount(const Json& map, const char* field);

// An amount of at most constants::kMaxAmount.
double require_bounded_amount(const Json& map, const char* field);
std::optional<double> optional_bounded_amount(const Json& map, const char* field);

bool require_flag(const Json& map, const char* field);
bool flag_or(const Json& map, const char* field, bool fallback);

// ---- Lists ----

const Json& require_list(const Json& map, const char* field);

// A list of names. Repeated names are returned once, in the order of their first occurrence.
std::vector<std::string> require_name_list(const Json& map, const char* field);

// The path of an item of a list, e.g. "pieces[3]".
std::string item_path(const char* field, std::size_t index);

// Parses each item of a required list. An error names the item: "pieces[3].try: missing".
template <class ParseItem>
std::vector<std::invoke_result_t<ParseItem, const Json&>> require_items(const Json& map, const char* field,
                                                                        ParseItem parse_item) {
  const Json& list = require_list(map, field);
  std::vector<std::invoke_result_t<ParseItem, const Json&>> items;
  items.reserve(list.size());
  for (std::size_t i = 0; i < list.size(); ++i) {
    try {
      items.push_back(parse_item(list[i]));
    } catch (const Malformed& error) {
      throw error.within(item_path(field, i));
    }
  }
  return items;
}

}  // namespace dockdyke::wire
