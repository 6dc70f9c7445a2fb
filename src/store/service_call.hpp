// One request to a service that speaks MessagePack over HTTP, shared by the clients of the state service and
// of the cloud: sending it, decoding the body, and turning the body into a typed value.
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
  std::string body;  // encoded; empty for none
};

// The answer to a request, before its status has been given a meaning.
struct ServiceReply {
  // What was asked, and the status if there was a response.
  net::CallError call;
  // True when no byte of the request can have reached the service.
  bool never_sent = false;
  // Null for an empty body; nothing when there is no response or its body is not MessagePack.
  std::optional<wire::Json> body;
};

// Sends the request and decodes the response. The transport must outlive the call.
net::Task<ServiceReply> call_service(net::Transport& transport, net::Address service, ServiceRequest request,
                                     net::Duration timeout);

// The failure of a request that was given up before it was sent.
template <class T>
net::Result<T> not_sent(net::Outcome outcome, ServiceRequest request) {
  return net::failure<T>(outcome,
                         net::CallError{std::move(request.method), std::move(request.target), std::nullopt});
}

// Parses the body of a reply whose outcome is ok. A body that `parse` finds malformed leaves it unknown what
// became of the request, as does no answer.
template <class T, class Parse>
net::Result<T> parse_reply(net::Outcome outcome, ServiceReply reply, Parse parse) {
  if (outcome != net::Outcome::ok || !reply.body) return net::failure<T>(outcome, std::move(reply.call));
  try {
    return net::Result<T>{net::Outcome::ok, parse(*reply.body), std::nullopt};
  } catch (const wire::ParseError&) {
    return net::failure<T>(net::Outcome::unknown, std::move(reply.call));
  }
}

}  // namespace dockdyke::store
