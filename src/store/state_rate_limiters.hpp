// Rate limiters for requests and writes to the state service, including the lower write limit that the
// service may enforce later.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

#include "net/loop.hpp"
#include "store/rate_limiter.hpp"

namespace dockdyke::store {

// The service's limits for all controllers together.
struct RateLimits {
  double requests_per_second = 100;
  double writes_per_second = 20;  // puts and deletions of keys
  // A lower write limit that the service has announced and may enforce at any time; 0 if there is none.
  double announced_writes_per_second = 0;
};

// A call that writes needs tokens of both limiters.
class StateRateLimiters {
 public:
  StateRateLimiters(net::Loop& loop, RateLimits limits);

  RateLimiter& requests() { return requests_; }
  RateLimiter& writes() { return writes_; }
  const RateLimiter& writes() const { return writes_; }

  // Sets the fractions (0 to 1) of the limits that this controller may use in its current role.
  void set_rate_fractions(double request_fraction, double write_fraction);

  // Applies the announced lower write limit, or has no effect if none was announced. The limit is not raised
  // again, because probing the higher one would make the service refuse writes of all controllers.
  void lower_write_limit();
  bool write_limit_lowered() const { return write_limit_lowered_; }
  // Returns the writes per second that are allowed to all controllers together.
  double write_limit() const { return limits_.writes_per_second; }
  // Sets the listener that is called once, when refused writes show that the lower limit is in force.
  void on_lower_write_limit_detected(std::function<void()> listener) {
    on_lower_write_limit_detected_ = std::move(listener);
  }

  // Records a write that the service refused because of its rate limit. Several refusals within a short time
  // show that the lower limit is in force.
  void record_write_refusal();

  // Returns the number of calls that are queued for tokens.
  std::size_t queue_length() const { return requests_.queue_length() + writes_.queue_length(); }

 private:
  net::Loop& loop_;
  RateLimits limits_;
  RateLimiter requests_;
  RateLimiter writes_;
  double write_rate_fraction_ = 1;
  bool write_limit_lowered_ = false;
  std::deque<net::TimePoint> recent_write_refusals_;
  std::function<void()> on_lower_write_limit_detected_;
};

}  // namespace dockdyke::store
