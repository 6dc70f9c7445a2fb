// The rate limiter of calls to the state service, and the histogram of submission times.
#include "store/rate_limiter.hpp"

#include <gtest/gtest.h>

#include "app/latency_histogram.hpp"
#include "net/loop.hpp"

namespace dockdyke::testing {

TEST(RateLimiter, ServesByPriorityAndNobodyWaitsPastTheDeadline) {
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
  net::spawn(acquire("impatient", 4, store::RequestPriority::background, 0.02));
  net::spawn(acquire("important", 4, store::RequestPriority::high, 5));
  const auto end = net::Clock::now() + std::chrono::seconds(3);
  while (finished.size() < 4 && net::Clock::now() < end) loop.run_once(std::chrono::milliseconds(5));
  EXPECT_EQ(finished, (std::vector<std::string>{"first", "impatient timed out", "important", "background"}));
}

TEST(LatencyHistogram, QuantilesComeFromTheHistogram) {
  app::LatencyHistogram times;
  EXPECT_EQ(times.quantile(0.5), 0);
  for (int i = 0; i < 90; ++i) times.add(0.010);
  for (int i = 0; i < 10; ++i) times.add(1.0);
  EXPECT_EQ(times.count(), 100u);
  EXPECT_NEAR(times.quantile(0.5), 0.010, 0.004);
  EXPECT_NEAR(times.quantile(0.99), 1.0, 0.3);
}

}  // namespace dockdyke::testing
