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

// Pause before more waiting connections are accepted, so that those that are served get their turn.
constexpr auto kAcceptPause = 1ms;
// The same when none could be accepted since the process has no descriptor left.
constexpr auto kNoDescriptorPause = 50ms;
// Time that a peer which is refused a connection has to take the response.
constexpr auto kRefusalWriteTimeout = 1s;

// Awaited, waits until a connection can be accepted.
class ConnectionWaiting {
 public:
  explicit ConnectionWaiting(Readiness& listener) : listener_(listener) {}
  ConnectionWaiting(const ConnectionWaiting&) = delete;
  ConnectionWaiting& operator=(const ConnectionWaiting&) = delete;
  ~ConnectionWaiting() { listener_.on_readable = nullptr; }
  bool await_ready() const { return listener_.readable; }
  void await_suspend(std::coroutine_handle<> waiting) {
    listener_.on_readable = [waiting] { waiting.resume(); };
  }
  void await_resume() const {}

 private:
  Readiness& listener_;
};

}  // namespace

// Owned by the coroutine that serves it.
struct HttpServer::Connection {
  Socket socket;
  HttpParser parser;
  std::string unparsed;  // received, but not yet taken by the parser
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
    const int accepted = accept_waiting();
    if (listener_readiness_.readable) {
      // More are waiting, or the process has no descriptor left: let the others work first.
      co_await loop_.sleep(accepted > 0 ? kAcceptPause : kNoDescriptorPause);
    } else {
      co_await ConnectionWaiting(listener_readiness_);
    }
  }
}

int HttpServer::accept_waiting() {
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
  if (connections_ >= max_connections_) {
    spawn(refuse(std::move(socket)));
  } else {
    ++connections_;
    spawn(serve(std::move(socket)));
  }
}

Task<void> HttpServer::refuse(Socket socket) {
  const HttpResponse response{http_status::kServiceUnavailable, {}, constants::kRetryAfterSeconds};
  const auto bytes = serialize(response, false);
  co_await socket.write_all(bytes, loop_.now() + kRefusalWriteTimeout);
}

bool HttpServer::crowded() const {
  return static_cast<double>(connections_) >
         constants::kKeepAliveConnectionFraction * static_cast<double>(max_connections_);
}

Task<void> HttpServer::serve(Socket socket) {
  Connection connection{
      std::move(socket), HttpParser(HttpParser::Kind::request, constants::kMaxRequestBodyBytes), {}};
  bool open = true;
  while (open) {
    open = co_await read_request(connection);
    if (open) open = co_await answer_request(connection);
  }
  --connections_;
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

Task<bool> HttpServer::answer_request(Connection& connection) {
  HttpResponse response;
  bool keep_alive = false;
  if (connection.parser.error() != 0) {
    response.status = connection.parser.error();
  } else {
    HttpMessage request = connection.parser.take();
    const bool client_keeps_alive = request.keep_alive;
    response = co_await handler_(std::move(request));
    keep_alive = client_keeps_alive && !crowded();
  }
  const auto bytes = serialize(response, keep_alive);
  const TimePoint deadline = loop_.now() + constants::kResponseWriteTimeout;
  const IoResult sent = co_await connection.socket.write_all(bytes, deadline);
  co_return keep_alive&& sent;
}

}  // namespace dockdyke::net
