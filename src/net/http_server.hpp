// An HTTP server with one coroutine per connection, which handles one request at a time.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "net/address.hpp"
#include "net/file_descriptor.hpp"
#include "net/http_message.hpp"
#include "net/http_parser.hpp"
#include "net/loop.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace dockdyke::net {

// Accepts connections and passes their requests to a handler. The coroutines of the connections refer to the
// server, so it must outlive the last iteration of the loop. The loop must outlive the server.
class HttpServer {
 public:
  // Handles one request. An exception that leaves the handler terminates the process.
  using Handler = std::function<Task<HttpResponse>(HttpMessage)>;

  // Listens on the address; throws std::system_error on failure. Serves at most `max_connections` at a time;
  // further connections receive status 503 and are closed. Near the limit, connections are closed after each
  // response, so that a larger number of peers can share the available connections.
  HttpServer(Loop& loop, Address address, std::size_t max_connections, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts to accept connections. Must be called only once.
  void start();
  // Returns the number of connections that are being served.
  std::size_t connection_count() const { return connection_count_; }

 private:
  struct Connection;

  Task<void> accept_connections();
  // Accepts up to kMaxAcceptsPerIteration pending connections and returns their number.
  int accept_pending();
  void start_connection(Socket socket);
  Task<void> serve_connection(Socket socket);
  Task<void> reject_connection(Socket socket);
  // Reads until the parser has a complete request or rejects it. Returns false if the connection must be
  // closed because of an idle or read timeout, an error, or because the peer closed it.
  Task<bool> read_request(Connection& connection);
  // Responds to the request that was read, or with its parse error. Returns false if the connection must be
  // closed afterwards.
  Task<bool> respond(Connection& connection);
  // Returns true if there are too many connections to keep them open after a response.
  bool near_connection_limit() const;

  Loop& loop_;
  FileDescriptor listener_;
  Readiness listener_readiness_;
  std::size_t max_connections_;
  std::size_t connection_count_ = 0;
  Handler handler_;
  // Shared by all connections, because received bytes are copied before another coroutine runs.
  std::vector<char> buffer_;
};

}  // namespace dockdyke::net
