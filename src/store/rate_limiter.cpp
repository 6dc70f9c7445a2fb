#include "store/rate_limiter.hpp"

#include <algorithm>

namespace dockdyke::store {

RateLimiter::RateLimiter(net::Loop& loop, double per_second)
    : loop_(loop), rate_(per_second), tokens_(per_second), filled_at_(loop.now()) {}

void RateLimiter::set_rate(double per_second) {
  refill();
  rate_ = per_second;
  tokens_ = std::min(tokens_, rate_);
}

void RateLimiter::refill() {
  const double passed = std::chrono::duration<double>(loop_.now() - filled_at_).count();
  tokens_ = std::min(rate_, tokens_ + passed * rate_);  // the services allow bursts of one second's worth
  filled_at_ = loop_.now();
}

bool RateLimiter::affordable(double cost) const {
  // A cost above a whole second's worth could never be saved up, so a full bucket is enough for it.
  return tokens_ >= std::min(cost, rate_);
}

double RateLimiter::backlog_s() const {
  double cost = 0;
  for (const auto& [place, waiting] : line_) cost += waiting.cost;
  return cost / rate_;
}

void RateLimiter::charge(double cost) {
  refill();
  tokens_ -= cost;
}

net::Task<bool> RateLimiter::take(double cost, RequestPriority urgency, net::TimePoint deadline) {
  refill();
  if (line_.empty() && affordable(cost)) {
    tokens_ -= cost;
    co_return true;
  }
  const Place place{urgency, next_place_++};
  net::OneShot<bool> granted(loop_);
  line_.emplace(place, Waiting{cost, granted});
  serve_line();
  const auto answer = co_await granted.wait_until(deadline);
  if (!answer) line_.erase(place);
  co_return answer.has_value();
}

void RateLimiter::serve_line() {
  refill();
  while (!line_.empty() && affordable(line_.begin()->second.cost)) {
    auto first = line_.begin();
    tokens_ -= first->second.cost;
    first->second.granted.set(true);
    line_.erase(first);
  }
  if (line_.empty() || timer_set_) return;
  timer_set_ = true;
  const double missing = std::min(line_.begin()->second.cost, rate_) - tokens_;
  loop_.at(loop_.now() + net::seconds(std::max(0.001, missing / rate_)), [this] {
    timer_set_ = false;
    serve_line();
  });
}

}  // namespace dockdyke::store
