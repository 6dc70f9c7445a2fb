// A non-blocking TCP socket owned by one coroutine at a time.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "net/loop.hpp"
#include "net/task.hpp"

namespace dockdyke::net {

// An IPv4 address with a port, as the settings write it: "10.0.0.1:8080".
struct Address {
  std::uint32_t ip = 0;  // host byte order
  std::uint16_t port = 0;

  static std::optional<Address> parse(std::string_view text);
  std::string text() const;
  auto operator<=>(const Address&) const = default;
};

enum class IoStatus { ok, closed, timeout };

struct ReadResult {
  IoStatus status;
  std::size_t size;
};

class Socket {
 public:
  Socket(Loop& loop, int fd);
  ~Socket();
  Socket(Socket&& other) noexcept = default;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  static Task<std::optional<Socket>> connect(Loop& loop, Address to, TimePoint deadline);

  Task<ReadResult> read_some(std::span<char> buffer, TimePoint deadline);
  Task<IoStatus> write_all(std::string_view bytes, TimePoint deadline);
  // True when the peer has closed or sent something unasked for: an idle connection not worth reusing.
  bool stale();
  int fd() const { return state_->fd; }

 private:
  struct State {
    Loop* loop;
    int fd;
    Readiness readiness;
    ~State();
  };
  enum class Direction { read, write };
  // Waits until the descriptor is ready; false when the deadline passed first.
  auto ready(Direction direction, TimePoint deadline);

  std::unique_ptr<State> state_;
};

// Listens on an address and returns the descriptor; throws when the address can't be had.
int listen_on(Address address);

}  // namespace dockdyke::net
