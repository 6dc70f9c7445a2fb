#include "net/http_parser.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

#include "constants.hpp"

namespace dockdyke::net {

namespace {

bool is_token_char(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

std::string lower(std::string_view text) {
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

std::optional<std::size_t> parse_number(std::string_view text, int base) {
  std::size_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

std::optional<std::string_view> HttpMessage::header(std::string_view lower_case_name) const {
  for (const auto& each : headers)
    if (each.name == lower_case_name) return each.value;
  return std::nullopt;
}

void HttpParser::fail(int status) {
  error_ = status;
  state_ = State::failed;
}

std::size_t HttpParser::feed(std::string_view bytes) {
  const std::size_t offered = bytes.size();
  while (!bytes.empty() && state_ != State::complete && state_ != State::failed) {
    if (state_ == State::body || state_ == State::chunk_data) {
      auto part = bytes.substr(0, remaining_);
      append_body(part);
      remaining_ -= part.size();
      bytes.remove_prefix(part.size());
      if (remaining_ == 0 && state_ != State::failed)
        state_ = state_ == State::body ? State::complete : State::chunk_end;
      continue;
    }
    if (state_ == State::until_close) {
      append_body(bytes);
      bytes = {};
      continue;
    }
    auto end = bytes.find('\n');
    auto part = bytes.substr(0, end == std::string_view::npos ? bytes.size() : end);
    head_bytes_ += part.size() + 1;
    if (head_bytes_ > constants::kMaxHeadBytes) {
      fail(431);
      break;
    }
    line_.append(part);
    if (end == std::string_view::npos) {
      bytes = {};
      break;
    }
    bytes.remove_prefix(end + 1);
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    auto line = std::exchange(line_, {});
    on_line(line);
  }
  return offered - bytes.size();
}

void HttpParser::on_line(std::string_view line) {
  switch (state_) {
    case State::head:
      if (!have_start_) {
        if (line.empty()) return;  // a stray empty line before a request is allowed by HTTP
        if (!start_line(line)) return fail(400);
        have_start_ = true;
      } else if (line.empty()) {
        head_done();
      } else {
        header_line(line);
      }
      return;
    case State::chunk_size: {
      auto size = parse_number(trim(line.substr(0, line.find(';'))), 16);
      if (!size) return fail(400);
      if (*size > max_body_) return fail(413);
      remaining_ = *size;
      head_bytes_ = 0;
      state_ = *size == 0 ? State::trailer : State::chunk_data;
      return;
    }
    case State::chunk_end:
      if (!line.empty()) return fail(400);
      state_ = State::chunk_size;
      return;
    case State::trailer:
      if (line.empty()) state_ = State::complete;
      return;
    default:
      return;
  }
}

bool HttpParser::start_line(std::string_view line) {
  auto first = line.find(' ');
  if (first == std::string_view::npos) return false;
  if (kind_ == Kind::response) {
    auto version = line.substr(0, first);
    auto code = line.substr(first + 1, 3);
    auto status = parse_number(code, 10);
    if (!version.starts_with("HTTP/1.") || !status || *status < 100 || *status > 599) return false;
    message_.status = static_cast<int>(*status);
    message_.keep_alive = version != "HTTP/1.0";
    return true;
  }
  auto second = line.find(' ', first + 1);
  if (second == std::string_view::npos || line.find(' ', second + 1) != std::string_view::npos) return false;
  auto version = line.substr(second + 1);
  message_.method = line.substr(0, first);
  message_.target = line.substr(first + 1, second - first - 1);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
  message_.keep_alive = version == "HTTP/1.1";
  auto printable = [](unsigned char c) { return c > 0x20 && c < 0x7f; };
  return is_token(message_.method) && message_.target.starts_with('/') &&
         std::all_of(message_.target.begin(), message_.target.end(), printable);
}

void HttpParser::header_line(std::string_view line) {
  auto colon = line.find(':');
  // A folded line starts with a blank and so is no token: refused, as it can hide a second length.
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return fail(400);
  auto value = trim(line.substr(colon + 1));
  auto control = [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; };
  if (std::any_of(value.begin(), value.end(), control)) return fail(400);
  message_.headers.push_back({lower(line.substr(0, colon)), std::string(value)});
}

void HttpParser::head_done() {
  std::optional<std::size_t> length;
  bool chunked = false;
  for (const auto& [name, value] : message_.headers) {
    if (name == "content-length") {
      auto parsed = parse_number(value, 10);
      // Two different lengths would let two readers see two different messages.
      if (!parsed || (length && *length != *parsed)) return fail(400);
      length = parsed;
    } else if (name == "transfer-encoding") {
      if (chunked || lower(value) != "chunked") return fail(kind_ == Kind::request ? 501 : 400);
      chunked = true;
    } else if (name == "connection") {
      auto wish = lower(value);
      if (wish.find("close") != std::string::npos) message_.keep_alive = false;
      if (wish.find("keep-alive") != std::string::npos) message_.keep_alive = true;
    }
  }
  if (chunked && length) return fail(400);
  if (kind_ == Kind::response &&
      (message_.status < 200 || message_.status == 204 || message_.status == 304)) {
    if (message_.status < 200) {  // an interim response: the real one follows
      message_ = {};
      have_start_ = false;
      head_bytes_ = 0;
    } else {
      state_ = State::complete;
    }
    return;
  }
  if (chunked) {
    state_ = State::chunk_size;
  } else if (length) {
    if (*length > max_body_) return fail(413);
    remaining_ = *length;
    state_ = remaining_ == 0 ? State::complete : State::body;
  } else if (kind_ == Kind::response) {
    message_.keep_alive = false;
    state_ = State::until_close;
  } else {
    state_ = State::complete;
  }
}

void HttpParser::append_body(std::string_view bytes) {
  if (message_.body.size() + bytes.size() > max_body_) return fail(413);
  message_.body.append(bytes);
}

void HttpParser::finish() {
  if (state_ == State::until_close) state_ = State::complete;
}

HttpMessage HttpParser::take() {
  auto out = std::exchange(message_, {});
  *this = HttpParser(kind_, max_body_);
  return out;
}

}  // namespace dockdyke::net
