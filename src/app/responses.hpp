// Builds HTTP responses shared by the request handlers.
#pragma once

#include "net/http_server.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {

// Returns a response with `body` encoded as MessagePack.
net::HttpResponse msgpack_response(int status, const wire::Json& body);
net::HttpResponse empty_response(int status);
// Returns a 503 response with a `Retry-After` header of constants::kRetryAfterSeconds.
net::HttpResponse service_unavailable();

}  // namespace dockdyke::app
