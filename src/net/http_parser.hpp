// An incremental HTTP/1.1 parser for requests and responses. Takes bytes in any portions.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dockdyke::net {

struct Header {
  std::string name;  // lower case
  std::string value;
};

struct HttpMessage {
  // Request line or status line; the other's fields stay empty.
  std::string method;
  std::string target;
  int status = 0;

  std::vector<Header> headers;
  std::string body;
  bool keep_alive = true;

  std::optional<std::string_view> header(std::string_view lower_case_name) const;
  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

class HttpParser {
 public:
  enum class Kind { request, response };

  HttpParser(Kind kind, std::size_t max_body) : kind_(kind), max_body_(max_body) {}

  // Takes what belongs to the current message and returns how many bytes that was.
  std::size_t feed(std::string_view bytes);
  // The peer closed the connection; completes a response that has no stated length.
  void finish();

  bool complete() const { return state_ == State::complete; }
  // 0, or the status to refuse the message with (400, 413, 431, 501).
  int error() const { return error_; }
  bool started() const { return state_ != State::head || !line_.empty() || head_bytes_ > 0; }
  HttpMessage take();

 private:
  enum class State { head, body, chunk_size, chunk_data, chunk_end, trailer, until_close, complete, failed };

  void fail(int status);
  void on_line(std::string_view line);
  bool start_line(std::string_view line);
  void header_line(std::string_view line);
  void head_done();
  void append_body(std::string_view bytes);

  Kind kind_;
  std::size_t max_body_;
  State state_ = State::head;
  int error_ = 0;
  std::string line_;
  std::size_t head_bytes_ = 0;
  bool have_start_ = false;
  std::size_t remaining_ = 0;
  HttpMessage message_;
};

}  // namespace dockdyke::net
