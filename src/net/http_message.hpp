// HTTP/1.1 messages and their serialization. All bodies are MessagePack.
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

// A received request or response.
struct HttpMessage {
  std::string method;  // of a request, else empty
  std::string target;  // of a request, else empty
  int status = 0;      // of a response, else 0

  std::vector<Header> headers;
  std::string body;
  // False if the connection must be closed after this message.
  bool keep_alive = true;

  // Returns the value of the first header with this name, or std::nullopt. The view refers to this message.
  std::optional<std::string_view> header(std::string_view lower_case_name) const;
  // Returns the target without its query. The view refers to this message.
  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

// A response to send.
struct HttpResponse {
  int status = http_status::kOk;
  std::string body;
  std::optional<int> retry_after_s;
};

// Returns the bytes of a response to send.
std::string serialize(const HttpResponse& response, bool keep_alive);

// Returns the bytes of a request to send; `host` is the value of the Host header. A request without a body
// has no Content-Type header, and a Content-Length header only if the method is POST.
std::string serialize_request(std::string_view method, std::string_view target, std::string_view host,
                              std::string_view body);

}  // namespace dockdyke::net
