// An incremental HTTP/1.1 parser for requests and responses.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_message.hpp"

namespace dockdyke::net {

// Parses one message at a time from input split at arbitrary points. Rejects ambiguous framing that would
// allow request smuggling: differing lengths, folded headers, and a length together with chunked encoding.
class HttpParser {
 public:
  enum class Kind { request, response };

  // Messages with a body longer than `max_body_bytes` are rejected.
  HttpParser(Kind kind, std::size_t max_body_bytes) : kind_(kind), max_body_bytes_(max_body_bytes) {}

  // Parses the bytes that belong to the current message and returns their number.
  std::size_t feed(std::string_view bytes);
  // Signals that the peer closed the connection, which completes a response without a length.
  void finish();

  // Returns true if a message is complete. feed() then consumes nothing until take_message() is called.
  bool complete() const { return state_ == State::complete; }
  // Returns the status with which to reject the message (400, 413, 431, 501), or 0 if there is no error.
  // After an error nothing more is parsed.
  int error() const { return error_; }
  // Returns true if at least one byte of the current message has been consumed.
  bool started() const { return state_ != State::start_line || !line_.empty() || header_bytes_ > 0; }
  // Returns the complete message and resets the parser for the next one.
  HttpMessage take_message();

 private:
  enum class State {
    start_line,
    headers,
    body,        // a body with a Content-Length
    chunk_size,  // the line before the data of a chunk
    chunk_data,
    chunk_end,    // the end of line after the data of a chunk
    trailers,     // header fields after the last chunk; ignored
    until_close,  // a body that ends when the connection is closed
    complete,
    failed,
  };
  // How the end of the body is determined.
  struct BodyFraming {
    std::optional<std::size_t> length;
    bool chunked = false;
  };

  void fail(int status);

  // Each consumes a prefix of `bytes` and returns its length.
  std::size_t consume(std::string_view bytes);
  std::size_t consume_line(std::string_view bytes);
  std::size_t consume_data(std::string_view bytes, State next);
  void append_body(std::string_view bytes);

  void on_line(std::string_view line);
  void on_start_line(std::string_view line);
  void on_header(std::string_view line);
  void on_chunk_size(std::string_view line);
  bool parse_status_line(std::string_view line);
  bool parse_request_line(std::string_view line);

  void on_headers_complete();
  // Evaluates the headers that determine the framing of the body and keep-alive. Returns std::nullopt on
  // error.
  std::optional<BodyFraming> read_framing();
  bool read_content_length(const std::string& value, BodyFraming& framing);
  bool read_transfer_encoding(const std::string& value, BodyFraming& framing);
  void read_connection(const std::string& value);
  void start_body(const BodyFraming& framing);

  Kind kind_;
  std::size_t max_body_bytes_;
  State state_ = State::start_line;
  int error_ = 0;
  std::string line_;              // the received part of the current line
  std::size_t header_bytes_ = 0;  // size of all lines since the start of the message or the last chunk
  std::size_t remaining_ = 0;     // bytes of the body or the chunk not yet received
  HttpMessage message_;
};

}  // namespace dockdyke::net
