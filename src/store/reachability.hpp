// Whether a service has been answering lately.
#pragma once

#include <optional>

#include "net/loop.hpp"

namespace dockdyke::store {

// Records the fate of calls to one service and tells when they have been failing for too long.
class Reachability {
 public:
  // `unreachable_after_s`: seconds of failures alone after which the service counts as unreachable.
  Reachability(const net::Loop& loop, double unreachable_after_s)
      : loop_(loop), unreachable_after_(net::seconds(unreachable_after_s)) {}

  // The service showed that it works.
  void record_answer() { failing_since_.reset(); }

  // A call got no answer, or one that only an outage gives.
  void record_failure() {
    if (!failing_since_) failing_since_ = loop_.now();
  }

  // True when calls have been failing for that long and none has been answered since.
  bool unreachable() const { return failing_since_ && loop_.now() - *failing_since_ > unreachable_after_; }

 private:
  const net::Loop& loop_;
  net::Duration unreachable_after_;
  std::optional<net::TimePoint> failing_since_;
};

}  // namespace dockdyke::store
