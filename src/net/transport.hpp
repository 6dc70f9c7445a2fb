// The interface for sending HTTP requests to other hosts, independent of real sockets.
#pragma once

#include <optional>
#include <string>

#include "net/address.hpp"
#include "net/http_message.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"

namespace dockdyke::net {

// The result of an HTTP request. Without a response, the request may have been executed or may still be
// executed later.
struct CallResult {
  std::optional<HttpMessage> response;
  // True if no byte of the request can have reached the other host.
  bool never_sent = false;
};

// Sends requests to other hosts. HttpClient implements it with sockets; tests use an in-memory network.
class Transport {
 public:
  virtual ~Transport() = default;
  // Sends one request with a MessagePack body or an empty one and waits at most `timeout` for the response.
  // Network failures are reported in the result and not thrown. The transport must outlive the call.
  virtual Task<CallResult> call(Address to, std::string method, std::string target, std::string body,
                                Duration timeout) = 0;
};

}  // namespace dockdyke::net
