// Tests the order of timers and the waits on OneShot and WakeUp in simulated time.
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
  void run_for(double duration_s) {
    const auto end = loop.now() + net::seconds(duration_s);
    while (loop.now() < end) loop.run_once(end - loop.now());
  }
  double elapsed_s() const { return std::chrono::duration<double>(loop.now() - started_at).count(); }

  net::Task<void> wait_for_value(net::OneShot<int> value, double timeout_s) {
    received = co_await value.wait_until(loop.now() + net::seconds(timeout_s));
    wait_ended_after_s = elapsed_s();
  }
  net::Task<void> wait_for_notification(double timeout_s) {
    co_await wake_up.wait_for(net::seconds(timeout_s));
    wait_ended_after_s = elapsed_s();
  }

  net::Loop loop{net::Loop::TimeSource::simulated};
  net::TimePoint started_at = loop.now();
  net::WakeUp wake_up{loop};
  std::optional<int> received;
  std::optional<double> wait_ended_after_s;
};

}  // namespace

TEST_F(EventLoopTest, TimersRunByDueTimeThenCreationOrder) {
  std::vector<std::string> timers_run;
  loop.call_at(started_at + net::seconds(2), [&] { timers_run.emplace_back("late"); });
  loop.call_at(started_at + net::seconds(1), [&] { timers_run.emplace_back("first"); });
  loop.call_at(started_at + net::seconds(1), [&] { timers_run.emplace_back("second"); });
  const auto cancelled =
      loop.call_at(started_at + net::seconds(1), [&] { timers_run.emplace_back("cancelled"); });
  loop.cancel(cancelled);
  run_for(3);
  EXPECT_EQ(timers_run, (std::vector<std::string>{"first", "second", "late"}));
}

TEST_F(EventLoopTest, OneShotKeepsFirstValue) {
  const net::OneShot<int> value(loop);
  net::spawn(wait_for_value(value, 5));
  loop.call_at(started_at + net::seconds(1), [&] {
    value.set(7);
    value.set(8);
    EXPECT_FALSE(wait_ended_after_s) << "set() must not resume the waiting coroutine itself";
  });
  run_for(10);
  EXPECT_EQ(received, 7);
  EXPECT_EQ(wait_ended_after_s, 1.0);
}

TEST_F(EventLoopTest, OneShotWaitReturnsEmptyAtDeadline) {
  const net::OneShot<int> value(loop);
  net::spawn(wait_for_value(value, 5));
  run_for(10);
  EXPECT_EQ(received, std::nullopt);
  EXPECT_EQ(wait_ended_after_s, 5.0);
  value.set(7);
  run_for(1);
  EXPECT_EQ(received, std::nullopt);
}

TEST_F(EventLoopTest, WakeUpWaitEndsOnNotificationOrTimeout) {
  net::spawn(wait_for_notification(5));
  loop.call_at(started_at + net::seconds(1), [this] { wake_up.notify(); });
  run_for(2);
  EXPECT_EQ(wait_ended_after_s, 1.0);
  net::spawn(wait_for_notification(5));
  run_for(10);
  EXPECT_EQ(wait_ended_after_s, 7.0);
}

TEST_F(EventLoopTest, WakeUpKeepsNotificationForNextWait) {
  wake_up.notify();
  wake_up.notify();
  net::spawn(wait_for_notification(5));
  EXPECT_EQ(wait_ended_after_s, 0.0);
  wait_ended_after_s.reset();
  net::spawn(wait_for_notification(5));
  run_for(10);
  EXPECT_EQ(wait_ended_after_s, 5.0);
}

}  // namespace dockdyke::testing
