#include "store/rate_limiter.hpp"

#include <algorithm>
#include <chrono>

namespace dockdyke::store {

namespace {

// Minimum delay until the queue is served again, so that a tiny shortage does not cause a busy loop.
constexpr double kMinServeDelaySeconds = 0.001;

}  // namespace

RateLimiter::RateLimiter(net::Loop& loop, double tokens_per_second)
    : loop_(loop),
      tokens_per_second_(tokens_per_second),
      tokens_(tokens_per_second),
      refilled_at_(loop.now()) {}

void RateLimiter::set_rate(double tokens_per_second) {
  refill();
  tokens_per_second_ = tokens_per_second;
  tokens_ = std::min(tokens_, tokens_per_second_);
}

void RateLimiter::refill() {
  const double elapsed_s = std::chrono::duration<double>(loop_.now() - refilled_at_).count();
  // The services allow bursts of one second's tokens.
  tokens_ = std::min(tokens_per_second_, tokens_ + elapsed_s * tokens_per_second_);
  refilled_at_ = loop_.now();
}

bool RateLimiter::has_tokens(double cost) const {
  // The bucket holds at most one second's tokens, so a full bucket suffices for a higher cost.
  return tokens_ >= std::min(cost, tokens_per_second_);
}

double RateLimiter::backlog_s() const {
  double cost = 0;
  for (const auto& [position, call] : queue_) cost += call.cost;
  return cost / tokens_per_second_;
}

void RateLimiter::acquire_immediately(double cost) {
  refill();
  tokens_ -= cost;
}

net::Task<bool> RateLimiter::acquire(double cost, RequestPriority priority, net::TimePoint deadline) {
  refill();
  if (queue_.empty() && has_tokens(cost)) {
    tokens_ -= cost;
    co_return true;
  }
  const QueuePosition position{priority, next_sequence_number_++};
  net::OneShot<bool> acquired(loop_);
  queue_.emplace(position, QueuedCall{cost, acquired});
  // Removes the call if its deadline passes or its coroutine is destroyed. If serve_queue() has already
  // removed it, erase() has no effect, because positions are unique.
  struct QueueGuard {
    RateLimiter& limiter;
    QueuePosition position;
    ~QueueGuard() { limiter.queue_.erase(position); }
  };
  const QueueGuard guard{*this, position};
  serve_queue();
  const auto result = co_await acquired.wait_until(deadline);
  co_return result.has_value();
}

void RateLimiter::serve_queue() {
  refill();
  while (!queue_.empty() && has_tokens(queue_.begin()->second.cost)) {
    auto first = queue_.begin();
    tokens_ -= first->second.cost;
    first->second.acquired.set(true);
    queue_.erase(first);
  }
  if (!queue_.empty() && !timer_set_) set_serve_timer();
}

void RateLimiter::set_serve_timer() {
  timer_set_ = true;
  const double needed_tokens = std::min(queue_.begin()->second.cost, tokens_per_second_);
  const double delay_s = std::max(kMinServeDelaySeconds, (needed_tokens - tokens_) / tokens_per_second_);
  loop_.call_at(loop_.now() + net::seconds(delay_s), [this] {
    timer_set_ = false;
    serve_queue();
  });
}

}  // namespace dockdyke::store
