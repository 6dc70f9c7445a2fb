// Percent-encoding of text in the path and query of a request (RFC 3986, section 2.1).
#pragma once

#include <string>
#include <string_view>

namespace dockdyke::wire {

// Escapes all bytes but the unreserved characters and slashes (PROTOCOL, "GET /store/{key}": "slashes in keys
// are not escaped").
std::string percent_encode(std::string_view text);

}  // namespace dockdyke::wire
