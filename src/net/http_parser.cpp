#include "net/http_parser.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <system_error>
#include <utility>

#include "constants.hpp"
#include "net/http_status.hpp"

namespace dockdyke::net {

namespace {

constexpr int kDecimalBase = 10;
constexpr int kHexadecimalBase = 16;
constexpr std::size_t kStatusDigits = 3;
constexpr std::string_view kHttp11 = "HTTP/1.1";
constexpr std::string_view kHttp10 = "HTTP/1.0";
constexpr std::string_view kHttp1Prefix = "HTTP/1.";

bool is_token_char(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

bool is_target(std::string_view text) {
  const auto printable = [](unsigned char c) { return c > 0x20 && c < 0x7f; };
  return text.starts_with('/') && std::all_of(text.begin(), text.end(), printable);
}

bool has_control_char(std::string_view text) {
  const auto control = [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; };
  return std::any_of(text.begin(), text.end(), control);
}

std::string to_lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// Returns std::nullopt if the text is not a number in this base or the number is too large.
std::optional<std::size_t> parse_number(std::string_view text, int base) {
  std::size_t value = 0;
  const char* const text_end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), text_end, value, base);
  if (text.empty() || error != std::errc{} || parsed_end != text_end) return std::nullopt;
  return value;
}

}  // namespace

void HttpParser::fail(int status) {
  error_ = status;
  state_ = State::failed;
}

std::size_t HttpParser::feed(std::string_view bytes) {
  const std::size_t input_size = bytes.size();
  while (!bytes.empty() && state_ != State::complete && state_ != State::failed)
    bytes.remove_prefix(consume(bytes));
  return input_size - bytes.size();
}

void HttpParser::finish() {
  if (state_ == State::until_close) state_ = State::complete;
}

HttpMessage HttpParser::take_message() {
  HttpMessage out = std::exchange(message_, {});
  *this = HttpParser(kind_, max_body_bytes_);
  return out;
}

std::size_t HttpParser::consume(std::string_view bytes) {
  switch (state_) {
    case State::body:
      return consume_data(bytes, State::complete);
    case State::chunk_data:
      return consume_data(bytes, State::chunk_end);
    case State::until_close:
      append_body(bytes);
      return bytes.size();
    default:
      return consume_line(bytes);
  }
}

std::size_t HttpParser::consume_data(std::string_view bytes, State next) {
  const auto part = bytes.substr(0, remaining_);
  append_body(part);
  remaining_ -= part.size();
  if (remaining_ == 0 && state_ != State::failed) state_ = next;
  return part.size();
}

void HttpParser::append_body(std::string_view bytes) {
  if (message_.body.size() + bytes.size() > max_body_bytes_) return fail(http_status::kContentTooLarge);
  message_.body.append(bytes);
}

std::size_t HttpParser::consume_line(std::string_view bytes) {
  const auto line_end = bytes.find('\n');
  const auto part = bytes.substr(0, line_end);
  header_bytes_ += part.size() + 1;
  if (header_bytes_ > constants::kMaxHeaderBytes) {
    fail(http_status::kHeaderFieldsTooLarge);
    return 0;
  }
  line_.append(part);
  if (line_end == std::string_view::npos) return bytes.size();
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  const std::string line = std::exchange(line_, {});
  on_line(line);
  return line_end + 1;
}

void HttpParser::on_line(std::string_view line) {
  switch (state_) {
    case State::start_line:
      return on_start_line(line);
    case State::headers:
      return line.empty() ? on_headers_complete() : on_header(line);
    case State::chunk_size:
      return on_chunk_size(line);
    case State::chunk_end:
      if (!line.empty()) return fail(http_status::kBadRequest);
      state_ = State::chunk_size;
      return;
    case State::trailers:
      if (line.empty()) state_ = State::complete;
      return;
    default:
      return;
  }
}

void HttpParser::on_start_line(std::string_view line) {
  if (line.empty()) return;  // HTTP allows empty lines before a message
  const bool valid = kind_ == Kind::response ? parse_status_line(line) : parse_request_line(line);
  if (!valid) return fail(http_status::kBadRequest);
  state_ = State::headers;
}

bool HttpParser::parse_status_line(std::string_view line) {
  const auto space = line.find(' ');
  if (space == std::string_view::npos) return false;
  const auto version = line.substr(0, space);
  const auto status = parse_number(line.substr(space + 1, kStatusDigits), kDecimalBase);
  if (!version.starts_with(kHttp1Prefix) || !status) return false;
  if (*status < http_status::kMin || *status > http_status::kMax) return false;
  message_.status = static_cast<int>(*status);
  message_.keep_alive = version != kHttp10;
  return true;
}

