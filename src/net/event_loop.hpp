// A single-threaded event loop with epoll, timers and a queue of coroutines that are ready to resume.
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

// The readiness of one descriptor. Events are edge-triggered: a flag stays set until the user of the
// descriptor clears it after a call that would block. At most one coroutine waits for each direction.
struct Readiness {
  bool readable = false;
  bool writable = false;
  // Called once when the flag is set; the loop clears the callback before it calls it.
  std::function<void()> on_readable;
  std::function<void()> on_writable;
};

// Dispatches timers, descriptor events and ready coroutines on the thread that calls run(). Not thread-safe.
class Loop {
 public:
  // Identifies a timer. Timers that are due at the same time run in the order in which they were created.
  struct TimerKey {
    TimePoint due;
    std::uint64_t number = 0;
    auto operator<=>(const TimerKey&) const = default;
  };

  // Simulated time does not advance while coroutines are ready; it then advances to the next timer.
  // Descriptors are not polled. This makes tests fast and deterministic.
  enum class TimeSource { real, simulated };

  // Throws std::system_error if no epoll descriptor can be created.
  explicit Loop(TimeSource time_source = TimeSource::real);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Runs iterations until stop() is called.
  void run();
  void stop() { stopping_ = true; }
  // Runs one iteration: waits at most `max_wait` for events, runs the timers that are due and then resumes
  // the coroutines that are ready at that point.
  void run_once(Duration max_wait);

  // Returns the time at which the current iteration started to handle events.
  TimePoint now() const { return now_; }
  // Returns the milliseconds since the Unix epoch, or the simulated time in milliseconds.
  std::int64_t time_of_day_ms() const;

  // Calls the action in the first iteration at or after the given time.
  TimerKey call_at(TimePoint due, std::function<void()> action);
  // Cancels a timer. Has no effect if the timer has already run.
  void cancel(const TimerKey& key) { timers_.erase(key); }
  // Queues a coroutine that is ready to resume, in this iteration or the next one.
  void post(std::coroutine_handle<> ready) { ready_.push_back(ready); }
  // Removes a coroutine that is being destroyed from the queue.
  void cancel_post(std::coroutine_handle<> ready) { std::erase(ready_, ready); }

  // Starts to record the events of a descriptor in `readiness`, which must stay valid until detach(). Throws
  // std::system_error on failure.
  void attach(int fd, Readiness* readiness);
  void detach(int fd);

  // Awaitable that resumes the coroutine after the given duration. Does not suspend if the duration is zero
  // or negative.
  class Sleep {
   public:
    Sleep(Loop& loop, Duration duration) : loop_(loop), duration_(duration) {}
    Sleep(const Sleep&) = delete;
    Sleep& operator=(const Sleep&) = delete;
    ~Sleep() {
      if (timer_) loop_.cancel(*timer_);
    }
    bool await_ready() const noexcept { return duration_ <= Duration::zero(); }
    void await_suspend(std::coroutine_handle<> waiting) {
      timer_ = loop_.call_at(loop_.now() + duration_, [this, waiting] {
        timer_.reset();
        waiting.resume();
      });
    }
    void await_resume() const noexcept {}

   private:
    Loop& loop_;
    Duration duration_;
    std::optional<TimerKey> timer_;  // set while the coroutine is suspended
  };
  Sleep sleep(Duration duration) { return Sleep(*this, duration); }

 private:
  Duration poll_timeout(Duration max_wait) const;
  void poll_events(Duration timeout);
  void dispatch(const epoll_event& event);
  void run_due_timers();
  void resume_ready();

  TimeSource time_source_;
  FileDescriptor epoll_;
  bool stopping_ = false;
  TimePoint now_;
  std::uint64_t next_timer_number_ = 0;
  std::map<TimerKey, std::function<void()>> timers_;
  std::deque<std::coroutine_handle<>> ready_;
  std::map<int, Readiness*> attached_;  // by descriptor
};

}  // namespace dockdyke::net
