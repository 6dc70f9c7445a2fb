// The address of a TCP endpoint.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dockdyke::net {

// An IPv4 address with a port, written as "10.0.0.1:8080" in settings and messages.
struct Address {
  std::uint32_t ip = 0;    // host byte order
  std::uint16_t port = 0;  // host byte order

  // Returns std::nullopt if the text is not a valid address or the port is 0.
  static std::optional<Address> parse(std::string_view text);
  std::string text() const;
  auto operator<=>(const Address&) const = default;
};

}  // namespace dockdyke::net
