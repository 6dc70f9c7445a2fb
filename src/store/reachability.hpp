// Detects that a service is unreachable.
#pragma once

#include <optional>

#include "net/loop.hpp"

namespace dockdyke::store {

// Records the results of calls to one service. The service counts as unreachable when calls have failed for
// too long.
class Reachability {
 public:
  // The service counts as unreachable after more than `unreachable_after_s` seconds without a successful
  // call, counted from the first failure.
  Reachability(const net::Loop& loop, double unreachable_after_s)
      : loop_(loop), unreachable_after_(net::seconds(unreachable_after_s)) {}

  // Records a response that shows that the service works.
  void record_success() { failing_since_.reset(); }

  // Records a call without a response, or with a response that only an outage causes.
  void record_failure() {
    if (!failing_since_) failing_since_ = loop_.now();
  }

  // Returns whether calls have failed for more than `unreachable_after_s` seconds without a success.
  bool unreachable() const { return failing_since_ && loop_.now() - *failing_since_ > unreachable_after_; }

 private:
  const net::Loop& loop_;
  net::Duration unreachable_after_;
  std::optional<net::TimePoint> failing_since_;
};

}  // namespace dockdyke::store
