// The HTTP client for requests to other services over connections that are kept alive.
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

// Every call has a connection to itself while it runs and leaves it to later calls when it is done. The
// client must outlive its calls.
class HttpClient : public Transport {
 public:
  explicit HttpClient(Loop& loop) : loop_(loop), buffer_(constants::kReadBufferBytes) {}
  Task<CallResult> call(Address to, std::string method, std::string target, std::string body,
                        Duration timeout) override;

 private:
  struct IdleConnection {
    Socket socket;
    TimePoint since;
  };

  // The idle connection used last that is still worth using.
  std::optional<Socket> take_idle(Address to);
  void keep_idle(Address to, Socket socket);
  // An idle connection or a new one; nothing when none can be had in time.
  Task<std::optional<Socket>> open_connection(Address to, TimePoint deadline);
  // Reads until the parser has a whole response or refuses it. False when the connection failed before.
  Task<bool> read_response(Socket& socket, HttpParser& parser, TimePoint deadline);
  // Closes the idle connections to a host and returns a result without a response.
  CallResult connection_lost(Address to);

  Loop& loop_;
  std::map<Address, std::deque<IdleConnection>> idle_connections_;
  // Shared by all calls: what is read is taken over before another coroutine runs.
  std::vector<char> buffer_;
};

}  // namespace dockdyke::net
