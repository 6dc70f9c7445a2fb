// The HTTP status codes that this program uses.
#pragma once

#include <string_view>

namespace dockdyke::net::http_status {

inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kNoContent = 204;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kUnprocessableEntity = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeaderFieldsTooLarge = 431;
inline constexpr int kNotImplemented = 501;
inline constexpr int kServiceUnavailable = 503;

// The range of valid HTTP status codes. Codes below kFirstFinal denote interim responses, which are followed
// by a final response.
inline constexpr int kMin = 100;
inline constexpr int kFirstFinal = 200;
inline constexpr int kMax = 599;

// Returns the reason phrase for a status line, or "Status" for a code that this program never sends.
std::string_view reason_phrase(int status);

}  // namespace dockdyke::net::http_status
