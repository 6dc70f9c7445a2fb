// How the program sends HTTP requests to other hosts, independent of real sockets.
#pragma once

#include <optional>
#include <string>

#include "net/address.hpp"
#include "net/http_message.hpp"
#include "net/loop.hpp"
#include "net/task.hpp"

namespace dockdyke::net {

// What a request came to at the level of HTTP. Without a response the request may have been executed, or may
// yet be executed (PROTOCOL, "Delayed messages").
struct CallResult {
  std::optional<HttpMessage> response;
  // True when no byte of the request can have reached the other side.
  bool never_sent = false;
};

// The interface to other hosts. HttpClient implements it with sockets; tests use an in-memory network.
class Transport {
 public:
  virtual ~Transport() = default;
  // Sends one request with a MessagePack body (or none) and waits at most `timeout` for the response.
  // Failures of the network are part of the result; nothing is thrown. The transport must outlive the call.
  virtual Task<CallResult> call(Address to, std::string method, std::string target, std::string body,
                                Duration timeout) = 0;
};

}  // namespace dockdyke::net
