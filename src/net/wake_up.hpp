// A notification that a coroutine can wait for with a timeout.
#pragma once

#include <coroutine>
#include <optional>
#include <utility>

#include "net/event_loop.hpp"

namespace dockdyke::net {

// Wakes one waiting coroutine, like an auto-reset event. A notification without a waiting coroutine is kept
// and ends the next wait immediately; several such notifications count as one. The WakeUp and the loop must
// outlive the wait.
class WakeUp {
 public:
  explicit WakeUp(Loop& loop) : loop_(&loop) {}

  void notify() {
    notified_ = true;
    if (!waiting_) return;
    if (timer_) loop_->cancel(*timer_);
    timer_.reset();
    loop_->post(std::exchange(waiting_, {}));
  }

  // Returns an awaitable that resumes the coroutine on notification or when the timeout has elapsed.
  auto wait_for(Duration timeout) { return Awaiter(*this, timeout); }

 private:
  class Awaiter {
   public:
    Awaiter(WakeUp& wake_up, Duration timeout) : wake_up_(wake_up), timeout_(timeout) {}
    Awaiter(const Awaiter&) = delete;
    Awaiter& operator=(const Awaiter&) = delete;
    ~Awaiter() {
      if (suspended_) cancel_wait();
    }
    bool await_ready() const noexcept { return wake_up_.notified_; }
    void await_suspend(std::coroutine_handle<> waiting) {
      suspended_ = waiting;
      wake_up_.waiting_ = waiting;
      wake_up_.timer_ = wake_up_.loop_->call_at(wake_up_.loop_->now() + timeout_, [wake_up = &wake_up_] {
        wake_up->timer_.reset();
        if (wake_up->waiting_) std::exchange(wake_up->waiting_, {}).resume();
      });
    }
    void await_resume() noexcept {
      suspended_ = {};
      wake_up_.notified_ = false;
    }

   private:
    // Deregisters a coroutine that is destroyed while it waits, or after it was posted but before it resumed.
    void cancel_wait() {
      if (wake_up_.waiting_) {
        wake_up_.waiting_ = {};
        wake_up_.loop_->cancel(*std::exchange(wake_up_.timer_, std::nullopt));
      } else {
        wake_up_.loop_->cancel_post(suspended_);
      }
    }

    WakeUp& wake_up_;
    Duration timeout_;
    std::coroutine_handle<> suspended_;
  };

  Loop* loop_;
  bool notified_ = false;
  std::coroutine_handle<> waiting_;
  std::optional<Loop::TimerKey> timer_;
};

}  // namespace dockdyke::net
