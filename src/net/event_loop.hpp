// The event loop: one thread, epoll, timers and a queue of coroutines that are ready to be resumed.
#pragma once

#include <compare>
#include <coroutine>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "net/clock.hpp"
#include "net/file_descriptor.hpp"

struct epoll_event;

namespace dockdyke::net {

// The readiness of one descriptor. Edge-triggered: a flag stays set until whoever uses the descriptor finds
// that a call would block, and clears it. At most one coroutine waits for each direction.
struct Readiness {
  bool readable = false;
  bool writable = false;
  // Called once, when the flag is set, and then cleared.
  std::function<void()> on_readable;
  std::function<void()> on_writable;
};

// Runs everything of the program on the thread that calls run(). Nothing of it is safe to use from another
// thread.
class Loop {
 public:
  // Identifies a timer that has been set. Timers due at the same time run in the order in which they were
  // set.
  struct TimerKey {
    TimePoint due;
    std::uint64_t number = 0;
    auto operator<=>(const TimerKey&) const = default;
  };

  // Simulated time stands still while anything is ready and then leaps to the next timer; no descriptor is
  // looked at. Tests play minutes of a cluster in a moment with it, and the same way each time.
  enum class Time { real, simulated };

  // Throws std::system_error when the system has no epoll descriptor left.
  explicit Loop(Time time = Time::real);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Runs turns until stop() is called.
  void run();
  void stop() { stopping_ = true; }
  // One turn: waits at most `limit` for events, then runs due timers, then resumes the coroutines that were
  // ready at that moment. Tests drive the loop with it.
  void turn(Duration limit);

  // The time at which this turn began to handle its events.
  TimePoint now() const { return now_; }
  // Milliseconds since 1970, or the simulated time in milliseconds.
  std::int64_t time_of_day_ms() const;

  // Runs the action in the first turn at or after that time.
  TimerKey at(TimePoint due, std::function<void()> action);
  // Without effect for a timer that has run.
  void cancel(const TimerKey& key) { timers_.erase(key); }
  // Resumes the coroutine later in this turn or in the next one.
  void post(std::coroutine_handle<> ready) { ready_.push_back(ready); }
  // Takes back the post() of a coroutine that is being destroyed.
  void cancel_post(std::coroutine_handle<> ready) { std::erase(ready_, ready); }

  // Reports the descriptor's events to `readiness`, which must stay valid until detach(). Throws
  // std::system_error.
  void attach(int fd, Readiness* readiness);
  void detach(int fd);

  // Awaited, resumes the coroutine after the given time; does not suspend for a time that is not positive.
  class Sleep {
   public:
    Sleep(Loop& loop, Duration time) : loop_(loop), time_(time) {}
    Sleep(const Sleep&) = delete;
    Sleep& operator=(const Sleep&) = delete;
    ~Sleep() {
      if (timer_) loop_.cancel(*timer_);
    }
    bool await_ready() const noexcept { return time_ <= Duration::zero(); }
    void await_suspend(std::coroutine_handle<> waiting) {
      timer_ = loop_.at(loop_.now() + time_, [this, waiting] {
        timer_.reset();
        waiting.resume();
      });
    }
    void await_resume() const noexcept {}

   private:
    Loop& loop_;
    Duration time_;
    std::optional<TimerKey> timer_;  // while the coroutine is suspended
  };
  Sleep sleep(Duration time) { return Sleep(*this, time); }

 private:
  Duration time_to_wait(Duration limit) const;
  void poll_events(Duration limit);
  void dispatch(const epoll_event& event);
  void run_due_timers();
  void resume_ready();

  Time time_;
  FileDescriptor epoll_;
  bool stopping_ = false;
  TimePoint now_;
  std::uint64_t next_timer_number_ = 0;
  std::map<TimerKey, std::function<void()>> timers_;
  std::deque<std::coroutine_handle<>> ready_;
  std::map<int, Readiness*> attached_;  // by descriptor
};

}  // namespace dockdyke::net
