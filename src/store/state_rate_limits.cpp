#include "store/state_rate_limits.hpp"

#include "constants.hpp"

namespace dockdyke::store {

StateRateLimits::StateRateLimits(net::Loop& loop, Limits limits)
    : loop_(loop),
      limits_(limits),
      requests_(loop, limits.requests_per_second),
      writes_(loop, limits.writes_per_second) {}

void StateRateLimits::set_shares(double requests, double writes) {
  requests_.set_rate(limits_.requests_per_second * requests);
  write_share_ = writes;
  writes_.set_rate(limits_.writes_per_second * writes);
}

void StateRateLimits::lower_write_limit() {
  const double announced = limits_.writes_per_second_later;
  if (write_limit_lowered_ || announced <= 0 || announced >= limits_.writes_per_second) return;
  write_limit_lowered_ = true;
  limits_.writes_per_second = announced;
  writes_.set_rate(announced * write_share_);
}

void StateRateLimits::record_write_refusal() {
  if (write_limit_lowered_) return;
  const auto window = net::seconds(constants::kRateLimitRefusalWindowSeconds);
  recent_write_refusals_.push_back(loop_.now());
  while (loop_.now() - recent_write_refusals_.front() > window) recent_write_refusals_.pop_front();
  if (recent_write_refusals_.size() < constants::kRateLimitRefusalThreshold) return;
  lower_write_limit();
  if (write_limit_lowered_ && on_write_limit_seen_) on_write_limit_seen_();
}

}  // namespace dockdyke::store
