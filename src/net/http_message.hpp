// HTTP/1.1 messages as values, and how they are written. All bodies are MessagePack (PROTOCOL, introduction).
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_status.hpp"

namespace dockdyke::net {

struct Header {
  std::string name;  // lower case
  std::string value;
};

// A message as it was received: a request or a response.
struct HttpMessage {
  // Of the request line or the status line; the other's fields stay empty.
  std::string method;
  std::string target;
  int status = 0;

  std::vector<Header> headers;
  std::string body;
  // False when the connection is to be closed after this message.
  bool keep_alive = true;

  // The value of the first header of that name. It refers to this message.
  std::optional<std::string_view> header(std::string_view lower_case_name) const;
  // The target without its query. It refers to this message.
  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

// A response to be sent.
struct HttpResponse {
  int status = http_status::kOk;
  std::string body;
  std::optional<int> retry_after_s;
};

// The bytes of a response as they are sent.
std::string serialize(const HttpResponse& response, bool keep_alive);

// The bytes of a request as they are sent; `host` is the value of the Host header. A request without a body
// has no Content-Type, and a Content-Length only where the method is POST.
std::string serialize_request(std::string_view method, std::string_view target, std::string_view host,
                              std::string_view body);

}  // namespace dockdyke::net
