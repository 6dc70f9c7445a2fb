// A token bucket that keeps calls within a share of another service's rate limit (PROTOCOL, "Limits and
// errors" of the state service and the 429 of the cloud). Callers without a token queue by priority.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "net/loop.hpp"
#include "net/task.hpp"

namespace dockdyke::store {

// The order in which queued calls get tokens, most important first.
enum class RequestPriority { high, normal, background };

// Not copyable; must outlive its queued callers and every timer it has set, so in effect the loop's run.
class RateLimiter {
 public:
  // Starts with a full bucket, which holds one second's worth of tokens.
  RateLimiter(net::Loop& loop, double tokens_per_second);

  void set_rate(double tokens_per_second);

  // Acquires `cost` tokens, queueing if there are too few or others queue already. False when the deadline
  // passed first; then nothing was taken. Calls of one priority are served in their order.
  net::Task<bool> acquire(double cost, RequestPriority priority, net::TimePoint deadline);

  // Acquires at once and may overdraw the bucket: for lease renewals, which must never queue.
  void acquire_immediately(double cost);

  // Number of callers in the queue.
  std::size_t queue_length() const { return queue_.size(); }

  // Seconds until every call that queues now will have been served.
  double backlog_s() const;

 private:
  struct QueuePosition {
    RequestPriority priority;
    std::uint64_t arrival;
    auto operator<=>(const QueuePosition&) const = default;
  };
  struct QueuedCall {
    double cost;
    net::OneShot<bool> acquired;
  };

  void refill();
  bool affordable(double cost) const;
  void serve_queue();
  void schedule_next_serving();

  net::Loop& loop_;
  double tokens_per_second_;
  double tokens_;  // negative when overdrawn
  net::TimePoint refilled_at_;
  std::uint64_t next_arrival_ = 0;
  std::map<QueuePosition, QueuedCall> queue_;
  bool timer_set_ = false;
};

}  // namespace dockdyke::store
