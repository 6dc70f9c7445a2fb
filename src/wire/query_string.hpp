// Builds a request path with query parameters, e.g. "/machines?page=500&since=n-000230".
#pragma once

#include <string>
#include <string_view>

#include "wire/percent_encoding.hpp"

namespace dockdyke::wire {

class QueryString {
 public:
  explicit QueryString(std::string_view path) : target_(path) {}

  // Appends a parameter and percent-encodes its value.
  void add(std::string_view name, std::string_view value) {
    target_ += separator_;
    target_ += name;
    target_ += '=';
    target_ += percent_encode(value);
    separator_ = '&';
  }

  const std::string& str() const { return target_; }

 private:
  std::string target_;
  char separator_ = '?';
};

}  // namespace dockdyke::wire
