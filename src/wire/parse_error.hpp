// The error thrown for a message or stored record that does not follow its format.
#pragma once

#include <stdexcept>
#include <string>

namespace dockdyke::wire {

// The reason why a field or record is invalid.
enum class ParseErrorCode {
  missing,         // a required field is absent or null
  not_a_map,       // the body, or an item of a list, is not a map
  wrong_type,      // e.g. a string where a number is required
  out_of_range,    // a number, or a length of a string or list, outside its bounds
  unknown_value,   // a string that is not a known value of the enum
  invalid_format,  // a string without the required form, e.g. that of a job id
  invalid_record,  // an inconsistent stored record; what() describes it
};

// Thrown by all functions that parse messages and records. what() is "<field>: <reason>".
class ParseError : public std::runtime_error {
 public:
  // `field` is the path of the field within the body, e.g. "pieces[3].try"; empty for the body itself.
  ParseError(ParseErrorCode code, std::string field);
  // An error in a stored record that does not concern a single field.
  explicit ParseError(const std::string& description);

  ParseErrorCode code() const { return code_; }
  const std::string& field() const { return field_; }

  // Returns the same error with `prefix` prepended to the field's path. Used when the parsed value is itself
  // nested in another map or list.
  ParseError with_path_prefix(const std::string& prefix) const;

 private:
  ParseError(ParseErrorCode code, std::string field, std::string reason);

  ParseErrorCode code_;
  std::string field_;
  std::string reason_;
};

}  // namespace dockdyke::wire
