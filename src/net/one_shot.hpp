// A value that arrives once, from whoever has it to one coroutine that waits for it.
#pragma once

#include <coroutine>
#include <memory>
#include <optional>
#include <utility>

#include "net/event_loop.hpp"

namespace dockdyke::net {

// Copies share one value. At most one coroutine waits at a time. The loop must outlive the wait.
template <class T>
class OneShot {
 public:
  explicit OneShot(Loop& loop) : state_(std::make_shared<State>(State{&loop, {}, {}, {}})) {}

  // Sets the value and has the waiting coroutine resumed. Only the first value counts.
  void set(T value) const {
    if (state_->value) return;
    state_->value.emplace(std::move(value));
    if (!state_->waiting) return;
    if (state_->timer) state_->loop->cancel(*state_->timer);
    state_->loop->post(std::exchange(state_->waiting, {}));
  }

  // True for copies of one another.
  bool same(const OneShot& other) const { return state_ == other.state_; }

  // Awaited, gives a copy of the value, or nothing when the deadline passed first.
  auto wait_until(TimePoint deadline) const { return Awaiter(state_, deadline); }

 private:
  struct State {
    Loop* loop;
    std::optional<T> value;
    std::coroutine_handle<> waiting;
    std::optional<Loop::TimerKey> timer;
  };

  class Awaiter {
   public:
    Awaiter(std::shared_ptr<State> state, TimePoint deadline)
        : state_(std::move(state)), deadline_(deadline) {}
    Awaiter(const Awaiter&) = delete;
    Awaiter& operator=(const Awaiter&) = delete;
    ~Awaiter() {
      if (suspended_) cancel_wait();
    }
    bool await_ready() const noexcept { return state_->value.has_value(); }
    void await_suspend(std::coroutine_handle<> waiting) {
      suspended_ = waiting;
      state_->waiting = waiting;
      state_->timer = state_->loop->at(deadline_, [shared = state_] {
        if (shared->waiting) std::exchange(shared->waiting, {}).resume();
      });
    }
    std::optional<T> await_resume() {
      suspended_ = {};
      return state_->value;
    }

   private:
    // The coroutine is destroyed while it waits, or after it was posted.
    void cancel_wait() {
      if (state_->waiting) {
        state_->waiting = {};
        state_->loop->cancel(*state_->timer);
      } else {
        state_->loop->cancel_post(suspended_);
      }
    }

    std::shared_ptr<State> state_;
    TimePoint deadline_;
    std::coroutine_handle<> suspended_;
  };

  std::shared_ptr<State> state_;
};

}  // namespace dockdyke::net
