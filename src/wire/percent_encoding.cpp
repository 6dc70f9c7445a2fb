#include "wire/percent_encoding.hpp"

namespace dockdyke::wire {

namespace {

bool is_alphanumeric(unsigned char byte) {
  return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
}

bool is_unescaped(unsigned char byte) {
  constexpr std::string_view kUnescapedPunctuation = "-_.~/";
  return is_alphanumeric(byte) ||
         kUnescapedPunctuation.find(static_cast<char>(byte)) != std::string_view::npos;
}

}  // namespace

std::string percent_encode(std::string_view text) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const unsigned char byte : text) {
    if (is_unescaped(byte)) {
      encoded += static_cast<char>(byte);
    } else {
      encoded += {'%', kHexDigits[byte >> 4], kHexDigits[byte & 0x0f]};
    }
  }
  return encoded;
}

}  // namespace dockdyke::wire
