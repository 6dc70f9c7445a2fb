#include "net/socket.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>
#include <utility>

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

FileDescriptor open_tcp_socket() {
  return FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

// Messages are written as a whole, so Nagle's algorithm would only delay their last segment.
void disable_nagle(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool would_block(int error_number) {
  return error_number == EAGAIN || error_number == EWOULDBLOCK;
}

IoResult io_failure(int error_number) {
  switch (error_number) {
    case EPIPE:
      return {IoStatus::closed, 0, error_number};
    case ECONNRESET:
      return {IoStatus::reset, 0, error_number};
    case ECONNREFUSED:
      return {IoStatus::refused, 0, error_number};
    default:
      return {IoStatus::failed, 0, error_number};
  }
}

// Returns the error of a completed connection attempt, or 0 if it succeeded.
int pending_error(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

}  // namespace

Socket::State::~State() {
  loop->detach(fd.get());
}

Socket::Socket(Loop& loop, FileDescriptor fd) : state_(new State{&loop, std::move(fd), {}}) {
  loop.attach(state_->fd.get(), &state_->readiness);
  disable_nagle(state_->fd.get());
}

Socket::~Socket() = default;

Socket& Socket::operator=(Socket&& other) noexcept {
  state_ = std::move(other.state_);
  return *this;
}

auto Socket::wait_until_ready(Direction direction, TimePoint deadline) {
  // Lives in the frame of the suspended coroutine. The first of event and timer deregisters the other.
  class Awaiter {
   public:
    Awaiter(State& state, bool reading, TimePoint deadline)
        : loop_(*state.loop),
          ready_(reading ? state.readiness.readable : state.readiness.writable),
          on_ready_(reading ? state.readiness.on_readable : state.readiness.on_writable),
          deadline_(deadline) {}
    Awaiter(const Awaiter&) = delete;
    Awaiter& operator=(const Awaiter&) = delete;
    ~Awaiter() {
      if (!timer_) return;
      // The coroutine is destroyed while it waits, so the timer and the callback are still registered.
      loop_.cancel(*timer_);
      on_ready_ = nullptr;
    }
    bool await_ready() const { return ready_; }
    void await_suspend(std::coroutine_handle<> waiting) {
      on_ready_ = [this, waiting] {
        loop_.cancel(*std::exchange(timer_, std::nullopt));
        waiting.resume();
      };
      timer_ = loop_.call_at(deadline_, [this, waiting] {
        timer_.reset();
        on_ready_ = nullptr;
        in_time_ = false;
        waiting.resume();
      });
    }
    bool await_resume() const { return in_time_; }

   private:
    Loop& loop_;
    const bool& ready_;
    std::function<void()>& on_ready_;
    TimePoint deadline_;
    std::optional<Loop::TimerKey> timer_;  // set while the coroutine is suspended
    bool in_time_ = true;
  };
  return Awaiter(*state_, direction == Direction::read, deadline);
}

Task<ConnectResult> Socket::connect(Loop& loop, Address to, TimePoint deadline) {
  FileDescriptor fd = open_tcp_socket();
  if (!fd.valid()) co_return ConnectResult{io_failure(errno), std::nullopt};
  auto target = to_sockaddr(to);
  const int connected = ::connect(fd.get(), reinterpret_cast<sockaddr*>(&target), sizeof target);
  const int connect_error = connected == 0 ? 0 : errno;
  if (connect_error != 0 && connect_error != EINPROGRESS)
    co_return ConnectResult{io_failure(connect_error), std::nullopt};
  Socket socket(loop, std::move(fd));
  if (connect_error == EINPROGRESS) {
    socket.state_->readiness.writable = false;
    const bool in_time = co_await socket.wait_until_ready(Direction::write, deadline);
    if (!in_time) co_return ConnectResult{{IoStatus::timeout, 0, 0}, std::nullopt};
    const int error = pending_error(socket.state_->fd.get());
    if (error != 0) co_return ConnectResult{io_failure(error), std::nullopt};
  }
  co_return ConnectResult{{}, std::move(socket)};
}

Task<IoResult> Socket::read_some(std::span<char> buffer, TimePoint deadline) {
  for (;;) {
    const auto received = ::recv(state_->fd.get(), buffer.data(), buffer.size(), 0);
    if (received > 0) co_return IoResult{IoStatus::ok, static_cast<std::size_t>(received), 0};
    if (received == 0) co_return IoResult{IoStatus::closed, 0, 0};
    const int error = errno;
    if (error == EINTR) continue;
    if (!would_block(error)) co_return io_failure(error);
    state_->readiness.readable = false;
    const bool in_time = co_await wait_until_ready(Direction::read, deadline);
    if (!in_time) co_return IoResult{IoStatus::timeout, 0, 0};
  }
}

Task<IoResult> Socket::write_all(std::string_view bytes, TimePoint deadline) {
  const std::size_t size = bytes.size();
  while (!bytes.empty()) {
    const auto sent = ::send(state_->fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    const int error = errno;
    if (error == EINTR) continue;
    if (!would_block(error)) co_return io_failure(error);
    state_->readiness.writable = false;
    const bool in_time = co_await wait_until_ready(Direction::write, deadline);
    if (!in_time) co_return IoResult{IoStatus::timeout, size - bytes.size(), 0};
  }
  co_return IoResult{IoStatus::ok, size, 0};
}

bool Socket::stale() {
  // If the loop has reported no event since the last read that would have blocked, there is nothing to read.
  if (!state_->readiness.readable) return false;
  char byte;
  const auto received = ::recv(state_->fd.get(), &byte, 1, MSG_PEEK);
  if (received < 0 && would_block(errno)) {
    state_->readiness.readable = false;
    return false;
  }
  return true;
}

FileDescriptor listen_on(Address address) {
  FileDescriptor fd = open_tcp_socket();
  if (!fd.valid()) throw std::system_error(errno, std::generic_category(), "socket");
  const int on = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto local = to_sockaddr(address);
  if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&local), sizeof local) != 0 ||
      ::listen(fd.get(), constants::kListenBacklog) != 0) {
    const int error = errno;
    throw std::system_error(error, std::generic_category(), "listening on " + address.text());
  }
  return fd;
}

}  // namespace dockdyke::net
