// This controller's share of the state service's two rate limits, and the lower write limit that the service
// may put in force (PROTOCOL, "Limits and errors").
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

#include "net/loop.hpp"
#include "store/rate_limiter.hpp"

namespace dockdyke::store {

// The service's limits for all controllers together, per second.
struct Limits {
  double requests_per_second = 100;
  double writes_per_second = 20;  // puts and deletions
  // The limit that the service has announced and may put in force at any moment; 0: none.
  double writes_per_second_later = 0;
};

// Holds a rate limiter for requests and one for writes. A call that writes needs tokens of both.
class StateRateLimits {
 public:
  StateRateLimits(net::Loop& loop, Limits limits);

  RateLimiter& requests() { return requests_; }
  RateLimiter& writes() { return writes_; }
  const RateLimiter& writes() const { return writes_; }

  // Sets the shares (0 to 1) of the limits that this controller may use in its present role.
  void set_shares(double requests, double writes);

  // Keeps to the announced lower write limit from now on. It is never raised again: a try would have the
  // writes of all controllers refused. Does nothing where no lower limit was announced.
  void lower_write_limit();
  bool write_limit_lowered() const { return write_limit_lowered_; }
  // Writes per second that all controllers together may make.
  double write_limit() const { return limits_.writes_per_second; }
  // `listener` is called once, when refusals have shown that the lower limit is in force.
  void on_write_limit_seen(std::function<void()> listener) { on_write_limit_seen_ = std::move(listener); }

  // Records that the service refused a write for its rate. Several within a short time show that the lower
  // limit is in force.
  void record_write_refusal();

  // Number of calls that queue for tokens.
  std::size_t queue_length() const { return requests_.queue_length() + writes_.queue_length(); }

 private:
  net::Loop& loop_;
  Limits limits_;
  RateLimiter requests_;
  RateLimiter writes_;
  double write_share_ = 1;
  bool write_limit_lowered_ = false;
  std::deque<net::TimePoint> recent_write_refusals_;
  std::function<void()> on_write_limit_seen_;
};

}  // namespace dockdyke::store
