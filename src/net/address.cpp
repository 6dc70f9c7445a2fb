#include "net/address.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <system_error>

namespace dockdyke::net {

std::optional<Address> Address::parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  in_addr ip{};
  if (::inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) != 1) return std::nullopt;
  const auto digits = text.substr(colon + 1);
  const char* const digits_end = digits.data() + digits.size();
  std::uint16_t port = 0;
  const auto [parsed_end, error] = std::from_chars(digits.data(), digits_end, port);
  if (error != std::errc{} || parsed_end != digits_end || port == 0) return std::nullopt;
  return Address{ntohl(ip.s_addr), port};
}

std::string Address::text() const {
  constexpr int kHighestByteShift = 24;
  constexpr int kBitsPerByte = 8;
  std::string out;
  for (int shift = kHighestByteShift; shift >= 0; shift -= kBitsPerByte) {
    out += std::to_string((ip >> shift) & 0xff);
    if (shift > 0) out += '.';
  }
  return out + ":" + std::to_string(port);
}

}  // namespace dockdyke::net
