// A notification for a coroutine that waits for work, with a timeout.
#pragma once

#include <coroutine>
#include <optional>
#include <utility>

#include "net/event_loop.hpp"

namespace dockdyke::net {

// Wakes one waiting coroutine. A notification while nobody waits is remembered and ends the next wait at
// once; several count as one. The object and the loop must outlive the wait.
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
  // The former name of notify().
  void ring() { notify(); }

  // Awaited, returns after a notification or when the time has passed.
  auto wait_for(Duration timeout) {
    struct Awaiter {
      WakeUp& wake_up;
      Duration timeout;
      bool await_ready() const noexcept { return wake_up.notified_; }
      void await_suspend(std::coroutine_handle<> waiting) {
        wake_up.waiting_ = waiting;
        wake_up.timer_ = wake_up.loop_->at(wake_up.loop_->now() + timeout, [source = &wake_up] {
          source->timer_.reset();
          if (source->waiting_) std::exchange(source->waiting_, {}).resume();
        });
      }
      void await_resume() noexcept { wake_up.notified_ = false; }
    };
    return Awaiter{*this, timeout};
  }

 private:
  Loop* loop_;
  bool notified_ = false;
  std::coroutine_handle<> waiting_;
  std::optional<Loop::TimerKey> timer_;
};

}  // namespace dockdyke::net
