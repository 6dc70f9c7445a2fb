// Calls to other services over kept-alive connections. Every call has a timeout.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "constants.hpp"
#include "net/http_parser.hpp"
#include "net/loop.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace dockdyke::net {

// What a call came to. Without a response the request may have been carried out, or may yet be.
struct CallResult {
  std::optional<HttpMessage> response;
  // True when no byte of the request can have reached the other side.
  bool never_sent = false;
};

// How the rest of the program reaches other hosts; tests put an in-memory network in its place.
class Transport {
 public:
  virtual ~Transport() = default;
  virtual Task<CallResult> call(Address to, std::string method, std::string target, std::string body,
                                Duration timeout) = 0;
};

class HttpClient : public Transport {
 public:
  explicit HttpClient(Loop& loop) : loop_(loop), buffer_(constants::kReadBufferBytes) {}
  Task<CallResult> call(Address to, std::string method, std::string target, std::string body,
                        Duration timeout) override;

 private:
  struct Idle {
    Socket socket;
    TimePoint since;
  };
  std::optional<Socket> reuse(Address to);
  void keep(Address to, Socket socket);
  CallResult give_up(Address to);

  Loop& loop_;
  std::map<Address, std::deque<Idle>> idle_;
  // Shared by all calls: what is read is taken over before another coroutine runs.
  std::vector<char> buffer_;
};

}  // namespace dockdyke::net
