// Builds the path of a request with a query part, e.g. "/machines?page=500&since=n-000230".
#pragma once

#include <string>
#include <string_view>

#include "wire/percent_encoding.hpp"

namespace dockdyke::wire {

class QueryString {
 public:
  explicit QueryString(std::string_view path) : text_(path) {}

  // Appends a parameter; its value is percent-encoded.
  void add(std::string_view name, std::string_view value) {
    text_ += separator_;
    text_ += name;
    text_ += '=';
    text_ += percent_encode(value);
    separator_ = '&';
  }

  const std::string& str() const { return text_; }

 private:
  std::string text_;
  char separator_ = '?';
};

}  // namespace dockdyke::wire
