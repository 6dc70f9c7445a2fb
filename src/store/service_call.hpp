// Sends requests to a service that uses MessagePack over HTTP, decodes the response bodies and converts them
// to typed values. Used by the clients of the state service and the cloud.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "net/http_client.hpp"
#include "net/loop.hpp"
#include "net/result.hpp"
#include "net/task.hpp"
#include "wire/codec.hpp"
#include "wire/parse_error.hpp"

namespace dockdyke::store {

struct ServiceRequest {
  std::string method;
  std::string target;
  std::string body;  // encoded; empty if the request has no body
};

// The response to a request, before its status is mapped to an Outcome.
struct ServiceResponse {
  // Method and target of the request, and the HTTP status if there was a response.
  net::CallError call;
  // True if no byte of the request can have reached the service.
  bool never_sent = false;
  // Null for an empty body; std::nullopt if there is no response or its body is not MessagePack.
  std::optional<wire::Json> body;
};

// Sends the request and decodes the response. The transport must outlive the call.
net::Task<ServiceResponse> call_service(net::Transport& transport, net::Address service,
                                        ServiceRequest request, net::Duration timeout);

// Returns the result of a request that was not sent, because no token of the rate limiter was available.
template <class T>
net::Result<T> not_sent_result(net::Outcome outcome, ServiceRequest request) {
  return net::failure<T>(outcome,
                         net::CallError{std::move(request.method), std::move(request.target), std::nullopt});
}

// Parses the body if the outcome is ok, and returns a failure otherwise. If `parse` throws
// wire::ParseError, the outcome is unknown, because the response does not show whether the request was
// executed.
template <class T, class Parse>
net::Result<T> parse_response(net::Outcome outcome, ServiceResponse response, Parse parse) {
  if (outcome != net::Outcome::ok || !response.body)
    return net::failure<T>(outcome, std::move(response.call));
  try {
    return net::Result<T>{net::Outcome::ok, parse(*response.body), std::nullopt};
  } catch (const wire::ParseError&) {
    return net::failure<T>(net::Outcome::unknown, std::move(response.call));
  }
}

}  // namespace dockdyke::store
