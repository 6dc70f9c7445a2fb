// The result of a call to another service, the same type for every service that the program calls.
//
// PROTOCOL states what each HTTP status means for each service ("Controller nodes -> state service",
// "Controller nodes -> cloud"); the clients map statuses to an Outcome and their callers decide by that
// alone. The method, target and status of a failed call come along for logs.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace dockdyke::net {

// What became of a call.
enum class Outcome {
  ok,
  missing,      // no such key or lease
  conflict,     // a precondition did not hold; nothing was changed
  expired,      // the revision asked for is too old to watch from
  no_capacity,  // no machine of this type, zone and kind is available now
  rejected,     // the service found the request malformed; nothing was changed
  refused,      // not executed: outage, rate limit, or no token of the local rate limiter in time
  unknown,      // no usable answer: executed, or not, or yet to be executed
};

// The name of an outcome as it stands in the code, for logs.
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

// What a failed call asked for and what answered it.
struct CallError {
  std::string method;
  std::string target;
  std::optional<int> status;  // HTTP status; nothing when no response came or nothing was sent
};

// An outcome and, for Outcome::ok, the value that the service returned. The value of any other outcome is
// empty unless the call that returns it says otherwise.
template <class T>
struct Result {
  Outcome outcome = Outcome::unknown;
  T value{};
  std::optional<CallError> error{};  // set by the clients for every outcome but ok

  // True for Outcome::ok alone.
  explicit operator bool() const { return outcome == Outcome::ok; }
};

// A result without a value.
template <class T>
Result<T> failure(Outcome outcome, CallError error) {
  return Result<T>{outcome, T{}, std::move(error)};
}

}  // namespace dockdyke::net
