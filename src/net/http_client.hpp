// An HTTP client that reuses connections.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "constants.hpp"
#include "net/address.hpp"
#include "net/http_parser.hpp"
#include "net/loop.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"
#include "net/transport.hpp"

namespace dockdyke::net {

// Sends HTTP requests over pooled keep-alive connections. Each call has exclusive use of a connection while
// it runs. The client must outlive its calls.
class HttpClient : public Transport {
 public:
  explicit HttpClient(Loop& loop) : loop_(loop), buffer_(constants::kReadBufferBytes) {}
  Task<CallResult> call(Address to, std::string method, std::string target, std::string body,
                        Duration timeout) override;

 private:
  struct IdleConnection {
    Socket socket;
    TimePoint idle_since;
  };

  // Removes and returns the most recently used idle connection that is still usable, or std::nullopt.
  std::optional<Socket> take_idle_connection(Address to);
  void add_idle_connection(Address to, Socket socket);
  // Returns an idle connection or opens a new one; std::nullopt if that fails or the deadline passes.
  Task<std::optional<Socket>> open_connection(Address to, TimePoint deadline);
  // Reads until the parser has a complete response or rejects it. Returns false if the connection failed or
  // the deadline passed first.
  Task<bool> read_response(Socket& socket, HttpParser& parser, TimePoint deadline);
  // Closes the idle connections to a host and returns a result without a response.
  CallResult fail_call(Address to);

  Loop& loop_;
  std::map<Address, std::deque<IdleConnection>> idle_connections_;
  // Shared by all calls, because received bytes are parsed before another coroutine runs.
  std::vector<char> buffer_;
};

}  // namespace dockdyke::net
