// Tests that a scope destroys its suspended coroutines and that their timers and callbacks are deregistered.
#include "net/task_scope.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/loop.hpp"
#include "net/socket.hpp"
#include "store/rate_limiter.hpp"

namespace dockdyke::testing {

namespace {

// Records the destruction of the coroutine frame that holds it.
struct DestructionRecorder {
  std::vector<std::string>& destroyed;
  std::string name;
  ~DestructionRecorder() { destroyed.push_back(name); }
};

class TaskScopeTest : public ::testing::Test {
 protected:
  net::Task<void> sleep(std::string name, double duration_s) {
    const DestructionRecorder recorder{destroyed, name};
    co_await loop.sleep(net::seconds(duration_s));
    resumed.push_back(name);
  }
  net::Task<void> sleep_in_nested_task(std::string name, double duration_s) {
    const DestructionRecorder recorder{destroyed, name + " (outer)"};
    co_await sleep(name, duration_s);
  }
  net::Task<void> wait_for_value(std::string name, net::OneShot<int> value) {
    const DestructionRecorder recorder{destroyed, name};
    const std::optional<int> received = co_await value.wait_until(loop.now() + net::seconds(5));
    resumed.push_back(name + (received ? " with a value" : " without a value"));
  }
  net::Task<void> wait_for_notification(std::string name, net::WakeUp* wake_up) {
    const DestructionRecorder recorder{destroyed, name};
    co_await wake_up->wait_for(net::seconds(5));
    resumed.push_back(name);
  }
  net::Task<void> acquire_token(std::string name, store::RateLimiter* limiter) {
    const DestructionRecorder recorder{destroyed, name};
    const bool acquired =
        co_await limiter->acquire(1, store::RequestPriority::normal, loop.now() + net::seconds(5));
    resumed.push_back(name + (acquired ? " with tokens" : " without tokens"));
  }
  void run_for(double duration_s) {
    const auto end = loop.now() + net::seconds(duration_s);
    while (loop.now() < end) loop.run_once(end - loop.now());
  }

  net::Loop loop{net::Loop::TimeSource::simulated};
  std::vector<std::string> destroyed;
  std::vector<std::string> resumed;
  std::optional<net::TaskScope> scope{std::in_place};
};

using Names = std::vector<std::string>;

}  // namespace

TEST_F(TaskScopeTest, RemovesFinishedCoroutines) {
  scope->spawn(sleep("at once", 0));
  EXPECT_EQ(scope->running_count(), 0u);
  scope->spawn(sleep("short", 1));
  scope->spawn(sleep("long", 2));
  EXPECT_EQ(scope->running_count(), 2u);
  run_for(1.5);
  EXPECT_EQ(scope->running_count(), 1u);
  run_for(1);
  EXPECT_EQ(scope->running_count(), 0u);
  EXPECT_EQ(resumed, (Names{"at once", "short", "long"}));
  EXPECT_EQ(destroyed, resumed);
}

TEST_F(TaskScopeTest, DestroysSleepingCoroutinesInReverseOrder) {
  scope->spawn(sleep("first", 1));
  scope->spawn(sleep_in_nested_task("second", 1));
  scope.reset();
  EXPECT_EQ(destroyed, (Names{"second", "second (outer)", "first"}));
  run_for(5);
  EXPECT_EQ(resumed, Names{});
}

TEST_F(TaskScopeTest, DestroysCoroutinesWaitingForValue) {
  const net::OneShot<int> never_set(loop);
  const net::OneShot<int> set_before(loop);
  const net::OneShot<int> set_after(loop);
  scope->spawn(wait_for_value("never set", never_set));
  scope->spawn(wait_for_value("set before", set_before));
  scope->spawn(wait_for_value("set after", set_after));
  set_before.set(1);
  scope.reset();
  set_after.set(1);
  run_for(10);
  EXPECT_EQ(destroyed, (Names{"set after", "set before", "never set"}));
  EXPECT_EQ(resumed, Names{});
}

TEST_F(TaskScopeTest, DestroysCoroutinesWaitingForNotification) {
  net::WakeUp notified_after(loop);
  net::WakeUp notified_before(loop);
  scope->spawn(wait_for_notification("notified after", &notified_after));
  scope->spawn(wait_for_notification("notified before", &notified_before));
  notified_before.notify();
  scope.reset();
  notified_after.notify();
  run_for(10);
  EXPECT_EQ(destroyed, (Names{"notified before", "notified after"}));
  EXPECT_EQ(resumed, Names{});
}

TEST_F(TaskScopeTest, DestroyedCoroutineLeavesRateLimiterQueue) {
  store::RateLimiter limiter(loop, 1);
  limiter.acquire_immediately(1);
  scope->spawn(acquire_token("destroyed", &limiter));
  net::spawn(acquire_token("other", &limiter));
  EXPECT_EQ(limiter.queue_length(), 2u);
  scope.reset();
  EXPECT_EQ(limiter.queue_length(), 1u);
  run_for(1.5);
  EXPECT_EQ(resumed, Names{"other with tokens"});
}

TEST(TaskScopeSocketTest, DestroysCoroutineReadingFromSocket) {
  net::Loop loop;
  std::array<int, 2> socket_pair{};
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, socket_pair.data()), 0);
  const net::FileDescriptor peer(socket_pair[1]);
  std::array<char, 16> buffer{};
  bool resumed = false;
  auto read = [](net::Socket* from, std::array<char, 16>* into, net::TimePoint deadline,
                 bool* done) -> net::Task<void> {
    co_await from->read_some(*into, deadline);
    *done = true;
  };
  net::Socket socket(loop, net::FileDescriptor(socket_pair[0]));
  {
    net::TaskScope scope;
    scope.spawn(read(&socket, &buffer, loop.now() + std::chrono::milliseconds(20), &resumed));
    EXPECT_EQ(scope.running_count(), 1u);
  }
  EXPECT_EQ(::send(peer.get(), "x", 1, 0), 1);
  const auto end = net::Clock::now() + std::chrono::milliseconds(50);
  while (net::Clock::now() < end) loop.run_once(std::chrono::milliseconds(5));
  EXPECT_FALSE(resumed);
}

}  // namespace dockdyke::testing
