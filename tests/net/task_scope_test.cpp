// A scope destroys its coroutines wherever they are suspended, and leaves nothing of them with the loop.
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

// Says when the coroutine that it is a variable of goes.
struct Witness {
  std::vector<std::string>& gone;
  std::string name;
  ~Witness() { gone.push_back(name); }
};

class TaskScopeTest : public ::testing::Test {
 protected:
  net::Task<void> sleep(std::string name, double s) {
    const Witness witness{gone, name};
    co_await loop.sleep(net::seconds(s));
    resumed.push_back(name);
  }
  net::Task<void> sleep_within_another(std::string name, double s) {
    const Witness witness{gone, name + " (outer)"};
    co_await sleep(name, s);
  }
  net::Task<void> wait_for_value(std::string name, net::OneShot<int> value) {
    const Witness witness{gone, name};
    const std::optional<int> received = co_await value.wait_until(loop.now() + net::seconds(5));
    resumed.push_back(name + (received ? " with a value" : " without a value"));
  }
  net::Task<void> wait_for_notification(std::string name, net::WakeUp* wake_up) {
    const Witness witness{gone, name};
    co_await wake_up->wait_for(net::seconds(5));
    resumed.push_back(name);
  }
  net::Task<void> acquire(std::string name, store::RateLimiter* limiter) {
    const Witness witness{gone, name};
    const bool acquired =
        co_await limiter->acquire(1, store::RequestPriority::normal, loop.now() + net::seconds(5));
    resumed.push_back(name + (acquired ? " with tokens" : " without tokens"));
  }
  void run(double s) {
    const auto end = loop.now() + net::seconds(s);
    while (loop.now() < end) loop.turn(end - loop.now());
  }

  net::Loop loop{net::Loop::Time::simulated};
  std::vector<std::string> gone;
  std::vector<std::string> resumed;
  std::optional<net::TaskScope> scope{std::in_place};
};

using Names = std::vector<std::string>;

}  // namespace

TEST_F(TaskScopeTest, ForgetsCoroutinesThatEnd) {
  scope->spawn(sleep("at once", 0));
  EXPECT_EQ(scope->running(), 0u);
  scope->spawn(sleep("short", 1));
  scope->spawn(sleep("long", 2));
  EXPECT_EQ(scope->running(), 2u);
  run(1.5);
  EXPECT_EQ(scope->running(), 1u);
  run(1);
  EXPECT_EQ(scope->running(), 0u);
  EXPECT_EQ(resumed, (Names{"at once", "short", "long"}));
  EXPECT_EQ(gone, resumed);
}

TEST_F(TaskScopeTest, DestroysSleepersLastSpawnedFirst) {
  scope->spawn(sleep("first", 1));
  scope->spawn(sleep_within_another("second", 1));
  scope.reset();
  EXPECT_EQ(gone, (Names{"second", "second (outer)", "first"}));
  run(5);
  EXPECT_EQ(resumed, Names{});
}

TEST_F(TaskScopeTest, DestroysThoseThatWaitForAValue) {
  const net::OneShot<int> never_set(loop);
  const net::OneShot<int> set_before(loop);
  const net::OneShot<int> set_after(loop);
  scope->spawn(wait_for_value("never set", never_set));
  scope->spawn(wait_for_value("set before", set_before));
  scope->spawn(wait_for_value("set after", set_after));
  set_before.set(1);
  scope.reset();
  set_after.set(1);
  run(10);
  EXPECT_EQ(gone, (Names{"set after", "set before", "never set"}));
  EXPECT_EQ(resumed, Names{});
}

TEST_F(TaskScopeTest, DestroysThoseThatWaitForANotification) {
  net::WakeUp silent(loop);
  net::WakeUp notified(loop);
  scope->spawn(wait_for_notification("silent", &silent));
  scope->spawn(wait_for_notification("notified", &notified));
  notified.notify();
  scope.reset();
  silent.notify();
  run(10);
  EXPECT_EQ(gone, (Names{"notified", "silent"}));
  EXPECT_EQ(resumed, Names{});
}

TEST_F(TaskScopeTest, ADestroyedCallLeavesTheQueueOfTheRateLimiter) {
  store::RateLimiter limiter(loop, 1);
  limiter.acquire_immediately(1);
  scope->spawn(acquire("destroyed", &limiter));
  net::spawn(acquire("other", &limiter));
  EXPECT_EQ(limiter.queue_length(), 2u);
  scope.reset();
  EXPECT_EQ(limiter.queue_length(), 1u);
  run(1.5);
  EXPECT_EQ(resumed, Names{"other with tokens"});
}

TEST(TaskScope, DestroysACoroutineThatReadsFromASocket) {
  net::Loop loop;
  std::array<int, 2> ends{};
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
  const net::FileDescriptor peer(ends[1]);
  std::array<char, 16> buffer{};
  bool resumed = false;
  auto read = [](net::Socket* from, std::array<char, 16>* into, net::TimePoint deadline,
                 bool* done) -> net::Task<void> {
    co_await from->read_some(*into, deadline);
    *done = true;
  };
  net::Socket socket(loop, net::FileDescriptor(ends[0]));
  {
    net::TaskScope scope;
    scope.spawn(read(&socket, &buffer, loop.now() + std::chrono::milliseconds(20), &resumed));
    EXPECT_EQ(scope.running(), 1u);
  }
  EXPECT_EQ(::send(peer.get(), "x", 1, 0), 1);
  const auto end = net::Clock::now() + std::chrono::milliseconds(50);
  while (net::Clock::now() < end) loop.turn(std::chrono::milliseconds(5));
  EXPECT_FALSE(resumed);
}

}  // namespace dockdyke::testing
