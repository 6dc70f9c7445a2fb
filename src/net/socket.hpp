// Non-blocking TCP sockets for coroutines.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "net/address.hpp"
#include "net/event_loop.hpp"
#include "net/file_descriptor.hpp"
#include "net/task.hpp"

namespace dockdyke::net {

// What an operation on a socket came to.
enum class IoStatus {
  ok,
  closed,   // the peer closed the connection in order
  timeout,  // the deadline passed first
  reset,    // the connection broke
  refused,  // the peer accepts no connection
  failed,   // any other error of the system
};

struct IoResult {
  IoStatus status = IoStatus::ok;
  std::size_t size = 0;  // bytes transferred
  int error_number = 0;  // errno; 0 where the status does not come from a system call that failed

  explicit operator bool() const { return status == IoStatus::ok; }
};

struct ConnectResult;

// A connected socket, owned by one coroutine at a time. At most one coroutine reads and one writes; the
// socket must not be destroyed or moved from while either is suspended. The loop must outlive it.
class Socket {
 public:
  // Takes over a connected or connecting descriptor. Throws std::system_error when the loop can't watch it.
  Socket(Loop& loop, FileDescriptor fd);
  ~Socket();
  Socket(Socket&& other) noexcept = default;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  static Task<ConnectResult> connect(Loop& loop, Address to, TimePoint deadline);

  // Reads what is there, at least one byte; waits for it up to the deadline. The buffer must outlive the call
  // but is written to only just before the caller is resumed.
  Task<IoResult> read_some(std::span<char> buffer, TimePoint deadline);
  // Writes all bytes, waiting for the peer to take them up to the deadline. The bytes must outlive the call.
  Task<IoResult> write_all(std::string_view bytes, TimePoint deadline);
  // True when the peer has closed or sent something unasked for: an idle connection not worth reusing.
  bool stale();

 private:
  // Apart from the socket, so that the loop's reference to the readiness survives a move.
  struct State {
    Loop* loop;
    FileDescriptor fd;
    Readiness readiness;
    ~State();
  };
  enum class Direction { read, write };
  // Awaited, waits until the descriptor is ready; false when the deadline passed first.
  auto ready(Direction direction, TimePoint deadline);

  std::unique_ptr<State> state_;
};

// A connection, or why there is none.
struct ConnectResult {
  IoResult result;
  std::optional<Socket> socket;  // set if the result is ok
};

// Listens on an address. Throws std::system_error when it can't be had.
FileDescriptor listen_on(Address address);

}  // namespace dockdyke::net
