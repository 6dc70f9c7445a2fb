// The result type of calls to other services.
//
// Each service client maps HTTP statuses to an Outcome, and its callers decide on the Outcome alone. The
// method, target and status of a failed call are included for logging.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace dockdyke::net {

// The outcome of a call to another service.
enum class Outcome {
  ok,
  missing,      // the key or lease does not exist
  conflict,     // a precondition failed; nothing was changed
  expired,      // the requested revision is too old to start a watch from
  no_capacity,  // no machine of this type, zone and kind is currently available
  rejected,     // the service considers the request malformed; nothing was changed
  refused,      // not executed: outage, rate limit, or the local rate limiter granted no token in time
  unknown,      // no usable response: the request may have been executed or may still be executed
};

// Returns the name of the enumerator, for logs.
constexpr std::string_view to_string(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok:
      return "ok";
    case Outcome::missing:
      return "missing";
    case Outcome::conflict:
      return "conflict";
    case Outcome::expired:
      return "expired";
    case Outcome::no_capacity:
      return "no_capacity";
    case Outcome::rejected:
      return "rejected";
    case Outcome::refused:
      return "refused";
    case Outcome::unknown:
      break;
  }
  return "unknown";
}

// The request of a failed call and the status of its response.
struct CallError {
  std::string method;
  std::string target;
  std::optional<int> status;  // HTTP status; empty if no response was received or no request was sent
};

// The outcome of a call and, for Outcome::ok, the value that the service returned. For any other outcome the
// value is default-constructed unless the called function documents otherwise.
template <class T>
struct Result {
  Outcome outcome = Outcome::unknown;
  T value{};
  std::optional<CallError> error{};  // set by the clients for every outcome except ok

  explicit operator bool() const { return outcome == Outcome::ok; }
};

// Returns a failed result without a value.
template <class T>
Result<T> failure(Outcome outcome, CallError error) {
  return Result<T>{outcome, T{}, std::move(error)};
}

}  // namespace dockdyke::net
