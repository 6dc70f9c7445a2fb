// A one-shot channel: passes a single value to a waiting coroutine.
#pragma once

#include <coroutine>
#include <memory>
#include <optional>
#include <utility>

#include "net/event_loop.hpp"

namespace dockdyke::net {

// Holds a value that is set at most once and that one coroutine can wait for. Copies share the value. At most
// one coroutine waits at a time. The loop must outlive the wait.
template <class T>
class OneShot {
 public:
  explicit OneShot(Loop& loop) : state_(std::make_shared<State>(State{&loop, {}, {}, {}})) {}

  // Sets the value and schedules the waiting coroutine. Has no effect if a value is already set.
  void set(T value) const {
    if (state_->value) return;
    state_->value.emplace(std::move(value));
    if (!state_->waiting) return;
    if (state_->timer) state_->loop->cancel(*state_->timer);
    state_->loop->post(std::exchange(state_->waiting, {}));
  }

  // Returns true if both objects are copies that share the same value.
  bool shares_state_with(const OneShot& other) const { return state_ == other.state_; }

  // Returns an awaitable that yields a copy of the value, or std::nullopt if the deadline passes first.
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
      state_->timer = state_->loop->call_at(deadline_, [state = state_] {
        if (state->waiting) std::exchange(state->waiting, {}).resume();
      });
    }
    std::optional<T> await_resume() {
      suspended_ = {};
      return state_->value;
    }

   private:
    // Deregisters a coroutine that is destroyed while it waits, or after it was posted but before it resumed.
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
