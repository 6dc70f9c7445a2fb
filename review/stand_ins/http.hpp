// A small blocking HTTP/1.1 server and client, one thread per connection, for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

inline double seconds_between(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}
inline TimePoint in_seconds(double s) {
  return Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(s));
}
inline void sleep_s(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

inline std::string pack(const Json& value) {
  std::string out;
  Json::to_msgpack(value, out);
  return out;
}
inline Json unpack(const std::string& bytes) {
  if (bytes.empty()) return Json::object();
  auto value = Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  return value.is_discarded() ? Json::object() : value;
}

struct Reply {
  int status = 200;
  Json body = Json::object();
  bool drop = false;  // closes the connection without a response
  double retry_after_s = 0;
};

// Reads one message. Returns false on a closed connection, an error or the deadline.
inline bool read_message(int fd, std::string& buffer, std::string& start_line, std::string& body,
                         double& retry_after_s, bool& close_after, TimePoint deadline) {
  std::size_t header_end = std::string::npos;
  std::size_t length = 0;
  for (;;) {
    header_end = buffer.find("\r\n\r\n");
    if (header_end != std::string::npos) {
      const std::string head = buffer.substr(0, header_end + 2);
      start_line = head.substr(0, head.find("\r\n"));
      length = 0;
      retry_after_s = 0;
      close_after = false;
      std::size_t at = head.find("\r\n") + 2;
      while (at < head.size()) {
        const auto end = head.find("\r\n", at);
        std::string line = head.substr(at, end - at);
        at = end + 2;
        const auto colon = line.find(':');
        if (colon == std::string::npos) continue;
        std::string name = line.substr(0, colon);
        for (auto& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        std::string value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ') value.erase(0, 1);
        if (name == "content-length") length = std::stoul(value);
        if (name == "retry-after") retry_after_s = std::stod(value);
        if (name == "connection" && value == "close") close_after = true;
      }
      if (buffer.size() >= header_end + 4 + length) {
        body = buffer.substr(header_end + 4, length);
        buffer.erase(0, header_end + 4 + length);
        return true;
      }
    }
    const auto left_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
    if (left_ms <= 0) return false;
    pollfd waiting{fd, POLLIN, 0};
    const int ready = ::poll(&waiting, 1, static_cast<int>(std::min<long long>(left_ms, 100000)));
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) return false;
    char chunk[16384];
    const auto got = ::recv(fd, chunk, sizeof chunk, 0);
    if (got < 0 && errno == EINTR) continue;
    if (got <= 0) return false;
    buffer.append(chunk, static_cast<std::size_t>(got));
  }
}

inline bool write_all(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto sent = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a port that was free just now.
inline int free_port() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = loopback(0);
  ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

class Server {
 public:
  using Handler = std::function<Reply(const std::string& method, const std::string& target, const Json& body)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(0);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listener_, 1024) != 0)
      throw std::runtime_error("cannot listen on a loopback port");
    socklen_t size = sizeof address;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] { accept_connections(); }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void accept_connections() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        sleep_s(0.01);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    std::string buffer, line, body;
    double ignored = 0;
    bool close_after = false;
    while (read_message(fd, buffer, line, body, ignored, close_after, in_seconds(300))) {
      const auto first = line.find(' ');
      const auto second = line.find(' ', first + 1);
      Reply reply = handler_(line.substr(0, first), line.substr(first + 1, second - first - 1), unpack(body));
      if (reply.drop) break;
      const std::string bytes = pack(reply.body);
      if (!write_all(fd, "HTTP/1.1 " + std::to_string(reply.status) +
                             " X\r\nContent-Type: application/msgpack\r\nContent-Length: " +
                             std::to_string(bytes.size()) + "\r\n\r\n" + bytes) ||
          close_after)
        break;
    }
    ::close(fd);
  }

  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
};

// One call on a connection of its own. Returns std::nullopt without a response in time.
inline std::optional<Reply> call(int port, const std::string& method, const std::string& target,
                                 const std::optional<Json>& body, double timeout_s) {
  const TimePoint deadline = in_seconds(timeout_s);
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct Closer {
    int fd;
    ~Closer() { ::close(fd); }
  } closer{fd};
  auto address = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    if (errno != EINPROGRESS) return std::nullopt;
    pollfd waiting{fd, POLLOUT, 0};
    if (::poll(&waiting, 1, 500) <= 0) return std::nullopt;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return std::nullopt;
  }
  const std::string bytes = body ? pack(*body) : std::string();
  std::string request = method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1:" + std::to_string(port) +
                        "\r\nContent-Length: " + std::to_string(bytes.size()) + "\r\n";
  if (body) request += "Content-Type: application/msgpack\r\n";
  request += "\r\n" + bytes;
  if (!write_all(fd, request)) return std::nullopt;
  std::string buffer, line, response;
  Reply reply;
  bool close_after = false;
  if (!read_message(fd, buffer, line, response, reply.retry_after_s, close_after, deadline))
    return std::nullopt;
  reply.status = std::stoi(line.substr(line.find(' ') + 1));
  reply.body = unpack(response);
  return reply;
}

inline std::string query_parameter(const std::string& target, const std::string& name) {
  const auto query = target.find('?');
  if (query == std::string::npos) return {};
  std::size_t at = query + 1;
  while (at < target.size()) {
    auto end = target.find('&', at);
    if (end == std::string::npos) end = target.size();
    const std::string pair = target.substr(at, end - at);
    at = end + 1;
    if (pair.compare(0, name.size() + 1, name + "=") != 0) continue;
    std::string out;
    for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        out += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += pair[i];
      }
    }
    return out;
  }
  return {};
}

}  // namespace review
