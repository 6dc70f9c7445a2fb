#include "net/http_server.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <string_view>

#include "constants.hpp"

namespace dockdyke::net {

namespace {

std::string_view reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

struct Accepted {
  Readiness& readiness;
  bool await_ready() const { return readiness.readable; }
  void await_suspend(std::coroutine_handle<> waiting) {
    readiness.on_readable = [waiting] { waiting.resume(); };
  }
  void await_resume() const {}
};

}  // namespace

std::string serialize(const HttpResponse& response, bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " ";
  out += reason(response.status);
  out += "\r\nContent-Length: " + std::to_string(response.body.size());
  if (!response.body.empty()) out += "\r\nContent-Type: application/msgpack";
  if (response.retry_after_s) out += "\r\nRetry-After: " + std::to_string(*response.retry_after_s);
  if (!keep_alive) out += "\r\nConnection: close";
  out += "\r\n\r\n";
  out += response.body;
  return out;
}

HttpServer::HttpServer(Loop& loop, Address address, std::size_t max_connections, Handler handler)
    : loop_(loop),
      listen_fd_(listen_on(address)),
      max_connections_(max_connections),
      handler_(std::move(handler)),
      buffer_(constants::kReadBufferBytes) {
  loop_.attach(listen_fd_, &readiness_);
}

void HttpServer::start() {
  spawn(accept_loop());
}

Task<void> HttpServer::accept_loop() {
  for (;;) {
    int taken = 0;
    while (taken < constants::kMaxAcceptsPerTurn) {
      int fd = ::accept4(listen_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) {
        if (errno == EAGAIN || errno == EWOULDBLOCK) readiness_.readable = false;
        break;
      }
      ++taken;
      if (connections_ >= max_connections_) {
        spawn(refuse(Socket(loop_, fd)));
      } else {
        ++connections_;
        spawn(serve(Socket(loop_, fd)));
      }
    }
    if (readiness_.readable) {
      // More are waiting, or the process has no descriptor left: let the others work first.
      co_await loop_.sleep(std::chrono::milliseconds(taken > 0 ? 1 : 50));
    } else {
      co_await Accepted{readiness_};
    }
  }
}

Task<void> HttpServer::refuse(Socket socket) {
  HttpResponse response{503, {}, constants::kRetryAfterSeconds};
  const auto bytes = serialize(response, false);
  co_await socket.write_all(bytes, loop_.now() + std::chrono::seconds(1));
}

bool HttpServer::crowded() const {
  return static_cast<double>(connections_) >
         constants::kKeepAliveConnectionShare * static_cast<double>(max_connections_);
}

Task<void> HttpServer::serve(Socket socket) {
  HttpParser parser(HttpParser::Kind::request, constants::kMaxRequestBodyBytes);
  std::string pending;
  bool open = true;
  while (open) {
    TimePoint deadline = loop_.now() + constants::kIdleConnectionTimeout;
    bool timing_request = false;
    while (open) {
      if (!pending.empty()) {
        auto used = parser.feed(pending);
        pending.erase(0, used);
      }
      if (parser.complete() || parser.error() != 0) break;
      if (parser.started() && !timing_request) {
        timing_request = true;
        deadline = loop_.now() + constants::kRequestReadTimeout;
      }
      const ReadResult got = co_await socket.read_some(buffer_, deadline);
      if (got.status != IoStatus::ok) {
        open = false;
      } else {
        pending.append(buffer_.data(), got.size);
      }
    }
    if (!open) break;
    HttpResponse response;
    bool keep_alive = false;
    if (parser.error() != 0) {
      response.status = parser.error();
    } else {
      auto request = parser.take();
      const bool asked_to_keep = request.keep_alive;
      response = co_await handler_(std::move(request));
      keep_alive = asked_to_keep && !crowded();
    }
    const auto bytes = serialize(response, keep_alive);
    const IoStatus sent = co_await socket.write_all(bytes, loop_.now() + constants::kResponseWriteTimeout);
    open = keep_alive && sent == IoStatus::ok;
  }
  --connections_;
}

}  // namespace dockdyke::net
