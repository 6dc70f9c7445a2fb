// An incremental HTTP/1.1 parser for requests and responses. Takes bytes in any portions.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_message.hpp"

namespace dockdyke::net {

// Parses one message at a time. Strict where leniency would let two readers of the same bytes see different
// messages: repeated lengths, folded headers, lengths together with chunks.
class HttpParser {
 public:
  enum class Kind { request, response };

  // `max_body_bytes`: a longer body is refused.
  HttpParser(Kind kind, std::size_t max_body_bytes) : kind_(kind), max_body_bytes_(max_body_bytes) {}

  // Takes what belongs to the current message and returns how many bytes that was.
  std::size_t feed(std::string_view bytes);
  // Tells that the peer closed the connection, which completes a response that has no stated length.
  void finish();

  // The message is whole: take() returns it, and feed() takes nothing until then.
  bool complete() const { return state_ == State::complete; }
  // 0, or the status with which to refuse the message (400, 413, 431, 501); then nothing more is parsed.
  int error() const { return error_; }
  // True once a byte of the current message has been taken.
  bool started() const { return state_ != State::start_line || !line_.empty() || head_bytes_ > 0; }
  // Returns the complete message and starts on the next one.
  HttpMessage take();

 private:
  enum class State {
    start_line,
    headers,
    body,        // of a stated length
    chunk_size,  // the line before a chunk's data
    chunk_data,
    chunk_end,    // the line end after a chunk's data
    trailers,     // headers after the last chunk; ignored
    until_close,  // a body that ends with the connection
    complete,
    failed,
  };
  // How the end of the body is found.
  struct BodyFraming {
    std::optional<std::size_t> length;
    bool chunked = false;
  };

  void fail(int status);

  // Each takes the first part of `bytes` and returns how many that was.
  std::size_t consume(std::string_view bytes);
  std::size_t consume_line(std::string_view bytes);
  std::size_t consume_counted(std::string_view bytes, State next);
  void append_body(std::string_view bytes);

  void on_line(std::string_view line);
  void on_start_line(std::string_view line);
  void on_header(std::string_view line);
  void on_chunk_size(std::string_view line);
  bool parse_status_line(std::string_view line);
  bool parse_request_line(std::string_view line);

  void on_headers_complete();
  // Reads the headers that say where the body and the connection end; nothing after a failure.
  std::optional<BodyFraming> read_framing();
  bool read_content_length(const std::string& value, BodyFraming& framing);
  bool read_transfer_encoding(const std::string& value, BodyFraming& framing);
  void read_connection(const std::string& value);
  void start_body(const BodyFraming& framing);

  Kind kind_;
  std::size_t max_body_bytes_;
  State state_ = State::start_line;
  int error_ = 0;
  std::string line_;            // the part of the current line that has come
  std::size_t head_bytes_ = 0;  // of all lines since the start or since the last chunk
  std::size_t remaining_ = 0;   // bytes to come of the body or the chunk
  HttpMessage message_;
};

}  // namespace dockdyke::net
