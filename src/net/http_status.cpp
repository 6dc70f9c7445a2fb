#include "net/http_status.hpp"

namespace dockdyke::net::http_status {

std::string_view reason_phrase(int status) {
  switch (status) {
    case kOk:
      return "OK";
    case kCreated:
      return "Created";
    case kBadRequest:
      return "Bad Request";
    case kNotFound:
      return "Not Found";
    case kMethodNotAllowed:
      return "Method Not Allowed";
    case kContentTooLarge:
      return "Content Too Large";
    case kMisdirectedRequest:
      return "Misdirected Request";
    case kUnprocessableEntity:
      return "Unprocessable Content";
    case kHeaderFieldsTooLarge:
      return "Request Header Fields Too Large";
    case kNotImplemented:
      return "Not Implemented";
    case kServiceUnavailable:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace dockdyke::net::http_status
