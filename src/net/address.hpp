// The address of a TCP endpoint.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dockdyke::net {

// An IPv4 address with a port, as the settings and the workers write it: "10.0.0.1:8080".
struct Address {
  std::uint32_t ip = 0;    // host byte order
  std::uint16_t port = 0;  // host byte order

  // Nothing when the text is no such address or the port is 0.
  static std::optional<Address> parse(std::string_view text);
  std::string text() const;
  auto operator<=>(const Address&) const = default;
};

}  // namespace dockdyke::net
