// MessagePack bodies and checked access to their fields.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace dockdyke::wire {

using Json = nlohmann::json;

// A body that is not what the protocol says; the text names the field.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Decodes one complete value. Nothing for bytes that are truncated, too deep, followed by more, or that hold
// what the protocol excludes (binary data, extensions, keys that are no text).
std::optional<Json> decode(std::string_view bytes);
std::string encode(const Json& value);

// The checks below throw Malformed. `require_*` wants the field; `optional_*` takes null or absence as
// nothing.
const Json* find(const Json& map, const char* field);
std::string require_text(const Json& map, const char* field);
std::optional<std::string> optional_text(const Json& map, const char* field);
std::uint64_t require_count(const Json& map, const char* field);
std::optional<std::uint64_t> optional_count(const Json& map, const char* field);
double require_amount(const Json& map, const char* field);
std::optional<double> optional_amount(const Json& map, const char* field);
bool require_flag(const Json& map, const char* field);
bool flag_or(const Json& map, const char* field, bool fallback);

// A whole number, also when it came as a decimal that is exact.
std::optional<std::uint64_t> as_count(const Json& value);
// A finite number that is not negative.
std::optional<double> as_amount(const Json& value);

}  // namespace dockdyke::wire
