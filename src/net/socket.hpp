// Non-blocking TCP sockets for use in coroutines.
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

// The outcome of a socket operation.
enum class IoStatus {
  ok,
  closed,   // the peer closed the connection
  timeout,  // the deadline passed
  reset,    // the connection was reset
  refused,  // the peer refused the connection
  failed,   // any other system error
};

struct IoResult {
  IoStatus status = IoStatus::ok;
  std::size_t size = 0;  // bytes transferred
  int error_number = 0;  // errno of the failed system call, or 0 if none failed

  explicit operator bool() const { return status == IoStatus::ok; }
};

struct ConnectResult;

// A connected socket. At most one coroutine reads from it and one writes to it at a time; the socket must not
// be destroyed or moved from while either is suspended. The loop must outlive it.
class Socket {
 public:
  // Takes ownership of a connected or connecting descriptor. Throws std::system_error if the loop cannot
  // watch it.
  Socket(Loop& loop, FileDescriptor fd);
  ~Socket();
  Socket(Socket&& other) noexcept = default;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  static Task<ConnectResult> connect(Loop& loop, Address to, TimePoint deadline);

  // Reads the available bytes, waiting until the deadline for at least one. The buffer must outlive the call,
  // but is written to only immediately before the caller resumes, so sockets may share it.
  Task<IoResult> read_some(std::span<char> buffer, TimePoint deadline);
  // Writes all bytes, waiting until the deadline while the send buffer is full. The bytes must outlive the
  // call.
  Task<IoResult> write_all(std::string_view bytes, TimePoint deadline);
  // Returns true if an idle connection cannot be reused: the peer has closed it or sent unexpected data.
  bool stale();

 private:
  // Allocated separately, so that the loop's pointer to the readiness stays valid when the Socket is moved.
  struct State {
    Loop* loop;
    FileDescriptor fd;
    Readiness readiness;
    ~State();
  };
  enum class Direction { read, write };
  // Returns an awaitable that yields true when the descriptor is ready, or false if the deadline passes
  // first.
  auto wait_until_ready(Direction direction, TimePoint deadline);

  std::unique_ptr<State> state_;
};

// The result of a connection attempt.
struct ConnectResult {
  IoResult result;
  std::optional<Socket> socket;  // set if and only if the result is ok
};

// Returns a socket that listens on the address. Throws std::system_error on failure.
FileDescriptor listen_on(Address address);

}  // namespace dockdyke::net