bool HttpParser::parse_request_line(std::string_view line) {
  const auto first_space = line.find(' ');
  if (first_space == std::string_view::npos) return false;
  const auto second_space = line.find(' ', first_space + 1);
  if (second_space == std::string_view::npos) return false;
  if (line.find(' ', second_space + 1) != std::string_view::npos) return false;
  const auto version = line.substr(second_space + 1);
  message_.method = line.substr(0, first_space);
  message_.target = line.substr(first_space + 1, second_space - first_space - 1);
  message_.keep_alive = version == kHttp11;
  return (version == kHttp11 || version == kHttp10) && is_token(message_.method) &&
         is_target(message_.target);
}

void HttpParser::on_header(std::string_view line) {
  const auto colon = line.find(':');
  // Rejects folded lines as well: they start with whitespace, which is not a token, and can hide a second
  // length.
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
    return fail(http_status::kBadRequest);
  const auto value = trim(line.substr(colon + 1));
  if (has_control_char(value)) return fail(http_status::kBadRequest);
  message_.headers.push_back({to_lower(line.substr(0, colon)), std::string(value)});
}

void HttpParser::on_headers_complete() {
  const std::optional<BodyFraming> framing = read_framing();
  if (!framing) return;
  if (kind_ == Kind::request) return start_body(*framing);
  if (message_.status < http_status::kFirstFinal) {
    // An interim response; the final response follows.
    message_ = {};
    header_bytes_ = 0;
    state_ = State::start_line;
  } else if (message_.status == http_status::kNoContent || message_.status == http_status::kNotModified) {
    state_ = State::complete;
  } else {
    start_body(*framing);
  }
}

std::optional<HttpParser::BodyFraming> HttpParser::read_framing() {
  BodyFraming framing;
  for (const auto& [name, value] : message_.headers) {
    if (name == "content-length") {
      if (!read_content_length(value, framing)) return std::nullopt;
    } else if (name == "transfer-encoding") {
      if (!read_transfer_encoding(value, framing)) return std::nullopt;
    } else if (name == "connection") {
      read_connection(value);
    }
  }
  if (framing.chunked && framing.length) {
    fail(http_status::kBadRequest);
    return std::nullopt;
  }
  return framing;
}

bool HttpParser::read_content_length(const std::string& value, BodyFraming& framing) {
  const auto length = parse_number(value, kDecimalBase);
  // Differing lengths would allow request smuggling.
  if (!length || (framing.length && *framing.length != *length)) {
    fail(http_status::kBadRequest);
    return false;
  }
  framing.length = length;
  return true;
}

bool HttpParser::read_transfer_encoding(const std::string& value, BodyFraming& framing) {
  if (framing.chunked || to_lower(value) != "chunked") {
    fail(kind_ == Kind::request ? http_status::kNotImplemented : http_status::kBadRequest);
    return false;
  }
  framing.chunked = true;
  return true;
}

void HttpParser::read_connection(const std::string& value) {
  const std::string options = to_lower(value);
  if (options.find("close") != std::string::npos) message_.keep_alive = false;
  if (options.find("keep-alive") != std::string::npos) message_.keep_alive = true;
}

void HttpParser::start_body(const BodyFraming& framing) {
  if (framing.chunked) {
    state_ = State::chunk_size;
  } else if (framing.length) {
    if (*framing.length > max_body_bytes_) return fail(http_status::kContentTooLarge);
    remaining_ = *framing.length;
    state_ = remaining_ == 0 ? State::complete : State::body;
  } else if (kind_ == Kind::response) {
    message_.keep_alive = false;
    state_ = State::until_close;
  } else {
    state_ = State::complete;
  }
}

void HttpParser::on_chunk_size(std::string_view line) {
  // Chunk extensions, which follow a semicolon, are ignored.
  const auto size = parse_number(trim(line.substr(0, line.find(';'))), kHexadecimalBase);
  if (!size) return fail(http_status::kBadRequest);
  if (*size > max_body_bytes_) return fail(http_status::kContentTooLarge);
  remaining_ = *size;
  header_bytes_ = 0;
  state_ = *size == 0 ? State::trailers : State::chunk_data;
}

}  // namespace dockdyke::net
