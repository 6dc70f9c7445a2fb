// Budgets of calls to the state service, and how long submissions took.
#include "store/rate_limiter.hpp"

#include <gtest/gtest.h>

#include "app/latency_histogram.hpp"
#include "net/loop.hpp"

namespace dockdyke::testing {

TEST(RateLimiter, ImportantCallsOvertakeOthersAndNobodyWaitsPastTheDeadline) {
  net::Loop loop;
  store::RateLimiter budget(loop, 20);
  std::vector<std::string> command;
  auto take = [&](std::string name, double cost, store::RequestPriority urgency,
                  double limit_s) -> net::Task<void> {
    const bool granted = co_await budget.take(cost, urgency, loop.now() + net::seconds(limit_s));
    command.push_back(name + (granted ? "" : " gave up"));
  };
  net::spawn(take("first", 20, store::RequestPriority::normal, 5));
  net::spawn(take("late", 4, store::RequestPriority::background, 5));
  net::spawn(take("hasty", 4, store::RequestPriority::background, 0.02));
  net::spawn(take("final", 4, store::RequestPriority::high, 5));
  const auto end = net::Clock::now() + std::chrono::seconds(3);
  while (command.size() < 4 && net::Clock::now() < end) loop.turn(std::chrono::milliseconds(5));
  EXPECT_EQ(command, (std::vector<std::string>{"first", "hasty gave up", "final", "late"}));
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
