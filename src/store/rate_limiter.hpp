// A share of another service's rate limit. Callers wait in line, the more important first.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "net/loop.hpp"
#include "net/task.hpp"

namespace dockdyke::store {

enum class RequestPriority { high, normal, background };

class RateLimiter {
 public:
  RateLimiter(net::Loop& loop, double per_second);

  void set_rate(double per_second);
  // Takes `cost` or waits for it; false when the deadline passed first.
  net::Task<bool> take(double cost, RequestPriority urgency, net::TimePoint deadline);
  // Takes at once and may overdraw: for renewals, which must never stand in line.
  void charge(double cost);
  std::size_t waiting() const { return line_.size(); }
  // Seconds until what stands in line now will have been served.
  double backlog_s() const;

 private:
  struct Waiting {
    double cost;
    net::OneShot<bool> granted;
  };
  using Place = std::pair<RequestPriority, std::uint64_t>;

  void refill();
  bool affordable(double cost) const;
  void serve_line();

  net::Loop& loop_;
  double rate_;
  double tokens_;
  net::TimePoint filled_at_;
  std::uint64_t next_place_ = 0;
  std::map<Place, Waiting> line_;
  bool timer_set_ = false;
};

}  // namespace dockdyke::store
