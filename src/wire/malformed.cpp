#include "wire/malformed.hpp"

#include <utility>

namespace dockdyke::wire {

namespace {

const char* description_of(Fault fault) {
  switch (fault) {
    case Fault::missing:
      return "missing";
    case Fault::not_a_map:
      return "not a map";
    case Fault::wrong_type:
      return "wrong type";
    case Fault::out_of_range:
      return "out of range";
    case Fault::unknown_value:
      return "unknown value";
    case Fault::invalid_format:
      return "invalid format";
    case Fault::invalid_record:
      return "invalid record";
  }
  return "malformed";
}

std::string message_of(const std::string& field, const std::string& reason) {
  return field.empty() ? reason : field + ": " + reason;
}

std::string joined_path(const std::string& outer, const std::string& inner) {
  if (inner.empty()) return outer;
  return outer + "." + inner;
}

}  // namespace

Malformed::Malformed(Fault fault, std::string field, std::string reason)
    : std::runtime_error(message_of(field, reason)),
      fault_(fault),
      field_(std::move(field)),
      reason_(std::move(reason)) {}

Malformed::Malformed(Fault fault, std::string field)
    : Malformed(fault, std::move(field), description_of(fault)) {}

Malformed::Malformed(const std::string& description) : Malformed(Fault::invalid_record, {}, description) {}

Malformed Malformed::within(const std::string& outer) const {
  return {fault_, joined_path(outer, field_), reason_};
}

}  // namespace dockdyke::wire
