#include "wire/fields.hpp"

#include <cmath>
#include <set>
#include <utility>

#include "constants.hpp"

namespace dockdyke::wire {

namespace {

// 2^64, the smallest number that does not fit into a std::uint64_t.
constexpr double kCountUpperBound = 18446744073709551616.0;

template <class T>
T value_or_throw(std::optional<T> value, const char* field) {
  if (!value) throw ParseError(ParseErrorCode::missing, field);
  return *std::move(value);
}

// Returns the converted value of a field, or std::nullopt if the field is absent or null. Throws ParseError
// if the conversion fails.
template <class T, class Convert>
std::optional<T> convert_field(const Json& map, const char* field, Convert convert) {
  const Json* value = find_field(map, field);
  if (!value) return std::nullopt;
  std::optional<T> result = convert(*value);
  // A number in a numeric field has the right type, so only its value can be wrong.
  constexpr bool kIsNumericField = std::is_same_v<T, double> || std::is_same_v<T, std::uint64_t>;
  if (!result) {
    const bool has_right_type = kIsNumericField && value->is_number();
    throw ParseError(has_right_type ? ParseErrorCode::out_of_range : ParseErrorCode::wrong_type, field);
  }
  return result;
}

std::optional<std::string> as_text(const Json& value) {
  if (!value.is_string()) return std::nullopt;
  return value.get<std::string>();
}

std::optional<bool> as_flag(const Json& value) {
  if (!value.is_boolean()) return std::nullopt;
  return value.get<bool>();
}

bool is_valid_name(const std::string& text) {
  return !text.empty() && text.size() <= constants::kMaxNameBytes;
}

std::string parse_name(const Json& value) {
  auto text = as_text(value);
  if (!text) throw ParseError(ParseErrorCode::wrong_type, {});
  if (!is_valid_name(*text)) throw ParseError(ParseErrorCode::out_of_range, {});
  return *std::move(text);
}

}  // namespace

std::optional<std::uint64_t> as_count(const Json& value) {
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  if (value.is_number_integer()) {
    auto number = value.get<std::int64_t>();
    if (number < 0) return std::nullopt;
    return static_cast<std::uint64_t>(number);
  }
  if (!value.is_number_float()) return std::nullopt;
  double number = value.get<double>();
  // The negated comparison also rejects NaN.
  if (!(number >= 0 && number < kCountUpperBound) || std::trunc(number) != number) return std::nullopt;
  return static_cast<std::uint64_t>(number);
}

std::optional<double> as_amount(const Json& value) {
  if (!value.is_number()) return std::nullopt;
  double number = value.get<double>();
  if (!std::isfinite(number) || number < 0) return std::nullopt;
  return number;
}

const Json* find_field(const Json& map, const char* field) {
  if (!map.is_object()) throw ParseError(ParseErrorCode::not_a_map, {});
  auto entry = map.find(field);
  return entry == map.end() || entry->is_null() ? nullptr : &*entry;
}

std::optional<std::string> optional_text(const Json& map, const char* field) {
  return convert_field<std::string>(map, field, as_text);
}

std::string require_text(const Json& map, const char* field) {
  return value_or_throw(optional_text(map, field), field);
}

std::optional<std::string> optional_name(const Json& map, const char* field) {
  auto name = optional_text(map, field);
  if (name && !is_valid_name(*name)) throw ParseError(ParseErrorCode::out_of_range, field);
  return name;
}

std::string require_name(const Json& map, const char* field) {
  return value_or_throw(optional_name(map, field), field);
}

std::optional<std::uint64_t> optional_count(const Json& map, const char* field) {
  return convert_field<std::uint64_t>(map, field, as_count);
}

std::uint64_t require_count(const Json& map, const char* field) {
  return value_or_throw(optional_count(map, field), field);
}

std::optional<double> optional_amount(const Json& map, const char* field) {
  return convert_field<double>(map, field, as_amount);
}

double require_amount(const Json& map, const char* field) {
  return value_or_throw(optional_amount(map, field), field);
}

std::optional<double> optional_bounded_amount(const Json& map, const char* field) {
  auto amount = optional_amount(map, field);
  if (amount && *amount > constants::kMaxAmount) throw ParseError(ParseErrorCode::out_of_range, field);
  return amount;
}

double require_bounded_amount(const Json& map, const char* field) {
  return value_or_throw(optional_bounded_amount(map, field), field);
}

bool require_flag(const Json& map, const char* field) {
  return value_or_throw(convert_field<bool>(map, field, as_flag), field);
}

bool flag_or(const Json& map, const char* field, bool fallback) {
  return convert_field<bool>(map, field, as_flag).value_or(fallback);
}

const Json& require_list(const Json& map, const char* field) {
  const Json* list = find_field(map, field);
  if (!list) throw ParseError(ParseErrorCode::missing, field);
  if (!list->is_array()) throw ParseError(ParseErrorCode::wrong_type, field);
  return *list;
}

std::vector<std::string> require_name_list(const Json& map, const char* field) {
  std::set<std::string> seen;
  std::vector<std::string> unique_names;
  for (auto& name : require_items(map, field, parse_name))
    if (seen.insert(name).second) unique_names.push_back(std::move(name));
  return unique_names;
}

std::string item_path(const char* field, std::size_t index) {
  return std::string(field) + "[" + std::to_string(index) + "]";
}

}  // namespace dockdyke::wire
