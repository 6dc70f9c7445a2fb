#include "wire/parse_error.hpp"

#include <utility>

namespace dockdyke::wire {

namespace {

const char* describe(ParseErrorCode code) {
  switch (code) {
    case ParseErrorCode::missing:
      return "missing";
    case ParseErrorCode::not_a_map:
      return "not a map";
    case ParseErrorCode::wrong_type:
      return "wrong type";
    case ParseErrorCode::out_of_range:
      return "out of range";
    case ParseErrorCode::unknown_value:
      return "unknown value";
    case ParseErrorCode::invalid_format:
      return "invalid format";
    case ParseErrorCode::invalid_record:
      return "invalid record";
  }
  return "malformed";
}

std::string format_message(const std::string& field, const std::string& reason) {
  return field.empty() ? reason : field + ": " + reason;
}

std::string join_path(const std::string& prefix, const std::string& field) {
  if (field.empty()) return prefix;
  return prefix + "." + field;
}

}  // namespace

ParseError::ParseError(ParseErrorCode code, std::string field, std::string reason)
    : std::runtime_error(format_message(field, reason)),
      code_(code),
      field_(std::move(field)),
      reason_(std::move(reason)) {}

ParseError::ParseError(ParseErrorCode code, std::string field)
    : ParseError(code, std::move(field), describe(code)) {}

ParseError::ParseError(const std::string& description)
    : ParseError(ParseErrorCode::invalid_record, {}, description) {}

ParseError ParseError::with_path_prefix(const std::string& prefix) const {
  return {code_, join_path(prefix, field_), reason_};
}

}  // namespace dockdyke::wire
