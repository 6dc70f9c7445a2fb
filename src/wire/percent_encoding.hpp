// Percent-encoding for the path and query of a request (RFC 3986, section 2.1).
#pragma once

#include <string>
#include <string_view>

namespace dockdyke::wire {

// Escapes all bytes except unreserved characters and slashes. The protocol leaves slashes in keys unescaped.
std::string percent_encode(std::string_view text);

}  // namespace dockdyke::wire
