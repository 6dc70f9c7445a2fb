#include "net/socket.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <system_error>

#include "constants.hpp"

namespace dockdyke::net {

namespace {

sockaddr_in to_sockaddr(Address address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  out.sin_addr.s_addr = htonl(address.ip);
  return out;
}

void disable_delay(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

std::optional<Address> Address::parse(std::string_view text) {
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  in_addr ip{};
  if (::inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) != 1) return std::nullopt;
  auto digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc{} || end != digits.data() + digits.size() || port == 0) return std::nullopt;
  return Address{ntohl(ip.s_addr), port};
}

std::string Address::text() const {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) {
    out += std::to_string((ip >> shift) & 0xff);
    if (shift > 0) out += '.';
  }
  return out + ":" + std::to_string(port);
}

Socket::State::~State() {
  loop->detach(fd);
  ::close(fd);
}

Socket::Socket(Loop& loop, int fd) : state_(new State{&loop, fd, {}}) {
  loop.attach(fd, &state_->readiness);
  disable_delay(fd);
}

Socket::~Socket() = default;

Socket& Socket::operator=(Socket&& other) noexcept {
  state_ = std::move(other.state_);
  return *this;
}

auto Socket::ready(Direction direction, TimePoint deadline) {
  struct Awaiter {
    State& state;
    bool reading;
    TimePoint deadline;
    std::optional<Loop::TimerKey> timer;
    bool in_time = true;

    bool await_ready() const { return reading ? state.readiness.readable : state.readiness.writable; }
    void await_suspend(std::coroutine_handle<> waiting) {
      auto& slot = reading ? state.readiness.on_readable : state.readiness.on_writable;
      slot = [this, waiting] {
        if (timer) state.loop->cancel(*timer);
        waiting.resume();
      };
      timer = state.loop->at(deadline, [this, waiting] {
        (reading ? state.readiness.on_readable : state.readiness.on_writable) = nullptr;
        in_time = false;
        waiting.resume();
      });
    }
    bool await_resume() const { return in_time; }
  };
  return Awaiter{*state_, direction == Direction::read, deadline, std::nullopt};
}

Task<std::optional<Socket>> Socket::connect(Loop& loop, Address to, TimePoint deadline) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) co_return std::nullopt;
  auto target = to_sockaddr(to);
  const int result = ::connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof target);
  const int connect_error = result == 0 ? 0 : errno;
  std::optional<Socket> out(std::in_place, loop, fd);
  if (result != 0) {
    if (connect_error != EINPROGRESS) co_return std::nullopt;
    out->state_->readiness.writable = false;
    const bool in_time = co_await out->ready(Direction::write, deadline);
    if (!in_time) co_return std::nullopt;
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) co_return std::nullopt;
  }
  co_return out;
}

Task<ReadResult> Socket::read_some(std::span<char> buffer, TimePoint deadline) {
  for (;;) {
    auto got = ::recv(state_->fd, buffer.data(), buffer.size(), 0);
    if (got > 0) co_return ReadResult{IoStatus::ok, static_cast<std::size_t>(got)};
    if (got == 0) co_return ReadResult{IoStatus::closed, 0};
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) co_return ReadResult{IoStatus::closed, 0};
    state_->readiness.readable = false;
    const bool in_time = co_await ready(Direction::read, deadline);
    if (!in_time) co_return ReadResult{IoStatus::timeout, 0};
  }
}

Task<IoStatus> Socket::write_all(std::string_view bytes, TimePoint deadline) {
  while (!bytes.empty()) {
    auto sent = ::send(state_->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) co_return IoStatus::closed;
    state_->readiness.writable = false;
    const bool in_time = co_await ready(Direction::write, deadline);
    if (!in_time) co_return IoStatus::timeout;
  }
  co_return IoStatus::ok;
}

bool Socket::stale() {
  // Readiness is edge-triggered and remembered, so this asks the kernel only when something happened.
  if (!state_->readiness.readable) return false;
  char byte;
  auto got = ::recv(state_->fd, &byte, 1, MSG_PEEK);
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    state_->readiness.readable = false;
    return false;
  }
  return true;
}

int listen_on(Address address) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), "socket");
  int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto local = to_sockaddr(address);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof local) != 0 ||
      ::listen(fd, constants::kListenBacklog) != 0) {
    int error = errno;
    ::close(fd);
    throw std::system_error(error, std::generic_category(), "listening on " + address.text());
  }
  return fd;
}

}  // namespace dockdyke::net
