// The event loop in simulated time: the order of timers and what ends a coroutine's wait.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "net/loop.hpp"
#include "net/task.hpp"

namespace dockdyke::testing {

namespace {

class EventLoopTest : public ::testing::Test {
 protected:
  void run(double s) {
    const auto end = loop.now() + net::seconds(s);
    while (loop.now() < end) loop.turn(end - loop.now());
  }
  double elapsed_s() const { return std::chrono::duration<double>(loop.now() - start).count(); }

  net::Task<void> wait_for_value(net::OneShot<int> value, double timeout_s) {
    received = co_await value.wait_until(loop.now() + net::seconds(timeout_s));
    ended_at = elapsed_s();
  }
  net::Task<void> wait_for_notification(double timeout_s) {
    co_await wake_up.wait_for(net::seconds(timeout_s));
    ended_at = elapsed_s();
  }

  net::Loop loop{net::Loop::Time::simulated};
  net::TimePoint start = loop.now();
  net::WakeUp wake_up{loop};
  std::optional<int> received;
  std::optional<double> ended_at;
};

}  // namespace

TEST_F(EventLoopTest, TimersRunByTimeAndThenInTheOrderInWhichTheyWereSet) {
  std::vector<std::string> ran;
  loop.at(start + net::seconds(2), [&] { ran.emplace_back("late"); });
  loop.at(start + net::seconds(1), [&] { ran.emplace_back("first"); });
  loop.at(start + net::seconds(1), [&] { ran.emplace_back("second"); });
  const auto cancelled = loop.at(start + net::seconds(1), [&] { ran.emplace_back("cancelled"); });
  loop.cancel(cancelled);
  run(3);
  EXPECT_EQ(ran, (std::vector<std::string>{"first", "second", "late"}));
}

TEST_F(EventLoopTest, OneShotGivesItsFirstValue) {
  const net::OneShot<int> value(loop);
  net::spawn(wait_for_value(value, 5));
  loop.at(start + net::seconds(1), [&] {
    value.set(7);
    value.set(8);
    EXPECT_FALSE(ended_at) << "resumed by the loop, not within set()";
  });
  run(10);
  EXPECT_EQ(received, 7);
  EXPECT_EQ(ended_at, 1.0);
}

TEST_F(EventLoopTest, OneShotGivesNothingAfterItsDeadline) {
  const net::OneShot<int> value(loop);
  net::spawn(wait_for_value(value, 5));
  run(10);
  EXPECT_EQ(received, std::nullopt);
  EXPECT_EQ(ended_at, 5.0);
  value.set(7);
  run(1);
  EXPECT_EQ(received, std::nullopt);
}

TEST_F(EventLoopTest, WakeUpEndsAWaitOnNotificationOrTimeout) {
  net::spawn(wait_for_notification(5));
  loop.at(start + net::seconds(1), [this] { wake_up.notify(); });
  run(2);
  EXPECT_EQ(ended_at, 1.0);
  net::spawn(wait_for_notification(5));
  run(10);
  EXPECT_EQ(ended_at, 7.0);
}

TEST_F(EventLoopTest, WakeUpRemembersANotificationThatNobodyWaitedFor) {
  wake_up.notify();
  wake_up.notify();
  net::spawn(wait_for_notification(5));
  EXPECT_EQ(ended_at, 0.0);
  ended_at.reset();
  net::spawn(wait_for_notification(5));
  run(10);
  EXPECT_EQ(ended_at, 5.0);
}

}  // namespace dockdyke::testing
