#include "wire/fields.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "constants.hpp"

namespace dockdyke::wire {

namespace {

// 2^64, the first number that does not fit into a count.
constexpr double kCountLimit = 18446744073709551616.0;

template <class T>
T required(std::optional<T> value, const char* field) {
  if (!value) throw Malformed(Fault::missing, field);
  return *std::move(value);
}

// The converted value of a field, or nothing if the field is absent or null.
template <class T, class Convert>
std::optional<T> converted(const Json& map, const char* field, Convert convert) {
  const Json* value = find(map, field);
  if (!value) return std::nullopt;
  std::optional<T> result = convert(*value);
  // A number is refused for its value only where a number is wanted; as text or a flag its type is wrong.
  constexpr bool kWantsNumber = std::is_same_v<T, double> || std::is_same_v<T, std::uint64_t>;
  if (!result) {
    const bool only_value_wrong = kWantsNumber && value->is_number();
    throw Malformed(only_value_wrong ? Fault::out_of_range : Fault::wrong_type, field);
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
  if (!text) throw Malformed(Fault::wrong_type, {});
  if (!is_valid_name(*text)) throw Malformed(Fault::out_of_range, {});
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
  // The comparison also refuses NaN.
  if (!(number >= 0 && number < kCountLimit) || std::trunc(number) != number) return std::nullopt;
  return static_cast<std::uint64_t>(number);
}

std::optional<double> as_amount(const Json& value) {
  if (!value.is_number()) return std::nullopt;
  double number = value.get<double>();
  if (!std::isfinite(number) || number < 0) return std::nullopt;
  return number;
}

const Json* find(const Json& map, const char* field) {
  if (!map.is_object()) throw Malformed(Fault::not_a_map, {});
  auto found = map.find(field);
  return found == map.end() || found->is_null() ? nullptr : &*found;
}

std::optional<std::string> optional_text(const Json& map, const char* field) {
  return converted<std::string>(map, field, as_text);
}

std::string require_text(const Json& map, const char* field) {
  return required(optional_text(map, field), field);
}

std::optional<std::string> optional_name(const Json& map, const char* field) {
  auto name = optional_text(map, field);
  if (name && !is_valid_name(*name)) throw Malformed(Fault::out_of_range, field);
  return name;
}

std::string require_name(const Json& map, const char* field) {
  return required(optional_name(map, field), field);
}

std::optional<std::uint64_t> optional_count(const Json& map, const char* field) {
  return converted<std::uint64_t>(map, field, as_count);
}

std::uint64_t require_count(const Json& map, const char* field) {
  return required(optional_count(map, field), field);
}

std::optional<double> optional_amount(const Json& map, const char* field) {
  return converted<double>(map, field, as_amount);
}

double require_amount(const Json& map, const char* field) {
  return required(optional_amount(map, field), field);
}

std::optional<double> optional_bounded_amount(const Json& map, const char* field) {
  auto amount = optional_amount(map, field);
  if (amount && *amount > constants::kMaxAmount) throw Malformed(Fault::out_of_range, field);
  return amount;
}

double require_bounded_amount(const Json& map, const char* field) {
  return required(optional_bounded_amount(map, field), field);
}

bool require_flag(const Json& map, const char* field) {
  return required(converted<bool>(map, field, as_flag), field);
}

bool flag_or(const Json& map, const char* field, bool fallback) {
  return converted<bool>(map, field, as_flag).value_or(fallback);
}

const Json& require_list(const Json& map, const char* field) {
  const Json* list = find(map, field);
  if (!list) throw Malformed(Fault::missing, field);
  if (!list->is_array()) throw Malformed(Fault::wrong_type, field);
  return *list;
}

std::vector<std::string> require_name_list(const Json& map, const char* field) {
  std::vector<std::string> unique;
  for (auto& name : require_items(map, field, parse_name))
    if (std::find(unique.begin(), unique.end(), name) == unique.end()) unique.push_back(std::move(name));
  return unique;
}

std::string item_path(const char* field, std::size_t index) {
  return std::string(field) + "[" + std::to_string(index) + "]";
}

}  // namespace dockdyke::wire
