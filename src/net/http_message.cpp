#include "net/http_message.hpp"

namespace dockdyke::net {

namespace {

constexpr std::string_view kContentTypeHeader = "\r\nContent-Type: application/msgpack";
constexpr std::string_view kContentLengthHeader = "\r\nContent-Length: ";
constexpr std::string_view kRetryAfterHeader = "\r\nRetry-After: ";
constexpr std::string_view kConnectionCloseHeader = "\r\nConnection: close";
constexpr std::string_view kHostHeader = "\r\nHost: ";
constexpr std::string_view kEndOfHeaders = "\r\n\r\n";

}  // namespace

std::optional<std::string_view> HttpMessage::header(std::string_view lower_case_name) const {
  for (const auto& field : headers)
    if (field.name == lower_case_name) return field.value;
  return std::nullopt;
}

std::string serialize(const HttpResponse& response, bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " ";
  out += http_status::reason_phrase(response.status);
  out += kContentLengthHeader;
  out += std::to_string(response.body.size());
  if (!response.body.empty()) out += kContentTypeHeader;
  if (response.retry_after_s) {
    out += kRetryAfterHeader;
    out += std::to_string(*response.retry_after_s);
  }
  if (!keep_alive) out += kConnectionCloseHeader;
  out += kEndOfHeaders;
  out += response.body;
  return out;
}

std::string serialize_request(std::string_view method, std::string_view target, std::string_view host,
                              std::string_view body) {
  std::string out(method);
  out += ' ';
  out += target;
  out += " HTTP/1.1";
  out += kHostHeader;
  out += host;
  if (!body.empty()) out += kContentTypeHeader;
  if (!body.empty() || method == "POST") {
    out += kContentLengthHeader;
    out += std::to_string(body.size());
  }
  out += kEndOfHeaders;
  out += body;
  return out;
}

}  // namespace dockdyke::net
