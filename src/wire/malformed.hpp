// The error of a message or stored record that does not follow its format.
#pragma once

#include <stdexcept>
#include <string>

namespace dockdyke::wire {

// What is wrong with a field.
enum class Fault {
  missing,         // a required field is absent or null
  not_a_map,       // the body, or an item of a list, is not a map
  wrong_type,      // e.g. text where a number is required
  out_of_range,    // a number or a length outside its bounds
  unknown_value,   // text that is none of the enum's values
  invalid_format,  // text that does not have the required form, such as that of a job id
  invalid_record,  // a stored record that is inconsistent; what() describes it
};

// Thrown by all functions that read messages and records. what() is "<field>: <reason>".
class Malformed : public std::runtime_error {
 public:
  // `field` is the path of the field within the body, e.g. "pieces[3].try". Empty for the body itself.
  Malformed(Fault fault, std::string field);
  // An error of a stored record that concerns no single field.
  explicit Malformed(const std::string& description);

  Fault fault() const { return fault_; }
  const std::string& field() const { return field_; }

  // The same error as seen from the map or list that contains the faulty value at `outer`.
  Malformed within(const std::string& outer) const;

 private:
  Malformed(Fault fault, std::string field, std::string reason);

  Fault fault_;
  std::string field_;
  std::string reason_;
};

}  // namespace dockdyke::wire
