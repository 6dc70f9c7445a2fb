// An HTTP server: each connection is served by one coroutine that reads, handles and answers one request at a
// time. Requests are not pipelined (PROTOCOL, introduction).
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

// The coroutines that serve its connections refer to the server, so it must outlive the last turn of the
// loop. The loop must outlive the server.
class HttpServer {
 public:
  // Handles one request. An exception that leaves it ends the process.
  using Handler = std::function<Task<HttpResponse>(HttpMessage)>;

  // Listens at once; throws std::system_error when the address can't be had. Serves at most `max_connections`
  // at once; one more is told 503 and closed. When that comes near, connections are closed after their
  // response, so that more peers than there are sockets take turns.
  HttpServer(Loop& loop, Address address, std::size_t max_connections, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Begins to accept connections. Called once.
  void start();
  // Number of connections that are being served.
  std::size_t connections() const { return connections_; }

 private:
  struct Connection;

  Task<void> accept_connections();
  // Accepts up to kMaxAcceptsPerIteration connections that wait; returns how many those were.
  int accept_waiting();
  void start_connection(Socket socket);
  Task<void> serve(Socket socket);
  Task<void> refuse(Socket socket);
  // Reads until the connection's parser has a whole request or refuses it. False when the connection is to be
  // closed: idle or slow for too long, or closed by the peer.
  Task<bool> read_request(Connection& connection);
  // Answers the request that has been read. False when the connection is to be closed.
  Task<bool> answer_request(Connection& connection);
  bool crowded() const;

  Loop& loop_;
  FileDescriptor listener_;
  Readiness listener_readiness_;
  std::size_t max_connections_;
  std::size_t connections_ = 0;
  Handler handler_;
  // Shared by all connections: what is read is taken over before another coroutine runs.
  std::vector<char> buffer_;
};

}  // namespace dockdyke::net
