// Tests of the rate limiter and of the latency histogram.
#include "store/rate_limiter.hpp"

#include <gtest/gtest.h>

#include "app/latency_histogram.hpp"
#include "net/loop.hpp"

namespace dockdyke::testing {

TEST(RateLimiter, ServesCallsByPriorityUntilTheirDeadline) {
  net::Loop loop;
  store::RateLimiter limiter(loop, 20);
  std::vector<std::string> finished;
  auto acquire = [&](std::string name, double cost, store::RequestPriority priority,
                     double timeout_s) -> net::Task<void> {
    const bool acquired = co_await limiter.acquire(cost, priority, loop.now() + net::seconds(timeout_s));
    finished.push_back(name + (acquired ? "" : " timed out"));
  };
  net::spawn(acquire("first", 20, store::RequestPriority::normal, 5));
  net::spawn(acquire("background", 4, store::RequestPriority::background, 5));
  net::spawn(acquire("short deadline", 4, store::RequestPriority::background, 0.02));
  net::spawn(acquire("high priority", 4, store::RequestPriority::high, 5));
  const auto deadline = net::Clock::now() + std::chrono::seconds(3);
  while (finished.size() < 4 && net::Clock::now() < deadline) loop.run_once(std::chrono::milliseconds(5));
  EXPECT_EQ(finished,
            (std::vector<std::string>{"first", "short deadline timed out", "high priority", "background"}));
}

TEST(LatencyHistogram, QuantilesApproximateAddedDurations) {
  app::LatencyHistogram histogram;
  EXPECT_EQ(histogram.quantile(0.5), 0);
  for (int i = 0; i < 90; ++i) histogram.add(0.010);
  for (int i = 0; i < 10; ++i) histogram.add(1.0);
  EXPECT_EQ(histogram.count(), 100u);
  EXPECT_NEAR(histogram.quantile(0.5), 0.010, 0.004);
  EXPECT_NEAR(histogram.quantile(0.99), 1.0, 0.3);
}

}  // namespace dockdyke::testing
