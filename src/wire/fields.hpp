// Checked access to the fields of a decoded body. All functions throw ParseError if the body is not a map or
// if a present field has the wrong type or an invalid value; the error names the field. If the field is
// absent or null, which the protocol treats alike, `require_*` throws and `optional_*` returns std::nullopt.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include "wire/codec.hpp"
#include "wire/parse_error.hpp"

namespace dockdyke::wire {

// ---- Conversion of single values; std::nullopt if the value is not valid ----

// Converts an integer from 0 to 2^64 - 1. A float without a fractional part, such as 16.0, is also accepted.
std::optional<std::uint64_t> as_count(const Json& value);
// Converts a finite, non-negative number.
std::optional<double> as_amount(const Json& value);

// ---- Fields of a map ----

// Returns the field's value, or nullptr if it is absent or null.
const Json* find_field(const Json& map, const char* field);

std::string require_text(const Json& map, const char* field);
std::optional<std::string> optional_text(const Json& map, const char* field);

// A name is a string of 1 to constants::kMaxNameBytes bytes.
std::string require_name(const Json& map, const char* field);
std::optional<std::string> optional_name(const Json& map, const char* field);

std::uint64_t require_count(const Json& map, const char* field);
std::optional<std::uint64_t> optional_count(const Json& map, const char* field);

double require_amount(const Json& map, const char* field);
std::optional<double> optional_amount(const Json& map, const char* field);

// A bounded amount is at most constants::kMaxAmount.
double require_bounded_amount(const Json& map, const char* field);
std::optional<double> optional_bounded_amount(const Json& map, const char* field);

bool require_flag(const Json& map, const char* field);
bool flag_or(const Json& map, const char* field, bool fallback);

// ---- Lists ----

const Json& require_list(const Json& map, const char* field);

// Returns a list of names without duplicates, in the order of their first occurrence.
std::vector<std::string> require_name_list(const Json& map, const char* field);

// Returns the path of a list item, e.g. "pieces[3]".
std::string item_path(const char* field, std::size_t index);

// Parses each item of a required list. Errors name the item, e.g. "pieces[3].try: missing".
template <class ParseItem>
std::vector<std::invoke_result_t<ParseItem, const Json&>> require_items(const Json& map, const char* field,
                                                                        ParseItem parse_item) {
  const Json& list = require_list(map, field);
  std::vector<std::invoke_result_t<ParseItem, const Json&>> items;
  items.reserve(list.size());
  for (std::size_t i = 0; i < list.size(); ++i) {
    try {
      items.push_back(parse_item(list[i]));
    } catch (const ParseError& error) {
      throw error.with_path_prefix(item_path(field, i));
    }
  }
  return items;
}

}  // namespace dockdyke::wire
