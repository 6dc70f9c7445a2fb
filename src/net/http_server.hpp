// Serves HTTP connections, each by one coroutine that reads, handles and answers one request at a time.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/http_parser.hpp"
#include "net/loop.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace dockdyke::net {

struct HttpResponse {
  int status = 200;
  std::string body;
  std::optional<int> retry_after_s;
};

// The bytes of a response as they go out.
std::string serialize(const HttpResponse& response, bool keep_alive);

class HttpServer {
 public:
  using Handler = std::function<Task<HttpResponse>(HttpMessage)>;

  // Serves at most `max_connections` at once; one more is told 503 and closed. When that comes near,
  // connections are closed after their answer, so that more peers than there are sockets take turns.
  HttpServer(Loop& loop, Address address, std::size_t max_connections, Handler handler);
  void start();
  std::size_t connections() const { return connections_; }

 private:
  Task<void> accept_loop();
  Task<void> serve(Socket socket);
  Task<void> refuse(Socket socket);
  bool crowded() const;

  Loop& loop_;
  int listen_fd_;
  Readiness readiness_;
  std::size_t max_connections_;
  std::size_t connections_ = 0;
  Handler handler_;
  // Shared by all connections: what is read is taken over before another coroutine runs.
  std::vector<char> buffer_;
};

}  // namespace dockdyke::net
