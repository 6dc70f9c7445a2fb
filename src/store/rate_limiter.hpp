// A token bucket that keeps calls within a fraction of another service's rate limit.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "net/loop.hpp"
#include "net/task.hpp"

namespace dockdyke::store {

// The order in which queued calls get tokens, highest priority first.
enum class RequestPriority { high, normal, background };

// Callers for which there are not enough tokens queue by priority. The limiter must outlive the queued
// callers and the timers that it sets in the loop.
class RateLimiter {
 public:
  // Starts with a full bucket, which holds the tokens of one second.
  RateLimiter(net::Loop& loop, double tokens_per_second);

  void set_rate(double tokens_per_second);

  // Acquires `cost` tokens; queues if there are too few or other calls are queued. Returns false, without
  // taking tokens, if the deadline passes first. Calls of the same priority are served in order of arrival.
  net::Task<bool> acquire(double cost, RequestPriority priority, net::TimePoint deadline);

  // Takes `cost` tokens without queueing and may overdraw the bucket. Used for lease calls, which must not
  // wait.
  void acquire_immediately(double cost);

  std::size_t queue_length() const { return queue_.size(); }

  // Returns the seconds that it takes to refill the tokens for all queued calls.
  double backlog_s() const;

 private:
  struct QueuePosition {
    RequestPriority priority;
    std::uint64_t sequence_number;
    auto operator<=>(const QueuePosition&) const = default;
  };
  struct QueuedCall {
    double cost;
    net::OneShot<bool> acquired;
  };

  void refill();
  bool has_tokens(double cost) const;
  // Gives tokens to queued calls in order, and sets a timer if calls remain queued.
  void serve_queue();
  void set_serve_timer();

  net::Loop& loop_;
  double tokens_per_second_;
  double tokens_;  // negative when overdrawn
  net::TimePoint refilled_at_;
  std::uint64_t next_sequence_number_ = 0;
  std::map<QueuePosition, QueuedCall> queue_;
  bool timer_set_ = false;
};

}  // namespace dockdyke::store
