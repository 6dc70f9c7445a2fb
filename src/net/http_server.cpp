#include "net/http_server.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <utility>

#include "constants.hpp"
#include "net/http_status.hpp"

namespace dockdyke::net {

namespace {

using namespace std::chrono_literals;

// Delay before more pending connections are accepted, so that existing connections are not starved.
constexpr auto kAcceptDelay = 1ms;
// Delay before the next attempt when the process has run out of file descriptors.
constexpr auto kNoDescriptorDelay = 50ms;
// Write timeout for the response to a connection above the limit.
constexpr auto kRejectionWriteTimeout = 1s;

// Awaitable that resumes the coroutine when the listener has a pending connection.
class ListenerReadable {
 public:
  explicit ListenerReadable(Readiness& listener) : listener_(listener) {}
  ListenerReadable(const ListenerReadable&) = delete;
  ListenerReadable& operator=(const ListenerReadable&) = delete;
  ~ListenerReadable() { listener_.on_readable = nullptr; }
  bool await_ready() const { return listener_.readable; }
  void await_suspend(std::coroutine_handle<> waiting) {
    listener_.on_readable = [waiting] { waiting.resume(); };
  }
  void await_resume() const {}

 private:
  Readiness& listener_;
};

}  // namespace

// The state of one connection, owned by the coroutine that serves it.
struct HttpServer::Connection {
  Socket socket;
  HttpParser parser;
  std::string unparsed;  // received, but not yet consumed by the parser
};

HttpServer::HttpServer(Loop& loop, Address address, std::size_t max_connections, Handler handler)
    : loop_(loop),
      listener_(listen_on(address)),
      max_connections_(max_connections),
      handler_(std::move(handler)),
      buffer_(constants::kReadBufferBytes) {
  loop_.attach(listener_.get(), &listener_readiness_);
}

HttpServer::~HttpServer() {
  loop_.detach(listener_.get());
}

void HttpServer::start() {
  spawn(accept_connections());
}

Task<void> HttpServer::accept_connections() {
  for (;;) {
    const int accepted = accept_pending();
    if (listener_readiness_.readable) {
      // More connections are pending, or the process has run out of file descriptors.
      co_await loop_.sleep(accepted > 0 ? kAcceptDelay : kNoDescriptorDelay);
    } else {
      co_await ListenerReadable(listener_readiness_);
    }
  }
}

int HttpServer::accept_pending() {
  int accepted = 0;
  while (accepted < constants::kMaxAcceptsPerIteration) {
    FileDescriptor fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd.valid()) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) listener_readiness_.readable = false;
      break;
    }
    ++accepted;
    start_connection(Socket(loop_, std::move(fd)));
  }
  return accepted;
}

void HttpServer::start_connection(Socket socket) {
  if (connection_count_ >= max_connections_) {
    spawn(reject_connection(std::move(socket)));
  } else {
    ++connection_count_;
    spawn(serve_connection(std::move(socket)));
  }
}

Task<void> HttpServer::reject_connection(Socket socket) {
  const HttpResponse response{http_status::kServiceUnavailable, {}, constants::kRetryAfterSeconds};
  const auto bytes = serialize(response, false);
  co_await socket.write_all(bytes, loop_.now() + kRejectionWriteTimeout);
}

bool HttpServer::near_connection_limit() const {
  return static_cast<double>(connection_count_) >
         constants::kKeepAliveConnectionFraction * static_cast<double>(max_connections_);
}

Task<void> HttpServer::serve_connection(Socket socket) {
  Connection connection{
      std::move(socket), HttpParser(HttpParser::Kind::request, constants::kMaxRequestBodyBytes), {}};
  bool open = true;
  while (open) {
    open = co_await read_request(connection);
    if (open) open = co_await respond(connection);
  }
  --connection_count_;
}

Task<bool> HttpServer::read_request(Connection& connection) {
  HttpParser& parser = connection.parser;
  TimePoint deadline = loop_.now() + constants::kIdleConnectionTimeout;
  bool request_started = false;
  for (;;) {
    const std::size_t parsed = parser.feed(connection.unparsed);
    connection.unparsed.erase(0, parsed);
    if (parser.complete() || parser.error() != 0) co_return true;
    if (parser.started() && !request_started) {
      request_started = true;
      deadline = loop_.now() + constants::kRequestReadTimeout;
    }
    const IoResult received = co_await connection.socket.read_some(buffer_, deadline);
    if (!received) co_return false;
    connection.unparsed.append(buffer_.data(), received.size);
  }
}

Task<bool> HttpServer::respond(Connection& connection) {
  HttpResponse response;
  bool keep_alive = false;
  if (connection.parser.error() != 0) {
    response.status = connection.parser.error();
  } else {
    HttpMessage request = connection.parser.take_message();
    const bool client_allows_keep_alive = request.keep_alive;
    response = co_await handler_(std::move(request));
    keep_alive = client_allows_keep_alive && !near_connection_limit();
  }
  const auto bytes = serialize(response, keep_alive);
  const TimePoint deadline = loop_.now() + constants::kResponseWriteTimeout;
  const IoResult sent = co_await connection.socket.write_all(bytes, deadline);
  co_return keep_alive&& sent;
}

}  // namespace dockdyke::net
