#include "store/state_rate_limiters.hpp"

#include "constants.hpp"

namespace dockdyke::store {

StateRateLimiters::StateRateLimiters(net::Loop& loop, RateLimits limits)
    : loop_(loop),
      limits_(limits),
      requests_(loop, limits.requests_per_second),
      writes_(loop, limits.writes_per_second) {}

void StateRateLimiters::set_rate_fractions(double request_fraction, double write_fraction) {
  requests_.set_rate(limits_.requests_per_second * request_fraction);
  write_rate_fraction_ = write_fraction;
  writes_.set_rate(limits_.writes_per_second * write_fraction);
}

void StateRateLimiters::lower_write_limit() {
  const double announced = limits_.announced_writes_per_second;
  if (write_limit_lowered_ || announced <= 0 || announced >= limits_.writes_per_second) return;
  write_limit_lowered_ = true;
  limits_.writes_per_second = announced;
  writes_.set_rate(announced * write_rate_fraction_);
}

void StateRateLimiters::record_write_refusal() {
  if (write_limit_lowered_) return;
  const auto window = net::seconds(constants::kRateLimitRefusalWindowSeconds);
  recent_write_refusals_.push_back(loop_.now());
  while (loop_.now() - recent_write_refusals_.front() > window) recent_write_refusals_.pop_front();
  if (recent_write_refusals_.size() < constants::kRateLimitRefusalThreshold) return;
  lower_write_limit();
  if (write_limit_lowered_ && on_lower_write_limit_detected_) on_lower_write_limit_detected_();
}

}  // namespace dockdyke::store
