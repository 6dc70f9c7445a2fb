// The event loop: one thread, epoll, timers and a queue of coroutines that are ready to go on.
#pragma once

#include <chrono>
#include <coroutine>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace dockdyke::net {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

// Rounded up: a timer that is early by a fraction of a nanosecond finds nothing due and is set for no time at
// all, for ever.
inline Duration seconds(double amount) {
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(amount));
}

// Readiness of one descriptor. At most one coroutine waits for each direction.
struct Readiness {
  bool readable = false;
  bool writable = false;
  std::function<void()> on_readable;
  std::function<void()> on_writable;
};

class Loop {
 public:
  using TimerKey = std::pair<TimePoint, std::uint64_t>;
  // Simulated time stands still while anything is ready and then leaps to the next timer; no descriptor is
  // looked at. Tests play minutes of a cluster in a moment with it, and the same way each time.
  enum class Time { real, simulated };

  explicit Loop(Time time = Time::real);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void run();
  void stop() { stopping_ = true; }
  // One pass; waits for at most `limit`. Tests drive the loop with it.
  void turn(Duration limit);

  TimePoint now() const { return now_; }
  // Milliseconds since 1970.
  std::int64_t time_of_day_ms() const;
  TimerKey at(TimePoint when, std::function<void()> action);
  void cancel(const TimerKey& key) { timers_.erase(key); }
  void post(std::coroutine_handle<> ready) { ready_.push_back(ready); }

  void attach(int fd, Readiness* readiness);
  void detach(int fd);

  struct Sleep {
    Loop& loop;
    Duration time;
    bool await_ready() const noexcept { return time <= Duration::zero(); }
    void await_suspend(std::coroutine_handle<> waiting) {
      loop.at(loop.now() + time, [waiting] { waiting.resume(); });
    }
    void await_resume() const noexcept {}
  };
  Sleep sleep(Duration time) { return Sleep{*this, time}; }

 private:
  void take_events(Duration limit);

  Time time_;
  int epoll_fd_;
  bool stopping_ = false;
  TimePoint now_;
  std::uint64_t next_timer_ = 0;
  std::map<TimerKey, std::function<void()>> timers_;
  std::deque<std::coroutine_handle<>> ready_;
  std::map<int, Readiness*> attached_;
};

// A value that arrives once. The waiting coroutine goes on when it is set or when the deadline passes.
template <class T>
class OneShot {
 public:
  explicit OneShot(Loop& loop) : state_(std::make_shared<State>(State{&loop, {}, {}, {}})) {}

  void set(T value) const {
    if (state_->value) return;
    state_->value.emplace(std::move(value));
    if (state_->waiting) {
      if (state_->timer) state_->loop->cancel(*state_->timer);
      state_->loop->post(std::exchange(state_->waiting, {}));
    }
  }

  bool same(const OneShot& other) const { return state_ == other.state_; }

  auto wait_until(TimePoint deadline) const {
    struct Awaiter {
      std::shared_ptr<State> state;
      TimePoint deadline;
      bool await_ready() const noexcept { return state->value.has_value(); }
      void await_suspend(std::coroutine_handle<> waiting) {
        state->waiting = waiting;
        state->timer = state->loop->at(deadline, [shared = state] {
          if (shared->waiting) std::exchange(shared->waiting, {}).resume();
        });
      }
      std::optional<T> await_resume() { return state->value; }
    };
    return Awaiter{state_, deadline};
  }

 private:
  struct State {
    Loop* loop;
    std::optional<T> value;
    std::coroutine_handle<> waiting;
    std::optional<Loop::TimerKey> timer;
  };
  std::shared_ptr<State> state_;
};

// Wakes one waiting coroutine; a ring while nobody waits is remembered.
class WakeUp {
 public:
  explicit WakeUp(Loop& loop) : loop_(&loop) {}
  void ring() {
    rung_ = true;
    if (waiting_) {
      if (timer_) loop_->cancel(*timer_);
      timer_.reset();
      loop_->post(std::exchange(waiting_, {}));
    }
  }
  auto wait_for(Duration limit) {
    struct Awaiter {
      WakeUp& bell;
      Duration limit;
      bool await_ready() const noexcept { return bell.rung_; }
      void await_suspend(std::coroutine_handle<> waiting) {
        bell.waiting_ = waiting;
        bell.timer_ = bell.loop_->at(bell.loop_->now() + limit, [b = &bell] {
          b->timer_.reset();
          if (b->waiting_) std::exchange(b->waiting_, {}).resume();
        });
      }
      void await_resume() noexcept { bell.rung_ = false; }
    };
    return Awaiter{*this, limit};
  }

 private:
  Loop* loop_;
  bool rung_ = false;
  std::coroutine_handle<> waiting_;
  std::optional<Loop::TimerKey> timer_;
};

}  // namespace dockdyke::net
