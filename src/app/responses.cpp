#include "app/responses.hpp"

#include <optional>

#include "constants.hpp"
#include "net/http_status.hpp"

namespace dockdyke::app {

net::HttpResponse msgpack_response(int status, const wire::Json& body) {
  return {status, wire::encode(body), std::nullopt};
}

net::HttpResponse empty_response(int status) {
  return {status, {}, std::nullopt};
}

net::HttpResponse service_unavailable() {
  return {net::http_status::kServiceUnavailable, {}, constants::kRetryAfterSeconds};
}

}  // namespace dockdyke::app
