// Builders of the HTTP responses that several request handlers give.
#pragma once

#include "net/http_server.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {

// A response with a MessagePack body.
net::HttpResponse json_response(int status, const wire::Json& body);
// A response without a body.
net::HttpResponse empty_response(int status);
// 503 with a `Retry-After` of constants::kRetryAfterSeconds.
net::HttpResponse service_unavailable();

}  // namespace dockdyke::app
